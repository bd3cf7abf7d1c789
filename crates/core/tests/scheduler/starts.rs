//! When a start is ordered, what settles it, and when its task may be started elsewhere.

use crate::support::{
    active_task_count, active_tasks, claim_job, first_job_id, heartbeat, heartbeat_from,
    job_record, over_connection, scheduler, scheduler_with_machines, scheduler_with_start_sent,
    scheduler_with_start_sent_to, scheduler_with_task_assigned, task_status,
};
use corkfield_core::{Action, Verdict};
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat};
use corkfield_wire::{AgentEpoch, Attempt, Generation, Priority, Revision, TaskSet};
use std::time::{Duration, Instant};

#[test]
fn only_the_workers_own_next_heartbeat_settles_a_start() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent_to(over_connection(1), now);
    // Made while the answer with the start was still under way.
    scheduler.on_heartbeat(&heartbeat(3, 1, Vec::new()), false, now);
    let placed = active_tasks(&scheduler).get(&0).cloned();
    assert_eq!(
        placed.map(|placed| placed.attempt),
        Some(attempt),
        "S3: it may still be carried out"
    );
    scheduler.on_heartbeat(&heartbeat(4, 1, Vec::new()), over_connection(1), now);
    scheduler.run_placement_pass(now);
    let again = active_tasks(&scheduler).get(&0).cloned();
    assert!(again.is_some_and(|placed| placed.attempt > attempt), "attempts never repeat");
}

#[test]
fn a_start_leaves_only_with_the_newest_heartbeat_and_a_valid_lease() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_task_assigned(now);
    scheduler.on_heartbeat(&heartbeat(2, 1, Vec::new()), true, now);
    assert!(
        scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 2, false, now).is_empty(),
        "S4"
    );
    assert!(
        scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 1, true, now).is_empty(),
        "that heartbeat's worker has left"
    );
    assert_eq!(scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 2, true, now).len(), 1);
}

#[test]
fn forgetting_an_earlier_attempt_does_not_free_a_later_one() {
    let now = Instant::now();
    let (mut scheduler, first) = scheduler_with_start_sent(now);
    let stopped = task_status(first, TaskPhase::Exited, Some(ExitCause::Stopped));
    scheduler.on_heartbeat(&heartbeat(3, 1, vec![stopped.clone()]), true, now);
    scheduler.run_placement_pass(now);
    let orders = scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 3, true, now);
    assert!(matches!(orders[..], [Order::Forget { .. }, Order::Start { .. }]), "{orders:?}");
    let second = active_tasks(&scheduler)[&0].attempt;
    let running = task_status(second, TaskPhase::Running, None);
    scheduler.on_heartbeat(&heartbeat(4, 1, vec![running]), true, now);
    let active = active_tasks(&scheduler);
    assert_eq!(active.get(&0).map(|placed| placed.attempt), Some(second));
}

#[test]
fn a_task_is_freed_only_after_the_workers_lease_has_surely_expired() {
    let now = Instant::now();
    let (mut scheduler, _) = scheduler_with_start_sent(now);
    let before = now + Duration::from_secs(12);
    scheduler.tick(before);
    assert_eq!(active_task_count(&scheduler), 1, "S5");
    scheduler.tick(now + Duration::from_secs(15));
    assert!(active_tasks(&scheduler).is_empty());
    // Later heartbeats of that agent epoch are rejected.
    let late = heartbeat(5, 1, Vec::new());
    assert_eq!(scheduler.on_heartbeat(&late, true, now + Duration::from_secs(16)), Verdict::Stale);
}

/// A heartbeat of another machine, at an address of its own.
fn second_machine_heartbeat(name: &str, sequence: u64) -> WorkerHeartbeat {
    WorkerHeartbeat { addr: "10.0.0.10:9000".into(), ..heartbeat_from(name, sequence, Vec::new()) }
}

fn deletes_first(action: &Action) -> bool {
    matches!(
        action,
        Action::DeleteMachines(names) if names.iter().any(|name| name.as_str() == "host-1")
    )
}

#[test]
fn a_task_assigned_to_a_machine_that_takes_no_more_work_is_assigned_elsewhere() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    for notice in [true, false] {
        let mut scheduler = scheduler_with_task_assigned(now);
        assert!(scheduler.has_assigned_tasks("host-1"));
        // While no start may leave, say in an outage of the store, its machine has to go.
        if notice {
            let noticed =
                WorkerHeartbeat { termination_notice_s: Some(30.0), ..heartbeat(2, 1, Vec::new()) };
            scheduler.on_heartbeat(&noticed, true, later);
        } else {
            scheduler.drain_machine("host-1");
            scheduler.on_heartbeat(&heartbeat(2, 1, Vec::new()), true, later);
        }
        scheduler.on_heartbeat(&second_machine_heartbeat("host-2", 1), true, later);
        scheduler.on_machine_record_written("host-2", true);
        scheduler.tick(later);
        scheduler.run_placement_pass(later);
        assert!(!scheduler.has_assigned_tasks("host-1"), "notice: {notice}");
        assert!(scheduler.has_assigned_tasks("host-2"), "notice: {notice}");
        if !notice {
            scheduler.tick(later);
            assert!(scheduler.take_actions().iter().any(deletes_first), "nothing holds it back");
        }
    }
}

