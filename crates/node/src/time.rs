//! The node's clock: milliseconds since the process started.

use std::time;

use shallothub_core::clock;

/// The instant from which all threads of the process count.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    instant: time::Instant,
    unix_ms: u64,
}

impl Origin {
    /// Starts counting now.
    pub fn new() -> Self {
        let unix = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        Self { instant: time::Instant::now(), unix_ms: unix.as_millis() as u64 }
    }

    /// The present instant; one at the start, so that zero can stand for "never".
    pub fn now(self) -> clock::Millis {
        clock::Millis(1 + self.instant.elapsed().as_millis() as u64)
    }

    /// Wall time of the start, in ms; tells two lives of a host apart.
    pub fn start(self) -> u64 {
        self.unix_ms
    }
}

impl Default for Origin {
    fn default() -> Self {
        Self::new()
    }
}

/// A span as the standard library has it.
pub fn duration(span: clock::Millis) -> time::Duration {
    time::Duration::from_millis(span.0)
}
