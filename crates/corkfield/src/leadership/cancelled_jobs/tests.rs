use super::*;

#[test]
fn thousands_of_cancelled_jobs_are_kept_until_removed() {
    let id = |number: u32| JobId::parse(&format!("j-{number:06}")).expect("an id");
    let mut cancelled = CancelledJobs::default();
    let at = Instant::now();
    (0..9000).for_each(|number| cancelled.insert(&id(number), at));
    assert!((0..9000).all(|number| cancelled.known_since.contains_key(&id(number))));
    (0..9000).for_each(|number| cancelled.remove(&id(number)));
    assert!(cancelled.known_since.is_empty() && cancelled.insertion_order.is_empty());
}
