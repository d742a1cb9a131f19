//! The plan of repeats alone.

use proptest::{prelude::*, sample};
use rstest::rstest;
use shallothub_core::{
    clock,
    traffic::repeats::{self, Account, Decision, Prospect, Purpose, Repeat, Search},
};

fn account(tokens: f64, inflow: f64) -> Account {
    Account { tokens, capacity: 3.0, inflow, reserve: 0.0, is_scarce: true }
}

fn search(needed: usize) -> Search {
    Search {
        needed,
        until_target: clock::Millis(100),
        until_deadline: clock::Millis(700),
        class: Account { capacity: 64.0, ..account(64.0, 0.0) },
    }
}

fn repeatable(probability: f64, account: usize) -> Prospect {
    Prospect::Repeatable(Repeat { probability, expected: clock::Millis(10), account })
}

fn steps(decision: Decision) -> repeats::Steps {
    match decision {
        Decision::Proceed(steps) => steps,
        Decision::Hopeless(shortfall) => panic!("hopeless: {shortfall}"),
    }
}

/// Guards against tokens for shards that are less likely to answer than others of the same account.
#[test]
fn the_likeliest_shard_comes_first() {
    let shards = [repeatable(0.4, 0), repeatable(0.9, 0), Prospect::Lost];
    let steps = steps(repeats::plan(&search(1), &shards, &[account(1.0, 0.0)]));
    assert_eq!(steps.repeats, [(1, Purpose::Complete)]);
}

/// Guards against coverage beyond the least that takes the last token of an account while searches lack tokens.
#[rstest]
#[case::lacks(3, 1.0, true, 1)]
#[case::covered_last_token(1, 1.0, true, 0)]
#[case::covered_two_tokens(1, 2.0, true, 1)]
#[case::covered_not_scarce(1, 1.0, false, 1)]
fn coverage_leaves_the_last_token(
    #[case] needed: usize,
    #[case] tokens: f64,
    #[case] is_scarce: bool,
    #[case] expected: usize,
) {
    let shards = [Prospect::Answered, Prospect::Pending, repeatable(1.0, 0)];
    let accounts = [Account { is_scarce, ..account(tokens, 0.0) }];
    assert_eq!(steps(repeats::plan(&search(needed), &shards, &accounts)).repeats.len(), expected);
}

/// A search that lacks a shard waits for a token that arrives in time, and for no other.
#[rstest]
#[case::in_time(0.02, Some(50))]
#[case::before_the_deadline_only(0.002, None)]
#[case::never(0.0, None)]
fn a_search_waits_only_for_tokens_that_arrive_in_time(#[case] inflow: f64, #[case] wait: Option<u64>) {
    let shards = [Prospect::Answered, repeatable(1.0, 0)];
    match repeats::plan(&search(2), &shards, &[account(0.0, inflow)]) {
        Decision::Proceed(steps) => assert_eq!(steps.wait.map(|wait| wait.0), wait),
        Decision::Hopeless(shortfall) => {
            assert_eq!(wait, None);
            assert_eq!((shortfall.answered, shortfall.pending, shortfall.needed), (1, 0, 2));
        }
    }
}

/// Guards against answers held back until the target latency for coverage that cannot come.
#[test]
fn shards_beyond_the_least_coverage_are_given_up_without_tokens() {
    let shards = [Prospect::Answered, repeatable(1.0, 0)];
    assert_eq!(steps(repeats::plan(&search(1), &shards, &[account(0.0, 0.0)])).dropped, [1]);
    // While another shard is pending, it may still be needed, and a token may arrive for it.
    let shards = [Prospect::Pending, repeatable(1.0, 0)];
    assert_eq!(steps(repeats::plan(&search(1), &shards, &[account(0.0, 0.02)])).dropped, []);
}

/// The class's account bounds the repeats besides those of the services.
#[test]
fn the_class_bounds_the_repeats() {
    let shards = [repeatable(1.0, 0), repeatable(1.0, 1), repeatable(1.0, 2)];
    let accounts = [account(3.0, 0.0); 3];
    let class = Account { capacity: 64.0, ..account(2.0, 0.0) };
    let decision = repeats::plan(&Search { class, ..search(3) }, &shards, &accounts);
    let Decision::Hopeless(shortfall) = decision else { panic!("{decision:?}") };
    // The class has two tokens; a late search leaves one and a half, so none is for this one.
    assert_eq!((shortfall.service_tokens, shortfall.class_tokens), (3, 0));
    let steps = steps(repeats::plan(&Search { class, ..search(2) }, &shards, &accounts));
    assert_eq!(steps.repeats.len(), 2);
}

fn arbitrary_account() -> impl Strategy<Value = Account> {
    let inflow = sample::select(vec![0.0, 0.001, 0.01, 0.05]);
    (0.0..4.0_f64, 1.0..4.0_f64, inflow, 0.0..2.0_f64, any::<bool>()).prop_map(
        |(tokens, capacity, inflow, reserve, is_scarce)| Account {
            tokens: tokens.min(capacity),
            capacity,
            inflow,
            reserve,
            is_scarce,
        },
    )
}

