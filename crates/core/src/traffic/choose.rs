//! Which replica gets an attempt.
//!
//! Replicas are put into ranks by what would make an attempt there useless, and only among equals
//! does the expected time decide. Small differences of it are noise: all that follow them go to one
//! server, so inside a band chance decides.

use std::sync::Arc;

use rand::Rng;

use crate::{clock, id, mutant, rendezvous, view};

use super::query;

/// How long queries pick a snapshot before they start after replies were mixed.
const ROLLING: clock::Millis = clock::Millis(10_000);

impl super::Core {
    /// The replica for a shard: open, not tried yet, in use, preferably with the wanted snapshot;
    /// of two random ones that qualify, the one that should answer sooner.
    pub(super) fn choose(&mut self, query: id::Query, part: u32) -> Option<id::Server> {
        let row = self.queries.get(query.0)?;
        let view = Arc::clone(&row.view);
        let class = &view.classes[row.selector];
        let state = row.parts[part as usize];
        let want = row.want;
        let replicas = &row.target(part).replicas;
        if !class.idempotent && row.key.is_some() {
            return self.choose_by_key(query, part);
        }
        let may_try_more = class.max_servers.is_none_or(|most| state.servers() < usize::from(most));
        let mut best: Option<(u8, view::Distance, u32, id::Server)> = None;
        let mut second: Option<(u8, view::Distance, u32, id::Server)> = None;
        for &id in replicas {
            let may_send = self.is_open(id) && self.servers[id.index()].warm_up.may_send(self.now);
            if !may_send || !self.is_home(&class.name, id) || !may_try_more && !state.was_tried(id) {
                continue;
            }
            let rank = self.rank(id, &state, want);
            let candidate = (rank, self.distance(id), self.random.random::<u32>(), id);
            if best.is_none_or(|held| candidate < held) {
                second = best.replace(candidate);
                continue;
            }
            if second.is_none_or(|held| candidate < held) {
                second = Some(candidate);
            }
        }
        let (rank, .., first) = best?;
        let Some((second_rank, .., second)) = second else {
            return Some(first);
        };
        if second_rank != rank || !self.policy.two_choices {
            return Some(first);
        }
        let scores = [first, second].map(|id| self.score(id));
        Some(if scores[1] * self.policy.score_band < scores[0] { second } else { first })
    }

    fn distance(&self, id: id::Server) -> view::Distance {
        self.view.server(id).map_or(view::Distance::Far, |server| server.distance)
    }

    /// What an attempt at `id` is expected to cost: its time, and more if its bytes leave the data centre.
    fn score(&self, id: id::Server) -> f64 {
        let score = self.servers[id.index()].score(self.now, self.policy.reported_load_weight);
        match self.distance(id) {
            view::Distance::Near => score,
            view::Distance::Far | view::Distance::Last => score * self.policy.far_cost,
        }
    }

    /// Smaller is better. Classes of replicas are kept apart so that load decides only among equals.
    fn rank(&self, id: id::Server, part: &query::Part, want: Option<view::Snapshot>) -> u8 {
        let state = &self.servers[id.index()];
        let was_tried = part.was_tried(id);
        let is_out = state.is_ejected(self.now) && self.policy.ejection || state.is_silent(self.now);
        let lacks = want.is_some_and(|want| state.holds[0].is_some() && !state.holds(want));
        let is_full = state.share == 0;
        let is_last = self.distance(id) == view::Distance::Last;
        let has_no_room = self.policy.prefer_room && !state.has_room(self.now);
        let is_cold = state.warm_up.is_cold(self.now);
        u8::from(was_tried) * 64
            + u8::from(is_full) * 32
            + u8::from(is_out) * 16
            + u8::from(is_last) * 8
            + u8::from(lacks) * 4
            + u8::from(has_no_room) * 2
            + u8::from(is_cold)
    }

    /// The replica that owns the request key on every host that has the same view, so that the
    /// server can refuse a duplicate that came through another host.
    fn choose_by_key(&self, query: id::Query, part: u32) -> Option<id::Server> {
        let row = self.queries.get(query.0)?;
        let key = row.key.as_ref()?;
        let target = row.target(part);
        let mut best: Option<(u64, id::Server)> = None;
        for &id in &target.replicas {
            let Some(published) = self.view.server(id) else {
                continue;
            };
            if !self.is_open(id) || !self.servers[id.index()].warm_up.may_send(self.now) {
                continue;
            }
            let candidate = (rendezvous::weight(key, &published.name), id);
            if best.is_none_or(|held| candidate > held) {
                best = Some(candidate);
            }
        }
        best.map(|(_, id)| id)
    }

    /// Whether new work may go to `id` by the view in force, which may be newer than the query's.
    pub(super) fn is_open(&self, id: id::Server) -> bool {
        if mutant::is(mutant::Mutant::ChooseLeaving) {
            return self.view.server(id).is_some();
        }
        self.view.is_open(id) && !self.servers[id.index()].is_replaced
    }

    /// Whether requests of `class` may go to `id` by the view in force. Operators may have changed their homes since
    /// a query began, and what waits in a queue was chosen by the view before.
    pub(super) fn is_home(&self, class: &str, id: id::Server) -> bool {
        let Some(class) = self.view.classes.get(class).filter(|class| !class.homes.is_empty()) else {
            return true;
        };
        self.view.server(id).is_some_and(|server| class.allows_region(&server.region))
    }

    /// While versions roll, starts a query with the snapshot that most shards can give.
    pub(super) fn pick_snapshot(&mut self, query: id::Query) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        if self.classes[row.class].rolling_until < self.now {
            return;
        }
        let epoch = row.selector().epoch;
        let mut reach: Vec<(view::Snapshot, usize)> = Vec::new();
        for target in row.targets() {
            let mut seen: Vec<view::Snapshot> = Vec::new();
            for &id in &target.replicas {
                if !self.is_open(id) {
                    continue;
                }
                let held = self.servers[id.index()].holds;
                seen.extend(held.iter().flatten().filter(|snapshot| snapshot.epoch == epoch));
            }
            seen.sort_unstable();
            seen.dedup();
            for snapshot in seen {
                match reach.iter_mut().find(|(other, _)| *other == snapshot) {
                    Some((_, shards)) => *shards += 1,
                    None => reach.push((snapshot, 1)),
                }
            }
        }
        let want = reach.into_iter().max_by_key(|&(snapshot, shards)| (shards, snapshot));
        if let Some(row) = self.queries.get_mut(query.0) {
            row.want = want.map(|(snapshot, _)| snapshot);
        }
    }

    /// Replies are mixed: queries to come pick their snapshot before they start.
    pub(super) fn note_rolling(&mut self, class: usize) {
        self.classes[class].rolling_until = self.now + ROLLING;
    }
}
