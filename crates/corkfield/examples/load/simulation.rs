//! Simulation of the scheduler and its workers in fixed time steps.

use crate::cost::Costs;
use crate::worker::Worker;
use crate::workload::{claimed_record, config, job_spec, machine_types, CLASSES};
use crate::Cli;
use corkfield_core::{Action, RentalFailure, Scheduler, Verdict};
use corkfield_wire::worker::{HeartbeatReply, Order, WorkerHeartbeat};
use corkfield_wire::{AgentEpoch, Revision, TaskSet, Term};
use rand::rngs::SmallRng;
use rand::SeedableRng;
use std::time::{Duration, Instant};

/// Simulated time of one step, in seconds.
const STEP_S: f64 = 0.05;
const TICK_INTERVAL_S: f64 = 0.25;
const SCALE_INTERVAL_S: f64 = 1.0;
const MAX_COMPLETION_COMMITS: usize = 40;
/// Work that waits at the start, as the time in seconds in which the load submits as much.
const INITIAL_BACKLOG_S: f64 = 10.0;
const TERM: Term = Term::new(1);

/// Counts of events over the whole simulation.
#[derive(Default)]
struct Counts {
    jobs: u32,
    direct_orders: u64,
    start_orders: u64,
    done: u64,
    heartbeat_bytes: usize,
}

/// The times at which the periodic operations are next due, in simulated seconds.
#[derive(Default)]
struct DueTimes {
    pass_s: f64,
    tick_s: f64,
    scale_s: f64,
}

/// An accepted heartbeat that has not been answered yet.
struct PendingReply {
    /// Index of the worker.
    worker: usize,
    sequence: u64,
}

/// The simulated time of a step.
#[derive(Clone, Copy)]
struct StepTime {
    /// Simulated seconds since the start.
    seconds: f64,
    /// The same time as the [`Instant`] that is passed to the scheduler.
    instant: Instant,
}

/// The scheduler, its workers and the measured costs.
pub struct Simulation<'a> {
    cli: &'a Cli,
    rng: SmallRng,
    workers: Vec<Worker>,
    /// CPUs of all machines.
    cpus: f64,
    scheduler: Scheduler,
    origin: Instant,
    /// Work of each class that is due for submission, in CPU-seconds.
    due_work: [f64; CLASSES.len()],
    due: DueTimes,
    costs: Costs,
    counts: Counts,
}

impl<'a> Simulation<'a> {
    pub fn new(cli: &'a Cli) -> Self {
        let mut rng = SmallRng::seed_from_u64(5);
        let workers = Worker::start_all(cli, &mut rng);
        let cpus: f64 = workers.iter().map(Worker::cpus).sum();
        let mut scheduler = Scheduler::new(config(cpus), TERM, 3);
        scheduler.set_machine_types(machine_types());
        Self {
            cli,
            rng,
            workers,
            cpus,
            scheduler,
            origin: Instant::now(),
            due_work: [cpus * cli.load * INITIAL_BACKLOG_S / 3.0; CLASSES.len()],
            due: DueTimes::default(),
            costs: Costs::default(),
            counts: Counts::default(),
        }
    }

    /// Runs all steps. Returns `None` if the job numbers are used up.
    pub fn run(&mut self) -> Option<()> {
        for step in 0..(self.cli.seconds / STEP_S) as u64 {
            let seconds = step as f64 * STEP_S;
            let instant = self.origin + Duration::from_secs_f64(seconds);
            self.step(StepTime { seconds, instant })?;
        }
        Some(())
    }

    fn step(&mut self, now: StepTime) -> Option<()> {
        self.submit_jobs(now)?;
        let pending = self.receive_heartbeats(now);
        self.execute_actions(now);
        self.run_periodic_work(now);
        self.store_completions(now);
        for reply in pending {
            self.send_reply(&reply, now);
        }
        Some(())
    }

    fn submit_jobs(&mut self, now: StepTime) -> Option<()> {
        for (number, class) in CLASSES.iter().enumerate() {
            self.due_work[number] += self.cpus * self.cli.load * class.share * STEP_S;
            while self.due_work[number] > 0.0 {
                self.counts.jobs += 1;
                let spec = job_spec(self.counts.jobs, number, &mut self.rng)?;
                self.due_work[number] -= f64::from(spec.tasks) * class.cpus * class.mean_run_s;
                let record = claimed_record(spec);
                self.scheduler.on_job_claimed(
                    record,
                    TaskSet::default(),
                    Revision::new(1),
                    Duration::ZERO,
                    now.instant,
                );
            }
        }
        Some(())
    }

