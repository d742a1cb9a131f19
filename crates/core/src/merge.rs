//! Top-k merge of the shards' records into one answer.
//!
//! A part is an unordered sequence of records of [`RECORD_BYTES`] bytes; a shorter remainder is ignored.
//! The answer has the greatest records of all parts in descending order, compared bytewise. Equal
//! records are all kept.

use std::{cmp, collections};

/// Size of a record in bytes.
pub const RECORD_BYTES: usize = 16;

/// The `top` greatest records of `parts`, in descending order.
pub fn greatest<'p>(parts: impl IntoIterator<Item = &'p [u8]>, top: usize) -> Vec<u8> {
    // With a min-heap, most records cost one comparison.
    let mut heap = collections::BinaryHeap::with_capacity(top.min(1024) + 1);
    for part in parts {
        for record in part.chunks_exact(RECORD_BYTES) {
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
    let mut merged = Vec::with_capacity(heap.len() * RECORD_BYTES);
    for cmp::Reverse(record) in heap.into_sorted_vec() {
        merged.extend_from_slice(record);
    }
    merged
}
