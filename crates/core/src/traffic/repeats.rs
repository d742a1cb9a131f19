//! The plan of repeats for a search: which shards get another attempt, which wait, and when the search ends.
//!
//! Load that it answers: for some seconds, many backend servers reject a large part of the requests while each shard
//! keeps a healthy replica. More attempts fail than the bounds on extra attempts allow to repeat. Spent shard by
//! shard, first come first served, the tokens go to searches that lack too many shards to reach their least coverage,
//! and such a search occupies servers and its caller until it is late.
//!
//! [`plan`] looks at one search as a whole. It ends a search that cannot reach its least coverage, and gives tokens to
//! the others by purpose: first to what makes a search complete in time, then to coverage beyond the least, then to
//! what makes a late search complete. A purpose leaves a reserve of tokens in the account for the ones before it,
//! since the tokens of an account are shared by all searches of a host.

use std::{cmp, fmt};

use crate::clock;

/// What an extra attempt is for; the most useful first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// The search reaches its least coverage within its target latency.
    Complete,
    /// The search may reach its least coverage without it.
    Coverage,
    /// The search reaches its least coverage after its target latency.
    Late,
}

impl Purpose {
    /// Number of purposes.
    pub const COUNT: usize = 3;

    /// Tokens that stay in an account for more useful purposes. A search needs one token at a time for a shard, so
    /// one token is what the next search needs that lacks the shard; late searches leave half a token more, so that
    /// coverage comes before them.
    pub fn reserve(self) -> f64 {
        match self {
            Self::Complete => 0.0,
            Self::Coverage => 1.0,
            Self::Late => 1.5,
        }
    }
}

/// Tokens for extra attempts that several shards share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Account {
    /// Tokens that it has now; infinite if extra attempts are not bounded.
    pub tokens: f64,
    /// Maximum number of tokens that it holds.
    pub capacity: f64,
    /// Tokens expected to be added per ms.
    pub inflow: f64,
    /// Tokens that are kept for more urgent classes.
    pub reserve: f64,
    /// Whether coverage beyond the least leaves its reserve: searches have recently ended for lack of tokens.
    pub is_scarce: bool,
}

impl Account {
    /// An account without a bound.
    pub const UNBOUNDED: Self =
        Self { tokens: f64::INFINITY, capacity: f64::INFINITY, inflow: 0.0, reserve: 0.0, is_scarce: false };

    /// Tokens that it must have before one may be taken for `purpose`. A full account always gives one.
    fn threshold(&self, purpose: Purpose) -> f64 {
        let has_reserve = self.is_scarce || purpose == Purpose::Late;
        let reserve = if has_reserve { purpose.reserve() } else { 0.0 };
        (1.0 + self.reserve + reserve).min(self.capacity).max(1.0)
    }

    /// Whether it has a token for `purpose` after `taken` others were taken.
    pub fn has_token(&self, purpose: Purpose, taken: usize) -> bool {
        self.tokens - taken as f64 >= self.threshold(purpose)
    }

    /// Time until it has a token for `purpose` after `taken` others were taken; `Millis::MAX` if it never has.
    pub fn wait(&self, purpose: Purpose, taken: usize) -> clock::Millis {
        let missing = self.threshold(purpose) + taken as f64 - self.tokens;
        if missing <= 0.0 {
            return clock::Millis::ZERO;
        }
        if self.inflow <= 0.0 || self.capacity < 1.0 {
            return clock::Millis::MAX;
        }
        clock::Millis((missing / self.inflow).ceil() as u64)
    }

    /// Number of tokens that it gives for `purpose` within `time`.
    fn tokens_within(&self, purpose: Purpose, time: clock::Millis) -> usize {
        if self.capacity < 1.0 {
            return 0;
        }
        // The tolerance covers rounding of a time that `wait` returned.
        let tokens = self.tokens + self.inflow * time.0 as f64 - self.threshold(purpose) + 1.0 + 1e-6;
        if tokens.is_finite() { tokens.max(0.0) as usize } else { usize::MAX }
    }
}

/// A shard that needs another attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Repeat {
    /// Probability that the attempt yields a usable answer, above 0.
    pub probability: f64,
    /// Expected time from sending it to the answer.
    pub expected: clock::Millis,
    /// Index of the account of its service.
    pub account: usize,
}

