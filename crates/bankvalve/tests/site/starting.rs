//! Instances that start while other processes do.

use crate::test_site::TestSite;

/// Threads that start instances at once, as the tests of a theme do side by side.
const THREADS: usize = 8;
/// Instances that each of them starts, one after the other.
const STARTS: usize = 250;

#[test]
fn instances_that_start_side_by_side_all_listen() {
    let site = TestSite::start(0, 1);
    let count_failed = &|thread: usize| {
        let instances = thread * STARTS..(thread + 1) * STARTS;
        let failed = instances.filter(|index| !site.spawn(*index).listens());
        failed.count()
    };
    let failed: usize = std::thread::scope(|scope| {
        let threads = (0..THREADS).map(|thread| scope.spawn(move || count_failed(thread)));
        let threads = threads.collect::<Vec<_>>();
        let counts = threads.into_iter().map(|thread| thread.join());
        counts.map(|count| count.expect("a count")).sum()
    });
    assert_eq!(failed, 0, "of {} starts", THREADS * STARTS);
}
