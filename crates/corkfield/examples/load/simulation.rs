//! The scheduler among its workers, step by step.

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

const STEP_S: f64 = 0.05;
const TICK_INTERVAL_S: f64 = 0.25;
const SCALE_INTERVAL_S: f64 = 1.0;
const MAX_COMPLETION_COMMITS: usize = 40;
/// How much work waits at first, in seconds of all machines.
const INITIAL_BACKLOG_S: f64 = 10.0;
const TERM: Term = Term::new(1);

/// What happened to jobs and tasks.
#[derive(Default)]
struct Counts {
    jobs: u32,
    stops: u64,
    starts: u64,
    done: u64,
    heartbeat_bytes: usize,
}

/// When each periodic piece of work is due, in simulated seconds.
#[derive(Default)]
struct Schedule {
    pass_s: f64,
    tick_s: f64,
    scale_s: f64,
}

/// A heartbeat that waits for its reply.
struct PendingReply {
    worker: usize,
    sequence: u64,
}

/// The moment of a step.
#[derive(Clone, Copy)]
struct Moment {
    /// Simulated seconds since the start.
    seconds: f64,
    /// The same for the scheduler.
    instant: Instant,
}

/// The scheduler, its workers, and what has been measured.
pub struct Simulation<'a> {
    cli: &'a Cli,
    rng: SmallRng,
    workers: Vec<Worker>,
    /// CPUs of all machines.
    cpus: f64,
    scheduler: Scheduler,
    origin: Instant,
    /// Work of each class that is to come, in CPU-seconds.
    owed_work: [f64; CLASSES.len()],
    schedule: Schedule,
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
            owed_work: [cpus * cli.load * INITIAL_BACKLOG_S / 3.0; CLASSES.len()],
            schedule: Schedule::default(),
            costs: Costs::default(),
            counts: Counts::default(),
        }
    }

    /// Plays all steps; `None` if there are more jobs than numbers.
    pub fn run(&mut self) -> Option<()> {
        for step in 0..(self.cli.seconds / STEP_S) as u64 {
            let seconds = step as f64 * STEP_S;
            let instant = self.origin + Duration::from_secs_f64(seconds);
            self.step(Moment { seconds, instant })?;
        }
        Some(())
    }

    fn step(&mut self, now: Moment) -> Option<()> {
        self.submit_jobs(now)?;
        let pending = self.receive_heartbeats(now);
        self.carry_out_actions(now);
        self.run_periodic_work(now);
        self.store_completions(now);
        for reply in pending {
            self.send_reply(&reply, now);
        }
        Some(())
    }

    fn submit_jobs(&mut self, now: Moment) -> Option<()> {
        for (number, class) in CLASSES.iter().enumerate() {
            self.owed_work[number] += self.cpus * self.cli.load * class.share * STEP_S;
            while self.owed_work[number] > 0.0 {
                self.counts.jobs += 1;
                let spec = job_spec(self.counts.jobs, number, &mut self.rng)?;
                self.owed_work[number] -= f64::from(spec.tasks) * class.cpus * class.run_s;
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
    fn receive_heartbeats(&mut self, now: Moment) -> Vec<PendingReply> {
        let mut pending = Vec::new();
        for (index, worker) in self.workers.iter_mut().enumerate() {
            worker.advance_tasks(now.seconds);
            if !worker.is_heartbeat_due(now.seconds) {
                continue;
            }
            let body = worker.send_heartbeat(now.seconds, self.cli.report_s, &mut self.rng);
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

    fn carry_out_actions(&mut self, now: Moment) {
        for action in self.scheduler.take_actions() {
            match action {
                Action::StoreMachineRecord(name, _) => {
                    self.scheduler.on_machine_record_written(name.as_str(), true)
                }
                Action::SendDirectOrders { machine, orders, .. } => {
                    self.counts.stops += orders.len() as u64;
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

    fn run_periodic_work(&mut self, now: Moment) {
        let scheduler = &mut self.scheduler;
        if now.seconds >= self.schedule.tick_s {
            self.schedule.tick_s = now.seconds + TICK_INTERVAL_S;
            self.costs.ticks.measure(|| scheduler.tick(now.instant));
        }
        if now.seconds >= self.schedule.scale_s {
            self.schedule.scale_s = now.seconds + SCALE_INTERVAL_S;
            self.costs.scaling.measure(|| scheduler.scale(now.instant));
        }
        if now.seconds >= self.schedule.pass_s {
            self.schedule.pass_s = now.seconds + self.cli.pace_s;
            self.costs.passes.measure(|| scheduler.run_placement_pass(now.instant));
        }
    }

    fn store_completions(&mut self, now: Moment) {
        let due = self.scheduler.due_completion_commits(MAX_COMPLETION_COMMITS, now.instant);
        for completion_commit in due {
            self.counts.done += completion_commit.tasks.len() as u64;
            let version = completion_commit.version.next();
            self.scheduler.on_completion_committed(&completion_commit, version);
        }
    }

    fn send_reply(&mut self, pending: &PendingReply, now: Moment) {
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
            // Encoding is a part of the cost.
            std::hint::black_box(serde_json::to_vec(&reply).map_or(0, |body| body.len()));
            reply.orders
        });
        let starts = orders.iter().filter(|order| matches!(order, Order::Start { .. })).count();
        self.counts.starts += starts as u64;
        worker.execute(orders, now.seconds, &mut self.rng);
    }

    /// Prints what happened, and the costs.
    pub fn print(&self) {
        let seconds = self.cli.seconds;
        let view = self.scheduler.overview(self.origin + Duration::from_secs_f64(seconds));
        let Counts { jobs, stops, starts, done, heartbeat_bytes } = &self.counts;
        println!(
            "{} machines, {:.0} CPUs, {jobs} jobs came, {} left, {} tasks wait, {} run; {starts} starts, {stops} stops, {done} done",
            self.cli.machines, self.cpus, view.jobs, view.waiting_tasks, view.running_tasks
        );
        self.costs.print(seconds);
        let heartbeats = self.costs.heartbeats.count.max(1);
        println!("{:.0} bytes a report", *heartbeat_bytes as f64 / heartbeats as f64);
    }
}

/// What a leader does with the body of a heartbeat; `None` if it is not accepted.
fn receive_heartbeat(
    scheduler: &mut Scheduler,
    body: &[u8],
    now: Instant,
) -> Option<WorkerHeartbeat> {
    let heartbeat: WorkerHeartbeat = serde_json::from_slice(body).ok()?;
    if scheduler.on_heartbeat(&heartbeat, true, now) != Verdict::Accept {
        return None;
    }
    // A leader asks whether a placement pass might start something there before it replies.
    let _ = scheduler.may_start_tasks_on(heartbeat.machine.as_str(), now);
    Some(heartbeat)
}
