//! Tests of when a start is sent, when it is known whether the start was executed, and when its
//! task may be started elsewhere.

use crate::support::{
    claim_job, empty_scheduler, first_job_id, heartbeat, heartbeat_from, heartbeat_over_connection,
    job_record, placed_task_count, placed_tasks, scheduler_with_machines,
    scheduler_with_start_sent, scheduler_with_start_sent_to, scheduler_with_task_assigned,
    task_status,
};
use corkfield_core::{Action, Verdict};
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat};
use corkfield_wire::{AgentEpoch, Attempt, Generation, Priority, Revision, TaskSet};
use std::time::{Duration, Instant};

#[test]
fn only_the_workers_next_own_heartbeat_proves_that_a_start_was_lost() {
    let now = Instant::now();
    let (mut scheduler, attempt) = scheduler_with_start_sent_to(heartbeat_over_connection(1), now);
    // The worker wrote this answer to a direct request while the answer with the start was still in
    // transit.
    scheduler.on_heartbeat(&heartbeat(3, 1, Vec::new()), false, now);
    let placement = placed_tasks(&scheduler).get(&0).cloned();
    assert_eq!(
        placement.map(|placement| placement.attempt),
        Some(attempt),
        "S3: the start may still be executed"
    );
    scheduler.on_heartbeat(&heartbeat(4, 1, Vec::new()), heartbeat_over_connection(1), now);
    scheduler.run_placement_pass(now);
    let new_placement = placed_tasks(&scheduler).get(&0).cloned();
    assert!(
        new_placement.is_some_and(|placement| placement.attempt > attempt),
        "a new attempt has a higher number"
    );
}

#[test]
fn a_start_is_sent_only_in_the_answer_to_the_newest_heartbeat_and_with_a_valid_lease() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_task_assigned(now);
    scheduler.on_heartbeat(&heartbeat(2, 1, Vec::new()), true, now);
    assert!(
        scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 2, false, now).is_empty(),
        "S4: the leader's lease may have expired"
    );
    assert!(
        scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 1, true, now).is_empty(),
        "a newer heartbeat has arrived"
    );
    assert_eq!(scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 2, true, now).len(), 1);
}

#[test]
fn forgetting_an_earlier_attempt_does_not_release_a_later_one() {
    let now = Instant::now();
    let (mut scheduler, first) = scheduler_with_start_sent(now);
    let stopped = task_status(first, TaskPhase::Exited, Some(ExitCause::Stopped));
    scheduler.on_heartbeat(&heartbeat(3, 1, vec![stopped.clone()]), true, now);
    scheduler.run_placement_pass(now);
    let orders = scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 3, true, now);
    assert!(matches!(orders[..], [Order::Forget { .. }, Order::Start { .. }]), "{orders:?}");
    let second = placed_tasks(&scheduler)[&0].attempt;
    let running = task_status(second, TaskPhase::Running, None);
    scheduler.on_heartbeat(&heartbeat(4, 1, vec![running]), true, now);
    let placed = placed_tasks(&scheduler);
    assert_eq!(placed.get(&0).map(|placement| placement.attempt), Some(second));
}

#[test]
fn a_task_is_released_only_after_the_workers_lease_has_expired() {
    let now = Instant::now();
    let (mut scheduler, _) = scheduler_with_start_sent(now);
    let before_expiry = now + Duration::from_secs(12);
    scheduler.tick(before_expiry);
    assert_eq!(placed_task_count(&scheduler), 1, "S5: the worker's lease may still be valid");
    scheduler.tick(now + Duration::from_secs(15));
    assert!(placed_tasks(&scheduler).is_empty());
    // Later heartbeats of that agent epoch are rejected.
    let late_heartbeat = heartbeat(5, 1, Vec::new());
    assert_eq!(
        scheduler.on_heartbeat(&late_heartbeat, true, now + Duration::from_secs(16)),
        Verdict::Stale
    );
}

/// Returns a heartbeat of the named machine, with another address than `host-1` has.
fn second_machine_heartbeat(name: &str, sequence: u64) -> WorkerHeartbeat {
    WorkerHeartbeat { addr: "10.0.0.10:9000".into(), ..heartbeat_from(name, sequence, Vec::new()) }
}

fn deletes_first_machine(action: &Action) -> bool {
    matches!(
        action,
        Action::DeleteMachines(names) if names.iter().any(|name| name.as_str() == "host-1")
    )
}

