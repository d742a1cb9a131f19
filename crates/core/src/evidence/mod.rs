//! Evidence about backend servers that hosts share.
//!
//! The load pattern: for some seconds, half of all servers reject most requests while each shard keeps a healthy one.
//! With 24 hosts, each sees a given server once in a second or two, and its own samples lose half of their weight in
//! the meantime, so each host alone learns the state of a server too late. Together they see it many times a second.
//!
//! Each host observes the servers that it sends requests to ([`Tally`] in the lanes). It reports only servers that
//! deviate from the usual, and passes on what others report. A [`Table`] holds these opinions and derives a
//! [`Standing`] for each server on which several observers agree. Nothing is sent while all servers are healthy.
//!
//! Messages carry ages and no clock readings. Opinions merge in any order with the same result, so lost, duplicate and
//! late messages do no harm.

mod counts;
mod entry;
mod key;
mod opinion;
mod policy;
mod record;
mod table;
mod tally;

pub use counts::{Counts, Deviations};
pub use key::{Incarnation, Observer, keys};
pub use opinion::{Levels, Opinion, Version};
pub use policy::Policy;
pub use record::{Record, Update};
pub use table::Table;
pub use tally::{Attempt, Sample, Tally};

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use crate::clock;

/// Time after which an opinion expires, in ms.
pub const EXPIRY: clock::Millis = clock::Millis(3000);
/// Number of consecutive answers that show that a server has recovered.
pub const RECOVERY_ANSWERS: u8 = 3;

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

/// What a host knows of a server with a standing, for its status.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the server.
    pub server: CompactString,
    /// Its standing on this host.
    pub standing: Standing,
    /// Number of observers whose opinions are known, this host included.
    pub observers: usize,
}
