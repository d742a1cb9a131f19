//! The node's clock: milliseconds since the process started.
//!
//! It keeps counting while the machine is suspended. The monotonic clock does not, so after a suspend
//! the process would treat its view, its deadlines and the pending replies as no older than before.
//! The wall clock is not used for decisions, because it may jump.

use std::time;

use nix::time::{ClockId, clock_gettime};
use rand::Rng;
use shallothub_core::clock;

/// The clock of all threads of the process, which counts from the same instant in each.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: time::Duration,
    incarnation: u64,
}

impl Clock {
    /// Creates a clock that counts from now.
    pub fn new() -> Self {
        Self { started_at: since_boot(), incarnation: rand::rng().random() }
    }

    /// The current time. It starts at one, so that zero can stand for "never".
    pub fn now(self) -> clock::Millis {
        clock::Millis(1 + since_boot().saturating_sub(self.started_at).as_millis() as u64)
    }

    /// A random number that distinguishes this run of the host's process from earlier ones.
    pub fn incarnation(self) -> u64 {
        self.incarnation
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// Time since the machine booted, including time suspended.
fn since_boot() -> time::Duration {
    // The call fails only for clocks that the kernel lacks; the oldest kernels that the libraries
    // support have this one.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(time::Duration::from).unwrap_or_default()
}

/// Converts a span to a standard library duration.
pub fn duration(span: clock::Millis) -> time::Duration {
    time::Duration::from_millis(span.0)
}
