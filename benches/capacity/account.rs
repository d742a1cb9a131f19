//! Bytes that are allocated and not freed, counted at the allocator.
#![expect(unsafe_code, reason = "a global allocator can be written in no other way; it only counts and passes on")]

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering},
};

struct Counting;

static HELD: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call is passed on to the system's allocator with its arguments as they came.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the pointer came from `alloc` above, with this layout.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// Bytes held now.
pub(crate) fn held() -> usize {
    HELD.load(Ordering::Relaxed)
}
