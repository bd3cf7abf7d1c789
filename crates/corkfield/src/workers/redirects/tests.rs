use super::*;

async fn advance(time: Duration) {
    tokio::time::advance(time).await;
}

#[tokio::test(start_paused = true)]
async fn heartbeats_of_a_worker_that_comes_back_are_relayed_for_a_while() {
    let workers = RedirectedWorkers::default();
    assert_eq!(workers.record_visit("m"), Route::Redirect);
    advance(BACK_SOON).await;
    assert_eq!(workers.record_visit("m"), Route::Redirect, "it may have reached the leader");
    let heartbeat_interval = Duration::from_secs(5);
    for _ in 0..=RELAY_PERIOD.as_secs() / heartbeat_interval.as_secs() {
        advance(heartbeat_interval).await;
        assert_eq!(workers.record_visit("m"), Route::Relay);
    }
    assert_eq!(workers.record_visit("other"), Route::Redirect, "each worker for itself");
    advance(heartbeat_interval).await;
    assert_eq!(workers.record_visit("m"), Route::Redirect, "it tries the leader again");
    advance(heartbeat_interval).await;
    assert_eq!(workers.record_visit("m"), Route::Relay);
}

#[tokio::test(start_paused = true)]
async fn a_bounded_number_of_workers_is_remembered_for_a_bounded_time() {
    let workers = RedirectedWorkers::default();
    for number in 0..=MAX_REDIRECTED {
        workers.record_visit(&format!("m-{number}"));
    }
    assert_eq!(workers.visitors.borrow().len(), MAX_REDIRECTED);
    assert_eq!(workers.record_visit("m-0"), Route::Relay);
    advance(BACK_SOON).await;
    workers.record_visit("m-0");
    assert_eq!(workers.visitors.borrow().len(), 1);
}
