//! The opinions on one server incarnation, and the standing that follows from them.

use indexmap::IndexMap;

use crate::clock;

use super::{
    RECOVERY_ANSWERS, Standing,
    counts::Deviations,
    key::{Incarnation, Observer},
    opinion::Opinion,
};

/// Number of other observers that must agree if this host has no evidence of its own. One host, or two, that report
/// false data cannot take a server out of use.
const AGREEING: usize = 3;
/// Number of observers that try a server with a standing. One alone could be idle or fail.
const TRYING: usize = 2;
/// Maximum number of observers kept for one server: enough for agreement with many of them failing.
const MAX_OBSERVERS: usize = 16;
/// Age up to which opinions count as fresh when a host decides whether another one is needed. A second less than the
/// expiry, so that opinions are renewed before they expire.
pub(super) const FRESH: clock::Millis = clock::Millis(2000);
/// Time after the last bad result at which a standing ends without a trial.
const HOLD: clock::Millis = clock::Millis(5000);
/// Time by which bad results of one observer alone can be later than those of the others and still count. A single
/// host with false data or a bad link would otherwise keep a server out of use.
const UNCONFIRMED: clock::Millis = clock::Millis(1000);
/// Maximum age and minimum number of this host's own attempts with which they alone decide.
const OWN_AGE: clock::Millis = clock::Millis(1000);
const OWN_ATTEMPTS: f64 = 3.0;
/// Maximum weight of one observer's levels, in attempts.
const MAX_WEIGHT: f64 = 4.0;
/// Steps of a published fraction, and of each doubling of published slowness. Lanes are notified of each change, so
/// small changes are left out.
const PUBLISHED_STEPS: f64 = 16.0;
const PUBLISHED_SLOWNESS_STEPS: f64 = 2.0;

/// A standing in force.
#[derive(Clone, Copy, Debug)]
struct Formed {
    /// The deviations on which observers agreed.
    agreed: Deviations,
    rejection: f64,
    failure: f64,
    log_slowness: f64,
    is_silent: bool,
}

/// The opinions on one server incarnation.
#[derive(Clone, Debug, Default)]
pub(super) struct Entry {
    pub(super) opinions: IndexMap<Observer, Opinion>,
    /// The newest bad result that several observers support; zero if there is none.
    corroborated_at: clock::Millis,
    /// The newest bad result that counts.
    bad_at: clock::Millis,
    /// Results until this time are void, because the server recovered.
    cleared_at: clock::Millis,
    formed: Option<Formed>,
    /// Whether this host tries the server. It goes on until two that rank before it do, also if it has no requests for a
    /// while and its opinion expires.
    tries: bool,
}

impl Entry {
    pub(super) fn is_standing(&self) -> bool {
        self.formed.is_some()
    }

    /// Whether the observers together have shown that the server recovered.
    pub(super) fn is_cleared(&self) -> bool {
        self.bad_at > clock::Millis::ZERO && self.cleared_at > self.bad_at
    }

    /// Merges an opinion. Returns whether it is new.
    pub(super) fn merge(&mut self, server: Incarnation, observer: Observer, opinion: Opinion) -> bool {
        let before = self.opinions.get(&observer).copied();
        let merged = before.map_or(opinion, |before| before.merge(opinion));
        self.opinions.insert(observer, merged);
        if self.opinions.len() > MAX_OBSERVERS {
            // A fixed order, so that the result does not depend on the order of arrival.
            let least = self.opinions.keys().copied().min_by_key(|&observer| (server.weight(observer), observer));
            if let Some(least) = least {
                self.opinions.swap_remove(&least);
            }
        }
        before.is_none_or(|before| before.version < merged.version) && self.opinions.contains_key(&observer)
    }

    /// The ways in which the server deviates according to one observer.
    fn deviations(&self, now: clock::Millis, opinion: &Opinion) -> Deviations {
        opinion.deviations_since(now, self.cleared_at)
    }

