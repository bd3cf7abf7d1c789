//! Where tasks are placed, and what a placement pass costs.

use crate::support::{
    active_task_count, active_tasks, claim_job, first_job_id, heartbeat, heartbeat_from,
    job_record, scheduler, scheduler_with_machines,
};
use corkfield_core::{Action, Scheduler};
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus};
use corkfield_wire::{AgentEpoch, MachineName, Priority, Revision, TaskSet};
use std::time::{Duration, Instant};

#[test]
fn one_zone_and_spread_constraints_are_kept() {
    let now = Instant::now();
    for (one_zone, spread, expected) in [(true, false, 4), (false, true, 3)] {
        let mut scheduler = scheduler(1);
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
        let job = scheduler.job(&first_job_id()).expect("claimed");
        let in_z = job.placements().values().filter(|placed| {
            scheduler.machine(placed.machine.as_str()).is_some_and(|machine| machine.zone == "z")
        });
        let (in_z, all) = (in_z.count(), job.placements().len());
        if one_zone {
            assert!(in_z == 0 || in_z == all, "one zone: {in_z} of {all}");
            assert_eq!(all, expected);
        } else {
            assert_eq!((in_z, all), (expected, 6), "at most half, rounded up, in a zone");
        }
    }
}

/// A worker that heartbeats under its name, one sequence number after another.
struct SimulatedWorker {
    name: &'static str,
    sequence: u64,
}

impl SimulatedWorker {
    /// Sends a heartbeat with these tasks; returns the orders of the reply.
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

    /// Is given tasks, which run for `run`, and whose end is reported `delay` later. Heartbeats
    /// are sent every 2 s, and when the tasks end. Returns when that was.
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
        assert!(!running.is_empty(), "{} is given work", self.name);
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

/// The status of the task that an order starts.
fn started_status(order: Order) -> Option<TaskStatus> {
    let Order::Start { task, attempt } = order else { return None };
    Some(TaskStatus { task, attempt, phase: TaskPhase::Running, cause: None, saved: None })
}

fn tasks_on(scheduler: &Scheduler, machine: &str) -> usize {
    active_tasks(scheduler).values().filter(|placed| placed.machine.as_str() == machine).count()
}

/// A heartbeat without tasks, answered while no start may be sent.
fn send_idle_heartbeat(scheduler: &mut Scheduler, machine: &str, sequence: u64, now: Instant) {
    scheduler.on_heartbeat(&heartbeat_from(machine, sequence, Vec::new()), true, now);
    scheduler.orders_for_answer(machine, AgentEpoch::new(1), sequence, false, now);
}

struct MachineSpeedCase {
    /// host-1 takes four times as long for a task.
    slow: bool,
    run: Duration,
    /// How much later host-1 reports the end of its tasks.
    delay: Duration,
}

/// Both machines run four batches of the only job, one machine after the other. Returns when the
/// second has ended.
fn run_batches_on_both(
    scheduler: &mut Scheduler,
    case: &MachineSpeedCase,
    start: Instant,
) -> Instant {
    let run_on_second = if case.slow { case.run * 4 } else { case.run };
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
        // The other one is silent meanwhile, and so gets nothing.
        now += Duration::from_secs(100);
    }
    now
}

#[test]
fn a_slow_machine_gets_only_jobs_of_which_nothing_runs_and_a_delayed_one_is_not_slow() {
    let secs = Duration::from_secs;
    let cases = [
        MachineSpeedCase { slow: true, run: secs(4), delay: Duration::ZERO },
        MachineSpeedCase { slow: false, run: secs(1), delay: Duration::from_millis(1900) },
    ];
    for case in cases {
        let slow = case.slow;
        let mut scheduler = scheduler(1);
        let now = run_batches_on_both(&mut scheduler, &case, Instant::now());
        send_idle_heartbeat(&mut scheduler, "host-0", 900, now);
        send_idle_heartbeat(&mut scheduler, "host-1", 900, now);
        scheduler.run_placement_pass(now);
        assert_eq!(tasks_on(&scheduler, "host-0"), 4);
        assert_eq!(tasks_on(&scheduler, "host-1"), if slow { 0 } else { 4 }, "slow: {slow}");
        // Nothing else is left, and nothing of the job has run for a minute.
        scheduler.on_machines_deleted(&["host-0".into()]);
        for wait in [0, 61] {
            send_idle_heartbeat(&mut scheduler, "host-1", 901 + wait, now + secs(wait));
            scheduler.tick(now + secs(wait));
            scheduler.run_placement_pass(now + secs(wait));
        }
        assert_eq!(tasks_on(&scheduler, "host-1"), if slow { 1 } else { 4 }, "slow: {slow}");
    }
}

#[test]
fn jobs_that_may_not_start_more_yet_cost_no_looks_and_stop_nobody() {
    let start = Instant::now();
    let mut scheduler = scheduler_with_machines(40, start);
    // All that runs may be stopped for the urgent jobs, which have begun what they may begin.
    claim_job(&mut scheduler, 1, Priority::Low, 160, start);
    scheduler.run_placement_pass(start);
    for number in 2..30 {
        claim_job(&mut scheduler, number, Priority::High, 0, start);
    }
    scheduler.take_actions();
    let before = scheduler.overview(start);
    assert_eq!(active_task_count(&scheduler), 160);
    let later = start + Duration::from_secs(60);
    for number in 0..40 {
        let name = format!("host-{number}");
        scheduler.on_heartbeat(&heartbeat_from(&name, 2, Vec::new()), true, later);
        scheduler.orders_for_answer(&name, AgentEpoch::new(1), 2, true, later);
    }
    scheduler.run_placement_pass(later);
    let stops = scheduler.take_actions();
    assert!(
        stops.iter().all(|action| !matches!(action, Action::SendDirectOrders { .. })),
        "{stops:?}"
    );
    assert_eq!(scheduler.overview(later).steps, before.steps, "no machine was looked at for them");
}

/// Counts, so that it holds on any machine: with four times the machines and four times the jobs
/// that wait for them, a pass may look at some four times as much, not at sixteen times.
#[test]
fn the_work_of_a_pass_grows_no_faster_than_the_fleet() {
    let start = Instant::now();
    let steps_a_pass = |machines: usize| {
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
        assert!(after.waiting_tasks > 0, "there is more work than room");
        (after.steps - before.steps) / (after.passes - before.passes)
    };
    let (few, many) = (steps_a_pass(400), steps_a_pass(1600));
    assert!(many <= few * 6, "{few} steps a pass, then {many}");
    // Some looks at each machine, for hundreds of jobs that wait.
    assert!(many <= 1600 * 8, "{many} steps a pass");
}
