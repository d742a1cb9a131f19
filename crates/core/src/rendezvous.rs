//! Rendezvous hashing: every host ranks the same names alike, without talking to the others.
//!
//! Source of the idea: Thaler and Ravishankar, "Using name-based mappings to increase hit rates"
//! (1998). Losing a name moves only what that name held.

use std::cmp;

use xxhash_rust::xxh3;

/// The weight of `name` for `key`; the name with the greatest weight owns the key.
pub fn weight(key: &str, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}

/// Sorts `names` by falling weight for `key`; equal weights fall back to the names' order.
pub fn rank<T: AsRef<str>>(key: &str, names: &mut [T]) {
    names.sort_by_cached_key(|name| (cmp::Reverse(weight(key, name.as_ref())), name.as_ref().to_owned()));
}
