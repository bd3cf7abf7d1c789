//! Tests of the rate limiter.

use super::*;
use std::future::Future;
use std::task::Poll;

#[tokio::test(start_paused = true)]
async fn housekeeping_leaves_room_for_renewals() {
    let limiter = RateLimiter::new(10.0, 10.0);
    let mut taken = 0;
    while limiter.try_take(RequestClass::Housekeeping, 1.0).is_ok() {
        taken += 1;
    }
    assert_eq!(taken, 5);
    assert!(limiter.try_take(RequestClass::Lease, 1.0).is_ok());
    let start = Instant::now();
    limiter.take(RequestClass::Completion, 2.0).await;
    assert!(start.elapsed() > Duration::from_millis(50));
}

#[tokio::test(start_paused = true)]
async fn many_submissions_at_once_find_the_burst_that_nobody_used() {
    let limiter = RateLimiter::new(12.0, 12.0 * 5.0);
    let start = Instant::now();
    for _ in 0..50 {
        limiter.take(RequestClass::Submission, 1.0).await;
    }
    assert!(start.elapsed() < Duration::from_millis(10));
    limiter.take(RequestClass::Submission, 10.0).await;
    assert!(start.elapsed() > Duration::from_millis(100), "but no more than that");
}

#[tokio::test(start_paused = true)]
async fn hundreds_that_wait_are_served_in_order_of_use_and_arrival_and_wake_once_each() {
    let limiter = RateLimiter::new(100.0, 1.0);
    let served = RefCell::new(Vec::new());
    let waits = (0..300).map(|n| {
        let (limiter, served) = (&limiter, &served);
        let class = if n % 3 == 0 { RequestClass::Claim } else { RequestClass::Completion };
        async move {
            limiter.take(class, 1.0).await;
            served.borrow_mut().push((class, n));
        }
    });
    let mut waits: Vec<_> = waits.map(Box::pin).collect();
    // One that gives up leaves its place to the next.
    let mut polls = 0_u32;
    let started = Instant::now();
    let mut given_up = Some(Box::pin(limiter.take(RequestClass::Lease, 1.0)));
    std::future::poll_fn(|context| {
        polls += 1;
        if let Some(first) = &mut given_up {
            let _ = first.as_mut().poll(context);
        }
        waits.retain_mut(|wait| wait.as_mut().poll(context).is_pending());
        given_up = None;
        if waits.is_empty() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
    let served = served.borrow().clone();
    let mut in_order = served.clone();
    in_order.sort();
    assert_eq!(served, in_order);
    // One timer for each token, not one for each token and waiter.
    assert!(polls < 1500, "{polls}");
}
