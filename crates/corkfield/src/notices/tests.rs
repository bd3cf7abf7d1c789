use super::*;

fn id(number: u32) -> JobId {
    JobId::parse(&format!("j-{number:06}")).expect("an id")
}

#[tokio::test(start_paused = true)]
async fn only_who_acknowledged_everything_is_vouched_for() {
    let notices = Notices::default();
    let keep = Duration::from_secs(30);
    assert!(notices.all_acknowledged("a"));
    notices.add("a", &id(1));
    assert!(!notices.all_acknowledged("a") && notices.all_acknowledged("b"));
    assert_eq!(notices.due("a", keep), ["j-000001"]);
    assert!(notices.due("a", keep).is_empty(), "not again at once");
    tokio::time::advance(AGAIN).await;
    assert_eq!(notices.due("a", keep), ["j-000001"], "but until it is acknowledged");
    notices.acknowledged("a", &["nonsense".into(), "j-000002".into(), "j-000001".into()]);
    assert!(notices.all_acknowledged("a"));
    // One that was given up, or found no place, may not have been heard of.
    notices.add("a", &id(3));
    tokio::time::advance(keep).await;
    assert!(notices.due("a", keep).is_empty());
    assert!(!notices.all_acknowledged("a"));
    notices.has_read("a", now());
    assert!(!notices.all_acknowledged("a"), "a read that may be older shows nothing");
    tokio::time::advance(Duration::from_millis(1)).await;
    notices.has_read("a", now());
    assert!(notices.all_acknowledged("a"));
    (0..=MAX_OPEN as u32).for_each(|number| notices.add("a", &id(number)));
    let all: Vec<String> = (0..=MAX_OPEN as u32).map(|number| id(number).to_string()).collect();
    notices.acknowledged("a", &all);
    assert!(!notices.all_acknowledged("a"));
}
