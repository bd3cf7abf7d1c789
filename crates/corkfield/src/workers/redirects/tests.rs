use super::*;

async fn advance(time: Duration) {
    tokio::time::advance(time).await;
}

#[tokio::test(start_paused = true)]
async fn heartbeats_of_a_worker_that_returns_soon_are_relayed_for_the_relay_period() {
    let workers = RedirectedWorkers::default();
    assert_eq!(workers.route_heartbeat("m"), HeartbeatRoute::Redirect);
    advance(RETURN_WINDOW).await;
    assert_eq!(
        workers.route_heartbeat("m"),
        HeartbeatRoute::Redirect,
        "the worker may have reached the leader"
    );
    let heartbeat_interval = Duration::from_secs(5);
    for _ in 0..=RELAY_PERIOD.as_secs() / heartbeat_interval.as_secs() {
        advance(heartbeat_interval).await;
        assert_eq!(workers.route_heartbeat("m"), HeartbeatRoute::Relay);
    }
    assert_eq!(
        workers.route_heartbeat("other"),
        HeartbeatRoute::Redirect,
        "workers are tracked separately"
    );
    advance(heartbeat_interval).await;
    assert_eq!(
        workers.route_heartbeat("m"),
        HeartbeatRoute::Redirect,
        "the worker is sent to the leader again"
    );
    advance(heartbeat_interval).await;
    assert_eq!(workers.route_heartbeat("m"), HeartbeatRoute::Relay);
}

#[tokio::test(start_paused = true)]
async fn tracked_workers_are_limited_in_number_and_expire() {
    let workers = RedirectedWorkers::default();
    for number in 0..=MAX_TRACKED_WORKERS {
        workers.route_heartbeat(&format!("m-{number}"));
    }
    assert_eq!(workers.workers.borrow().len(), MAX_TRACKED_WORKERS);
    assert_eq!(workers.route_heartbeat("m-0"), HeartbeatRoute::Relay);
    advance(RETURN_WINDOW).await;
    workers.route_heartbeat("m-0");
    assert_eq!(workers.workers.borrow().len(), 1);
}
