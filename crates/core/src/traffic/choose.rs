//! Replica selection for attempts.
//!
//! Replicas are first ranked by the conditions that would make an attempt there useless; expected latency only
//! decides between replicas of equal rank. Small latency differences are noise, and following them would send
//! all traffic to one server, so the choice within a band is random. With `expected_time`, all replicas are
//! compared by the estimate of `estimate`.

use std::sync::Arc;

use compact_str::CompactString;
use rand::Rng;

use crate::{clock, id, mutant, rendezvous, view};

use super::{estimate, query};

/// How long after mixed replies queries still pick a snapshot before they start.
const ROLLOUT_WINDOW: clock::Millis = clock::Millis(10_000);
/// Rank of a replica that has no free capacity for this host.
const NO_CAPACITY: u8 = 2;

impl super::Core {
    /// Selects an open replica for a shard. Prefers replicas that are untried, available and hold the wanted
    /// snapshot; of two random ones of equal rank, takes the one with the lower expected latency. Returns
    /// `None` if none is eligible.
    pub(super) fn choose(&mut self, query: id::Query, shard_index: u32) -> Option<id::Server> {
        let row = self.queries.get(query.0)?;
        let view = Arc::clone(&row.view);
        let class = &view.classes[row.selector];
        let state = row.shards[shard_index as usize];
        let want = row.want;
        let replicas = &row.target(shard_index).replicas;
        if !class.idempotent && row.key.is_some() {
            return self.choose_by_key(query, shard_index);
        }
        if self.has_estimate(row, shard_index) {
            return self.choose_by_estimate(query, shard_index);
        }
        let may_try_more = class.max_servers.is_none_or(|max| state.reached_servers() < usize::from(max));
        let mut best: Option<(u8, view::Distance, u32, id::Server)> = None;
        let mut second: Option<(u8, view::Distance, u32, id::Server)> = None;
        for &id in replicas {
            let may_send = self.is_open(id) && self.servers[id.index()].warm_up.may_send(self.now);
            if !may_send || !self.is_in_home_region(&class.name, id) || !may_try_more && !state.was_tried(id) {
                continue;
            }
            let rank = self.rank(id, &state, want);
            let candidate = (rank, self.distance(id), self.random.random::<u32>(), id);
            if best.is_none_or(|current| candidate < current) {
                second = best.replace(candidate);
                continue;
            }
            if second.is_none_or(|current| candidate < current) {
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

    /// Whether the shard's replicas are compared by estimate. Hosts to which requests are relayed are not.
    fn has_estimate(&self, row: &query::Query, shard_index: u32) -> bool {
        if !self.policy.expected_time || row.is_forwarded {
            return false;
        }
        let open = row.target(shard_index).replicas.iter().filter(|&&id| self.is_open(id)).count();
        open >= self.policy.min_replicas as usize
    }

    /// Like [`Self::choose`], of all replicas by the expected time to a usable answer.
    fn choose_by_estimate(&mut self, query: id::Query, shard_index: u32) -> Option<id::Server> {
        let row = self.queries.get(query.0)?;
        let state = row.shards[shard_index as usize];
        let view = Arc::clone(&row.view);
        let class = &view.classes[row.selector];
        let (class_index, want) = (row.class, row.want);
        let context = self.estimate_context(class_index, class, &state);
        let (servers, replicas) = self.eligible_replicas(class_index, class, row.target(shard_index), &state, want);
        let draw = self.random.random::<u32>();
        let chosen = estimate::choose(&replicas, &context, draw)?;
        let is_far = replicas[chosen].distance != view::Distance::Near;
        let mut untried = servers.iter().zip(&replicas).filter(|(id, _)| !state.was_tried(**id));
        let has_near = untried.any(|(_, replica)| replica.distance == view::Distance::Near);
        self.stats.far_choices += u64::from(is_far && has_near);
        let is_by_standing = estimate::is_decided_by_standing(&replicas, &context, draw, chosen);
        self.stats.standing_choices += u64::from(is_by_standing);
        servers.get(chosen).copied()
    }

    /// Name, evidence and present estimate of the replicas of a shard that a first attempt of the class may be sent to.
    pub fn estimates(&self, class: &str, shard: &str) -> Vec<(CompactString, estimate::Replica, estimate::Estimate)> {
        let (Some(published), Some(index)) = (self.view.classes.get(class), self.classes.get_index_of(class)) else {
            return Vec::new();
        };
        let mut targets = published.branches.iter().flat_map(|branch| &branch.targets);
        let Some(target) = targets.find(|target| target.shard == shard) else {
            return Vec::new();
        };
        let state = query::Shard::default();
        let context = self.estimate_context(index, published, &state);
        let (servers, replicas) = self.eligible_replicas(index, published, target, &state, None);
        let estimate = |(id, replica): (id::Server, estimate::Replica)| {
            let estimate = replica.estimate(&context);
            (self.server_name(id), replica, estimate)
        };
        servers.into_iter().zip(replicas).map(estimate).collect()
    }

    fn estimate_context(&self, class_index: usize, class: &view::Class, shard: &query::Shard) -> estimate::Context {
        let reached = shard.reached_servers() + 1;
        estimate::Context {
            now: self.now,
            usual: self.classes[class_index].median_attempt_time(false).0.max(1) as f64,
            far_cost: self.policy.far_cost,
            score_band: self.policy.score_band,
            is_last: class.max_servers.is_some_and(|max| reached >= usize::from(max)),
        }
    }

    /// The replicas that an attempt may be sent to, with what is known of each.
    fn eligible_replicas(
        &self,
        class_index: usize,
        class: &view::Class,
        target: &view::Target,
        shard: &query::Shard,
        want: Option<view::Snapshot>,
    ) -> (Vec<id::Server>, Vec<estimate::Replica>) {
        let priority = usize::from(class.priority).min(view::Class::PRIORITIES - 1);
        let median = self.classes[class_index].median_attempt_time(false);
        let may_try_more = class.max_servers.is_none_or(|max| shard.reached_servers() < usize::from(max));
        let mut servers = Vec::new();
        let mut replicas = Vec::new();
        for &id in &target.replicas {
            let may_send = self.is_open(id) && self.servers[id.index()].warm_up.may_send(self.now);
            if !may_send || !self.is_in_home_region(&class.name, id) || !may_try_more && !shard.was_tried(id) {
                continue;
            }
            let state = &self.servers[id.index()];
            // A hedge is not queued, so a server without capacity is of no use to it.
            let lacks_capacity = shard.live_count() > 0 && !state.has_capacity(self.now);
            servers.push(id);
            replicas.push(estimate::Replica {
                rank: self.hard_rank(id, shard, want) + u8::from(lacks_capacity) * NO_CAPACITY,
                distance: self.distance(id),
                wait: self.wait_at_server(id, priority, median).0 as f64,
                load: state.load(self.now, self.policy.reported_load_weight),
                slots: state.slots,
                own: state.samples,
                standing: self.server_standing(id).copied(),
            });
        }
        (servers, replicas)
    }

    fn distance(&self, id: id::Server) -> view::Distance {
        self.view.server(id).map_or(view::Distance::Far, |server| server.distance)
    }

    /// Expected cost of an attempt at `id`: its latency, weighted by `far_cost` if the reply crosses data
    /// centres.
    fn score(&self, id: id::Server) -> f64 {
        let score = self.servers[id.index()].score(self.now, self.policy.reported_load_weight);
        match self.distance(id) {
            view::Distance::Near => score,
            view::Distance::Far | view::Distance::Last => score * self.policy.far_cost,
        }
    }

    /// Rank of a replica; lower is better. Ranks are kept apart so that load only decides between equals.
    fn rank(&self, id: id::Server, shard: &query::Shard, want: Option<view::Snapshot>) -> u8 {
        let has_no_capacity = self.policy.prefer_room && !self.servers[id.index()].has_capacity(self.now);
        self.hard_rank(id, shard, want) + u8::from(has_no_capacity) * NO_CAPACITY
    }

    /// The rank without regard to capacity.
    fn hard_rank(&self, id: id::Server, shard: &query::Shard, want: Option<view::Snapshot>) -> u8 {
        let state = &self.servers[id.index()];
        let was_tried = shard.was_tried(id);
        let is_avoided = state.is_ejected(self.now) && self.policy.ejection || state.is_silent(self.now);
        let lacks_snapshot = want.is_some_and(|want| state.snapshots[0].is_some() && !state.has_snapshot(want));
        let has_no_share = state.share == 0;
        let is_last_resort = self.distance(id) == view::Distance::Last;
        let is_cold = state.warm_up.is_cold(self.now);
        u8::from(was_tried) * 64
            + u8::from(has_no_share) * 32
            + u8::from(is_avoided) * estimate::AVOIDED
            + u8::from(is_last_resort) * 8
            + u8::from(lacks_snapshot) * 4
            + u8::from(is_cold)
    }

    /// Returns the replica that owns the request key on every host with the same view, so that the server can
    /// refuse a duplicate that arrived through another host.
    fn choose_by_key(&self, query: id::Query, shard_index: u32) -> Option<id::Server> {
        let row = self.queries.get(query.0)?;
        let key = row.key.as_ref()?;
        let target = row.target(shard_index);
        let mut best: Option<(u64, id::Server)> = None;
        for &id in &target.replicas {
            let Some(published) = self.view.server(id) else {
                continue;
            };
            if !self.is_open(id) || !self.servers[id.index()].warm_up.may_send(self.now) {
                continue;
            }
            let candidate = (rendezvous::weight(key, &published.name), id);
            if best.is_none_or(|current| candidate > current) {
                best = Some(candidate);
            }
        }
        best.map(|(_, id)| id)
    }

    /// Whether new work may go to `id` under the current view, which may be newer than the query's.
    pub(super) fn is_open(&self, id: id::Server) -> bool {
        if mutant::is(mutant::Mutant::ChooseLeaving) {
            return self.view.server(id).is_some();
        }
        self.view.is_open(id) && !self.servers[id.index()].is_replaced
    }

    /// Whether requests of `class` may go to `id` under the current view. Operators may have changed the
    /// class's home regions since the query began, and queued work was dispatched under the previous view.
    pub(super) fn is_in_home_region(&self, class: &str, id: id::Server) -> bool {
        let Some(class) = self.view.classes.get(class).filter(|class| !class.homes.is_empty()) else {
            return true;
        };
        self.view.server(id).is_some_and(|server| class.allows_region(&server.region))
    }

    /// During a snapshot rollout, fixes the query's snapshot at the start to the one available on most shards.
    pub(super) fn pick_snapshot(&mut self, query: id::Query) {
        let Some(row) = self.queries.get(query.0) else {
            return;
        };
        if self.classes[row.class].rollout_until < self.now {
            return;
        }
        let epoch = row.selector().epoch;
        let mut counts: Vec<(view::Snapshot, usize)> = Vec::new();
        for target in row.targets() {
            let mut available: Vec<view::Snapshot> = Vec::new();
            for &id in &target.replicas {
                if !self.is_open(id) {
                    continue;
                }
                let snapshots = self.servers[id.index()].snapshots;
                available.extend(snapshots.iter().flatten().filter(|snapshot| snapshot.epoch == epoch));
            }
            available.sort_unstable();
            available.dedup();
            for snapshot in available {
                match counts.iter_mut().find(|(other, _)| *other == snapshot) {
                    Some((_, shards)) => *shards += 1,
                    None => counts.push((snapshot, 1)),
                }
            }
        }
        let want = counts.into_iter().max_by_key(|&(snapshot, shards)| (shards, snapshot));
        if let Some(row) = self.queries.get_mut(query.0) {
            row.want = want.map(|(snapshot, _)| snapshot);
        }
    }

    /// Records mixed replies: for a while, new queries of the class pick their snapshot before they start.
    pub(super) fn record_rollout(&mut self, class: usize) {
        self.classes[class].rollout_until = self.now + ROLLOUT_WINDOW;
    }
}