/// What may still become of a shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Prospect {
    /// It has answered.
    Answered,
    /// An attempt is in flight or queued. It may answer until the deadline, however long it is expected to take.
    Pending,
    /// It answers only if another attempt is made.
    Repeatable(Repeat),
    /// No further attempt is possible.
    Lost,
}

/// A search and its limits. Times are from now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Search {
    /// Number of shards that the least coverage needs.
    pub needed: usize,
    /// Time until its answer is late; zero if it is late already.
    pub until_target: clock::Millis,
    /// Time until its deadline.
    pub until_deadline: clock::Millis,
    /// The account of its class, from which each repeat takes a token besides that of its service.
    pub class: Account,
}

/// The numbers that show that a search cannot reach its least coverage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortfall {
    /// Shards that have answered.
    pub answered: usize,
    /// Shards with an attempt in flight or queued.
    pub pending: usize,
    /// Shards that need another attempt.
    pub repeatable: usize,
    /// Number of these that could be repeated before the deadline with the tokens of their services.
    pub service_tokens: usize,
    /// Number of these that could be repeated before the deadline with the tokens of the class.
    pub class_tokens: usize,
    /// Number of shards that the least coverage needs.
    pub needed: usize,
    /// Time until there are tokens for the missing repeats; `None` if there are not enough shards left to repeat.
    pub refill: Option<clock::Millis>,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { answered, pending, repeatable, service_tokens, class_tokens, needed, refill } = self;
        write!(f, "{answered} shards answered and {pending} are pending of {needed} needed; {repeatable} could be ")?;
        write!(
            f,
            "repeated, {service_tokens} with the tokens of their services, {class_tokens} with those of the class"
        )?;
        match refill {
            Some(refill) => write!(f, "; there are enough tokens in {refill}"),
            None => Ok(()),
        }
    }
}

/// The steps to take for a search that can still reach its least coverage.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Steps {
    /// Shards to repeat now, in this order.
    pub repeats: Vec<(u32, Purpose)>,
    /// Shards to give up: no token arrives in time for them.
    pub dropped: Vec<u32>,
    /// Time after which to plan again, if shards wait for a token.
    pub wait: Option<clock::Millis>,
}

/// What to do with a search.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// End it now: it cannot reach its least coverage by its deadline.
    Hopeless(Shortfall),
    /// Go on with it.
    Proceed(Steps),
}

/// A repeatable shard and its index.
type Candidate = (u32, Repeat);

/// Plans the repeats of `search`. Linear in the number of shards, but for sorting those that need a repeat.
pub fn plan(search: &Search, shards: &[Prospect], accounts: &[Account]) -> Decision {
    let mut answered = 0;
    let mut pending = 0;
    let mut candidates: Vec<Candidate> = Vec::new();
    for (index, prospect) in shards.iter().enumerate() {
        match prospect {
            Prospect::Answered => answered += 1,
            Prospect::Pending => pending += 1,
            Prospect::Repeatable(repeat) => candidates.push((index as u32, *repeat)),
            Prospect::Lost => {}
        }
    }
    let missing = search.needed.saturating_sub(answered + pending);
    let purpose = if missing == 0 {
        Purpose::Coverage
    } else if possible(search, &mut candidates, accounts, Purpose::Complete, search.until_target).0 >= missing {
        Purpose::Complete
    } else {
        let (all, service_tokens, class_tokens) =
            possible(search, &mut candidates, accounts, Purpose::Late, search.until_deadline);
        if all < missing {
            let repeatable = candidates.len();
            let refill = refill_time(search, &candidates, accounts, missing);
            let needed = search.needed;
            let shortfall = Shortfall { answered, pending, repeatable, service_tokens, class_tokens, needed, refill };
            return Decision::Hopeless(shortfall);
        }
        Purpose::Late
    };
    Decision::Proceed(allot(search, &mut candidates, accounts, purpose, missing, pending == 0))
}

