//! Merging the shards' records into one answer.
//!
//! A part is a run of records of [`RECORD`] bytes in no order; a remainder that is shorter is no
//! record. The answer is the greatest records of all parts, greatest first, compared byte by byte.
//! Equal records all count.

use std::{cmp, collections};

/// Bytes of a record.
pub const RECORD: usize = 16;

/// The `top` greatest records of `parts`, falling.
pub fn greatest<'p>(parts: impl IntoIterator<Item = &'p [u8]>, top: usize) -> Vec<u8> {
    // A heap whose least record is on top keeps the cost at one comparison for most records.
    let mut heap = collections::BinaryHeap::with_capacity(top.min(1024) + 1);
    for part in parts {
        for record in part.chunks_exact(RECORD) {
            if heap.len() < top {
                heap.push(cmp::Reverse(record));
                continue;
            }
            if let Some(mut least) = heap.peek_mut()
                && record > least.0
            {
                *least = cmp::Reverse(record);
            }
        }
    }
    let mut merged = Vec::with_capacity(heap.len() * RECORD);
    for cmp::Reverse(record) in heap.into_sorted_vec() {
        merged.extend_from_slice(record);
    }
    merged
}
