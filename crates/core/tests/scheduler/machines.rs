//! Which heartbeats count, when a machine is known to be gone, and when machines are rented.

use crate::support::{
    active_task_count, active_tasks, heartbeat, job_record, over_connection, scheduler,
    scheduler_with_start_sent, second_job_id, task_status,
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
    scheduler.on_heartbeat(&heartbeat(5, 1, vec![running]), over_connection(1), now);
    assert_eq!(
        scheduler.on_heartbeat(&heartbeat(4, 1, Vec::new()), over_connection(1), now),
        Verdict::Stale,
        "S10"
    );
    assert_eq!(active_task_count(&scheduler), 1);
    // A later agent epoch has none of the tasks of the one before.
    let mut next = heartbeat(1, 1, Vec::new());
    next.agent_epoch = AgentEpoch::new(2);
    assert_eq!(scheduler.on_heartbeat(&next, over_connection(1), now), Verdict::Accept);
    assert!(active_tasks(&scheduler).is_empty());
}

#[test]
fn a_worker_whose_term_goes_back_is_deleted_and_settles_nothing() {
    let now = Instant::now();
    let (mut scheduler, _) = scheduler_with_start_sent(now);
    scheduler.take_actions();
    // Numbers above the known ones, but a worker never forgets the highest term it has seen.
    assert_eq!(scheduler.on_heartbeat(&heartbeat(5, 0, Vec::new()), true, now), Verdict::Stale);
    let placed = active_task_count(&scheduler);
    assert_eq!(placed, 1, "it settles nothing");
    scheduler.tick(now + Duration::from_secs(1));
    let returned = Action::DeleteMachines(vec!["host-1".into()]);
    assert!(scheduler.take_actions().contains(&returned));
    scheduler.on_machines_deleted(&["host-1".into()]);
    assert!(active_tasks(&scheduler).is_empty());
}

#[test]
fn a_machine_whose_first_reply_is_delayed_does_not_expire_meanwhile() {
    let start = Instant::now();
    let mut scheduler = scheduler(1);
    let request = RentRequest {
        request: "r-1-1".into(),
        machine_type: "box".into(),
        zone: "z".into(),
        spot: false,
        count: 1,
    };
    scheduler.on_rental_answered(&request, Ok(vec!["host-1".into()]), start);
    // It took far longer than a worker's lease to boot.
    let up = start + Duration::from_secs(50);
    assert_eq!(scheduler.on_heartbeat(&heartbeat(1, 0, Vec::new()), true, up), Verdict::Accept);
    scheduler.tick(up + Duration::from_millis(100));
    scheduler.orders_for_answer(
        "host-1",
        AgentEpoch::new(1),
        1,
        true,
        up + Duration::from_millis(200),
    );
    let next = up + Duration::from_secs(2);
    assert_eq!(scheduler.on_heartbeat(&heartbeat(2, 1, Vec::new()), true, next), Verdict::Accept);
    // The same when it is back after its lease expired.
    let lease_expiry = next + Duration::from_secs(20);
    scheduler.tick(lease_expiry);
    assert_eq!(
        scheduler.on_heartbeat(&heartbeat(3, 1, Vec::new()), true, lease_expiry),
        Verdict::Stale
    );
    let mut back = heartbeat(4, 1, Vec::new());
    back.agent_epoch = AgentEpoch::new(2);
    assert_eq!(scheduler.on_heartbeat(&back, true, lease_expiry), Verdict::Accept);
    scheduler.tick(lease_expiry + Duration::from_millis(100));
    back.sequence = 5;
    assert_eq!(scheduler.on_heartbeat(&back, true, lease_expiry), Verdict::Accept);
}

#[test]
fn a_machine_list_proves_a_machine_gone_only_if_it_describes_a_later_moment() {
    let now = Instant::now();
    let (mut scheduler, _) = scheduler_with_start_sent(now);
    // Asked soon after the machine was known: it may describe the time before.
    let soon = now + Duration::from_secs(3);
    scheduler.on_machine_list(&[], soon, soon);
    assert!(scheduler.machine("host-1").is_some(), "S5");
    let later = now + Duration::from_secs(5);
    scheduler.on_machine_list(&[], later, later);
    assert!(scheduler.machine("host-1").is_none());
    assert!(active_tasks(&scheduler).is_empty());
    assert_eq!(scheduler.on_heartbeat(&heartbeat(9, 1, Vec::new()), true, later), Verdict::Stale);
}

/// Rentals of on-demand machines among what the leader asks for.
fn on_demand_rentals(scheduler: &mut Scheduler) -> Vec<RentRequest> {
    let rentals = scheduler.take_actions().into_iter().filter_map(|action| match action {
        Action::RentMachines(request) if !request.spot => Some(request),
        _ => None,
    });
    rentals.collect()
}

#[test]
fn on_demand_machines_are_requested_only_once_spot_capacity_is_known_to_lack() {
    let now = Instant::now();
    let mut scheduler = scheduler(1);
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
    let more = JobRecord {
        spec: JobSpec { id: second_job_id(), ..job_record(400, 1).spec },
        ..job_record(400, 1)
    };
    scheduler.on_job_claimed(more, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
    // The spot offer is under way, and so not open; that is no reason to take the expensive one.
    let soon = now + Duration::from_millis(200);
    scheduler.scale(soon);
    assert_eq!(on_demand_rentals(&mut scheduler), Vec::new());
    scheduler.on_rental_answered(spot, Err(RentalFailure::NoCapacity), soon);
    scheduler.scale(soon);
    assert!(!on_demand_rentals(&mut scheduler).is_empty(), "no spot machine is to be had");
}
