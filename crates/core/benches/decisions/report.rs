//! Measurements of one run.

use shallothub_core::traffic::event;

#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) latencies: Vec<u64>,
    pub(crate) refusals: Vec<u64>,
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) failed: u64,
    pub(crate) coverage: f64,
    pub(crate) snapshot_mismatches: u64,
    pub(crate) mixed: u64,
    pub(crate) first: u64,
    pub(crate) arrivals: u64,
    pub(crate) connections_over_limit: u64,
    /// Number of answers in each second.
    pub(crate) answers_by_second: Vec<u64>,
}

fn quantile_ms(samples: &mut [u64], q: f64) -> f64 {
    if samples.is_empty() {
        return 0.0;
    }
    samples.sort_unstable();
    let rank = ((samples.len() - 1) as f64 * q).round() as usize;
    samples[rank] as f64 / 1000.0
}

impl Report {
    pub(crate) fn record(&mut self, now: u64, took: u64, outcome: event::Outcome, coverage: f64) {
        match outcome {
            event::Outcome::Answered => {
                self.answered += 1;
                self.latencies.push(took);
                self.coverage += coverage;
                let second = (now / 1_000_000) as usize;
                if self.answers_by_second.len() <= second {
                    self.answers_by_second.resize(second + 1, 0);
                }
                self.answers_by_second[second] += 1;
            }
            event::Outcome::NotRun => self.refusals.push(took),
            event::Outcome::Unknown => self.failed += 1,
        }
    }

    pub(crate) fn latency_ms(&mut self, q: f64) -> f64 {
        quantile_ms(&mut self.latencies, q)
    }

    /// Attempts that reached a leaf per first attempt.
    pub(crate) fn attempts_per_first(&self) -> f64 {
        self.arrivals as f64 / self.first.max(1) as f64
    }

    /// Mean answers per second in the interval `from..to`, in seconds.
    pub(crate) fn goodput(&self, from: usize, to: usize) -> f64 {
        let counts = self.answers_by_second.iter().skip(from).take(to - from);
        counts.sum::<u64>() as f64 / (to - from) as f64
    }

    pub(crate) fn print(&mut self, name: &str) {
        let coverage = self.coverage / self.answered.max(1) as f64;
        println!(
            "  {name:<34} p50 {:7.2} ms  p99 {:7.2} ms  answered {:6}/{:6}  refused {:6} (median {:.2} ms)  failed {:5}  coverage {coverage:.5}  attempts/first {:.4}  mixed {}  wrong {}  connections over {}",
            self.latency_ms(0.5),
            self.latency_ms(0.99),
            self.answered,
            self.requests,
            self.refusals.len(),
            quantile_ms(&mut self.refusals.clone(), 0.5),
            self.failed,
            self.attempts_per_first(),
            self.mixed,
            self.snapshot_mismatches,
            self.connections_over_limit,
        );
    }
}
