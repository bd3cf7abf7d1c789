use super::*;
use crate::leadership::state::LeadershipClaim;
use crate::session_lease::CurrentLease;
use corkfield_core::{Config, Scheduler};
use corkfield_wire::records::{LeaderRecord, Versioned};
use corkfield_wire::Incarnation;
use corkfield_wire::Revision;
use std::cell::Cell;

fn claim(incarnation: &str) -> Rc<LeadershipClaim> {
    let membership = CurrentLease {
        incarnation: Incarnation::from(incarnation),
        lease_id: 7,
        membership_version: Revision::new(40),
    };
    Rc::new(LeadershipClaim { membership, record_version: Cell::new(Revision::new(50)) })
}

fn leading_state(term: u64) -> LeadershipState {
    let config = Config {
        teams: Vec::new(),
        objectives: Vec::new(),
        worker_lease: Duration::from_secs(14),
        heartbeat_interval: Duration::from_secs(3),
        answer_limit: Duration::from_secs(10),
        list_lag: Duration::from_secs(5),
        placement_sample: 64,
        idle_keep: Duration::from_secs(60),
    };
    let scheduler = Rc::new(RefCell::new(Scheduler::new(config, Term::new(term), 1)));
    LeadershipState::leading(claim("a-1"), scheduler)
}

/// Returns whether `waiter` has already been notified.
async fn is_notified(waiter: &Notify) -> bool {
    tokio::time::timeout(Duration::ZERO, waiter.notified()).await.is_ok()
}

#[test]
fn leader_has_a_scheduler_only_after_preparation() {
    let leadership = Leadership::default();
    let observed = || (leadership.is_leading(), leadership.is_ready(), leadership.term());
    assert_eq!(observed(), (false, false, None));
    leadership.transition_to(LeadershipState::Electing);
    assert_eq!(observed(), (false, false, None));
    leadership.transition_to(LeadershipState::Preparing(claim("a-1")));
    assert_eq!(observed(), (true, false, None));
    assert_eq!(leadership.time_since_heartbeat(), None);
    leadership.transition_to(leading_state(3));
    assert_eq!(observed(), (true, true, Some(Term::new(3))));
    assert!(leadership.time_since_heartbeat().is_some());
    leadership.transition_to(LeadershipState::Standby);
    assert_eq!(observed(), (false, false, None));
}

#[test]
fn leader_is_replaced_by_a_later_claim_of_another_incarnation() {
    let leadership = Leadership::default();
    let mut contents = ReplicaContents::default();
    assert!(leadership.is_replaced(&contents), "no claim of the leader record");
    leadership.transition_to(LeadershipState::Preparing(claim("a-1")));
    assert!(!leadership.is_replaced(&contents));
    for (incarnation, version, is_replaced) in
        [("b-1", 49, false), ("b-1", 51, true), ("a-1", 51, false)]
    {
        let incarnation = Incarnation::from(incarnation);
        let record = LeaderRecord { node: None, incarnation, term: Term::new(4), successor: None };
        contents.leader = Some(Versioned { record, version: Revision::new(version) });
        assert_eq!(leadership.is_replaced(&contents), is_replaced, "{:?}", contents.leader);
    }
}

#[tokio::test]
async fn held_answers_are_released_when_leadership_ends_but_not_when_an_election_fails() {
    let leadership = Leadership::default();
    leadership.transition_to(leading_state(3));
    let held = leadership.hold_answer("m-1");
    assert!(!is_notified(&held).await);
    leadership.transition_to(LeadershipState::Standby);
    assert!(is_notified(&held).await);

    let held = leadership.hold_answer("m-1");
    leadership.transition_to(LeadershipState::Electing);
    leadership.transition_to(LeadershipState::Standby);
    assert!(!is_notified(&held).await);
}

#[tokio::test]
async fn held_answer_is_not_removed_by_the_handler_of_an_earlier_one() {
    let leadership = Leadership::default();
    let earlier = leadership.hold_answer("m-1");
    let later = leadership.hold_answer("m-1");
    leadership.remove_held_answer("m-1", &earlier);
    leadership.held_answers.release("m-1");
    assert!(is_notified(&later).await && !is_notified(&earlier).await);
}

#[test]
fn misdirected_heartbeats_share_a_transfer_request_once_the_leader_has_settled() {
    let leadership = Leadership::default();
    leadership.record_misdirected_heartbeat(LEADER_SETTLED_AFTER);
    assert_eq!(leadership.take_transfer_request(), None);
    leadership.record_misdirected_heartbeat(LEADER_SETTLED_AFTER + Duration::from_millis(1));
    leadership.record_misdirected_heartbeat(LEADER_SETTLED_AFTER + Duration::from_millis(1));
    assert_eq!(leadership.take_transfer_request(), Some(TransferRequest { count: 2 }));
    assert_eq!(leadership.take_transfer_request(), None);
}
