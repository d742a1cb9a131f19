//! Evidence about backend servers that hosts share.

use serde::{Deserialize, Serialize};

/// How a backend server deviates from the usual, as several hosts have recently observed it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// Fraction of attempts that it rejects before running them, from 0 to 1.
    pub rejection: f64,
    /// Fraction of attempts that it fails or whose answer is lost, from 0 to 1.
    pub failure: f64,
    /// Its reply time, relative to the usual reply time of the class; 1 is usual.
    pub slowness: f64,
    /// Whether it does not reply at all.
    pub is_silent: bool,
    /// Whether this host may send it requests as if it were healthy, to find out whether it has recovered.
    pub may_try: bool,
}
