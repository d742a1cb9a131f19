//! Merging the greatest records of the shards, compared with sorting all records.

use rand::{Rng, SeedableRng, rngs};
use shallothub_core::merge;

fn sorted(parts: &[Vec<u8>], top: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.iter().flat_map(|part| part.chunks_exact(merge::RECORD_BYTES)).collect();
    records.sort_unstable();
    records.reverse();
    records.into_iter().take(top).flatten().copied().collect()
}

/// A small range of values makes equal records common, and lengths are often no multiple of the record size.
#[test]
fn merged_records_are_the_greatest_of_all() {
    for seed in 0..500 {
        let mut random = rngs::SmallRng::seed_from_u64(seed);
        let mut parts = Vec::new();
        for _ in 0..random.random_range(0..8) {
            let length = random.random_range(0..20 * merge::RECORD_BYTES);
            let values = random.random_range(1..=255u8);
            parts.push((0..length).map(|_| random.random_range(0..=values)).collect::<Vec<u8>>());
        }
        let top = random.random_range(0..40);
        let merged = merge::greatest(parts.iter().map(Vec::as_slice), top);
        assert_eq!(merged, sorted(&parts, top), "seed {seed}");
    }
}
