use super::*;

#[tokio::test(start_paused = true)]
async fn a_lease_counts_while_it_is_renewed_and_not_after_it_was_lost() {
    let session_lease = SessionLease::default();
    assert!(!session_lease.is_valid() && session_lease.current().is_none());
    let ttl = Duration::from_secs(10);
    let lease = CurrentLease {
        incarnation: Incarnation::from("a-1"),
        lease_id: 7,
        membership_version: Revision::new(3),
    };
    let valid_until = now() + trusted_duration(ttl);
    session_lease.enter(LeaseState::Held(HeldLease { lease, valid_until }));
    assert!(session_lease.is_valid());
    tokio::time::advance(trusted_duration(ttl)).await;
    assert!(!session_lease.is_valid(), "it may have ended");
    assert!(session_lease.current().is_some(), "but it is not known to");
    session_lease.extend_validity(now() + trusted_duration(ttl));
    assert!(session_lease.is_valid(), "a renewal went through after all");
    session_lease.enter(LeaseState::Absent);
    assert!(!session_lease.is_valid() && session_lease.current().is_none());
    session_lease.extend_validity(now() + trusted_duration(ttl));
    assert!(!session_lease.is_valid(), "a lost lease is not renewed");
}

#[test]
fn less_than_the_whole_time_to_live_is_trusted() {
    assert_eq!(trusted_duration(Duration::from_secs(10)), Duration::from_millis(9680));
    assert_eq!(trusted_duration(Duration::from_millis(100)), Duration::ZERO);
}
