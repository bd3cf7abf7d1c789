//! Tests of where tasks are placed, and of the cost of a placement pass.

use crate::support::{
    claim_job, empty_scheduler, first_job_id, heartbeat, heartbeat_from, job_record,
    placed_task_count, placed_tasks, scheduler_with_machines,
};
use corkfield_core::{Action, Scheduler};
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus};
use corkfield_wire::{AgentEpoch, MachineName, Priority, Revision, TaskSet};
use std::time::{Duration, Instant};

#[test]
fn one_zone_and_spread_constraints_are_satisfied() {
    let now = Instant::now();
    for (one_zone, spread, expected) in [(true, false, 4), (false, true, 3)] {
        let mut scheduler = empty_scheduler(1);
        for (number, zone) in ["z", "y", "z", "y"].into_iter().enumerate() {
            let mut heartbeat = heartbeat(1, 1, Vec::new());
            heartbeat.machine = MachineName::from(format!("host-{number}"));
            heartbeat.zone = zone.into();
            scheduler.on_heartbeat(&heartbeat, true, now);
            scheduler.on_machine_record_written(heartbeat.machine.as_str(), true);
        }
        let mut job = job_record(6, 1);
        (job.spec.one_zone, job.spec.spread, job.spec.cpus) = (one_zone, spread, 2.0);
        scheduler.on_job_claimed(job, TaskSet::default(), Revision::new(5), Duration::ZERO, now);
        scheduler.run_placement_pass(now);
        let job = scheduler.job(&first_job_id()).expect("a claimed job");
        let in_z = job.placements().values().filter(|placement| {
            scheduler.machine(placement.machine.as_str()).is_some_and(|machine| machine.zone == "z")
        });
        let (in_z, all) = (in_z.count(), job.placements().len());
        if one_zone {
            assert!(
                in_z == 0 || in_z == all,
                "all tasks have to be in one zone: {in_z} of {all} are in z"
            );
            assert_eq!(all, expected);
        } else {
            assert_eq!(
                (in_z, all),
                (expected, 6),
                "at most half of the tasks, rounded up, in one zone"
            );
        }
    }
}

/// A worker that numbers its heartbeats consecutively.
struct SimulatedWorker {
    name: &'static str,
    sequence: u64,
}

impl SimulatedWorker {
    /// Sends a heartbeat with these tasks and returns the orders in the answer.
    fn send_heartbeat(
        &mut self,
        scheduler: &mut Scheduler,
        tasks: Vec<TaskStatus>,
        now: Instant,
    ) -> Vec<Order> {
        self.sequence += 1;
        let heartbeat = heartbeat_from(self.name, self.sequence, tasks);
        scheduler.on_heartbeat(&heartbeat, true, now);
        scheduler.orders_for_answer(self.name, AgentEpoch::new(1), self.sequence, true, now)
    }

    /// Gets tasks placed and runs them for `run`. Heartbeats are sent every 2 s, and the end of the
    /// tasks is reported after a delay of `delay`. Returns when the end was reported.
    fn run_batch(
        &mut self,
        scheduler: &mut Scheduler,
        run: Duration,
        delay: Duration,
        start: Instant,
    ) -> Instant {
        let mut now = start;
        self.send_heartbeat(scheduler, Vec::new(), now);
        scheduler.run_placement_pass(now);
        let orders = self.send_heartbeat(scheduler, Vec::new(), now);
        let running: Vec<TaskStatus> = orders.into_iter().filter_map(started_status).collect();
        assert!(!running.is_empty(), "no task is started on {}", self.name);
        let end = now + run;
        while now < end {
            self.send_heartbeat(scheduler, running.clone(), now);
            now += Duration::from_secs(2).min(end - now);
        }
        now += delay;
        let (phase, cause) = (TaskPhase::Exited, Some(ExitCause::Done));
        let done: Vec<TaskStatus> =
            running.into_iter().map(|status| TaskStatus { phase, cause, ..status }).collect();
        self.send_heartbeat(scheduler, done.clone(), now);
        for completion_commit in scheduler.due_completion_commits(4, now) {
            scheduler.on_completion_committed(&completion_commit, Revision::new(6));
        }
        self.send_heartbeat(scheduler, done, now);
        self.send_heartbeat(scheduler, Vec::new(), now);
        now
    }
}

/// Returns the status of the task that an order starts; `None` for any other order.
fn started_status(order: Order) -> Option<TaskStatus> {
    let Order::Start { task, attempt } = order else { return None };
    Some(TaskStatus { task, attempt, phase: TaskPhase::Running, cause: None, saved: None })
}

fn tasks_on(scheduler: &Scheduler, machine: &str) -> usize {
    placed_tasks(scheduler)
        .values()
        .filter(|placement| placement.machine.as_str() == machine)
        .count()
}

/// Sends a heartbeat without tasks, which is answered while no start may be sent.
fn send_idle_heartbeat(scheduler: &mut Scheduler, machine: &str, sequence: u64, now: Instant) {
    scheduler.on_heartbeat(&heartbeat_from(machine, sequence, Vec::new()), true, now);
    scheduler.orders_for_answer(machine, AgentEpoch::new(1), sequence, false, now);
}

/// Speed of host-1 compared to host-0.
struct MachineSpeedCase {
    /// Whether tasks take four times as long on host-1 as on host-0.
    is_slow: bool,
    /// Run time of a task on host-0.
    run: Duration,
    /// Delay with which host-1 reports the end of its tasks.
    delay: Duration,
}

