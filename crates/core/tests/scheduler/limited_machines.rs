//! Tests of machines that get few tasks because tasks have failed or run slowly there, in a cloud
//! that has no further machines. The rule: once the troubles are over, no job is left waiting for 90
//! s while a machine that fits has room and its team is under its limit.

use crate::supply::{claim_job, job_id, scheduler_with, spot_machine, take_rentals, TestMachine};
use corkfield_core::{RentalFailure, Scheduler};
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat};
use corkfield_wire::{AgentEpoch, Attempt, JobSpec, MachineName, TaskId};
use std::time::{Duration, Instant};

/// The users' rule: no job waits for this long, in seconds.
const MAX_WAIT_S: u64 = 90;

/// A machine's worker. Its tasks end after the same time.
struct Worker {
    machine: TestMachine,
    sequence: u64,
    tasks: Vec<(TaskStatus, Instant)>,
    run_time: Duration,
    /// How tasks end.
    cause: ExitCause,
}

impl Worker {
    fn new(machine: TestMachine, run_s: u64) -> Self {
        let run_time = Duration::from_secs(run_s);
        Self { machine, sequence: 1, tasks: Vec::new(), run_time, cause: ExitCause::Done }
    }

    /// Ends the tasks whose time has come, sends a heartbeat and executes the orders of its answer.
    fn advance(&mut self, scheduler: &mut Scheduler, now: Instant) {
        for (status, started_at) in &mut self.tasks {
            if status.phase == TaskPhase::Running && now - *started_at >= self.run_time {
                (status.phase, status.cause) = (TaskPhase::Exited, Some(self.cause));
            }
        }
        self.sequence += 1;
        let heartbeat = WorkerHeartbeat {
            machine: MachineName::from(self.machine.name),
            machine_type: self.machine.machine_type.into(),
            zone: self.machine.zone.into(),
            spot: self.machine.spot,
            ..crate::support::heartbeat(
                self.sequence,
                1,
                self.tasks.iter().map(|(status, _)| status.clone()).collect(),
            )
        };
        scheduler.on_heartbeat(&heartbeat, true, now);
        scheduler.run_placement_pass(now);
        let (name, epoch) = (self.machine.name, AgentEpoch::new(1));
        for order in scheduler.orders_for_answer(name, epoch, self.sequence, true, now) {
            match order {
                Order::Start { task, attempt } => {
                    let (phase, cause) = (TaskPhase::Running, None);
                    let status = TaskStatus { task, attempt, phase, cause, saved: None };
                    self.tasks.push((status, now));
                }
                Order::Forget { task, attempt } => {
                    self.tasks
                        .retain(|(status, _)| status.task != task || status.attempt != attempt);
                }
                Order::Stop { task, attempt, .. } => self.stop(&task, attempt),
            }
        }
    }
}

impl Worker {
    fn stop(&mut self, task: &TaskId, attempt: Attempt) {
        for (status, _) in &mut self.tasks {
            if status.task == *task && status.attempt == attempt {
                (status.phase, status.cause) = (TaskPhase::Exited, Some(ExitCause::Stopped));
            }
        }
    }
}

/// Runs for some seconds, in a cloud without capacity.
fn run(scheduler: &mut Scheduler, workers: &mut [Worker], start: Instant, seconds: u64) -> Instant {
    let mut now = start;
    for _ in 0..seconds {
        now += Duration::from_secs(1);
        for worker in workers.iter_mut() {
            worker.advance(scheduler, now);
        }
        scheduler.tick(now);
        scheduler.scale(now);
        for rental in take_rentals(scheduler) {
            scheduler.on_rental_answered(&rental, Err(RentalFailure::NoCapacity), now);
        }
    }
    now
}

fn placed_jobs(scheduler: &Scheduler, numbers: std::ops::Range<u32>) -> usize {
    let is_placed = |number: &u32| {
        scheduler.job(&job_id(*number)).is_some_and(|job| !job.placements().is_empty())
    };
    numbers.filter(is_placed).count()
}

/// Guards against jobs that wait beside a sound machine for as long as the only task that it gets
/// runs, because one task has failed there.
#[test]
fn a_machine_on_which_a_task_failed_once_gets_more_than_one_task_again() {
    let start = Instant::now();
    let machine = spot_machine("host-1", "medium", "z1");
    let mut scheduler = scheduler_with(&[machine], start);
    let mut workers = [Worker { cause: ExitCause::Error, ..Worker::new(machine, 1) }];
    claim_job(&mut scheduler, 1, 1, |_| {}, start);
    let now = run(&mut scheduler, &mut workers, start, 3);
    scheduler.close_job(&job_id(1));
    workers[0].run_time = Duration::from_secs(300);
    for number in 2..8 {
        claim_job(&mut scheduler, number, 1, |_| {}, now);
    }
    run(&mut scheduler, &mut workers, now, MAX_WAIT_S);
    assert_eq!(placed_jobs(&scheduler, 2..8), 6, "the machine has room for all of them");
}

/// Guards against a job that waits beside the only machine with room, on which one of its tasks has
/// failed once, because a machine that is full counts as one to be tried.
#[test]
fn a_job_runs_again_where_it_failed_if_no_other_machine_has_room() {
    let start = Instant::now();
    let machines = [spot_machine("host-1", "small", "z1"), spot_machine("host-2", "small", "z2")];
    let mut scheduler = scheduler_with(&machines, start);
    let mut workers = [Worker::new(machines[0], 300), Worker::new(machines[1], 1)];
    let fills_first_machine = |spec: &mut JobSpec| {
        spec.cpus = 4.0;
        spec.zone = Some("z1".into());
    };
    claim_job(&mut scheduler, 1, 1, fills_first_machine, start);
    workers[0].advance(&mut scheduler, start + Duration::from_millis(100));
    workers[1].cause = ExitCause::Error;
    claim_job(&mut scheduler, 2, 1, |spec| spec.cpus = 2.0, start);
    let now = run(&mut scheduler, &mut workers, start, 3);
    assert_eq!(placed_jobs(&scheduler, 1..3), 1, "the second job has failed");
    (workers[1].cause, workers[1].run_time) = (ExitCause::Done, Duration::from_secs(300));
    run(&mut scheduler, &mut workers, now, MAX_WAIT_S);
    assert_eq!(placed_jobs(&scheduler, 2..3), 1, "the machine is sound and has room");
}

/// Guards against jobs that wait beside a machine that was slow for a while, because only the tasks
/// that it does not get could show that it is fast again.
#[test]
fn a_machine_that_was_slow_for_a_while_gets_tasks_again() {
    let start = Instant::now();
    let machines = [
        spot_machine("host-1", "medium", "z1"),
        spot_machine("host-2", "medium", "z1"),
        spot_machine("host-3", "medium", "z1"),
    ];
    let mut scheduler = scheduler_with(&machines, start);
    let mut workers =
        [Worker::new(machines[0], 4), Worker::new(machines[1], 4), Worker::new(machines[2], 16)];
    claim_job(&mut scheduler, 1, 200, |spec| spec.estimate_s = 4.0, start);
    let now = run(&mut scheduler, &mut workers, start, 40);
    scheduler.close_job(&job_id(1));
    let now = run(&mut scheduler, &mut workers, now, 3);
    for worker in &mut workers {
        worker.run_time = Duration::from_secs(300);
    }
    for number in 2..24 {
        claim_job(&mut scheduler, number, 1, |_| {}, now);
    }
    run(&mut scheduler, &mut workers, now, MAX_WAIT_S);
    assert_eq!(placed_jobs(&scheduler, 2..24), 22, "the machines have room for 24");
}
