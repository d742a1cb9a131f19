//! Arrivals at the shards, against the bound on extra ones.

/// Length of the windows of the bound, in ms.
const WINDOW: u64 = 10_000;
/// Extra arrivals that the bound allows for each request.
const RATIO: f64 = 0.2;

/// Times of the arrivals at one shard, in ms, in order.
#[derive(Clone, Debug, Default)]
pub struct Arrivals {
    first: Vec<u64>,
    extra: Vec<u64>,
}

impl Arrivals {
    /// Records an arrival; `is_extra` if the request has reached the shard before.
    pub fn record(&mut self, now: u64, is_extra: bool) {
        let times = if is_extra { &mut self.extra } else { &mut self.first };
        times.push(now);
    }

    /// The largest number of extra arrivals in any window, less the part that the ratio allows for the requests of the
    /// window.
    pub fn max_slack_used(&self) -> f64 {
        let mut max: f64 = 0.0;
        for (start, &from) in self.extra.iter().enumerate() {
            let end = self.extra.partition_point(|&at| at < from + WINDOW);
            for (count, &until) in (1..).zip(&self.extra[start..end]) {
                // Windows that hold these arrivals start with the first one at the latest and end with the last one at
                // the earliest.
                let requests = self.requests_from(from).min(self.requests_from((until + 1).saturating_sub(WINDOW)));
                max = max.max(f64::from(count) - RATIO * requests as f64);
            }
        }
        max
    }

    fn requests_from(&self, from: u64) -> usize {
        self.first.partition_point(|&at| at < from + WINDOW) - self.first.partition_point(|&at| at < from)
    }
}
