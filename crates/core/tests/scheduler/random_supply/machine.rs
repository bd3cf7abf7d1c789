//! Machines of the simulation: they boot, run tasks for their time and report them.

use corkfield_wire::cloud::{MachineType, RentRequest};
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat};
use corkfield_wire::{AgentEpoch, Attempt, JobId, MachineName, TaskId, Term};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Run time of a task that fails.
const FAILING_RUN: Duration = Duration::from_millis(500);

/// A task on a machine.
struct Task {
    ends_at: Instant,
    cause: Option<ExitCause>,
    fails: bool,
}

/// A rented machine.
pub struct Machine {
    pub name: MachineName,
    pub machine_type: MachineType,
    pub zone: String,
    pub spot: bool,
    pub up_at: Instant,
    /// Tasks that start before this time fail.
    pub fails_until: Instant,
    pub next_heartbeat_at: Instant,
    sequence: u64,
    tasks: BTreeMap<(TaskId, Attempt), Task>,
}

impl Machine {
    /// Creates a machine that boots until `up_at`.
    pub fn new(
        name: MachineName,
        machine_type: MachineType,
        request: &RentRequest,
        up_at: Instant,
    ) -> Self {
        Self {
            name,
            machine_type,
            zone: request.zone.clone(),
            spot: request.spot,
            up_at,
            fails_until: up_at,
            next_heartbeat_at: up_at,
            sequence: 0,
            tasks: BTreeMap::new(),
        }
    }

    /// Ends the tasks whose time has come. Returns whether any has ended.
    pub fn advance(&mut self, now: Instant) -> bool {
        let mut has_ended = false;
        for task in self.tasks.values_mut() {
            if task.cause.is_none() && now >= task.ends_at {
                task.cause = Some(if task.fails { ExitCause::Error } else { ExitCause::Done });
                has_ended = true;
            }
        }
        has_ended
    }

    /// Returns the next heartbeat.
    pub fn next_heartbeat(&mut self, term: Term) -> WorkerHeartbeat {
        self.sequence += 1;
        let tasks = self.tasks.iter().map(|((task, attempt), state)| TaskStatus {
            task: task.clone(),
            attempt: *attempt,
            phase: if state.cause.is_some() { TaskPhase::Exited } else { TaskPhase::Running },
            cause: state.cause,
            saved: None,
        });
        WorkerHeartbeat {
            machine: self.name.clone(),
            addr: "10.0.0.9:9000".into(),
            machine_type: self.machine_type.name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: AgentEpoch::FIRST,
            sequence: self.sequence,
            term,
            interruption_notice_s: None,
            tasks: tasks.collect(),
        }
    }

    /// Returns the number of the last heartbeat.
    pub fn last_sequence(&self) -> u64 {
        self.sequence
    }

    /// Executes the orders of an answer; `run_time` is that of a job's tasks.
    pub fn execute(
        &mut self,
        orders: Vec<Order>,
        run_time: impl Fn(&JobId) -> Duration,
        now: Instant,
    ) {
        for order in orders {
            match order {
                Order::Start { task, attempt } => {
                    let fails = now < self.fails_until;
                    let run_time = if fails { FAILING_RUN } else { run_time(&task.job) };
                    let state = Task { ends_at: now + run_time, cause: None, fails };
                    self.tasks.entry((task, attempt)).or_insert(state);
                }
                Order::Stop { task, attempt, .. } => {
                    if let Some(state) = self.tasks.get_mut(&(task, attempt)) {
                        state.cause.get_or_insert(ExitCause::Stopped);
                    }
                }
                Order::Forget { task, attempt } => drop(self.tasks.remove(&(task, attempt))),
            }
        }
    }
}
