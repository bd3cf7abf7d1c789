//! State of one machine: its worker, the tasks on it, and what is proved about both.
//!
//! All knowledge about a machine comes from the messages of its worker, from the cloud's list of
//! machines, and from the record that an earlier leader stored.

mod health;
mod image_cache;
mod lease;
mod message_history;
mod message_ordering;
mod message_processing;
mod origin;
mod reachability;
mod resources;
mod room;
mod state;
mod task_uncertainty;
mod tasks;
mod term_exposure;
#[cfg(test)]
mod tests;

pub use origin::{MessageOrigin, PendingDirectRequest};
pub use reachability::Reachability;
pub use resources::Resources;
pub use state::{MachineState, RecordState};
pub use tasks::{MachineTask, MachineTaskState, MachineTasks, TaskAttempt};

pub use message_history::MessageNumber;

pub(crate) use message_ordering::MessageOrdering;
pub(crate) use room::TaskLimit;
pub(crate) use task_uncertainty::TaskUncertainty;

use crate::job::Job;
use corkfield_wire::cloud::{ListedMachine, MachineType};
use corkfield_wire::records::MachineRecord;
use corkfield_wire::worker::{Order, WorkerHeartbeat};
use corkfield_wire::{Attempt, JobSpec, MachineName, TaskId, Term};
use health::MachineHealth;
use image_cache::ImageCache;
use lease::WorkerLease;
use message_history::MessageHistory;
use message_ordering::OrderingTracker;
use std::time::{Duration, Instant};
use tasks::TaskDemand;
use term_exposure::TermExposure;

