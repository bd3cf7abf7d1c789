//! Tests of the rate limiter.

use super::*;
use std::future::Future;
use std::task::Poll;

#[tokio::test(start_paused = true)]
async fn housekeeping_leaves_tokens_for_lease_renewals() {
    let limiter = RateLimiter::new(10.0, 10.0);
    let mut acquired = 0;
    while limiter.try_acquire(RequestClass::Housekeeping, 1.0).is_ok() {
        acquired += 1;
    }
    assert_eq!(acquired, 5);
    assert!(limiter.try_acquire(RequestClass::Lease, 1.0).is_ok());
    let start = Instant::now();
    limiter.acquire(RequestClass::Completion, 2.0).await;
    assert!(start.elapsed() > Duration::from_millis(50));
}

#[tokio::test(start_paused = true)]
async fn many_simultaneous_submissions_use_the_unused_burst() {
    let limiter = RateLimiter::new(12.0, 12.0 * 5.0);
    let start = Instant::now();
    for _ in 0..50 {
        limiter.acquire(RequestClass::Submission, 1.0).await;
    }
    assert!(start.elapsed() < Duration::from_millis(10));
    limiter.acquire(RequestClass::Submission, 10.0).await;
    assert!(start.elapsed() > Duration::from_millis(100), "requests above the burst have to wait");
}

#[tokio::test(start_paused = true)]
async fn waiting_requests_are_served_by_class_and_arrival_and_wake_about_once_each() {
    let limiter = RateLimiter::new(100.0, 1.0);
    let served = RefCell::new(Vec::new());
    let requests = (0..300).map(|n| {
        let (limiter, served) = (&limiter, &served);
        let class = if n % 3 == 0 { RequestClass::Claim } else { RequestClass::Completion };
        async move {
            limiter.acquire(class, 1.0).await;
            served.borrow_mut().push((class, n));
        }
    });
    let mut pending: Vec<_> = requests.map(Box::pin).collect();
    let mut polls = 0_u32;
    let started = Instant::now();
    // The first request in the queue is cancelled, which must wake the next one.
    let mut cancelled = Some(Box::pin(limiter.acquire(RequestClass::Lease, 1.0)));
    std::future::poll_fn(|context| {
        polls += 1;
        if let Some(request) = &mut cancelled {
            let _ = request.as_mut().poll(context);
        }
        pending.retain_mut(|request| request.as_mut().poll(context).is_pending());
        cancelled = None;
        if pending.is_empty() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
    let served = served.borrow().clone();
    let mut expected = served.clone();
    expected.sort();
    assert_eq!(served, expected);
    // Each token wakes one waiting request, not all of them.
    assert!(polls < 1500, "{polls}");
}
