//! What planning costs, against the number of machines: the leader alone, with workers that
//! report as the protocol says, in simulated time. The costs are real processor time, and so
//! differ from machine to machine; all the rest repeats.

use clap::Parser;
use corkfield_core::{Action, Config, Scheduler, Verdict};
use corkfield_wire::cloud::MachineType;
use corkfield_wire::records::JobRecord;
use corkfield_wire::settings::{Objective, Team};
use corkfield_wire::worker::{
    ExitCause, HeartbeatReply, Order, TaskPhase, TaskStatus, WorkerHeartbeat,
};
use corkfield_wire::{JobId, JobSpec, TaskId, TaskSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const STEP_S: f64 = 0.05;
const SIZES: [(&str, f64); 3] = [("small", 4.0), ("middle", 8.0), ("large", 32.0)];

#[derive(Debug, Parser)]
struct Cli {
    /// Machines, all of them up
    #[arg(long, default_value_t = 1700)]
    machines: usize,
    /// Work that comes, against what the machines can do
    #[arg(long, default_value_t = 1.2)]
    load: f64,
    /// Simulated seconds
    #[arg(long, default_value_t = 120.0)]
    seconds: f64,
    /// Seconds between two reports of a worker without news
    #[arg(long, default_value_t = 5.0)]
    report_s: f64,
    /// Seconds between two placement passes
    #[arg(long, default_value_t = 0.12)]
    pace_s: f64,
}

/// Class, priority, tasks, CPUs, seconds, part of the work, seconds between checkpoints.
const CLASSES: [(&str, &str, f64, f64, f64, f64, f64); 3] = [
    ("sums", "normal", 500.0, 1.0, 30.0, 0.45, 0.0),
    ("alarms", "urgent", 30.0, 4.0, 16.0, 0.25, 0.0),
    ("archive", "idle", 30.0, 4.0, 100.0, 0.3, 15.0),
];

struct Task {
    attempt: u64,
    phase: TaskPhase,
    cause: Option<ExitCause>,
    until: f64,
    run_s: f64,
}

struct Worker {
    name: String,
    kind: usize,
    zone: String,
    sequence: u64,
    term: u64,
    tasks: BTreeMap<TaskId, Task>,
    /// The next report without news, and the earliest one with.
    due: f64,
    earliest: f64,
    news: bool,
}

impl Worker {
    fn work(&mut self, at: f64) {
        for task in self.tasks.values_mut().filter(|task| task.until <= at) {
            match task.phase {
                TaskPhase::Fetching => {
                    task.phase = TaskPhase::Running;
                    task.until = at + task.run_s;
                }
                TaskPhase::Running | TaskPhase::Saving => {
                    let done = task.phase == TaskPhase::Running;
                    task.phase = TaskPhase::Exited;
                    task.cause = Some(if done { ExitCause::Done } else { ExitCause::Stopped });
                    task.until = f64::MAX;
                }
                _ => continue,
            }
            self.news = true;
        }
    }

    fn obey(&mut self, orders: Vec<Order>, at: f64, rng: &mut SmallRng) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    let run_s = mean_run_s(&task.job) * rng.random_range(0.6..1.5);
                    let until = at + rng.random_range(0.1..3.0);
                    let phase = TaskPhase::Fetching;
                    self.tasks.insert(task, Task { attempt, phase, cause: None, until, run_s });
                }
                Order::Stop { task, attempt, .. } => {
                    if let Some(held) = self.tasks.get_mut(&task).filter(|t| t.attempt == attempt) {
                        if held.phase != TaskPhase::Exited {
                            held.phase = TaskPhase::Saving;
                            held.until = at;
                        }
                    }
                }
                Order::Forget { task, .. } => drop(self.tasks.remove(&task)),
            }
            self.news = true;
        }
    }

    fn heartbeat(&mut self) -> Vec<u8> {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(task, held)| TaskStatus {
            task: task.clone(),
            attempt: held.attempt,
            phase: held.phase,
            cause: held.cause,
            saved: None,
        });
        let heartbeat = WorkerHeartbeat {
            machine: self.name.clone(),
            addr: "10.0.0.9:9000".to_owned(),
            machine_type: SIZES[self.kind].0.to_owned(),
            zone: self.zone.clone(),
            spot: true,
            agent_epoch: 1,
            sequence: self.sequence,
            term: self.term,
            notice_s: None,
            tasks: tasks.collect(),
        };
        serde_json::to_vec(&heartbeat).unwrap_or_default()
    }
}

/// The last digit of a job's number is its class.
fn class_of(id: &JobId) -> usize {
    usize::from(id.to_string().bytes().next_back().unwrap_or(b'0') - b'0')
}

