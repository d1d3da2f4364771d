//! What a controller keeps in memory while a giant job runs, by counting live allocations.

mod support;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use support::World;

/// Bytes that are allocated now.
static LIVE: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, counted.
struct Counted;

// SAFETY: every call is handed on unchanged to the system's allocator; counting touches an atomic
// number only.
unsafe impl GlobalAlloc for Counted {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(memory, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counted = Counted;

/// Most that three controllers together may grow by while a giant job runs.
const GROWTH: usize = 3 << 20;

#[test]
fn a_giant_job_costs_a_controller_no_more_memory_than_what_runs_of_it() {
    let mut w = World::settled(1, 3, 8);
    w.cloud_up = false;
    w.run_ms = 1000;
    let mut giant = w.spec(100_000);
    (giant.team, giant.cpus, giant.memory_gb) = ("guest".into(), 0.25, 0.1);
    giant.estimate_s = 1.0;
    w.run(5000);
    w.store.clear_history();
    let before = LIVE.load(Ordering::Relaxed);
    let giant = w.submit(1, giant);
    let mut largest = 0;
    for _ in 0..30 {
        w.run(2000);
        // The fakes' own records grow with time.
        w.store.clear_history();
        w.starts = Vec::new();
        largest = largest.max(LIVE.load(Ordering::Relaxed).saturating_sub(before));
    }
    assert!(w.done_task_count(&giant) > 500, "it runs");
    assert!(largest < GROWTH, "{largest} bytes more than without it");
    w.assert_no_violations();
}
