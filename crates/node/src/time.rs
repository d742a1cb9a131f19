//! The node's clock: milliseconds since the process started.
//!
//! It counts on while the machine is suspended. The steady clock does not, so a process that slept
//! with its machine would hold its view, its deadlines and the answers on their way to be as young
//! as before. The time of day is not used for decisions: it may jump.

use std::time;

use nix::time::{ClockId, clock_gettime};
use rand::Rng;
use shallothub_core::clock;

/// The instant from which all threads of the process count.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    boot: time::Duration,
    start: u64,
}

impl Origin {
    /// Starts counting now.
    pub fn new() -> Self {
        Self { boot: since_boot(), start: rand::rng().random() }
    }

    /// The present instant; one at the start, so that zero can stand for "never".
    pub fn now(self) -> clock::Millis {
        clock::Millis(1 + since_boot().saturating_sub(self.boot).as_millis() as u64)
    }

    /// A random number that tells two lives of a host apart.
    pub fn start(self) -> u64 {
        self.start
    }
}

impl Default for Origin {
    fn default() -> Self {
        Self::new()
    }
}

/// Time since the machine started, suspended or not.
fn since_boot() -> time::Duration {
    // The call fails only for clocks that the kernel does not have, and this one is as old as the
    // kernels that the libraries ask for.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(time::Duration::from).unwrap_or_default()
}

/// A span as the standard library has it.
pub fn duration(span: clock::Millis) -> time::Duration {
    time::Duration::from_millis(span.0)
}