fn mean_run_s(id: &JobId) -> f64 {
    CLASSES[class_of(id)].4
}

fn spec(number: u32, class: usize, rng: &mut SmallRng) -> Option<JobSpec> {
    let (name, priority, tasks, cpus, run_s, _, checkpoint_s) = CLASSES[class];
    let tasks = (tasks * rng.random_range(0.2..1.8)).max(1.0) as u32;
    let team = if rng.random_bool(0.3) && class == 1 { "a" } else { "b" };
    let image = rng.random_range(0..8);
    let text = format!(
        "{{\"name_id\":\"j-{number:05}{class}\",\"pool\":\"{name}\",\"owner\":\"{team}\",\"shape\":\"sweep\",\"rank\":\"{priority}\",\
         \"pieces\":{tasks},\"vcpus\":{cpus:.1},\"accelerators\":0.0,\"mem_gb\":1.0,\"bundle\":\"{name}-{image}\",\"image_gb\":1.5,\
         \"same_place\":false,\"apart\":false,\"loaners\":true,\"guess_s\":{run_s:.1},\"snapshot_s\":{checkpoint_s:.1},\"flush_s\":2.0}}"
    );
    JobSpec::parse(text.as_bytes()).ok()
}

/// Times and counts of one kind of work.
#[derive(Default)]
struct Cost {
    count: u64,
    spent: Duration,
    most: Duration,
}

impl Cost {
    fn of<T>(&mut self, work: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = work();
        let spent = started.elapsed();
        self.count += 1;
        self.spent += spent;
        self.most = self.most.max(spent);
        result
    }

    fn print(&self, name: &str, seconds: f64) {
        let mean_us = self.spent.as_secs_f64() * 1e6 / self.count.max(1) as f64;
        println!(
            "{name:9} {:8.1} a second, {mean_us:9.1} us each, {:9.1} at most, {:6.2} ms a second",
            self.count as f64 / seconds,
            self.most.as_secs_f64() * 1e6,
            self.spent.as_secs_f64() * 1e3 / seconds
        );
    }
}