/// Runs four batches of the only job on each of the two machines, one machine after the other.
/// Returns a time after the end of the last batch.
fn run_batches_on_both(
    scheduler: &mut Scheduler,
    case: &MachineSpeedCase,
    start: Instant,
) -> Instant {
    let run_on_second = if case.is_slow { case.run * 4 } else { case.run };
    let machines = [("host-0", case.run, Duration::ZERO), ("host-1", run_on_second, case.delay)];
    let mut now = start;
    for (name, run, delay) in machines {
        scheduler.on_heartbeat(&heartbeat_from(name, 1, Vec::new()), true, now);
        scheduler.on_machine_record_written(name, true);
        if name == "host-0" {
            scheduler.on_job_claimed(
                job_record(400, 1),
                TaskSet::default(),
                Revision::new(5),
                Duration::ZERO,
                now,
            );
        }
        let mut worker = SimulatedWorker { name, sequence: 10 };
        let mut batch_start = now;
        for _ in 0..4 {
            batch_start = worker.run_batch(scheduler, run, delay, batch_start);
        }
        // The machine's newest heartbeat is now too old for starts, so the next machine gets all
        // tasks.
        now += Duration::from_secs(100);
    }
    now
}

#[test]
fn a_slow_machine_gets_only_jobs_without_placed_tasks_and_one_with_late_heartbeats_gets_any() {
    let secs = Duration::from_secs;
    let cases = [
        MachineSpeedCase { is_slow: true, run: secs(4), delay: Duration::ZERO },
        MachineSpeedCase { is_slow: false, run: secs(1), delay: Duration::from_millis(1900) },
    ];
    for case in cases {
        let is_slow = case.is_slow;
        let mut scheduler = empty_scheduler(1);
        let now = run_batches_on_both(&mut scheduler, &case, Instant::now());
        send_idle_heartbeat(&mut scheduler, "host-0", 900, now);
        send_idle_heartbeat(&mut scheduler, "host-1", 900, now);
        scheduler.run_placement_pass(now);
        assert_eq!(tasks_on(&scheduler, "host-0"), 4);
        assert_eq!(
            tasks_on(&scheduler, "host-1"),
            if is_slow { 0 } else { 4 },
            "is_slow: {is_slow}"
        );
        // No other machine is left, and no task of the job has been placed for a minute.
        scheduler.on_machines_deleted(&["host-0".into()]);
        for wait in [0, 61] {
            send_idle_heartbeat(&mut scheduler, "host-1", 901 + wait, now + secs(wait));
            scheduler.tick(now + secs(wait));
            scheduler.run_placement_pass(now + secs(wait));
        }
        assert_eq!(
            tasks_on(&scheduler, "host-1"),
            if is_slow { 1 } else { 4 },
            "is_slow: {is_slow}"
        );
    }
}

#[test]
fn jobs_without_startable_tasks_cause_no_machine_to_be_examined_and_no_preemption() {
    let start = Instant::now();
    let mut scheduler = scheduler_with_machines(40, start);
    // All running tasks may be preempted for the urgent jobs, but no task of these may start yet.
    claim_job(&mut scheduler, 1, Priority::Low, 160, start);
    scheduler.run_placement_pass(start);
    for number in 2..30 {
        claim_job(&mut scheduler, number, Priority::High, 0, start);
    }
    scheduler.take_actions();
    let before = scheduler.overview(start);
    assert_eq!(placed_task_count(&scheduler), 160);
    let later = start + Duration::from_secs(60);
    for number in 0..40 {
        let name = format!("host-{number}");
        scheduler.on_heartbeat(&heartbeat_from(&name, 2, Vec::new()), true, later);
        scheduler.orders_for_answer(&name, AgentEpoch::new(1), 2, true, later);
    }
    scheduler.run_placement_pass(later);
    let actions = scheduler.take_actions();
    assert!(
        actions.iter().all(|action| !matches!(action, Action::SendDirectOrders { .. })),
        "{actions:?}"
    );
    assert_eq!(
        scheduler.overview(later).steps,
        before.steps,
        "no machine is examined for these jobs"
    );
}

/// Guards against passes whose cost grows with the number of machines times the number of jobs:
/// with four times the machines and four times the jobs, a pass may examine about four times as
/// much, not sixteen times. The test counts steps, so that its result does not depend on the speed
/// of the computer.
#[test]
fn the_cost_of_a_pass_grows_no_faster_than_the_number_of_machines() {
    let start = Instant::now();
    let steps_per_pass = |machines: usize| {
        let mut scheduler = scheduler_with_machines(machines, start);
        for number in 0..machines / 4 {
            let priority = [Priority::Low, Priority::Normal, Priority::High][number % 3];
            claim_job(&mut scheduler, number, priority, 400, start);
        }
        scheduler.run_placement_pass(start);
        let before = scheduler.overview(start);
        let later = start + Duration::from_secs(1);
        for _ in 0..10 {
            scheduler.run_placement_pass(later);
        }
        let after = scheduler.overview(later);
        assert!(after.waiting_tasks > 0, "there must be more tasks than room");
        (after.steps - before.steps) / (after.passes - before.passes)
    };
    let (few, many) = (steps_per_pass(400), steps_per_pass(1600));
    assert!(many <= few * 6, "{few} steps per pass with 400 machines, {many} with 1600");
    // Each machine is examined only a few times, although hundreds of jobs wait.
    assert!(many <= 1600 * 8, "{many} steps per pass");
}
