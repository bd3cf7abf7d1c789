//! Answers to heartbeats: which orders leave with them, and how long an answer may wait.

use super::Scheduler;
use crate::job::Job;
use crate::machine::{Machine, MachineState, MachineTask, MachineTaskState, MessageNumber};
use corkfield_wire::worker::Order;
use corkfield_wire::{AgentEpoch, JobId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Orders in one answer; keeps the answer's only line far below 64 KiB.
const MAX_ORDERS: usize = 250;

impl Scheduler {
    /// Whether a placement pass might start something there, now that it has sent a heartbeat.
    pub fn may_start_on(&self, name: &str, now: Instant) -> bool {
        self.cluster.machines.get(name).is_some_and(|machine| {
            machine.can_accept_starts(now, Duration::MAX)
                && machine.free_resources().is_some_and(|free| free.cpus > 0.0)
        }) && self.cluster.jobs.values().any(|job| job.may_start() && job.waiting_tasks() > 0)
    }

    /// Whether starts wait for that machine's next heartbeat.
    pub fn has_starts_for(&self, name: &str) -> bool {
        let assigned =
            |machine_task: &MachineTask| machine_task.state == MachineTaskState::Assigned;
        self.cluster.machines.get(name).is_some_and(|machine| machine.tasks.values().any(assigned))
    }

    /// Whether the answer to a heartbeat may wait for tasks to start: the machine has nothing to
    /// report.
    pub fn may_delay_answer(&self, name: &str) -> bool {
        self.cluster.machines.get(name).is_some_and(|m| {
            m.is_fenced
                && m.tasks.is_empty()
                && m.state() == MachineState::Up
                && !m.has_interruption_notice
        })
    }

    /// The answer to the heartbeat with this agent epoch and number. `may_start` is false while
    /// our own lease may have ended (S4). Every call counts as an answer with 200.
    pub fn orders(
        &mut self,
        name: &str,
        agent_epoch: AgentEpoch,
        sequence: u64,
        may_start: bool,
        now: Instant,
    ) -> Vec<Order> {
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return Vec::new();
        };
        let answered = MessageNumber { agent_epoch, sequence };
        machine.lease.record_answer(self.term, now);
        machine.ordering_tracker.term_exposure.record_answer(self.term, answered);
        if !machine.is_fenced {
            return Vec::new();
        }
        let mut orders = forget_or_mark_stopped(machine, &self.cluster.jobs, &self.unclaimed);
        orders.extend(machine.stop_orders());
        orders.truncate(MAX_ORDERS);
        let is_newest = machine.message_history.newest() == answered;
        if may_start && is_newest && machine.can_accept_starts(now, Duration::MAX) {
            let most = MAX_ORDERS - orders.len();
            orders.extend(order_starts(machine, &self.cluster.jobs, answered, most, now));
        }
        orders
    }
}

/// Orders the worker to forget tasks that have exited, and marks tasks to be stopped that are
/// nobody's.
fn forget_or_mark_stopped(
    machine: &mut Machine,
    jobs: &BTreeMap<JobId, Job>,
    unclaimed: &BTreeSet<JobId>,
) -> Vec<Order> {
    let mut orders = Vec::new();
    for (key, machine_task) in machine.tasks.iter_mut() {
        let job = jobs.get(&key.task.job);
        if job.is_none() && unclaimed.contains(&key.task.job) {
            continue;
        }
        if may_forget(machine_task.state, job, key.task.index) {
            orders.push(Order::Forget { task: key.task.clone(), attempt: key.attempt });
        } else if job.is_none() && machine_task.uses_resources() {
            // S11: nobody's task, so cancelled, done or lost.
            machine_task.stop_without_grace();
        }
    }
    orders
}

/// Whether the worker may forget a task, given its job if that is known.
fn may_forget(state: MachineTaskState, job: Option<&Job>, index: u32) -> bool {
    match state {
        // S9: stored before it is forgotten.
        MachineTaskState::Done => job.is_none_or(|job| !job.is_live() || job.is_stored(index)),
        MachineTaskState::Exited => true,
        _ => false,
    }
}

/// Orders up to `most` assigned tasks to start, with the answer to that heartbeat (S3).
fn order_starts(
    machine: &mut Machine,
    jobs: &BTreeMap<JobId, Job>,
    answered: MessageNumber,
    most: usize,
    now: Instant,
) -> Vec<Order> {
    let MessageNumber { agent_epoch, sequence } = answered;
    let mut starts = Vec::new();
    for (key, machine_task) in machine.tasks.iter_mut() {
        if machine_task.state != MachineTaskState::Assigned || starts.len() >= most {
            continue;
        }
        let Some(job) = jobs.get(&key.task.job).filter(|job| job.may_start()) else {
            continue;
        };
        // The order's generation must be that of the job's record.
        debug_assert_eq!(key.attempt.generation(), job.record.generation);
        let waited_ms = now.saturating_duration_since(machine_task.state_since).as_millis();
        machine_task.enter(MachineTaskState::Ordered { agent_epoch, sequence }, now);
        tracing::debug!(
            task = %key.task,
            machine = machine.name.as_str(),
            attempt = key.attempt.get(),
            generation = key.attempt.generation().get(),
            record_generation = job.record.generation.get(),
            agent_epoch = agent_epoch.get(),
            sequence,
            waited_ms,
            "start ordered"
        );
        starts.push(Order::Start { task: key.task.clone(), attempt: key.attempt });
    }
    starts
}