/// Number of candidates that can be answered within `time` if they get tokens for `purpose`, and the numbers that the
/// accounts of the services and that of the class would allow by themselves.
fn possible(
    search: &Search,
    candidates: &mut [Candidate],
    accounts: &[Account],
    purpose: Purpose,
    time: clock::Millis,
) -> (usize, usize, usize) {
    // An account's tokens in the order of their arrival go to its shards in the order of the latest time at which a
    // token is of use, which serves as many as possible.
    candidates.sort_unstable_by_key(|(index, repeat)| (cmp::Reverse(repeat.expected), *index));
    let mut taken = vec![0; accounts.len()];
    let mut service_tokens = 0;
    for (_, repeat) in candidates.iter() {
        let used = &mut taken[repeat.account];
        if accounts[repeat.account].wait(purpose, *used) + repeat.expected <= time {
            *used += 1;
            service_tokens += 1;
        }
    }
    let shortest = candidates.last().map_or(clock::Millis::ZERO, |(_, repeat)| repeat.expected);
    let class_tokens = if shortest <= time { search.class.tokens_within(purpose, time - shortest) } else { 0 };
    (service_tokens.min(class_tokens), service_tokens, class_tokens)
}

/// Time until there are tokens for `missing` repeats.
fn refill_time(
    search: &Search,
    candidates: &[Candidate],
    accounts: &[Account],
    missing: usize,
) -> Option<clock::Millis> {
    let mut taken = vec![0; accounts.len()];
    let mut waits = Vec::with_capacity(candidates.len());
    for (_, repeat) in candidates {
        waits.push(accounts[repeat.account].wait(Purpose::Complete, taken[repeat.account]));
        taken[repeat.account] += 1;
    }
    waits.sort_unstable();
    let service = *waits.get(missing.checked_sub(1)?)?;
    let wait = service.max(search.class.wait(Purpose::Complete, missing - 1));
    (wait != clock::Millis::MAX).then_some(wait)
}

/// Gives tokens to candidates: for `purpose` until the least coverage is expected to be reached, then for coverage.
fn allot(
    search: &Search,
    candidates: &mut [Candidate],
    accounts: &[Account],
    purpose: Purpose,
    missing: usize,
    is_nothing_pending: bool,
) -> Steps {
    candidates.sort_unstable_by(|(left_index, left), (right_index, right)| {
        let by_probability = right.probability.total_cmp(&left.probability);
        by_probability.then(left.expected.cmp(&right.expected)).then(left_index.cmp(right_index))
    });
    let mut steps = Steps::default();
    let mut taken = vec![0; accounts.len()];
    let mut class_taken = 0;
    let mut expected_answers = 0.0;
    let mut waiting = Vec::new();
    for &(index, repeat) in candidates.iter() {
        let is_needed = expected_answers < missing as f64;
        let purpose = if is_needed { purpose } else { Purpose::Coverage };
        let used = &mut taken[repeat.account];
        let has_token =
            accounts[repeat.account].has_token(purpose, *used) && search.class.has_token(purpose, class_taken);
        let is_useful = purpose != Purpose::Coverage || repeat.expected <= search.until_target;
        if !has_token || !is_useful {
            waiting.push((index, repeat, purpose));
            continue;
        }
        *used += 1;
        class_taken += 1;
        expected_answers += repeat.probability;
        steps.repeats.push((index, purpose));
    }
    // Shards that are not needed now may become so if pending ones fail.
    let is_decided = is_nothing_pending && missing == 0;
    for (index, repeat, purpose) in waiting {
        let account = accounts[repeat.account];
        let wait_for =
            |purpose| account.wait(purpose, taken[repeat.account]).max(search.class.wait(purpose, class_taken));
        let earliest = if is_decided { Purpose::Coverage } else { Purpose::Complete };
        let is_in_time = wait_for(earliest) + repeat.expected <= search.until_target;
        let is_late = !is_decided && wait_for(Purpose::Late) + repeat.expected <= search.until_deadline;
        if !is_in_time && !is_late {
            steps.dropped.push(index);
            continue;
        }
        let wait = wait_for(purpose);
        if wait > clock::Millis::ZERO && wait <= search.until_deadline {
            steps.wait = Some(steps.wait.map_or(wait, |current| current.min(wait)));
        }
    }
    steps
}
