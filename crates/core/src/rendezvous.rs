//! Rendezvous hashing: all hosts rank the same names in the same order without communication.
//!
//! See Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998). Removing a
//! name reassigns only the keys that it owned.

use std::cmp;

use xxhash_rust::xxh3;

/// The weight of `name` for `key`; the name with the greatest weight owns the key.
pub fn weight(key: &str, name: &str) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), xxh3::xxh3_64(key.as_bytes()))
}

/// Sorts `names` by descending weight for `key`; ties are broken by name.
pub fn rank<T: AsRef<str>>(key: &str, names: &mut [T]) {
    names.sort_by_cached_key(|name| (cmp::Reverse(weight(key, name.as_ref())), name.as_ref().to_owned()));
}