    /// Lets all tasks go on, and takes the heartbeats that are due.
    fn receive_heartbeats(&mut self, now: StepTime) -> Vec<PendingReply> {
        let mut pending = Vec::new();
        for (index, worker) in self.workers.iter_mut().enumerate() {
            worker.advance_tasks(now.seconds);
            if !worker.is_heartbeat_due(now.seconds) {
                continue;
            }
            let body =
                worker.send_heartbeat(now.seconds, self.cli.heartbeat_interval_s, &mut self.rng);
            self.counts.heartbeat_bytes += body.len();
            let scheduler = &mut self.scheduler;
            let accepted =
                self.costs.heartbeats.measure(|| receive_heartbeat(scheduler, &body, now.instant));
            if let Some(heartbeat) = accepted {
                pending.push(PendingReply { worker: index, sequence: heartbeat.sequence });
            }
        }
        pending
    }

    fn execute_actions(&mut self, now: StepTime) {
        for action in self.scheduler.take_actions() {
            match action {
                Action::StoreMachineRecord(name, _) => {
                    self.scheduler.on_machine_record_written(name.as_str(), true)
                }
                Action::SendDirectOrders { machine, orders, .. } => {
                    self.counts.direct_orders += orders.len() as u64;
                    let worker = self.workers.iter_mut().find(|worker| worker.name == machine);
                    if let Some(worker) = worker {
                        worker.execute(orders, now.seconds, &mut self.rng);
                    }
                }
                Action::RentMachines(request) => {
                    self.scheduler.on_rental_answered(
                        &request,
                        Err(RentalFailure::NoCapacity),
                        now.instant,
                    );
                }
                _ => {}
            }
        }
    }

    fn run_periodic_work(&mut self, now: StepTime) {
        let scheduler = &mut self.scheduler;
        if now.seconds >= self.due.tick_s {
            self.due.tick_s = now.seconds + TICK_INTERVAL_S;
            self.costs.ticks.measure(|| scheduler.tick(now.instant));
        }
        if now.seconds >= self.due.scale_s {
            self.due.scale_s = now.seconds + SCALE_INTERVAL_S;
            self.costs.scaling.measure(|| scheduler.scale(now.instant));
        }
        if now.seconds >= self.due.pass_s {
            self.due.pass_s = now.seconds + self.cli.pass_interval_s;
            self.costs.passes.measure(|| scheduler.run_placement_pass(now.instant));
        }
    }

    fn store_completions(&mut self, now: StepTime) {
        let due = self.scheduler.due_completion_commits(MAX_COMPLETION_COMMITS, now.instant);
        for completion_commit in due {
            self.counts.done += completion_commit.tasks.len() as u64;
            let version = completion_commit.version.next();
            self.scheduler.on_completion_committed(&completion_commit, version);
        }
    }

    fn send_reply(&mut self, pending: &PendingReply, now: StepTime) {
        let worker = &mut self.workers[pending.worker];
        let scheduler = &mut self.scheduler;
        let orders = self.costs.replies.measure(|| {
            let orders = scheduler.orders_for_answer(
                worker.name.as_str(),
                AgentEpoch::new(1),
                pending.sequence,
                true,
                now.instant,
            );
            let reply = HeartbeatReply { term: TERM, orders };
            // The encoding of the reply is part of the measured cost.
            std::hint::black_box(serde_json::to_vec(&reply).map_or(0, |body| body.len()));
            reply.orders
        });
        let starts = orders.iter().filter(|order| matches!(order, Order::Start { .. })).count();
        self.counts.start_orders += starts as u64;
        worker.execute(orders, now.seconds, &mut self.rng);
    }

    /// Prints the counts and the costs.
    pub fn print(&self) {
        let seconds = self.cli.seconds;
        let view = self.scheduler.overview(self.origin + Duration::from_secs_f64(seconds));
        let Counts { jobs, direct_orders, start_orders, done, heartbeat_bytes } = &self.counts;
        println!(
            "{} machines, {:.0} CPUs; jobs: {jobs} submitted, {} unfinished; \
             tasks: {} waiting, {} running; {start_orders} start orders, {direct_orders} direct orders, {done} tasks done",
            self.cli.machines, self.cpus, view.jobs, view.waiting_tasks, view.running_tasks
        );
        self.costs.print(seconds);
        let heartbeats = self.costs.heartbeats.count.max(1);
        println!("{:.0} bytes per heartbeat", *heartbeat_bytes as f64 / heartbeats as f64);
    }
}

/// Decodes a heartbeat and passes it to the scheduler, as a leader does. Returns `None` if the
/// heartbeat is not accepted.
fn receive_heartbeat(
    scheduler: &mut Scheduler,
    body: &[u8],
    now: Instant,
) -> Option<WorkerHeartbeat> {
    let heartbeat: WorkerHeartbeat = serde_json::from_slice(body).ok()?;
    if scheduler.on_heartbeat(&heartbeat, true, now) != Verdict::Accept {
        return None;
    }
    // Before it replies, a leader checks whether a placement pass may start tasks on the machine.
    let _ = scheduler.may_start_tasks_on(heartbeat.machine.as_str(), now);
    Some(heartbeat)
}
