//! Tests of heartbeats that are rejected, of proofs that a machine no longer exists, and of
//! rentals.

use crate::support::{
    empty_scheduler, heartbeat, heartbeat_over_connection, job_record, placed_task_count,
    placed_tasks, scheduler_with_start_sent, second_job_id, task_status,
};
use corkfield_core::{Action, RentalFailure, Scheduler, Verdict};
use corkfield_wire::cloud::RentRequest;
use corkfield_wire::records::JobRecord;
use corkfield_wire::worker::TaskPhase;
use corkfield_wire::{AgentEpoch, JobSpec, Revision, TaskSet};
use std::time::{Duration, Instant};

#[test]
fn delayed_heartbeats_are_rejected_as_stale() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent(now);
    let running = task_status(attempt, TaskPhase::Running, None);
    scheduler.on_heartbeat(&heartbeat(5, 1, vec![running]), heartbeat_over_connection(1), now);
    assert_eq!(
        scheduler.on_heartbeat(&heartbeat(4, 1, Vec::new()), heartbeat_over_connection(1), now),
        Verdict::Stale,
        "S10"
    );
    assert_eq!(placed_task_count(&scheduler), 1);
    // The worker holds no task of an earlier agent epoch.
    let mut later_epoch = heartbeat(1, 1, Vec::new());
    later_epoch.agent_epoch = AgentEpoch::new(2);
    assert_eq!(
        scheduler.on_heartbeat(&later_epoch, heartbeat_over_connection(1), now),
        Verdict::Accept
    );
    assert!(placed_tasks(&scheduler).is_empty());
}

#[test]
fn a_machine_whose_worker_reports_a_lower_term_than_before_is_deleted() {
    let now = Instant::now();
    let (mut scheduler, _) = scheduler_with_start_sent(now);
    scheduler.take_actions();
    // The number is above the known ones, but a worker never forgets the highest term that it has
    // received unless it has lost its state.
    assert_eq!(scheduler.on_heartbeat(&heartbeat(5, 0, Vec::new()), true, now), Verdict::Stale);
    let placed = placed_task_count(&scheduler);
    assert_eq!(placed, 1, "the heartbeat proves nothing about the task");
    scheduler.tick(now + Duration::from_secs(1));
    let deletion = Action::DeleteMachines(vec!["host-1".into()]);
    assert!(scheduler.take_actions().contains(&deletion));
    scheduler.on_machines_deleted(&["host-1".into()]);
    assert!(placed_tasks(&scheduler).is_empty());
}

#[test]
fn a_lease_does_not_expire_before_a_delayed_first_answer() {
    let start = Instant::now();
    let mut scheduler = empty_scheduler(1);
    let request = RentRequest {
        request: "r-1-1".into(),
        machine_type: "box".into(),
        zone: "z".into(),
        spot: false,
        count: 1,
    };
    scheduler.on_rental_answered(&request, Ok(vec!["host-1".into()]), start);
    // Booting took far longer than a worker's lease lasts.
    let booted_at = start + Duration::from_secs(50);
    assert_eq!(
        scheduler.on_heartbeat(&heartbeat(1, 0, Vec::new()), true, booted_at),
        Verdict::Accept
    );
    scheduler.tick(booted_at + Duration::from_millis(100));
    scheduler.orders_for_answer(
        "host-1",
        AgentEpoch::new(1),
        1,
        true,
        booted_at + Duration::from_millis(200),
    );
    let next_heartbeat_at = booted_at + Duration::from_secs(2);
    assert_eq!(
        scheduler.on_heartbeat(&heartbeat(2, 1, Vec::new()), true, next_heartbeat_at),
        Verdict::Accept
    );
    // The same holds for the first heartbeat after the lease has expired.
    let lease_expiry = next_heartbeat_at + Duration::from_secs(20);
    scheduler.tick(lease_expiry);
    assert_eq!(
        scheduler.on_heartbeat(&heartbeat(3, 1, Vec::new()), true, lease_expiry),
        Verdict::Stale
    );
    let mut later_epoch = heartbeat(4, 1, Vec::new());
    later_epoch.agent_epoch = AgentEpoch::new(2);
    assert_eq!(scheduler.on_heartbeat(&later_epoch, true, lease_expiry), Verdict::Accept);
    scheduler.tick(lease_expiry + Duration::from_millis(100));
    later_epoch.sequence = 5;
    assert_eq!(scheduler.on_heartbeat(&later_epoch, true, lease_expiry), Verdict::Accept);
}

#[test]
fn a_machine_missing_from_a_list_is_removed_only_if_the_list_was_requested_late_enough() {
    let now = Instant::now();
    let (mut scheduler, _) = scheduler_with_start_sent(now);
    // The list was requested soon after the machine became known, and may describe the state
    // before that.
    let soon = now + Duration::from_secs(3);
    scheduler.on_machine_list(&[], soon, soon);
    assert!(scheduler.machine("host-1").is_some(), "S5: the list may be outdated");
    let later = now + Duration::from_secs(5);
    scheduler.on_machine_list(&[], later, later);
    assert!(scheduler.machine("host-1").is_none());
    assert!(placed_tasks(&scheduler).is_empty());
    assert_eq!(scheduler.on_heartbeat(&heartbeat(9, 1, Vec::new()), true, later), Verdict::Stale);
}

/// Returns the on-demand rentals that the scheduler requests.
fn take_on_demand_rentals(scheduler: &mut Scheduler) -> Vec<RentRequest> {
    let rentals = scheduler.take_actions().into_iter().filter_map(|action| match action {
        Action::RentMachines(request) if !request.spot => Some(request),
        _ => None,
    });
    rentals.collect()
}

#[test]
fn on_demand_machines_are_requested_only_after_a_spot_request_is_refused() {
    let now = Instant::now();
    let mut scheduler = empty_scheduler(1);
    scheduler.on_job_claimed(
        job_record(80, 1),
        TaskSet::default(),
        Revision::new(5),
        Duration::ZERO,
        now,
    );
    scheduler.scale(now);
    let actions = scheduler.take_actions();
    let Some(Action::RentMachines(spot)) = actions
        .iter()
        .find(|action| matches!(action, Action::RentMachines(request) if request.spot))
    else {
        panic!("{actions:?}")
    };
    let second_job = JobRecord {
        spec: JobSpec { id: second_job_id(), ..job_record(400, 1).spec },
        ..job_record(400, 1)
    };
    scheduler.on_job_claimed(second_job, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
    // The spot offer is not available, because a request for it is in flight. That is no reason to
    // rent expensive machines.
    let soon = now + Duration::from_millis(200);
    scheduler.scale(soon);
    assert_eq!(take_on_demand_rentals(&mut scheduler), Vec::new());
    scheduler.on_rental_answered(spot, Err(RentalFailure::NoCapacity), soon);
    scheduler.scale(soon);
    assert!(!take_on_demand_rentals(&mut scheduler).is_empty(), "the cloud has no spot capacity");
}
