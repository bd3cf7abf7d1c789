//! Tests of a new leader's scheduler while machines of earlier leaders have not reported their
//! tasks.

use crate::support::{
    config, empty_scheduler, first_job_id, heartbeat, job_record, machine_record, machine_type,
    placed_task_count, placed_tasks, second_job_id, task_status,
};
use corkfield_core::{Action, Scheduler, Verdict};
use corkfield_wire::records::MachineRecord;
use corkfield_wire::worker::{TaskPhase, WorkerHeartbeat};
use corkfield_wire::{
    AgentEpoch, Attempt, Generation, JobId, MachineName, Revision, TaskSet, Term,
};
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

#[test]
fn only_a_heartbeat_under_the_leaders_term_reconciles_a_machine_after_a_failover() {
    let now = Instant::now();
    let mut scheduler = empty_scheduler(7);
    let machine = machine_record();
    scheduler.add_recorded_machine("host-1", &machine, Duration::ZERO, now);
    scheduler.on_job_claimed(
        job_record(1, 2),
        TaskSet::default(),
        Revision::new(5),
        Duration::ZERO,
        now,
    );
    // This heartbeat was written before the worker knew our term, and may have been delayed for
    // minutes.
    scheduler.on_heartbeat(&heartbeat(8, 6, Vec::new()), true, now);
    scheduler.run_placement_pass(now);
    assert!(!scheduler.is_reconciled(), "S7: the heartbeat has an earlier term");
    assert!(placed_tasks(&scheduler).is_empty());
    let running = task_status(Attempt::new((1 << 24) | 1), TaskPhase::Running, None);
    scheduler.on_heartbeat(&heartbeat(9, 7, vec![running]), false, now);
    assert!(scheduler.is_reconciled());
    assert_eq!(placed_task_count(&scheduler), 1, "the task is adopted where it runs");
}

/// Creates the scheduler of a new leader, with machines that an earlier leader recorded.
fn scheduler_with_recorded_machines(numbers: RangeInclusive<usize>, now: Instant) -> Scheduler {
    let mut scheduler = empty_scheduler(7);
    for number in numbers {
        let name = format!("host-{number}");
        scheduler.add_recorded_machine(&name, &machine_record(), Duration::ZERO, now);
    }
    scheduler
}

/// Returns the machines whose deletion the scheduler requests.
fn take_requested_deletions(scheduler: &mut Scheduler) -> Vec<MachineName> {
    let deletions = scheduler.take_actions().into_iter().filter_map(|action| match action {
        Action::DeleteMachines(names) => Some(names),
        _ => None,
    });
    deletions.flatten().collect()
}

#[test]
fn a_few_unresponsive_machines_are_deleted_after_a_failover_but_many_are_not() {
    let now = Instant::now();
    // A machine counts as unresponsive only after two unanswered direct requests.
    let cases = [(2, 2, true), (2, 1, false), (12, 2, false)];
    for (unresponsive, requests, are_deleted) in cases {
        let mut scheduler = scheduler_with_recorded_machines(1..=24, now);
        scheduler.on_job_claimed(
            job_record(4, 2),
            TaskSet::default(),
            Revision::new(5),
            Duration::ZERO,
            now,
        );
        for number in unresponsive + 1..=24 {
            let mut heartbeat = heartbeat(9, 7, Vec::new());
            heartbeat.machine = MachineName::from(format!("host-{number}"));
            scheduler.on_heartbeat(&heartbeat, true, now);
        }
        for number in 1..=unresponsive {
            (0..requests)
                .for_each(|_| scheduler.on_direct_request_unanswered(&format!("host-{number}")));
        }
        scheduler.tick(now + Duration::from_secs(3));
        scheduler.take_actions();
        scheduler.tick(now + Duration::from_secs(5));
        let deleted = take_requested_deletions(&mut scheduler);
        assert_eq!(deleted.len(), if are_deleted { unresponsive } else { 0 });
        assert!(
            !scheduler.is_reconciled(),
            "S7: only the answered deletion proves that they hold no task"
        );
        scheduler.on_machines_deleted(&deleted);
        assert_eq!(scheduler.is_reconciled(), are_deleted);
    }
}