#[test]
fn first_starts_are_announced_in_the_record_before_they_are_made() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_machines(120, now);
    let mut job = job_record(450, 1);
    (job.start_watermark, job.generation) = (0, Generation::new(0));
    job.claim("owner".into());
    scheduler.on_job_claimed(job, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
    let mut announced = Vec::new();
    for version in (6..10).map(Revision::new) {
        scheduler.run_placement_pass(now);
        let job = scheduler.job(&first_job_id()).expect("claimed");
        announced.push((job.placements().len(), job.record.start_watermark));
        assert!(job.placements().keys().all(|index| *index < job.record.start_watermark));
        for completion_commit in scheduler.due_completion_commits(4, now) {
            scheduler.on_completion_committed(&completion_commit, version);
        }
    }
    assert_eq!(announced, [(128, 128), (384, 384), (450, 450), (450, 450)]);
}

#[test]
fn tasks_of_finished_jobs_are_stopped_and_those_of_unclaimed_jobs_are_not() {
    let now = Instant::now();
    let mut scheduler = scheduler(1);
    let running = task_status(Attempt::new(9), TaskPhase::Running, None);
    scheduler.set_unclaimed_jobs([first_job_id()].into());
    scheduler.on_heartbeat(&heartbeat(1, 1, vec![running.clone()]), true, now);
    assert!(scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 1, true, now).is_empty());
    scheduler.set_unclaimed_jobs([].into());
    scheduler.on_heartbeat(&heartbeat(2, 1, vec![running]), true, now);
    let orders = scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 2, true, now);
    assert!(matches!(orders[..], [Order::Stop { .. }]), "S11: {orders:?}");
}

/// A job backs off while a task of it is assigned to a machine that has not asked yet, and is then
/// claimed once more, under a higher generation.
#[test]
fn a_start_assigned_before_a_back_off_leaves_with_the_generation_of_the_new_claim() {
    let now = Instant::now();
    let after_ms = |ms: u64| now + Duration::from_millis(ms);
    let mut scheduler = scheduler(1);
    for machine in ["host-1", "host-2"] {
        scheduler.on_heartbeat(&heartbeat_from(machine, 1, Vec::new()), true, now);
        scheduler.on_machine_record_written(machine, true);
    }
    scheduler.on_job_claimed(
        job_record(8, 1),
        TaskSet::default(),
        Revision::new(5),
        Duration::ZERO,
        now,
    );
    scheduler.run_placement_pass(now);
    scheduler.on_heartbeat(&heartbeat_from("host-1", 2, Vec::new()), true, now);
    let orders = scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 2, true, now);
    let Some(Order::Start { task, attempt }) = orders.first().cloned() else {
        panic!("no start: {orders:?}");
    };
    let status = task_status(attempt, TaskPhase::Exited, Some(ExitCause::NoSuchTask));
    let refused = TaskStatus { task, ..status };
    scheduler.on_heartbeat(&heartbeat_from("host-1", 3, vec![refused]), true, after_ms(100));
    scheduler.on_heartbeat(&heartbeat_from("host-2", 2, Vec::new()), true, after_ms(2000));
    let while_backing_off =
        scheduler.orders_for_answer("host-2", AgentEpoch::new(1), 2, true, after_ms(2000));
    assert!(while_backing_off.is_empty(), "{while_backing_off:?}");
    scheduler.tick(after_ms(3200));
    assert_eq!(scheduler.jobs_to_reclaim().len(), 1);
    let reclaimed = job_record(8, 2);
    scheduler.on_job_claimed(
        reclaimed,
        TaskSet::default(),
        Revision::new(6),
        Duration::ZERO,
        after_ms(3300),
    );
    scheduler.on_heartbeat(&heartbeat_from("host-2", 3, Vec::new()), true, after_ms(4000));
    for order in scheduler.orders_for_answer("host-2", AgentEpoch::new(1), 3, true, after_ms(4000))
    {
        let Order::Start { attempt, .. } = order else { panic!("no start: {order:?}") };
        assert_eq!(attempt.generation(), Generation::new(2));
    }
}

/// While a job backs off, up to 64 s, its assigned starts can't leave: room and share of the limit
/// that they hold would stay unused.
#[test]
fn a_job_that_backs_off_gives_up_the_room_and_share_of_its_assigned_tasks() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_machines(2, now);
    scheduler.on_job_claimed(
        job_record(8, 1),
        TaskSet::default(),
        Revision::new(5),
        Duration::ZERO,
        now,
    );
    scheduler.run_placement_pass(now);
    assert_eq!(active_task_count(&scheduler), 8, "both machines are full");
    scheduler.on_heartbeat(&heartbeat_from("host-0", 2, Vec::new()), true, now);
    let orders = scheduler.orders_for_answer("host-0", AgentEpoch::new(1), 2, true, now);
    let Some(Order::Start { task, attempt }) = orders.first().cloned() else {
        panic!("no start: {orders:?}");
    };
    let status = task_status(attempt, TaskPhase::Exited, Some(ExitCause::NoSuchTask));
    let refused = TaskStatus { task, ..status };
    scheduler.on_heartbeat(&heartbeat_from("host-0", 3, vec![refused]), true, now);
    assert!(!scheduler.has_assigned_tasks("host-1"), "taken back at once");
    assert_eq!(active_task_count(&scheduler), 0);
    claim_job(&mut scheduler, 2, Priority::Normal, 8, now);
    scheduler.run_placement_pass(now);
    assert_eq!(scheduler.machine("host-1").expect("known").tasks.len(), 4);
}