/// Returns whether a job may run on machines with the given type and zone that are spot machines
/// or not, as given by `spot`.
pub(crate) fn may_run_on(spec: &JobSpec, type_name: &str, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.types.as_ref().is_none_or(|names| names.iter().any(|name| name == type_name))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

/// A machine, with everything that this leader knows about it.
#[derive(Debug)]
pub struct Machine {
    /// Name of the machine in the cloud.
    pub name: MachineName,
    /// Address at which the worker accepts direct orders; empty if it is not known yet.
    pub addr: String,
    /// Name of the machine type.
    pub type_name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether this is a spot machine.
    pub spot: bool,
    /// The machine type; `None` if the cloud's types are not known or don't contain it.
    pub(crate) machine_type: Option<MachineType>,
    /// Current phase of the machine's life.
    state: MachineState,
    /// Whether the key-value store has a record which says that the machine may hold tasks.
    pub record_state: RecordState,
    /// Whether the worker no longer accepts orders of earlier leaders (S7).
    pub is_fenced: bool,
    /// Numbers and terms of the messages that the worker has sent so far.
    pub(crate) message_history: MessageHistory,
    /// What is needed to order the worker's messages across restarts of the worker's process.
    pub(crate) ordering_tracker: OrderingTracker,
    /// Set while the worker's messages don't prove which tasks are on the machine.
    pub(crate) task_uncertainty: Option<TaskUncertainty>,
    /// The worker's lease.
    pub(crate) lease: WorkerLease,
    /// Since when the machine is known to exist.
    pub(crate) known_since: Instant,
    /// When the machine was rented; if a heartbeat or a record reported it first, when it became
    /// known to this leader.
    pub(crate) rented_at: Instant,
    /// When the worker's newest message arrived.
    pub(crate) last_message_at: Option<Instant>,
    /// Whether orders reach the worker.
    reachability: Reachability,
    /// Number of consecutive direct requests that the worker did not answer.
    unanswered_requests: u32,
    /// Whether the cloud has announced that it will reclaim this spot machine.
    pub(crate) has_interruption_notice: bool,
    /// Since when scale-in has found no task on the machine.
    pub(crate) idle_since: Option<Instant>,
    /// Tasks that are, or may be, on the machine.
    pub tasks: MachineTasks,
    /// Images that the machine has probably cached.
    pub(crate) image_cache: ImageCache,
    /// Failures, refused starts and slowness observed on the machine.
    pub(crate) health: MachineHealth,
}

impl Machine {
    /// Creates a booting machine from its description; its worker has sent nothing yet.
    pub(crate) fn new(
        name: MachineName,
        type_name: String,
        zone: String,
        spot: bool,
        types: &[MachineType],
        now: Instant,
    ) -> Self {
        let machine_type = find_machine_type(types, &type_name);
        Self {
            name,
            addr: String::new(),
            type_name,
            zone,
            spot,
            machine_type,
            state: MachineState::Booting,
            record_state: RecordState::NotStored,
            is_fenced: false,
            message_history: MessageHistory::default(),
            ordering_tracker: OrderingTracker::default(),
            task_uncertainty: None,
            lease: WorkerLease::new(now),
            known_since: now,
            rented_at: now,
            last_message_at: None,
            reachability: Reachability::Reachable,
            unanswered_requests: 0,
            has_interruption_notice: false,
            idle_since: None,
            tasks: MachineTasks::default(),
            image_cache: ImageCache::default(),
            health: MachineHealth::default(),
        }
    }

    /// Creates a machine from the record of an earlier leader, stored at least `age` ago (S7).
    pub(crate) fn from_record(
        name: &str,
        record: &MachineRecord,
        types: &[MachineType],
        age: Duration,
        now: Instant,
    ) -> Self {
        let MachineRecord { addr, machine_type, zone, spot, .. } = record.clone();
        let mut machine = Self::new(MachineName::from(name), machine_type, zone, spot, types, now);
        machine.addr = addr;
        machine.record_state = RecordState::Stored;
        // The machine existed when the record was stored. So if the machine is missing from a cloud
        // list that was requested shortly after the failover, that already proves that the machine
        // no longer exists.
        machine.known_since = now.checked_sub(age).unwrap_or(now);
        machine.transition_to(MachineState::Up);
        machine
    }

    /// Creates a machine that became known by a heartbeat of its worker.
    pub(crate) fn from_heartbeat(
        heartbeat: &WorkerHeartbeat,
        types: &[MachineType],
        now: Instant,
    ) -> Self {
        let WorkerHeartbeat { machine, machine_type, zone, spot, .. } = heartbeat;
        tracing::debug!(machine = machine.as_str(), machine_type, "machine found by a heartbeat");
        Self::new(machine.clone(), machine_type.clone(), zone.clone(), *spot, types, now)
    }

    /// Creates a machine that became known by the cloud's list of machines.
    pub(crate) fn from_listed(entry: &ListedMachine, types: &[MachineType], now: Instant) -> Self {
        let ListedMachine { name, machine_type, zone, spot, .. } = entry.clone();
        let mut machine = Self::new(name, machine_type, zone, spot, types, now);
        let age = Duration::try_from_secs_f64(entry.age_s).unwrap_or_default();
        machine.rented_at = now.checked_sub(age).unwrap_or(now);
        machine
    }

    /// Returns the current phase of the machine's life.
    pub fn state(&self) -> MachineState {
        self.state
    }

    /// Changes the machine's state. All changes go through this method, and a machine never leaves
    /// `Deleting`.
    pub(crate) fn transition_to(&mut self, state: MachineState) {
        if self.state == state || self.state == MachineState::Deleting {
            return;
        }
        tracing::debug!(
            machine = %self.name,
            from = ?self.state,
            to = ?state,
            "machine state changed"
        );
        self.state = state;
    }

    /// Returns whether orders reach the worker.
    pub fn reachability(&self) -> Reachability {
        self.reachability
    }

    /// Updates the reachability; all changes go through this method. `delivered` is true if the
    /// newest heartbeat confirms a start that was sent before it, or if the worker answered a direct
    /// request. It is false if starts are missing; see [`Reachability`].
    pub(crate) fn update_reachability(&mut self, delivered: bool) {
        let next = self.reachability.after_delivery(delivered);
        if (next == Reachability::Unreachable) != (self.reachability == Reachability::Unreachable) {
            tracing::debug!(
                machine = %self.name,
                from = ?self.reachability,
                to = ?next,
                "machine reachability changed"
            );
        }
        self.reachability = next;
    }

    /// Sets the worker's address from the cloud's list, unless a message has already reported one.
    pub(crate) fn set_addr_if_unknown(&mut self, addr: &str) {
        if self.addr.is_empty() {
            addr.clone_into(&mut self.addr);
        }
    }

    /// Looks up the machine's type in the cloud's machine types.
    pub(crate) fn update_machine_type(&mut self, types: &[MachineType]) {
        self.machine_type = find_machine_type(types, &self.type_name);
    }

    /// Counts a direct request that the worker did not answer in time.
    pub(crate) fn record_unanswered_request(&mut self) {
        self.unanswered_requests += 1;
    }

    /// Returns how many consecutive direct requests the worker did not answer.
    pub(crate) fn unanswered_requests(&self) -> u32 {
        self.unanswered_requests
    }

    /// Marks the machine as fenced if the heartbeat proves that the worker accepts no orders of
    /// earlier leaders (S7). Returns whether the machine is fenced now.
    ///
    /// A heartbeat under our term proves that the worker drops orders of earlier leaders. A machine
    /// without a record and without tasks needs no such proof: no leader ever gave it a task.
    pub(crate) fn update_fence(&mut self, heartbeat: &WorkerHeartbeat, our_term: Term) -> bool {
        let is_unused = self.record_state == RecordState::NotStored && heartbeat.tasks.is_empty();
        self.is_fenced = self.is_fenced || is_unused || heartbeat.term == our_term;
        self.is_fenced
    }

    /// Expires the worker's lease if no controller can have renewed it within the last
    /// `expiry_timeout` (S5c). Returns whether the lease expired in this call.
    pub(crate) fn expire_lease_if_due(&mut self, now: Instant, expiry_timeout: Duration) -> bool {
        if self.state == MachineState::Booting || !self.lease.is_expiry_due(now, expiry_timeout) {
            return false;
        }
        tracing::debug!(machine = %self.name, "worker lease has expired");
        self.lease.expire();
        self.is_fenced = false;
        self.task_uncertainty = None;
        self.message_history.end_agent_epoch();
        if self.tasks.values().any(MachineTask::is_ordered) {
            self.update_reachability(false);
        }
        true
    }

    /// Returns whether the worker's lease has expired and no fresh heartbeat has arrived since.
    pub(crate) fn is_lease_expired(&self) -> bool {
        self.lease.is_expired()
    }

    /// Marks the machine's record as being written and returns the record to store. Returns `None`
    /// if the record is stored or being written already.
    pub(crate) fn begin_record_write(&mut self) -> Option<MachineRecord> {
        if self.record_state != RecordState::NotStored {
            return None;
        }
        self.record_state = RecordState::Writing;
        Some(MachineRecord {
            addr: self.addr.clone(),
            machine_type: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            recorded_ms: 0,
        })
    }

    /// Records the result of the write of the machine's record.
    pub(crate) fn finish_record_write(&mut self, stored: bool) {
        self.record_state = if stored { RecordState::Stored } else { RecordState::NotStored };
    }

    /// Returns the resources that no task uses; `None` if the machine type is unknown or a task
    /// with unknown resources is on the machine.
    pub(crate) fn free_resources(&self) -> Option<Resources> {
        let machine_type = self.machine_type.as_ref()?;
        let totals = self.tasks.totals();
        if totals.has_unknown_tasks {
            return None;
        }
        let mut free = Resources::capacity_of(machine_type);
        free.subtract(&totals.used);
        Some(free)
    }

    /// Returns whether tasks take much longer on this machine than the mean run times of their jobs.
    pub(crate) fn is_slow(&self) -> bool {
        self.health.is_slow()
    }

    /// Returns whether a task has failed on this machine since a task last completed on it.
    pub(crate) fn has_failures(&self) -> bool {
        self.health.has_failures()
    }

    /// Assigns a task of the job to the machine; its start has not been ordered yet.
    pub(crate) fn assign_task(&mut self, task: TaskId, attempt: Attempt, job: &Job, now: Instant) {
        let spec = job.spec();
        let assigned = MachineTask::assigned(TaskDemand::per_task(spec, job.team), now);
        self.tasks.insert(TaskAttempt { task, attempt }, assigned);
        self.mark_image_used(&spec.image, spec.image_gb);
    }

    /// Marks a task to be stopped and returns the order to stop it; `None` if the task is not on
    /// the machine.
    pub(crate) fn stop_task(&mut self, key: &TaskAttempt, grace: Duration) -> Option<Order> {
        self.tasks.get_mut(key)?.stop_grace = Some(grace);
        Some(build_stop_order(key, grace))
    }

    /// Returns whether no task on the machine uses resources.
    pub(crate) fn is_idle(&self) -> bool {
        self.tasks.totals().tasks == 0
    }

    /// Returns whether tasks may be assigned to the machine and their starts be sent. Its newest
    /// message must not be older than `max_silence`.
    pub(crate) fn can_accept_starts(&self, now: Instant, max_silence: Duration) -> bool {
        self.state == MachineState::Up
            && self.is_fenced
            && !self.is_lease_expired()
            && !self.has_interruption_notice
            && self.reachability != Reachability::Unreachable
            && self.record_state == RecordState::Stored
            && self.last_message_at.is_some_and(|at| now.duration_since(at) <= max_silence)
            && self.health.can_accept_starts(now)
    }

    /// Returns whether a job may run on the machine.
    pub(crate) fn may_run(&self, spec: &JobSpec) -> bool {
        may_run_on(spec, &self.type_name, &self.zone, self.spot)
    }

    /// Marks an image as the most recently used one in the machine's cache.
    pub(crate) fn mark_image_used(&mut self, image: &str, size_gb: f64) {
        let capacity_gb =
            self.machine_type.as_ref().map_or(0.0, |machine_type| machine_type.cache_gb);
        self.image_cache.mark_used(image, size_gb, capacity_gb);
    }

    /// Returns the orders to stop tasks. They are repeated with every answer until they take
    /// effect.
    pub(crate) fn stop_orders(&self) -> impl Iterator<Item = Order> + '_ {
        self.tasks.iter().filter_map(|(key, machine_task)| {
            let grace = machine_task.stop_grace_to_send()?;
            Some(build_stop_order(key, grace))
        })
    }
}

/// Returns the machine type with the given name.
fn find_machine_type(types: &[MachineType], name: &str) -> Option<MachineType> {
    types.iter().find(|machine_type| machine_type.name == name).cloned()
}

/// Builds the order to stop a task within `grace`, the time that it has to save a checkpoint.
fn build_stop_order(key: &TaskAttempt, grace: Duration) -> Order {
    let TaskAttempt { task, attempt } = key.clone();
    Order::Stop { task, attempt, grace_s: grace.as_secs_f64() }
}
