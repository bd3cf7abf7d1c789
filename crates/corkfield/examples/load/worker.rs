//! Workers in simulated time: tasks go through their phases, and heartbeats become due.

use crate::workload::{mean_run_s, SIZES};
use crate::Cli;
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat};
use corkfield_wire::{AgentEpoch, Attempt, MachineName, TaskId, Term};
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::BTreeMap;

/// The time between two heartbeats, at the least, in seconds.
const MIN_HEARTBEAT_INTERVAL_S: f64 = 0.5;
/// The sizes of eight machines in turn, as indices of [`SIZES`].
const SIZE_PATTERN: [usize; 8] = [0, 0, 1, 0, 2, 0, 1, 0];

struct Task {
    attempt: Attempt,
    phase: TaskPhase,
    cause: Option<ExitCause>,
    /// When its present phase ends.
    until_s: f64,
    /// How long it runs.
    run_s: f64,
}

/// A machine's worker. All times are simulated seconds since the start.
pub struct Worker {
    pub name: MachineName,
    size: usize,
    zone: String,
    sequence: u64,
    term: Term,
    tasks: BTreeMap<TaskId, Task>,
    /// The next heartbeat without changes.
    heartbeat_due_s: f64,
    /// The earliest heartbeat with changes.
    earliest_heartbeat_s: f64,
    /// Something has changed since the last heartbeat.
    changed: bool,
}

impl Worker {
    /// All workers, whose first heartbeats are spread over one interval.
    pub fn start_all(cli: &Cli, rng: &mut SmallRng) -> Vec<Self> {
        (0..cli.machines)
            .map(|number| Self {
                name: MachineName::from(format!("host-{number:06}")),
                size: SIZE_PATTERN[number % SIZE_PATTERN.len()],
                zone: if number % 2 == 0 { "north" } else { "south" }.to_owned(),
                sequence: 0,
                term: Term::new(1),
                tasks: BTreeMap::new(),
                heartbeat_due_s: rng.random_range(0.0..cli.report_s),
                earliest_heartbeat_s: 0.0,
                changed: false,
            })
            .collect()
    }

    pub fn cpus(&self) -> f64 {
        SIZES[self.size].cpus
    }

    /// Takes each task whose phase is over to the next one.
    pub fn advance_tasks(&mut self, now_s: f64) {
        for task in self.tasks.values_mut().filter(|task| task.until_s <= now_s) {
            match task.phase {
                TaskPhase::Fetching => {
                    task.phase = TaskPhase::Running;
                    task.until_s = now_s + task.run_s;
                }
                TaskPhase::Running | TaskPhase::Saving => {
                    let done = task.phase == TaskPhase::Running;
                    task.phase = TaskPhase::Exited;
                    task.cause = Some(if done { ExitCause::Done } else { ExitCause::Stopped });
                    task.until_s = f64::MAX;
                }
                _ => continue,
            }
            self.changed = true;
        }
    }

    /// Executes orders at once.
    pub fn execute(&mut self, orders: Vec<Order>, now_s: f64, rng: &mut SmallRng) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    let run_s = mean_run_s(&task.job) * rng.random_range(0.6..1.5);
                    let until_s = now_s + rng.random_range(0.1..3.0);
                    let phase = TaskPhase::Fetching;
                    self.tasks.insert(task, Task { attempt, phase, cause: None, until_s, run_s });
                }
                Order::Stop { task, attempt, .. } => {
                    let known = self.tasks.get_mut(&task).filter(|known| known.attempt == attempt);
                    if let Some(known) = known.filter(|known| known.phase != TaskPhase::Exited) {
                        known.phase = TaskPhase::Saving;
                        known.until_s = now_s;
                    }
                }
                Order::Forget { task, .. } => drop(self.tasks.remove(&task)),
            }
            self.changed = true;
        }
    }

    /// A heartbeat is due, or may be sent early because of a change.
    pub fn is_heartbeat_due(&self, now_s: f64) -> bool {
        now_s >= self.heartbeat_due_s || (self.changed && now_s >= self.earliest_heartbeat_s)
    }

    /// The next heartbeat as it is sent; draws when the one after it is due.
    pub fn send_heartbeat(&mut self, now_s: f64, interval_s: f64, rng: &mut SmallRng) -> Vec<u8> {
        self.changed = false;
        self.earliest_heartbeat_s = now_s + MIN_HEARTBEAT_INTERVAL_S;
        self.heartbeat_due_s = now_s + interval_s * rng.random_range(0.75..1.25);
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|(id, task)| TaskStatus {
            task: id.clone(),
            attempt: task.attempt,
            phase: task.phase,
            cause: task.cause,
            saved: None,
        });
        let heartbeat = WorkerHeartbeat {
            machine: self.name.clone(),
            addr: "10.0.0.9:9000".to_owned(),
            machine_type: SIZES[self.size].name.to_owned(),
            zone: self.zone.clone(),
            spot: true,
            agent_epoch: AgentEpoch::new(1),
            sequence: self.sequence,
            term: self.term,
            termination_notice_s: None,
            tasks: tasks.collect(),
        };
        serde_json::to_vec(&heartbeat).unwrap_or_default()
    }
}