fn config(cpus: f64) -> Config {
    let team = |name: &str, part: f64| Team {
        name: name.to_owned(),
        cpus: cpus * part,
        cpus_max: cpus * part * 3.0,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    let objective = |kind: &str, class: Option<&str>, within_s: f64| Objective {
        kind: kind.to_owned(),
        class: class.map(str::to_owned),
        within_s: Some(within_s),
        share: Some(0.9),
    };
    Config {
        teams: vec![team("a", 0.25), team("b", 0.6)],
        objectives: vec![
            objective("finished", Some("sums"), 120.0),
            objective("wait", Some("alarms"), 15.0),
            objective("wait", Some("archive"), 180.0),
            objective("guarantee", None, 20.0),
        ],
        worker_lease: Duration::from_secs(26),
        heartbeat_interval: Duration::from_secs(5),
        answer_limit: Duration::from_secs(15),
        list_lag: Duration::from_secs(4),
        placement_sample: 64,
        idle_keep: Duration::from_secs(60),
    }
}

fn types() -> Vec<MachineType> {
    let kind = |(name, cpus): (&str, f64)| MachineType {
        name: name.to_owned(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: 0.06 * cpus,
        spot_price: 0.02 * cpus,
        boot_s: 30.0,
        zones: vec!["north".to_owned(), "south".to_owned()],
    };
    SIZES.into_iter().map(kind).collect()
}

fn start_workers(cli: &Cli, rng: &mut SmallRng) -> Vec<Worker> {
    (0..cli.machines)
        .map(|n| Worker {
            name: format!("host-{n:06}"),
            kind: [0, 0, 1, 0, 2, 0, 1, 0][n % 8],
            zone: if n % 2 == 0 { "north" } else { "south" }.to_owned(),
            sequence: 0,
            term: 1,
            tasks: BTreeMap::new(),
            due: rng.random_range(0.0..cli.report_s),
            earliest: 0.0,
            news: false,
        })
        .collect()
}

/// A record whose tasks may all be started.
fn claimed(spec: JobSpec) -> JobRecord {
    JobRecord {
        generation: 1,
        start_watermark: u32::MAX,
        previous_start_watermark: 0,
        ..JobRecord::new(spec, 0)
    }
}

/// What is owed of each class at first: ten seconds' worth.
fn initial_work(cpus: f64, load: f64) -> [f64; 3] {
    [cpus * load * 10.0 / 3.0; 3]
}

fn main() {
    let cli = Cli::parse();
    let mut rng = SmallRng::seed_from_u64(5);
    let mut workers = start_workers(&cli, &mut rng);
    let cpus: f64 = workers.iter().map(|w| SIZES[w.kind].1).sum();
    let mut scheduler = Scheduler::new(config(cpus), 1, 3);
    scheduler.set_types(types());
    let origin = Instant::now();
    let (mut heartbeats, mut passes, mut answers, mut ticks, mut rents) =
        (Cost::default(), Cost::default(), Cost::default(), Cost::default(), Cost::default());
    let (mut jobs, mut stops, mut starts, mut done) = (0u32, 0u64, 0u64, 0u64);
    let (mut next_pass, mut next_tick, mut next_rent) = (0.0, 0.0, 0.0);
    let mut owed = initial_work(cpus, cli.load);
    let mut bytes = 0usize;
    for step in 0..(cli.seconds / STEP_S) as u64 {
        let at = step as f64 * STEP_S;
        let now = origin + Duration::from_secs_f64(at);
        for (class, owed) in owed.iter_mut().enumerate() {
            let (_, _, _, cpus_each, run_s, part, _) = CLASSES[class];
            *owed += cpus * cli.load * part * STEP_S;
            while *owed > 0.0 {
                jobs += 1;
                let Some(spec) = spec(jobs, class, &mut rng) else { return };
                *owed -= f64::from(spec.tasks) * cpus_each * run_s;
                scheduler.claimed(claimed(spec), TaskSet::default(), 1, Duration::ZERO, now);
            }
        }
        let mut waiting = Vec::new();
        for (n, worker) in workers.iter_mut().enumerate() {
            worker.work(at);
            if at < worker.due && !(worker.news && at >= worker.earliest) {
                continue;
            }
            worker.news = false;
            worker.earliest = at + 0.5;
            worker.due = at + cli.report_s * rng.random_range(0.75..1.25);
            let body = worker.heartbeat();
            bytes += body.len();
            let taken = heartbeats.of(|| {
                let heartbeat: Option<WorkerHeartbeat> = serde_json::from_slice(&body).ok();
                let taken =
                    heartbeat.filter(|r| scheduler.on_heartbeat(r, true, now) == Verdict::Accept);
                taken.map(|r| (scheduler.may_start_on(&r.machine, now), r))
            });
            if let Some((_, heartbeat)) = taken {
                waiting.push((n, heartbeat.sequence));
            }
        }
        for action in scheduler.take_actions() {
            match action {
                Action::Record(name, _) => scheduler.machine_recorded(&name, true),
                Action::Direct { machine, orders, .. } => {
                    stops += orders.len() as u64;
                    let worker = workers.iter_mut().find(|w| w.name == machine);
                    worker.into_iter().for_each(|w| w.obey(orders.clone(), at, &mut rng));
                }
                Action::Rent(request) => scheduler.rental_answered(&request, Err(true), now),
                _ => {}
            }
        }
        if at >= next_tick {
            next_tick = at + 0.25;
            ticks.of(|| scheduler.tick(now));
        }
        if at >= next_rent {
            next_rent = at + 1.0;
            rents.of(|| scheduler.scale(now));
        }
        if at >= next_pass {
            next_pass = at + cli.pace_s;
            passes.of(|| scheduler.run_placement_pass(now));
        }
        for completion_commit in scheduler.due_completion_commits(40, now) {
            done += completion_commit.tasks.len() as u64;
            scheduler.completion_committed(&completion_commit, 1);
        }
        for (n, sequence) in waiting {
            let worker = &mut workers[n];
            let reply = answers.of(|| {
                let orders = scheduler.orders(&worker.name, 1, sequence, true, now);
                let reply = HeartbeatReply { term: 1, orders };
                (serde_json::to_vec(&reply).map(|b| b.len()).unwrap_or(0), reply)
            });
            starts +=
                reply.1.orders.iter().filter(|o| matches!(o, Order::Start { .. })).count() as u64;
            worker.obey(reply.1.orders, at, &mut rng);
        }
    }
    let view = scheduler.overview(origin + Duration::from_secs_f64(cli.seconds));
    println!(
        "{} machines, {cpus:.0} CPUs, {jobs} jobs came, {} left, {} tasks wait, {} run; {starts} starts, {stops} stops, {done} done",
        cli.machines, view.jobs, view.waiting_tasks, view.running_tasks
    );
    heartbeats.print("reports", cli.seconds);
    answers.print("answers", cli.seconds);
    passes.print("passes", cli.seconds);
    ticks.print("ticks", cli.seconds);
    rents.print("renting", cli.seconds);
    println!("{:.0} bytes a report", bytes as f64 / heartbeats.count.max(1) as f64);
}
