use super::*;

fn id(number: u32) -> JobId {
    JobId::parse(&format!("j-{number:06}")).expect("an id")
}

#[tokio::test(start_paused = true)]
async fn only_a_controller_that_acknowledged_everything_is_attested_for() {
    let notifications = CancellationOutbox::default();
    let keep = Duration::from_secs(30);
    assert!(notifications.all_acknowledged("a"));
    notifications.add("a", &id(1));
    assert!(!notifications.all_acknowledged("a") && notifications.all_acknowledged("b"));
    assert_eq!(notifications.due("a", keep), ["j-000001"]);
    assert!(notifications.due("a", keep).is_empty(), "not again at once");
    tokio::time::advance(RESEND_INTERVAL).await;
    assert_eq!(notifications.due("a", keep), ["j-000001"], "but until it is acknowledged");
    notifications.acknowledged("a", &["nonsense".into(), "j-000002".into(), "j-000001".into()]);
    assert!(notifications.all_acknowledged("a"));
    // One that was given up, or found no place, may not have been heard of.
    notifications.add("a", &id(3));
    tokio::time::advance(keep).await;
    assert!(notifications.due("a", keep).is_empty());
    assert!(!notifications.all_acknowledged("a"));
    notifications.has_read("a", now());
    assert!(!notifications.all_acknowledged("a"), "a read that may be older shows nothing");
    tokio::time::advance(Duration::from_millis(1)).await;
    notifications.has_read("a", now());
    assert!(notifications.all_acknowledged("a"));
    (0..=MAX_UNACKNOWLEDGED as u32).for_each(|number| notifications.add("a", &id(number)));
    let all: Vec<String> =
        (0..=MAX_UNACKNOWLEDGED as u32).map(|number| id(number).to_string()).collect();
    notifications.acknowledged("a", &all);
    assert!(!notifications.all_acknowledged("a"));
}

#[tokio::test(start_paused = true)]
async fn cancelling_thousands_of_jobs_at_once_drops_no_notification() {
    let notifications = CancellationOutbox::default();
    let keep = Duration::from_secs(30);
    let all: Vec<String> = (0..9000).map(|number| id(number).to_string()).collect();
    (0..9000).for_each(|number| notifications.add("a", &id(number)));
    let mut sent = Vec::new();
    while sent.len() < all.len() {
        let due = notifications.due("a", keep);
        assert!(!due.is_empty(), "{} were dropped", all.len() - sent.len());
        sent.extend(due);
    }
    notifications.acknowledged("a", &sent);
    assert!(notifications.all_acknowledged("a"), "4,096 were sent, and attesting ended");
}
