use super::*;

#[test]
fn thousands_of_cancelled_jobs_are_all_kept_in_mind() {
    let id = |number: u32| JobId::parse(&format!("j-{number:06}")).expect("an id");
    let mut cancelled = CancelledJobs::default();
    let at = Instant::now();
    (0..9000).for_each(|number| cancelled.insert(&id(number), at));
    assert!((0..9000).all(|number| cancelled.since.contains_key(&id(number))));
    (0..9000).for_each(|number| cancelled.remove(&id(number)));
    assert!(cancelled.since.is_empty() && cancelled.order.is_empty());
}
