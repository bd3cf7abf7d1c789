//! Simulated workers: they advance their tasks through the phases and send heartbeats when due.

use crate::workload::{mean_run_s, SIZES};
use crate::Cli;
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat};
use corkfield_wire::{AgentEpoch, Attempt, MachineName, TaskId, Term};
use rand::rngs::SmallRng;
use rand::Rng;
use std::collections::BTreeMap;

/// Minimum time between two heartbeats of a worker, in seconds.
const MIN_HEARTBEAT_INTERVAL_S: f64 = 0.5;
/// Sizes of eight consecutive machines, as indices into [`SIZES`]; the pattern repeats.
const SIZE_PATTERN: [usize; 8] = [0, 0, 1, 0, 2, 0, 1, 0];

struct Task {
    attempt: Attempt,
    phase: TaskPhase,
    cause: Option<ExitCause>,
    /// Time at which the current phase ends.
    phase_ends_s: f64,
    /// Duration of the running phase in seconds.
    run_s: f64,
}

/// A simulated worker. All times are in simulated seconds since the start.
pub struct Worker {
    pub name: MachineName,
    size: usize,
    zone: String,
    sequence: u64,
    term: Term,
    tasks: BTreeMap<TaskId, Task>,
    /// Time of the next heartbeat without a status change.
    heartbeat_due_s: f64,
    /// Earliest time of a heartbeat after a status change.
    earliest_heartbeat_s: f64,
    /// Whether a task has changed since the last heartbeat.
    has_changes: bool,
}

impl Worker {
    /// Returns all workers. Their first heartbeats are spread over one interval.
    pub fn start_all(cli: &Cli, rng: &mut SmallRng) -> Vec<Self> {
        (0..cli.machines)
            .map(|number| Self {
                name: MachineName::from(format!("host-{number:06}")),
                size: SIZE_PATTERN[number % SIZE_PATTERN.len()],
                zone: if number % 2 == 0 { "north" } else { "south" }.to_owned(),
                sequence: 0,
                term: Term::new(1),
                tasks: BTreeMap::new(),
                heartbeat_due_s: rng.random_range(0.0..cli.heartbeat_interval_s),
                earliest_heartbeat_s: 0.0,
                has_changes: false,
            })
            .collect()
    }

    pub fn cpus(&self) -> f64 {
        SIZES[self.size].cpus
    }

    /// Advances each task whose phase has ended to the next phase.
    pub fn advance_tasks(&mut self, now_s: f64) {
        for task in self.tasks.values_mut().filter(|task| task.phase_ends_s <= now_s) {
            match task.phase {
                TaskPhase::Fetching => {
                    task.phase = TaskPhase::Running;
                    task.phase_ends_s = now_s + task.run_s;
                }
                TaskPhase::Running | TaskPhase::Saving => {
                    let is_done = task.phase == TaskPhase::Running;
                    task.phase = TaskPhase::Exited;
                    task.cause = Some(if is_done { ExitCause::Done } else { ExitCause::Stopped });
                    task.phase_ends_s = f64::MAX;
                }
                _ => continue,
            }
            self.has_changes = true;
        }
    }

    /// Executes orders without delay.
    pub fn execute(&mut self, orders: Vec<Order>, now_s: f64, rng: &mut SmallRng) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    let run_s = mean_run_s(&task.job) * rng.random_range(0.6..1.5);
                    let phase_ends_s = now_s + rng.random_range(0.1..3.0);
                    let phase = TaskPhase::Fetching;
                    self.tasks
                        .insert(task, Task { attempt, phase, cause: None, phase_ends_s, run_s });
                }
                Order::Stop { task, attempt, .. } => {
                    let known = self.tasks.get_mut(&task).filter(|known| known.attempt == attempt);
                    if let Some(known) = known.filter(|known| known.phase != TaskPhase::Exited) {
                        known.phase = TaskPhase::Saving;
                        known.phase_ends_s = now_s;
                    }
                }
                Order::Forget { task, .. } => drop(self.tasks.remove(&task)),
            }
            self.has_changes = true;
        }
    }

    /// Returns whether a heartbeat is due, or may be sent early because a task has changed.
    pub fn is_heartbeat_due(&self, now_s: f64) -> bool {
        now_s >= self.heartbeat_due_s || (self.has_changes && now_s >= self.earliest_heartbeat_s)
    }

    /// Returns the body of the next heartbeat, and sets the time of the following one, with jitter.
    pub fn send_heartbeat(&mut self, now_s: f64, interval_s: f64, rng: &mut SmallRng) -> Vec<u8> {
        self.has_changes = false;
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
            interruption_notice_s: None,
            tasks: tasks.collect(),
        };
        serde_json::to_vec(&heartbeat).unwrap_or_default()
    }
}
