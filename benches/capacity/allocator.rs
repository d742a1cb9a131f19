//! A global allocator that counts live bytes.
#![expect(unsafe_code, reason = "`GlobalAlloc` is an unsafe trait; this one only counts and delegates to `System`")]

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering},
};

struct Counter;

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is delegated to the system allocator with unchanged arguments.
unsafe impl GlobalAlloc for Counter {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the pointer was returned by `alloc` above for this layout.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counter = Counter;

/// Returns the number of bytes that are allocated and not yet freed.
pub(crate) fn live_bytes() -> usize {
    LIVE_BYTES.load(Ordering::Relaxed)
}
