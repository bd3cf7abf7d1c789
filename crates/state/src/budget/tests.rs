//! Tests of the budget module.

use super::*;

#[tokio::test(start_paused = true)]
async fn housekeeping_leaves_room_for_renewals() {
    let budget = Budget::new(10.0, 10.0);
    let mut taken = 0;
    while budget.try_take(Use::Housekeeping, 1.0).is_none() {
        taken += 1;
    }
    assert_eq!(taken, 5);
    assert!(budget.try_take(Use::Lease, 1.0).is_none());
    let start = Instant::now();
    budget.take(Use::Settling, 2.0).await;
    assert!(start.elapsed() > Duration::from_millis(50));
}

#[tokio::test(start_paused = true)]
async fn many_submissions_at_once_find_the_burst_that_nobody_used() {
    let budget = Budget::new(12.0, 12.0 * 5.0);
    let start = Instant::now();
    for _ in 0..50 {
        budget.take(Use::Submission, 1.0).await;
    }
    assert!(start.elapsed() < Duration::from_millis(10));
    budget.take(Use::Submission, 10.0).await;
    assert!(start.elapsed() > Duration::from_millis(100), "but no more than that");
}