    /// Whether three other observers than `observer`, among those that are `eligible`, recently reported all the
    /// deviations of its opinion.
    fn is_superfluous(
        &self,
        now: clock::Millis,
        observer: Observer,
        opinion: &Opinion,
        eligible: impl Fn(Observer) -> bool,
    ) -> bool {
        let deviations = self.deviations(now, opinion);
        let fresh = |kind: Deviations| {
            let others = self.opinions.iter().filter(|(other, _)| **other != observer && eligible(**other));
            let is_fresh = |other: &Opinion| {
                self.deviations(now, other).contains(kind) && other.bad_at.is_some_and(|at| now.since(at) < FRESH)
            };
            others.filter(|(_, other)| is_fresh(other)).count()
        };
        Deviations::ALL.into_iter().filter(|&kind| deviations.contains(kind)).all(|kind| fresh(kind) >= AGREEING)
    }

    /// Whether an opinion is worth sending: it reports a deviation that not enough others report, or a recovery. The
    /// opinions of the observers that try the server are always sent, so that all hosts know who tries it.
    pub(super) fn is_needed(
        &self,
        now: clock::Millis,
        server: Incarnation,
        observer: Observer,
        opinion: &Opinion,
    ) -> bool {
        if self.deviations(now, opinion).is_empty() {
            return opinion.streak > 0 && opinion.streak_at >= self.cleared_at;
        }
        let is_trying = self.is_standing() && self.is_trying(now, server, observer);
        is_trying || !self.is_superfluous(now, observer, opinion, |_| true)
    }

    /// Whether an opinion that was queued is not worth sending any more, because enough observers that rank before this
    /// one agree. All hosts rank them alike, so of many opinions that began at the same time the same ones remain.
    pub(super) fn is_outranked(
        &self,
        now: clock::Millis,
        server: Incarnation,
        observer: Observer,
        opinion: &Opinion,
    ) -> bool {
        let weight = server.weight(observer);
        !self.deviations(now, opinion).is_empty()
            && self.is_superfluous(now, observer, opinion, |other| server.weight(other) > weight)
    }

    /// Whether `observer` is one of the two that try the server: it has a recent opinion, and fewer than two others
    /// that have one rank before it.
    fn is_trying(&self, now: clock::Millis, server: Incarnation, observer: Observer) -> bool {
        self.is_current(now, observer) && self.count_before(now, server, observer) < TRYING
    }

    fn is_current(&self, now: clock::Millis, observer: Observer) -> bool {
        self.opinions.get(&observer).is_some_and(|opinion| !opinion.is_expired(now))
    }

    /// Number of observers with a recent opinion that rank before `observer`.
    fn count_before(&self, now: clock::Millis, server: Incarnation, observer: Observer) -> usize {
        let weight = server.weight(observer);
        let current = self.opinions.iter().filter(|(_, opinion)| !opinion.is_expired(now));
        current.filter(|(other, _)| server.weight(**other) > weight).count()
    }

    /// Removes expired opinions. Returns whether anything is left.
    pub(super) fn expire(&mut self, now: clock::Millis) -> bool {
        self.opinions.retain(|_, opinion| !opinion.is_expired(now));
        !self.opinions.is_empty() || self.formed.is_some()
    }

    /// Updates the standing from the opinions; `local` is this host as an observer.
    pub(super) fn assess(&mut self, now: clock::Millis, server: Incarnation, local: Observer) {
        self.update_standing(now, local);
        let may_try = self.tries || self.is_current(now, local);
        self.tries = self.formed.is_some() && may_try && self.count_before(now, server, local) < TRYING;
    }

    fn update_standing(&mut self, now: clock::Millis, local: Observer) {
        self.update_bad_at(local);
        self.update_cleared_at(now);
        if self.is_cleared() || now.since(self.bad_at) >= HOLD {
            self.formed = None;
        }
        let agreed = self.agreed(now, local);
        let before = self.formed.map(|formed| formed.agreed);
        if before.is_none() && agreed.is_empty() {
            return;
        }
        let agreed = Deviations(agreed.0 | before.unwrap_or_default().0);
        if let Some(formed) = self.summarize(now, agreed) {
            self.formed = Some(formed);
        }
    }