/// Guards against deleting the last machines that report after a long network partition: while
/// others report one after the other, the last ones look like a few unresponsive machines.
#[test]
fn the_last_machines_are_not_deleted_while_others_still_report() {
    let start = Instant::now();
    let mut scheduler = scheduler_with_recorded_machines(0..=47, start);
    for number in 0..48 {
        (0..3).for_each(|_| scheduler.on_direct_request_unanswered(&format!("host-{number}")));
    }
    // A network partition ends long after the time at which a few unresponsive machines would be
    // deleted.
    for number in 0..47 {
        let now = start + Duration::from_secs(8) + Duration::from_millis(200) * number;
        let heartbeat = WorkerHeartbeat {
            machine: MachineName::from(format!("host-{number}")),
            ..heartbeat(9, 7, Vec::new())
        };
        scheduler.on_heartbeat(&heartbeat, true, now);
        scheduler.tick(now);
        let is_deletion = |action: &Action| matches!(action, Action::DeleteMachines(_));
        assert!(!scheduler.take_actions().iter().any(is_deletion), "after machine {number}");
    }
    scheduler.tick(start + Duration::from_secs(21));
    let deletion = Action::DeleteMachines(vec!["host-47".into()]);
    assert!(scheduler.take_actions().contains(&deletion), "no machine has reported for some time");
}

#[test]
fn a_machine_that_receives_no_answers_does_not_prevent_reconciliation() {
    let start = Instant::now();
    let mut scheduler = empty_scheduler(7);
    let machine = machine_record();
    for name in ["host-1", "host-2", "host-3"] {
        scheduler.add_recorded_machine(name, &machine, Duration::ZERO, start);
    }
    // The heartbeats of host-1 always report the earlier term: our answers don't reach its worker.
    for round in 0..8 {
        let now = start + Duration::from_secs(4 * round);
        let verdict = scheduler.on_heartbeat(&heartbeat(round + 2, 6, Vec::new()), true, now);
        scheduler.tick(now);
        if verdict == Verdict::Accept {
            scheduler.orders_for_answer("host-1", AgentEpoch::new(1), round + 2, true, now);
        }
    }
    assert!(scheduler.is_reconciled(), "the answer limit and a lease have passed");
}

/// Guards against expiring a lease that the previous leader may still renew. The new leader's
/// answer was lost, and the worker sends heartbeats to the previous leader again, which may answer
/// until its answer limit has passed. Until the worker reports the new term, either leader may
/// renew the lease.
#[test]
fn the_previous_leader_may_renew_a_lease_until_the_worker_reports_the_new_term() {
    let start = Instant::now();
    let mut scheduler = empty_scheduler(7);
    scheduler.add_recorded_machine("host-1", &machine_record(), Duration::ZERO, start);
    scheduler.on_heartbeat(&heartbeat(2, 6, Vec::new()), true, start);
    scheduler.orders_for_answer("host-1", AgentEpoch::FIRST, 2, true, start);
    let answered_until = config().answer_limit;
    for (after, is_expired) in [
        (config().lease_expiry_timeout() + Duration::from_secs(1), false),
        (answered_until + config().lease_expiry_timeout() + Duration::from_secs(1), true),
    ] {
        scheduler.tick(start + after);
        assert_eq!(scheduler.is_reconciled(), is_expired, "after {after:?}");
    }
}

