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

fn leading(term: u64) -> LeadershipState {
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

/// Whether a wake-up for that waiter is there already.
async fn is_woken(waiter: &Notify) -> bool {
    tokio::time::timeout(Duration::ZERO, waiter.notified()).await.is_ok()
}

#[test]
fn a_leader_is_asked_for_orders_only_once_it_is_prepared() {
    let leadership = Leadership::default();
    let seen = || (leadership.is_leading(), leadership.is_ready(), leadership.term());
    assert_eq!(seen(), (false, false, None));
    leadership.enter(LeadershipState::Electing);
    assert_eq!(seen(), (false, false, None));
    leadership.enter(LeadershipState::Preparing(claim("a-1")));
    assert_eq!(seen(), (true, false, None));
    assert_eq!(leadership.time_since_heartbeat(), None);
    leadership.enter(leading(3));
    assert_eq!(seen(), (true, true, Some(Term::new(3))));
    assert!(leadership.time_since_heartbeat().is_some());
    leadership.enter(LeadershipState::Standby);
    assert_eq!(seen(), (false, false, None));
}

#[test]
fn a_leader_is_replaced_by_a_later_claim_of_another_incarnation() {
    let leadership = Leadership::default();
    let mut contents = ReplicaContents::default();
    assert!(leadership.is_replaced(&contents), "who claimed nothing leads nothing");
    leadership.enter(LeadershipState::Preparing(claim("a-1")));
    assert!(!leadership.is_replaced(&contents));
    for (incarnation, version, replaced) in
        [("b-1", 49, false), ("b-1", 51, true), ("a-1", 51, false)]
    {
        let incarnation = Incarnation::from(incarnation);
        let record = LeaderRecord { node: None, incarnation, term: Term::new(4), successor: None };
        contents.leader = Some(Versioned { record, version: Revision::new(version) });
        assert_eq!(leadership.is_replaced(&contents), replaced, "{:?}", contents.leader);
    }
}

#[tokio::test]
async fn held_answers_go_when_a_leader_ends_but_not_when_an_election_fails() {
    let leadership = Leadership::default();
    leadership.enter(leading(3));
    let held = leadership.hold_answer("m-1");
    assert!(!is_woken(&held).await);
    leadership.enter(LeadershipState::Standby);
    assert!(is_woken(&held).await);

    let held = leadership.hold_answer("m-1");
    leadership.enter(LeadershipState::Electing);
    leadership.enter(LeadershipState::Standby);
    assert!(!is_woken(&held).await);
}

#[tokio::test]
async fn a_held_answer_is_forgotten_only_by_its_own_handler() {
    let leadership = Leadership::default();
    let earlier = leadership.hold_answer("m-1");
    let later = leadership.hold_answer("m-1");
    leadership.release_held_answer("m-1", &earlier);
    leadership.held_answers.answer("m-1");
    assert!(is_woken(&later).await && !is_woken(&earlier).await);
}

#[test]
fn stray_workers_share_a_transfer_request_once_the_leader_is_known_for_long() {
    let leadership = Leadership::default();
    leadership.note_stray_worker(LEADER_SETTLED_AFTER);
    assert_eq!(leadership.take_transfer_request(), None);
    leadership.note_stray_worker(LEADER_SETTLED_AFTER + Duration::from_millis(1));
    leadership.note_stray_worker(LEADER_SETTLED_AFTER + Duration::from_millis(1));
    assert_eq!(leadership.take_transfer_request(), Some(TransferRequest { count: 2 }));
    assert_eq!(leadership.take_transfer_request(), None);
}
