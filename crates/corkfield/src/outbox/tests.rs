use super::*;

fn job_id(number: u32) -> JobId {
    JobId::parse(&format!("j-{number:06}")).expect("an id")
}

#[tokio::test(start_paused = true)]
async fn dropped_or_unacknowledged_notifications_prevent_attestation() {
    let outbox = CancellationOutbox::default();
    let retention = Duration::from_secs(30);
    assert!(outbox.has_acknowledged_all("a"));
    outbox.add("a", &job_id(1));
    assert!(!outbox.has_acknowledged_all("a") && outbox.has_acknowledged_all("b"));
    assert_eq!(outbox.take_due_jobs("a", retention), ["j-000001"]);
    assert!(
        outbox.take_due_jobs("a", retention).is_empty(),
        "a notification is not resent at once"
    );
    tokio::time::advance(RESEND_INTERVAL).await;
    assert_eq!(
        outbox.take_due_jobs("a", retention),
        ["j-000001"],
        "an unacknowledged notification is resent"
    );
    outbox.record_acknowledgement("a", &["nonsense".into(), "j-000002".into(), "j-000001".into()]);
    assert!(outbox.has_acknowledged_all("a"));
    // The peer may not know of a cancellation whose notification was dropped, because it was too
    // old or exceeded the maximum number.
    outbox.add("a", &job_id(3));
    tokio::time::advance(retention).await;
    assert!(outbox.take_due_jobs("a", retention).is_empty());
    assert!(!outbox.has_acknowledged_all("a"));
    outbox.record_store_read("a", now());
    assert!(!outbox.has_acknowledged_all("a"), "a read may have started before the drop");
    tokio::time::advance(Duration::from_millis(1)).await;
    outbox.record_store_read("a", now());
    assert!(outbox.has_acknowledged_all("a"));
    (0..=MAX_UNACKNOWLEDGED as u32).for_each(|number| outbox.add("a", &job_id(number)));
    let all: Vec<String> =
        (0..=MAX_UNACKNOWLEDGED as u32).map(|number| job_id(number).to_string()).collect();
    outbox.record_acknowledgement("a", &all);
    assert!(!outbox.has_acknowledged_all("a"));
}

#[tokio::test(start_paused = true)]
async fn cancelling_thousands_of_jobs_at_once_drops_no_notification() {
    let outbox = CancellationOutbox::default();
    let retention = Duration::from_secs(30);
    let all: Vec<String> = (0..9000).map(|number| job_id(number).to_string()).collect();
    (0..9000).for_each(|number| outbox.add("a", &job_id(number)));
    let mut sent = Vec::new();
    while sent.len() < all.len() {
        let due = outbox.take_due_jobs("a", retention);
        assert!(!due.is_empty(), "{} notifications were dropped", all.len() - sent.len());
        sent.extend(due);
    }
    outbox.record_acknowledgement("a", &sent);
    assert!(
        outbox.has_acknowledged_all("a"),
        "with a limit of 4,096 notifications the rest was dropped and attesting ended"
    );
}
