//! What a new leader may do while machines have not shown what they hold.

use crate::support::{
    active_task_count, active_tasks, config, first_job_id, heartbeat, job_record, machine_record,
    machine_type, scheduler, second_job_id, task_status,
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
    let mut scheduler = scheduler(7);
    let machine = machine_record();
    scheduler.add_recorded_machine("host-1", &machine, Duration::ZERO, now);
    scheduler.on_job_claimed(
        job_record(1, 2),
        TaskSet::default(),
        Revision::new(5),
        Duration::ZERO,
        now,
    );
    // A heartbeat made before the worker took our term, perhaps held back for minutes.
    scheduler.on_heartbeat(&heartbeat(8, 6, Vec::new()), true, now);
    scheduler.run_placement_pass(now);
    assert!(!scheduler.is_reconciled(), "S7");
    assert!(active_tasks(&scheduler).is_empty());
    let running = task_status(Attempt::new((1 << 24) | 1), TaskPhase::Running, None);
    scheduler.on_heartbeat(&heartbeat(9, 7, vec![running]), false, now);
    assert!(scheduler.is_reconciled());
    assert_eq!(active_task_count(&scheduler), 1, "taken up where it runs");
}

/// A new leader's scheduler, with these machines recorded by an earlier one.
fn scheduler_with_recorded_machines(numbers: RangeInclusive<usize>, now: Instant) -> Scheduler {
    let mut scheduler = scheduler(7);
    for number in numbers {
        let name = format!("host-{number}");
        scheduler.add_recorded_machine(&name, &machine_record(), Duration::ZERO, now);
    }
    scheduler
}

/// The machines whose deletion is asked for.
fn take_deleted_machines(scheduler: &mut Scheduler) -> Vec<MachineName> {
    let deletions = scheduler.take_actions().into_iter().filter_map(|action| match action {
        Action::DeleteMachines(names) => Some(names),
        _ => None,
    });
    deletions.flatten().collect()
}

#[test]
fn a_few_silent_machines_are_deleted_after_a_failover_and_many_are_waited_for() {
    let now = Instant::now();
    // A leader that has not come round to asking them twice doesn't know that they are silent.
    for (silent, asked, given_up) in [(2, 2, true), (2, 1, false), (12, 2, false)] {
        let mut scheduler = scheduler_with_recorded_machines(1..=24, now);
        scheduler.on_job_claimed(
            job_record(4, 2),
            TaskSet::default(),
            Revision::new(5),
            Duration::ZERO,
            now,
        );
        for number in silent + 1..=24 {
            let mut heartbeat = heartbeat(9, 7, Vec::new());
            heartbeat.machine = MachineName::from(format!("host-{number}"));
            scheduler.on_heartbeat(&heartbeat, true, now);
        }
        for number in 1..=silent {
            (0..asked)
                .for_each(|_| scheduler.on_direct_orders_unanswered(&format!("host-{number}")));
        }
        scheduler.tick(now + Duration::from_secs(3));
        scheduler.take_actions();
        scheduler.tick(now + Duration::from_secs(5));
        let returned = take_deleted_machines(&mut scheduler);
        assert_eq!(returned.len(), if given_up { silent } else { 0 });
        assert!(!scheduler.is_reconciled(), "S7: only the answer proves them gone");
        scheduler.on_machines_deleted(&returned);
        assert_eq!(scheduler.is_reconciled(), given_up);
    }
}

#[test]
fn while_silent_machines_come_back_one_after_the_other_the_last_are_not_given_up() {
    let start = Instant::now();
    let mut scheduler = scheduler_with_recorded_machines(0..=47, start);
    for number in 0..48 {
        (0..3).for_each(|_| scheduler.on_direct_orders_unanswered(&format!("host-{number}")));
    }
    // Long after the time that a few are waited for, a network partition ends.
    for number in 0..47 {
        let now = start + Duration::from_secs(8) + Duration::from_millis(200) * number;
        let again = WorkerHeartbeat {
            machine: MachineName::from(format!("host-{number}")),
            ..heartbeat(9, 7, Vec::new())
        };
        scheduler.on_heartbeat(&again, true, now);
        scheduler.tick(now);
        let returned = |action: &Action| matches!(action, Action::DeleteMachines(_));
        assert!(!scheduler.take_actions().iter().any(returned), "after machine {number}");
    }
    scheduler.tick(start + Duration::from_secs(21));
    let last = Action::DeleteMachines(vec!["host-47".into()]);
    assert!(scheduler.take_actions().contains(&last), "silent while nothing else comes");
}

