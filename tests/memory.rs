//! Memory use of controllers while a job of 100,000 tasks runs, measured by counting live allocations. It
//! would grow with the job if controllers kept data for each task that is not bound.

mod support;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use support::World;

/// Bytes currently allocated.
static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

/// The system allocator with a count of the allocated bytes.
struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system allocator; counting only updates an atomic.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(memory, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Most bytes by which the memory use of the three controllers together may grow while the job runs.
const MAX_GROWTH_BYTES: usize = 3 << 20;

#[test]
fn memory_does_not_grow_with_the_number_of_unbound_tasks() {
    let mut w = World::with_holders(1, 3, 8);
    w.cloud_up = false;
    w.run_ms = 1000;
    let mut large_job = w.spec(100_000);
    (large_job.team, large_job.cpus, large_job.memory_gb) = ("guest".into(), 0.25, 0.1);
    large_job.estimate_s = 1.0;
    w.run(5000);
    w.store.clear_history();
    let before = LIVE_BYTES.load(Ordering::Relaxed);
    let large_job = w.submit(1, large_job);
    let mut max_growth = 0;
    for _ in 0..30 {
        w.run(2000);
        // The records of the fakes grow with time and are not counted.
        w.store.clear_history();
        w.starts = Vec::new();
        max_growth = max_growth.max(LIVE_BYTES.load(Ordering::Relaxed).saturating_sub(before));
    }
    assert!(
        w.done_task_count(&large_job) > 500,
        "too few tasks were completed"
    );
    assert!(
        max_growth < MAX_GROWTH_BYTES,
        "memory grew by {max_growth} bytes"
    );
    w.assert_no_violations();
}