#[test]
fn the_full_capacity_of_unreconciled_machines_counts_against_a_limit() {
    let now = Instant::now();
    for (limit, placed) in [(11.0, 3), (8.0, 0), (100.0, 4)] {
        let mut config = config();
        config.teams[0].cpus_max = limit;
        let mut scheduler = Scheduler::new(config, Term::new(7), 1);
        scheduler.set_machine_types(vec![machine_type()]);
        let machine = machine_record();
        // Two machines of four CPUs each are unreconciled, and one has reported that it is empty.
        for name in ["host-1", "host-2", "host-3"] {
            scheduler.add_recorded_machine(name, &machine, Duration::ZERO, now);
        }
        scheduler.on_heartbeat(&heartbeat(9, 7, Vec::new()), true, now);
        let mut possibly_started = job_record(10, 2);
        possibly_started.spec.id = second_job_id();
        scheduler.on_job_claimed(
            possibly_started.clone(),
            TaskSet::default(),
            Revision::new(5),
            Duration::ZERO,
            now,
        );
        scheduler.on_job_claimed(
            job_record(10, 1),
            TaskSet::default(),
            Revision::new(6),
            Duration::ZERO,
            now,
        );
        scheduler.run_placement_pass(now);
        let placed_tasks_of =
            |id: &JobId| scheduler.job(id).expect("a claimed job").placements().len();
        assert_eq!(
            placed_tasks_of(&first_job_id()),
            placed,
            "S8: no earlier leader can have started it"
        );
        assert_eq!(
            placed_tasks_of(&possibly_started.spec.id),
            0,
            "S7: its tasks may be on the unreconciled machines"
        );
    }
}

#[test]
fn only_tasks_that_no_earlier_leader_can_have_started_start_before_reconciliation() {
    let now = Instant::now();
    let mut scheduler = empty_scheduler(7);
    let machine = machine_record();
    scheduler.add_recorded_machine("host-1", &machine, Duration::ZERO, now);
    scheduler.add_recorded_machine("host-2", &machine, Duration::ZERO, now);
    scheduler.on_heartbeat(&heartbeat(9, 7, Vec::new()), true, now);
    let mut job = job_record(100, 1);
    (job.start_watermark, job.previous_start_watermark) = (70, 0);
    job.claim("later owner".into());
    assert_eq!(
        (job.generation, job.previous_start_watermark, job.start_watermark),
        (Generation::new(2), 70, 100)
    );
    scheduler.on_job_claimed(job, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
    scheduler.run_placement_pass(now);
    let placed = placed_tasks(&scheduler);
    assert_eq!(
        placed.keys().copied().collect::<Vec<_>>(),
        [70, 71, 72, 73],
        "S7: tasks at or above the earlier watermark"
    );
    scheduler.on_machines_deleted(&["host-2".into()]);
    scheduler.on_heartbeat(&heartbeat(10, 7, Vec::new()), true, now);
    assert!(scheduler.is_reconciled());
}

#[test]
fn one_zone_and_spread_jobs_wait_until_all_machines_are_reconciled() {
    let now = Instant::now();
    for (one_zone, spread) in [(true, false), (false, true)] {
        let mut scheduler = empty_scheduler(7);
        let machine = machine_record();
        scheduler.add_recorded_machine("host-1", &machine, Duration::ZERO, now);
        let other = MachineRecord { zone: "y".into(), ..machine };
        scheduler.add_recorded_machine("host-2", &other, Duration::ZERO, now);
        scheduler.on_heartbeat(&heartbeat(9, 7, Vec::new()), true, now);
        let mut job = job_record(100, 1);
        (job.start_watermark, job.previous_start_watermark) = (70, 0);
        (job.spec.one_zone, job.spec.spread) = (one_zone, spread);
        job.claim("later owner".into());
        scheduler.on_job_claimed(job, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
        scheduler.run_placement_pass(now);
        assert_eq!(placed_task_count(&scheduler), 0, "S8: the other tasks may be in another zone");
        scheduler.on_machines_deleted(&["host-2".into()]);
        scheduler.run_placement_pass(now);
        assert_eq!(placed_task_count(&scheduler), 4);
    }
}
