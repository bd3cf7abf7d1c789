//! A machine and everything that may be on it.

mod health;
mod image_cache;
mod lease;
mod message_history;
mod message_ordering;
mod message_processing;
mod origin;
mod reachability;
mod resources;
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

/// Whether a job may run on machines of that type, in that zone and of that kind.
pub(crate) fn may_run_on(spec: &JobSpec, type_name: &str, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.types.as_ref().is_none_or(|names| names.iter().any(|name| name == type_name))
        && spec.zone.as_ref().is_none_or(|only| only == zone)
}

/// A machine, and what this leader knows of it.
#[derive(Debug)]
pub struct Machine {
    /// Its name in the cloud.
    pub name: MachineName,
    /// Where its worker takes direct orders.
    pub addr: String,
    /// Name of its type.
    pub type_name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its type, if the cloud's types are known and it is among them.
    pub(crate) machine_type: Option<MachineType>,
    /// What it is used for.
    state: MachineState,
    /// Whether the key-value store knows that it may hold tasks.
    pub record_state: RecordState,
    /// No order of an earlier leader can act on it any more (S7).
    pub fenced: bool,
    /// The order of its worker's messages.
    pub(crate) message_history: MessageHistory,
    /// What is known of its worker's processes and exchanges.
    pub(crate) ordering_tracker: OrderingTracker,
    /// Since when it has to be asked what it holds, as its heartbeats don't prove it.
    pub(crate) task_uncertainty: Option<TaskUncertainty>,
    /// Its worker's lease.
    pub(crate) lease: WorkerLease,
    /// Since when it is known to exist.
    pub(crate) known_since: Instant,
    /// When it was rented, as far as is known.
    pub(crate) rented_at: Instant,
    /// When its worker's newest message came.
    pub(crate) last_message_at: Option<Instant>,
    /// Whether orders reach its worker.
    reachability: Reachability,
    /// Direct orders in a row that were not answered.
    unanswered_requests: u32,
    /// The cloud has announced that it takes this spot machine back.
    pub(crate) has_interruption_notice: bool,
    /// Since when nothing is on it, as scale-in found it.
    pub(crate) idle_since: Option<Instant>,
    /// The tasks that are, or may be, on it.
    pub tasks: MachineTasks,
    /// Images that it probably has.
    pub(crate) image_cache: ImageCache,
    /// What its tasks tell about it.
    pub(crate) health: MachineHealth,
}

impl Machine {
    /// A machine of which nothing is known but that it exists.
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
            fenced: false,
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