#[test]
fn a_machine_that_receives_no_reply_does_not_hold_up_reconciliation() {
    let start = Instant::now();
    let mut scheduler = scheduler(7);
    let machine = machine_record();
    for name in ["host-1", "host-2", "host-3"] {
        scheduler.add_recorded_machine(name, &machine, Duration::ZERO, start);
    }
    // Its heartbeats come, always under the former term: our replies don't reach it.
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

/// The answer of a new leader was lost, and the machine went back to the one before, which may answer
/// for a while yet: until the machine shows the new term, its lease may be renewed by either.
#[test]
fn an_earlier_leaders_answers_renew_a_lease_until_the_machine_shows_the_new_term() {
    let start = Instant::now();
    let mut scheduler = scheduler(7);
    scheduler.add_recorded_machine("host-1", &machine_record(), Duration::ZERO, start);
    scheduler.on_heartbeat(&heartbeat(2, 6, Vec::new()), true, start);
    scheduler.orders_for_answer("host-1", AgentEpoch::FIRST, 2, true, start);
    let renewed_until = config().answer_limit;
    for (after, is_over) in [
        (config().lease_expiry_timeout() + Duration::from_secs(1), false),
        (renewed_until + config().lease_expiry_timeout() + Duration::from_secs(1), true),
    ] {
        scheduler.tick(start + after);
        assert_eq!(scheduler.is_reconciled(), is_over, "after {after:?}");
    }
}

#[test]
fn a_limit_counts_all_that_silent_machines_may_hold_and_no_more() {
    let now = Instant::now();
    for (limit, placed) in [(11.0, 3), (8.0, 0), (100.0, 4)] {
        let mut config = config();
        config.teams[0].cpus_max = limit;
        let mut scheduler = Scheduler::new(config, Term::new(7), 1);
        scheduler.set_machine_types(vec![machine_type()]);
        let machine = machine_record();
        // Two of four CPUs each are silent, one has shown that it is empty.
        for name in ["host-1", "host-2", "host-3"] {
            scheduler.add_recorded_machine(name, &machine, Duration::ZERO, now);
        }
        scheduler.on_heartbeat(&heartbeat(9, 7, Vec::new()), true, now);
        let mut old = job_record(10, 2);
        old.spec.id = second_job_id();
        scheduler.on_job_claimed(
            old.clone(),
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
        let active = |id: &JobId| scheduler.job(id).expect("claimed").placements().len();
        assert_eq!(active(&first_job_id()), placed, "S8: a job that nobody can have started");
        assert_eq!(active(&old.spec.id), 0, "S7: its tasks may be on the silent machines");
    }
}

#[test]
fn while_machines_are_silent_only_tasks_that_nobody_can_have_started_are() {
    let now = Instant::now();
    let mut scheduler = scheduler(7);
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
    let active = active_tasks(&scheduler);
    assert_eq!(active.keys().copied().collect::<Vec<_>>(), [70, 71, 72, 73], "S7");
    scheduler.on_machines_deleted(&["host-2".into()]);
    scheduler.on_heartbeat(&heartbeat(10, 7, Vec::new()), true, now);
    assert!(scheduler.is_reconciled());
}

#[test]
fn one_zone_and_spread_jobs_wait_until_all_machines_are_reconciled() {
    let now = Instant::now();
    for (one_zone, spread) in [(true, false), (false, true)] {
        let mut scheduler = scheduler(7);
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
        assert_eq!(active_task_count(&scheduler), 0, "S8: the others may be in another zone");
        scheduler.on_machines_deleted(&["host-2".into()]);
        scheduler.run_placement_pass(now);
        assert_eq!(active_task_count(&scheduler), 4);
    }
}