    fn update_bad_at(&mut self, local: Observer) {
        let (mut newest, mut second) = (clock::Millis::ZERO, clock::Millis::ZERO);
        for at in self.opinions.values().filter_map(|opinion| opinion.bad_at) {
            second = second.max(newest.min(at));
            newest = newest.max(at);
        }
        self.corroborated_at = self.corroborated_at.max(second);
        let is_corroborated = self.corroborated_at > clock::Millis::ZERO;
        let latest = if is_corroborated { newest.min(self.corroborated_at + UNCONFIRMED) } else { clock::Millis::ZERO };
        let own = self.opinions.get(&local).and_then(|opinion| opinion.bad_at).unwrap_or_default();
        self.bad_at = self.bad_at.max(latest).max(own);
    }

    /// Voids earlier results if the observers together have enough consecutive answers after the newest bad result.
    fn update_cleared_at(&mut self, now: clock::Millis) {
        let (mut answers, mut since) = (0, clock::Millis::MAX);
        for opinion in self.opinions.values() {
            if opinion.streak > 0 && opinion.streak_at > self.bad_at && !opinion.is_expired(now) {
                answers += opinion.streak;
                since = since.min(opinion.streak_at);
            }
        }
        if answers >= RECOVERY_ANSWERS {
            self.cleared_at = self.cleared_at.max(since);
        }
    }

    /// The deviations on which enough observers agree.
    fn agreed(&self, now: clock::Millis, local: Observer) -> Deviations {
        let own = self.opinions.get(&local).map_or(Deviations::NONE, |opinion| self.deviations(now, opinion));
        let mut agreed = Deviations::NONE;
        for kind in Deviations::ALL {
            let is_reported = |opinion: &Opinion| self.deviations(now, opinion).contains(kind);
            let others =
                self.opinions.iter().filter(|(other, opinion)| **other != local && is_reported(opinion)).count();
            if others >= AGREEING || own.contains(kind) && others > 0 {
                agreed = Deviations(agreed.0 | kind.0);
            }
        }
        agreed
    }

    /// The levels of all current opinions, weighted by their attempts; `None` if none reports a deviation.
    fn summarize(&self, now: clock::Millis, agreed: Deviations) -> Option<Formed> {
        let (mut deviating, mut silent) = (0, 0);
        let (mut weights, mut rejection, mut failure, mut log_slowness) = (0.0, 0.0, 0.0, 0.0);
        for opinion in self.opinions.values().filter(|opinion| !opinion.is_expired(now)) {
            let deviations = self.deviations(now, opinion);
            deviating += usize::from(!deviations.is_empty());
            silent += usize::from(deviations.contains(Deviations::SILENT));
            let weight = opinion.levels.attempt_count().clamp(0.25, MAX_WEIGHT);
            weights += weight;
            rejection += weight * opinion.levels.rejection_fraction();
            failure += weight * opinion.levels.failure_fraction();
            log_slowness += weight * opinion.levels.log_slowness();
        }
        let is_silent = agreed.contains(Deviations::SILENT) && 2 * silent >= deviating;
        (deviating > 0).then(|| Formed {
            agreed,
            rejection: rejection / weights,
            failure: failure / weights,
            log_slowness: log_slowness / weights,
            is_silent,
        })
    }

    /// Whether this host has recent attempts of its own, enough to decide alone, and finds no deviation.
    fn is_overruled(&self, now: clock::Millis, local: Observer) -> bool {
        self.opinions.get(&local).is_some_and(|own| {
            now.since(own.sampled_at) < OWN_AGE
                && own.levels.attempt_count() >= OWN_ATTEMPTS
                && self.deviations(now, own).is_empty()
        })
    }

    /// The standing on this host.
    pub(super) fn standing(&self, now: clock::Millis, local: Observer) -> Option<Standing> {
        let formed = self.formed.filter(|_| !self.is_overruled(now, local))?;
        let round = |level: f64, steps: f64| (level * steps).round() / steps;
        Some(Standing {
            rejection: round(formed.rejection, PUBLISHED_STEPS),
            failure: round(formed.failure, PUBLISHED_STEPS),
            slowness: round(formed.log_slowness, PUBLISHED_SLOWNESS_STEPS).exp2(),
            is_silent: formed.is_silent,
            may_try: self.tries,
        })
    }
}
