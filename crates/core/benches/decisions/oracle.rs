//! The oracle: a lower bound that knows each leaf's queue and speed and sends each search to the slot
//! that finishes first. It needs no connections and never fails, so only the cost of the work remains.

use rand::{Rng, SeedableRng, rngs};

use crate::{fleet::Micros, report, run};
use shallothub_core::traffic::event;

pub(crate) fn run(setup: &run::Setup, seed: u64) -> report::Report {
    let size = setup.size;
    let mut random = rngs::SmallRng::seed_from_u64(seed);
    let mut slow = vec![1_u64; size.leaves()];
    let mut up = vec![true; size.leaves()];
    // The time at which each slot of each leaf becomes free.
    let mut free_at: Vec<Vec<Micros>> = vec![vec![0; size.slots]; size.leaves()];
    let mut changes = setup.changes.clone();
    changes.sort_by_key(|(at, _)| std::cmp::Reverse(*at));
    let mut report = report::Report::default();
    let mut now = 0.0_f64;
    while now < setup.end as f64 {
        let at = now as Micros;
        let rate = setup.rates.iter().rev().find(|(from, _)| *from <= at).map_or(1.0, |(_, rate)| *rate);
        while let Some((_, change)) = changes.pop_if(|(from, _)| *from <= at) {
            match change {
                run::Change::Slow(leaf, times) => slow[leaf] = times,
                run::Change::Lost(leaf) => up[leaf] = false,
                run::Change::Roll(_) | run::Change::HideLoad(_) => {}
            }
        }
        let arrive = at + size.link;
        let mut ends = Vec::new();
        for shard in 0..size.shards {
            let sample = (-(1.0 - random.random::<f64>()).ln()).min(10.0);
            let mut best: Option<(Micros, usize, usize)> = None;
            for leaf in shard * size.replicas..(shard + 1) * size.replicas {
                if !up[leaf] {
                    continue;
                }
                for (slot, at) in free_at[leaf].iter().enumerate() {
                    let end = (*at).max(arrive) + (size.service as f64 * slow[leaf] as f64 * sample) as Micros;
                    if best.is_none_or(|(earliest, ..)| end < earliest) {
                        best = Some((end, leaf, slot));
                    }
                }
            }
            if let Some((end, leaf, slot)) = best {
                ends.push((end, leaf, slot));
            }
        }
        let end = ends.iter().map(|(end, ..)| *end).max().unwrap_or(at) + size.link;
        let is_in_time = end - at <= size.deadline_ms * 1000;
        if is_in_time {
            for (end, leaf, slot) in ends {
                free_at[leaf][slot] = end;
            }
        }
        if at >= setup.warm_up {
            report.requests += 1;
            report.first += size.shards as u64;
            report.arrivals += size.shards as u64;
            let outcome = if is_in_time { event::Outcome::Answered } else { event::Outcome::NotRun };
            report.record(end, if is_in_time { end - at } else { 0 }, outcome, 1.0);
        }
        now += -(1.0 - random.random::<f64>()).ln() / rate * 1e6;
    }
    report
}
