use super::*;

#[tokio::test(start_paused = true)]
async fn lease_is_valid_while_renewed_and_invalid_once_lost() {
    let session_lease = SessionLease::default();
    assert!(!session_lease.is_valid() && session_lease.current().is_none());
    let ttl = Duration::from_secs(10);
    let lease = CurrentLease {
        incarnation: Incarnation::from("a-1"),
        lease_id: 7,
        membership_version: Revision::new(3),
    };
    let valid_until = now() + trusted_duration(ttl);
    session_lease.transition_to(LeaseState::Held(HeldLease { lease, valid_until }));
    assert!(session_lease.is_valid());
    tokio::time::advance(trusted_duration(ttl)).await;
    assert!(!session_lease.is_valid(), "the lease may have expired");
    assert!(session_lease.current().is_some(), "the loss of the lease is not known yet");
    session_lease.extend_validity(now() + trusted_duration(ttl));
    assert!(session_lease.is_valid(), "a late renewal makes the lease valid again");
    session_lease.transition_to(LeaseState::Absent);
    assert!(!session_lease.is_valid() && session_lease.current().is_none());
    session_lease.extend_validity(now() + trusted_duration(ttl));
    assert!(!session_lease.is_valid(), "a lost lease is not renewed");
}

#[test]
fn trusted_duration_is_shorter_than_the_time_to_live() {
    assert_eq!(trusted_duration(Duration::from_secs(10)), Duration::from_millis(9680));
    assert_eq!(trusted_duration(Duration::from_millis(100)), Duration::ZERO);
}