fn arbitrary_prospect() -> impl Strategy<Value = Prospect> {
    let repeat = (0.02..1.0_f64, 1..150_u64, 0..3_usize).prop_map(|(probability, expected, account)| {
        Prospect::Repeatable(Repeat { probability, expected: clock::Millis(expected), account })
    });
    prop_oneof![Just(Prospect::Answered), Just(Prospect::Pending), Just(Prospect::Lost), repeat.clone(), repeat]
}

prop_compose! {
    fn arbitrary_search()(
        needed in 0..9_usize,
        until_target in 0..200_u64,
        late in 0..600_u64,
        class in arbitrary_account(),
        tokens in 0.0..8.0_f64,
    ) -> Search {
        let until_deadline = clock::Millis(until_target + late);
        let class = Account { tokens, capacity: 8.0, ..class };
        Search { needed, until_target: clock::Millis(until_target), until_deadline, class }
    }
}

/// Whether repeats of `rest` in some order, with tokens for `purpose`, give `missing` answers within `time`. Tries all
/// orders.
fn can_complete(
    search: &Search,
    rest: &[Repeat],
    accounts: &[Account],
    purpose: Purpose,
    time: clock::Millis,
    taken: &[usize],
    missing: usize,
) -> bool {
    if missing == 0 {
        return true;
    }
    for (index, repeat) in rest.iter().enumerate() {
        let class_taken: usize = taken.iter().sum();
        let at =
            accounts[repeat.account].wait(purpose, taken[repeat.account]).max(search.class.wait(purpose, class_taken));
        if at + repeat.expected > time {
            continue;
        }
        let mut rest = rest.to_vec();
        rest.remove(index);
        let mut taken = taken.to_vec();
        taken[repeat.account] += 1;
        if can_complete(search, &rest, accounts, purpose, time, &taken, missing - 1) {
            return true;
        }
    }
    false
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// No plan spends more tokens than there are, from the account of a service or from that of the class.
    #[test]
    fn a_plan_spends_only_the_tokens_that_exist(
        search in arbitrary_search(),
        shards in prop::collection::vec(arbitrary_prospect(), 0..9),
        accounts in prop::collection::vec(arbitrary_account(), 3),
    ) {
        if let Decision::Proceed(steps) = repeats::plan(&search, &shards, &accounts) {
            let mut spent = [0.0; 3];
            for (index, _) in &steps.repeats {
                let Prospect::Repeatable(repeat) = shards[*index as usize] else {
                    panic!("shard {index} needs no repeat");
                };
                spent[repeat.account] += 1.0;
            }
            prop_assert!(spent.iter().zip(&accounts).all(|(spent, account)| *spent <= account.tokens));
            prop_assert!(spent.iter().sum::<f64>() <= search.class.tokens);
        }
    }

    /// A search that can still reach its least coverage, in time or late, is not ended; one that cannot, whatever its
    /// pending shards do, is.
    #[test]
    fn only_hopeless_searches_are_ended(
        search in arbitrary_search(),
        shards in prop::collection::vec(arbitrary_prospect(), 0..7),
        accounts in prop::collection::vec(arbitrary_account(), 3),
    ) {
        let mut repeats = Vec::new();
        let mut covered = 0;
        for shard in &shards {
            match shard {
                Prospect::Answered | Prospect::Pending => covered += 1,
                Prospect::Repeatable(repeat) => repeats.push(*repeat),
                Prospect::Lost => {}
            }
        }
        let missing = search.needed.saturating_sub(covered);
        let decision = repeats::plan(&search, &shards, &accounts);
        let can_complete = |purpose, time| can_complete(&search, &repeats, &accounts, purpose, time, &[0; 3], missing);
        if can_complete(Purpose::Complete, search.until_target) || can_complete(Purpose::Late, search.until_deadline) {
            prop_assert!(matches!(decision, Decision::Proceed(_)), "{decision:?}");
        }
        if missing > repeats.len() {
            prop_assert!(matches!(decision, Decision::Hopeless(_)), "{decision:?}");
        }
    }

    /// Of the shards of an account, none is passed over for one that is less likely to answer.
    #[test]
    fn tokens_go_to_the_most_useful_first(
        search in arbitrary_search(),
        shards in prop::collection::vec(arbitrary_prospect(), 0..9),
        accounts in prop::collection::vec(arbitrary_account(), 3),
    ) {
        if let Decision::Proceed(steps) = repeats::plan(&search, &shards, &accounts) {
            let is_given = |index: usize| steps.repeats.iter().any(|(given, _)| *given as usize == index);
            for (index, given) in shards.iter().enumerate().filter(|(index, _)| is_given(*index)) {
                for (other, passed) in shards.iter().enumerate().filter(|(index, _)| !is_given(*index)) {
                    let (Prospect::Repeatable(given), Prospect::Repeatable(passed)) = (given, passed) else {
                        continue;
                    };
                    let is_same = given.account == passed.account && passed.expected <= search.until_target;
                    prop_assert!(
                        !is_same || given.probability >= passed.probability,
                        "{index} before {other}: {steps:?}"
                    );
                }
            }
        }
    }
}