#[test]
fn a_task_assigned_to_a_machine_that_accepts_no_more_starts_is_assigned_elsewhere() {
    let now = Instant::now();
    let later = now + Duration::from_secs(1);
    for has_interruption_notice in [true, false] {
        let mut scheduler = scheduler_with_task_assigned(now);
        assert!(scheduler.has_assigned_tasks("host-1"));
        // Before the start is sent, for example during an outage of the store, the cloud announces
        // that it reclaims the machine, or the machine is drained.
        if has_interruption_notice {
            let heartbeat = WorkerHeartbeat {
                interruption_notice_s: Some(30.0),
                ..heartbeat(2, 1, Vec::new())
            };
            scheduler.on_heartbeat(&heartbeat, true, later);
        } else {
            scheduler.drain_machine("host-1");
            scheduler.on_heartbeat(&heartbeat(2, 1, Vec::new()), true, later);
        }
        scheduler.on_heartbeat(&second_machine_heartbeat("host-2", 1), true, later);
        scheduler.on_machine_record_written("host-2", true);
        scheduler.tick(later);
        scheduler.run_placement_pass(later);
        let case = format!("interruption notice: {has_interruption_notice}");
        assert!(!scheduler.has_assigned_tasks("host-1"), "{case}");
        assert!(scheduler.has_assigned_tasks("host-2"), "{case}");
        if !has_interruption_notice {
            scheduler.tick(later);
            assert!(
                scheduler.take_actions().iter().any(deletes_first_machine),
                "no task delays the deletion"
            );
        }
    }
}

#[test]
fn the_stored_start_watermark_is_raised_before_tasks_above_it_are_placed() {
    let now = Instant::now();
    let mut scheduler = scheduler_with_machines(120, now);
    let mut job = job_record(450, 1);
    (job.start_watermark, job.generation) = (0, Generation::new(0));
    job.claim("owner".into());
    scheduler.on_job_claimed(job, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
    let mut placed_and_watermark = Vec::new();
    for version in (6..10).map(Revision::new) {
        scheduler.run_placement_pass(now);
        let job = scheduler.job(&first_job_id()).expect("a claimed job");
        placed_and_watermark.push((job.placements().len(), job.record.start_watermark));
        assert!(job.placements().keys().all(|index| *index < job.record.start_watermark));
        for completion_commit in scheduler.due_completion_commits(4, now) {
            scheduler.on_completion_committed(&completion_commit, version);
        }
    }
    assert_eq!(placed_and_watermark, [(128, 128), (384, 384), (450, 450), (450, 450)]);
}

#[test]
fn tasks_of_finished_jobs_are_stopped_and_those_of_unclaimed_jobs_are_not() {
    let now = Instant::now();
    let mut scheduler = empty_scheduler(1);
    let running = task_status(Attempt::new(9), TaskPhase::Running, None);
    scheduler.set_unclaimed_jobs([first_job_id()].into());
    scheduler.on_heartbeat(&heartbeat(1, 1, vec![running.clone()]), true, now);
    assert!(scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 1, true, now).is_empty());
    scheduler.set_unclaimed_jobs([].into());
    scheduler.on_heartbeat(&heartbeat(2, 1, vec![running]), true, now);
    let orders = scheduler.orders_for_answer("host-1", AgentEpoch::new(1), 2, true, now);
    assert!(matches!(orders[..], [Order::Stop { .. }]), "S11: {orders:?}");
}

/// Guards against a start that carries the generation of an earlier claim: the job backs off while
/// one of its tasks is assigned to a machine that has not sent its next heartbeat, and is then
/// claimed again under a higher generation.
#[test]
fn a_task_assigned_before_a_backoff_is_started_with_the_generation_of_the_new_claim() {
    let now = Instant::now();
    let after_ms = |ms: u64| now + Duration::from_millis(ms);
    let mut scheduler = empty_scheduler(1);
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

/// Guards against resources that stay unused: while a job backs off, for up to 64 s, its assigned
/// tasks can't be started, but would occupy room on their machines and count against their team's
/// limit.
#[test]
fn assigned_tasks_of_a_job_that_backs_off_are_released() {
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
    assert_eq!(placed_task_count(&scheduler), 8, "both machines are full");
    scheduler.on_heartbeat(&heartbeat_from("host-0", 2, Vec::new()), true, now);
    let orders = scheduler.orders_for_answer("host-0", AgentEpoch::new(1), 2, true, now);
    let Some(Order::Start { task, attempt }) = orders.first().cloned() else {
        panic!("no start: {orders:?}");
    };
    let status = task_status(attempt, TaskPhase::Exited, Some(ExitCause::NoSuchTask));
    let refused = TaskStatus { task, ..status };
    scheduler.on_heartbeat(&heartbeat_from("host-0", 3, vec![refused]), true, now);
    assert!(!scheduler.has_assigned_tasks("host-1"), "the tasks are released immediately");
    assert_eq!(placed_task_count(&scheduler), 0);
    claim_job(&mut scheduler, 2, Priority::Normal, 8, now);
    scheduler.run_placement_pass(now);
    assert_eq!(scheduler.machine("host-1").expect("a known machine").tasks.len(), 4);
}