    /// A machine that an earlier leader recorded, `age` ago at the least (S7).
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
        // It existed then, so the first lists may tell already that it is gone.
        machine.known_since = now.checked_sub(age).unwrap_or(now);
        machine.enter(MachineState::Up);
        machine
    }

    /// A machine that was not known before its worker sent a heartbeat.
    pub(crate) fn from_heartbeat(
        heartbeat: &WorkerHeartbeat,
        types: &[MachineType],
        now: Instant,
    ) -> Self {
        let WorkerHeartbeat { machine, machine_type, zone, spot, .. } = heartbeat;
        tracing::debug!(machine = machine.as_str(), machine_type, "new machine");
        Self::new(machine.clone(), machine_type.clone(), zone.clone(), *spot, types, now)
    }

    /// A machine that was not known before the cloud listed it.
    pub(crate) fn from_listed(entry: &ListedMachine, types: &[MachineType], now: Instant) -> Self {
        let ListedMachine { name, machine_type, zone, spot, .. } = entry.clone();
        let mut machine = Self::new(name, machine_type, zone, spot, types, now);
        let age = Duration::try_from_secs_f64(entry.age_s).unwrap_or_default();
        machine.rented_at = now.checked_sub(age).unwrap_or(now);
        machine
    }

    /// What it is used for.
    pub fn state(&self) -> MachineState {
        self.state
    }

    /// The one place where a machine's state changes; it never comes back from deletion.
    pub(crate) fn enter(&mut self, state: MachineState) {
        if self.state == state || self.state == MachineState::Deleting {
            return;
        }
        tracing::debug!(machine = %self.name, from = ?self.state, to = ?state, "machine state");
        self.state = state;
    }

    /// Whether orders reach its worker.
    pub fn reachability(&self) -> Reachability {
        self.reachability
    }

    /// The one place where its reachability changes. `delivered` says whether its newest heartbeat
    /// shows the starts sent before; an answer to a direct order proves that orders reach it.
    pub(crate) fn update_reachability(&mut self, delivered: bool) {
        let next = self.reachability.after_delivery(delivered);
        if (next == Reachability::Unreachable) != (self.reachability == Reachability::Unreachable) {
            tracing::debug!(
                machine = %self.name,
                from = ?self.reachability,
                to = ?next,
                "machine reachability"
            );
        }
        self.reachability = next;
    }

    /// Its worker's address as the cloud lists it, if it is not known from a message.
    pub(crate) fn set_addr_if_unknown(&mut self, addr: &str) {
        if self.addr.is_empty() {
            addr.clone_into(&mut self.addr);
        }
    }

    /// Takes its size from the cloud's machine types.
    pub(crate) fn update_machine_type(&mut self, types: &[MachineType]) {
        self.machine_type = find_machine_type(types, &self.type_name);
    }

    /// Its worker did not answer direct orders in time.
    pub(crate) fn record_unanswered_request(&mut self) {
        self.unanswered_requests += 1;
    }

    /// How many direct orders in a row its worker did not answer.
    pub(crate) fn unanswered_requests(&self) -> u32 {
        self.unanswered_requests
    }

    /// S7: only what was sent after the worker took our term is fresh. A machine without a
    /// record was never given a task by anybody. Returns whether the machine is fenced now.
    pub(crate) fn update_fence(&mut self, heartbeat: &WorkerHeartbeat, our_term: Term) -> bool {
        let unused = self.record_state == RecordState::NotStored && heartbeat.tasks.is_empty();
        self.fenced = self.fenced || unused || heartbeat.term == our_term;
        self.fenced
    }

    /// Ends the worker's lease if it is surely over (S5c: no controller can have answered it for
    /// longer than its lease). Returns whether it has just expired.
    pub(crate) fn expire_lease(&mut self, now: Instant, expiry_after: Duration) -> bool {
        if self.state == MachineState::Booting || !self.lease.is_expiry_due(now, expiry_after) {
            return false;
        }
        tracing::debug!(machine = %self.name, "worker lease has expired");
        self.lease.expire();
        self.fenced = false;
        self.task_uncertainty = None;
        self.message_history.end_agent_epoch();
        if self.tasks.values().any(MachineTask::is_ordered) {
            self.update_reachability(false);
        }
        true
    }

    /// Whether its worker's lease has expired, with no fresh heartbeat since.
    pub(crate) fn lease_expired(&self) -> bool {
        self.lease.is_expired()
    }

    /// Begins the write of its record, if it has none: returns the record to store.
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

    /// The write of its record was answered: it is `stored`, or the write failed.
    pub(crate) fn finish_record_write(&mut self, stored: bool) {
        self.record_state = if stored { RecordState::Stored } else { RecordState::NotStored };
    }

    /// Capacity that no task takes; none while something of unknown size is there.
    pub(crate) fn free_resources(&self) -> Option<Resources> {
        let size = self.machine_type.as_ref()?;
        let totals = self.tasks.totals();
        if totals.has_unknown_tasks {
            return None;
        }
        let mut free = Resources::capacity_of(size);
        free.subtract(&totals.used);
        Some(free)
    }

    /// Its tasks took much longer than the same jobs' tasks elsewhere.
    pub(crate) fn is_slow(&self) -> bool {
        self.health.is_slow()
    }

    /// Whether a task failed here since one last completed.
    pub(crate) fn has_failures(&self) -> bool {
        self.health.has_failures()
    }

    /// Takes a task of the job that was chosen for it; no order has left yet.
    pub(crate) fn assign(&mut self, task: TaskId, attempt: Attempt, job: &Job, now: Instant) {
        let spec = job.spec();
        let assigned = MachineTask::assigned(TaskDemand::per_task(spec, job.team), now);
        self.tasks.insert(TaskAttempt { task, attempt }, assigned);
        self.mark_image_used(&spec.image, spec.image_gb);
    }

    /// Marks a task to be stopped, and gives the order for it.
    pub(crate) fn stop_task(&mut self, key: &TaskAttempt, grace: Duration) -> Option<Order> {
        self.tasks.get_mut(key)?.stop_grace = Some(grace);
        Some(build_stop_order(key, grace))
    }

    /// Whether nothing on it takes room.
    pub(crate) fn is_idle(&self) -> bool {
        self.tasks.totals().tasks == 0
    }

    /// Whether starts may be assigned to it; `silence` is the longest time since its newest
    /// message.
    pub(crate) fn can_accept_starts(&self, now: Instant, max_silence: Duration) -> bool {
        self.state == MachineState::Up
            && self.fenced
            && !self.lease_expired()
            && !self.has_interruption_notice
            && self.reachability != Reachability::Unreachable
            && self.record_state == RecordState::Stored
            && self.last_message_at.is_some_and(|at| now.duration_since(at) <= max_silence)
            && self.health.can_accept_starts(now)
    }

    /// Whether a job may run on it.
    pub(crate) fn may_run(&self, spec: &JobSpec) -> bool {
        may_run_on(spec, &self.type_name, &self.zone, self.spot)
    }

    /// Notes an image as the most recently used.
    pub(crate) fn mark_image_used(&mut self, image: &str, size_gb: f64) {
        let capacity_gb = self.machine_type.as_ref().map_or(0.0, |size| size.cache_gb);
        self.image_cache.mark_used(image, size_gb, capacity_gb);
    }

    /// Stops that have to be sent to the worker, again with every answer.
    pub(crate) fn stop_orders(&self) -> impl Iterator<Item = Order> + '_ {
        self.tasks.iter().filter_map(|(key, machine_task)| {
            let grace = machine_task.stop_grace_to_send()?;
            Some(build_stop_order(key, grace))
        })
    }
}

/// The machine type of that name.
fn find_machine_type(types: &[MachineType], name: &str) -> Option<MachineType> {
    types.iter().find(|machine_type| machine_type.name == name).cloned()
}

/// The order to stop a task, with so much time to save.
fn build_stop_order(key: &TaskAttempt, grace: Duration) -> Order {
    let TaskAttempt { task, attempt } = key.clone();
    Order::Stop { task, attempt, grace_s: grace.as_secs_f64() }
}
