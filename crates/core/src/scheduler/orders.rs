//! Answers to heartbeats: which orders they carry, and whether they may be delayed.

use super::Scheduler;
use crate::job::Job;
use crate::machine::{Machine, MachineState, MachineTask, MachineTaskState, MessageNumber};
use corkfield_wire::worker::Order;
use corkfield_wire::{AgentEpoch, JobId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Maximum number of orders in one answer. It keeps the answer, which is a single line, far below
/// 64 KiB.
const MAX_ORDERS: usize = 250;

impl Scheduler {
    /// Returns whether a placement pass may assign tasks to a machine that has just sent a
    /// heartbeat: the machine accepts starts and has free CPUs, and tasks wait.
    pub fn may_start_tasks_on(&self, name: &str, now: Instant) -> bool {
        self.cluster.machines.get(name).is_some_and(|machine| {
            machine.can_accept_starts(now, Duration::MAX)
                && machine.free_resources().is_some_and(|free| free.cpus > 0.0)
        }) && self.cluster.jobs.values().any(|job| job.may_start_tasks() && job.waiting_tasks() > 0)
    }

    /// Returns whether tasks are assigned to the machine whose starts were not sent yet.
    pub fn has_assigned_tasks(&self, name: &str) -> bool {
        let is_assigned =
            |machine_task: &MachineTask| machine_task.state == MachineTaskState::Assigned;
        self.cluster
            .machines
            .get(name)
            .is_some_and(|machine| machine.tasks.values().any(is_assigned))
    }

    /// Returns whether the answer to the machine's heartbeat may be held back until there are
    /// orders for it. This is so if the machine is up and fenced, has no tasks and has no
    /// interruption notice.
    pub fn may_delay_answer(&self, name: &str) -> bool {
        self.cluster.machines.get(name).is_some_and(|m| {
            m.is_fenced
                && m.tasks.is_empty()
                && m.state() == MachineState::Up
                && !m.has_interruption_notice
        })
    }

    /// Returns the orders for the answer to a heartbeat, which is identified by the machine's name,
    /// the agent epoch and the sequence number.
    ///
    /// `may_send_starts` is false while the lease of this controller may have expired (S4): then the
    /// orders include no starts. Every call counts as an answer with 200, which renews the worker's
    /// lease.
    pub fn orders_for_answer(
        &mut self,
        name: &str,
        agent_epoch: AgentEpoch,
        sequence: u64,
        may_send_starts: bool,
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
        let mut orders =
            forget_exited_or_stop_orphaned(machine, &self.cluster.jobs, &self.unclaimed_jobs);
        orders.extend(machine.stop_orders());
        orders.truncate(MAX_ORDERS);
        let is_newest = machine.message_history.newest() == answered;
        if may_send_starts && is_newest && machine.can_accept_starts(now, Duration::MAX) {
            let max_starts = MAX_ORDERS - orders.len();
            orders.extend(order_starts(machine, &self.cluster.jobs, answered, max_starts, now));
        }
        orders
    }
}

/// Returns orders to forget exited tasks, and marks orphaned tasks to be stopped. A task is
/// orphaned if its job is neither known nor waiting to be claimed.
fn forget_exited_or_stop_orphaned(
    machine: &mut Machine,
    jobs: &BTreeMap<JobId, Job>,
    unclaimed_jobs: &BTreeSet<JobId>,
) -> Vec<Order> {
    let mut orders = Vec::new();
    for (key, machine_task) in machine.tasks.iter_mut() {
        let job = jobs.get(&key.task.job);
        if job.is_none() && unclaimed_jobs.contains(&key.task.job) {
            continue;
        }
        if may_forget(machine_task.state, job, key.task.index) {
            orders.push(Order::Forget { task: key.task.clone(), attempt: key.attempt });
        } else if job.is_none() && machine_task.uses_resources() {
            // S11: the job is done, cancelled or claimed by another controller, so its tasks must
            // be stopped.
            machine_task.stop_without_grace();
        }
    }
    orders
}

/// Returns whether the worker may forget a task, given the task's state and its job if that is
/// known.
fn may_forget(state: MachineTaskState, job: Option<&Job>, index: u32) -> bool {
    match state {
        // S9: a result is stored before the worker forgets it.
        MachineTaskState::Done => job.is_none_or(|job| !job.is_live() || job.is_stored(index)),
        MachineTaskState::Exited => true,
        _ => false,
    }
}

/// Returns orders to start up to `max_starts` assigned tasks. They must be sent only in the answer
/// to the heartbeat `answered` (S3).
fn order_starts(
    machine: &mut Machine,
    jobs: &BTreeMap<JobId, Job>,
    answered: MessageNumber,
    max_starts: usize,
    now: Instant,
) -> Vec<Order> {
    let MessageNumber { agent_epoch, sequence } = answered;
    let mut starts = Vec::new();
    for (key, machine_task) in machine.tasks.iter_mut() {
        if machine_task.state != MachineTaskState::Assigned || starts.len() >= max_starts {
            continue;
        }
        let Some(job) = jobs.get(&key.task.job).filter(|job| job.may_start_tasks()) else {
            continue;
        };
        // A start must carry the generation of its job's record.
        debug_assert_eq!(key.attempt.generation(), job.record.generation);
        let waited_ms = now.saturating_duration_since(machine_task.state_since).as_millis();
        machine_task.transition_to(MachineTaskState::Ordered { agent_epoch, sequence }, now);
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
