//! A machine and everything that may be on it.

mod doubt;
mod evidence;
mod health;
mod image_cache;
mod lease;
mod messages;
mod origin;
mod reachability;
mod receipt;
mod resources;
mod state;
mod tasks;
mod term_exposure;
#[cfg(test)]
mod tests;

pub use origin::{DirectExchange, MessageOrigin};
pub use reachability::Reachability;
pub use resources::Need;
pub use state::{MachineState, Recorded};
pub use tasks::{MachineTask, MachineTaskState, MachineTasks, TaskAttempt};

pub use messages::MessageNumber;

pub(crate) use doubt::Doubt;
pub(crate) use evidence::Evidence;

use crate::job::Job;
use corkfield_wire::cloud::{ListedMachine, MachineType};
use corkfield_wire::records::MachineRecord;
use corkfield_wire::worker::{Order, WorkerHeartbeat};
use corkfield_wire::{Attempt, JobSpec, MachineName, TaskId, Term};
use evidence::Exchanges;
use health::MachineHealth;
use image_cache::ImageCache;
use lease::WorkerLease;
use messages::MessageHistory;
use std::time::{Duration, Instant};
use tasks::TaskDemand;
use term_exposure::TermExposure;

/// Whether a job may run on machines of that type, in that zone and of that kind.
pub(crate) fn allows(spec: &JobSpec, type_name: &str, zone: &str, spot: bool) -> bool {
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
    pub(crate) size: Option<MachineType>,
    /// What it is used for.
    state: MachineState,
    /// Whether the key-value store knows that it may hold tasks.
    pub recorded: Recorded,
    /// No order of an earlier leader can act on it any more (S7).
    pub fenced: bool,
    /// The order of its worker's messages.
    pub(crate) messages: MessageHistory,
    /// What is known of its worker's processes and exchanges.
    pub(crate) exchanges: Exchanges,
    /// Since when it has to be asked what it holds, as its heartbeats don't prove it.
    pub(crate) doubt: Option<Doubt>,
    /// Its worker's lease.
    pub(crate) lease: WorkerLease,
    /// Since when it is known to exist.
    pub(crate) known_since: Instant,
    /// When it was rented, as far as is known.
    pub(crate) rented_at: Instant,
    /// When its worker's newest message came.
    pub(crate) heard_at: Option<Instant>,
    /// Whether orders reach its worker.
    reachability: Reachability,
    /// Direct orders in a row that were not answered.
    unanswered: u32,
    /// The cloud has announced that it takes this spot machine back.
    pub(crate) notice: bool,
    /// Since when nothing is on it, as scale-in found it.
    pub(crate) idle_since: Option<Instant>,
    /// The tasks that are, or may be, on it.
    pub tasks: MachineTasks,
    /// Images that it probably has.
    pub(crate) images: ImageCache,
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
        let size = find_size(types, &type_name);
        Self {
            name,
            addr: String::new(),
            type_name,
            zone,
            spot,
            size,
            state: MachineState::Booting,
            recorded: Recorded::No,
            fenced: false,
            messages: MessageHistory::default(),
            exchanges: Exchanges::default(),
            doubt: None,
            lease: WorkerLease::new(now),
            known_since: now,
            rented_at: now,
            heard_at: None,
            reachability: Reachability::Reachable,
            unanswered: 0,
            notice: false,
            idle_since: None,
            tasks: MachineTasks::default(),
            images: ImageCache::default(),
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
        machine.recorded = Recorded::Yes;
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
    pub(crate) fn note_delivery(&mut self, delivered: bool) {
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
    pub(crate) fn note_listed_addr(&mut self, addr: &str) {
        if self.addr.is_empty() {
            addr.clone_into(&mut self.addr);
        }
    }

    /// Takes its size from the cloud's machine types.
    pub(crate) fn update_size(&mut self, types: &[MachineType]) {
        self.size = find_size(types, &self.type_name);
    }

    /// Its worker did not answer direct orders in time.
    pub(crate) fn note_unanswered(&mut self) {
        self.unanswered += 1;
    }

    /// How many direct orders in a row its worker did not answer.
    pub(crate) fn unanswered(&self) -> u32 {
        self.unanswered
    }

    /// S7: only what was sent after the worker took our term is fresh. A machine without a
    /// record was never given a task by anybody. Returns whether the machine is fenced now.
    pub(crate) fn update_fence(&mut self, heartbeat: &WorkerHeartbeat, our_term: Term) -> bool {
        let unused = self.recorded == Recorded::No && heartbeat.tasks.is_empty();
        self.fenced = self.fenced || unused || heartbeat.term == our_term;
        self.fenced
    }

    /// Ends the worker's lease if it is surely over (S5c: no controller can have answered it for
    /// longer than its lease). Returns whether it has just expired.
    pub(crate) fn expire_lease(&mut self, now: Instant, expiry_after: Duration) -> bool {
        if self.state == MachineState::Booting || !self.lease.is_over(now, expiry_after) {
            return false;
        }
        tracing::debug!(machine = %self.name, "worker lease has expired");
        self.lease.expire();
        self.fenced = false;
        self.doubt = None;
        self.messages.end_agent_epoch();
        if self.tasks.values().any(MachineTask::is_ordered) {
            self.note_delivery(false);
        }
        true
    }

    /// Whether its worker's lease has expired, with no fresh heartbeat since.
    pub(crate) fn lease_expired(&self) -> bool {
        self.lease.is_expired()
    }

    /// Begins the write of its record, if it has none: returns the record to store.
    pub(crate) fn begin_recording(&mut self) -> Option<MachineRecord> {
        if self.recorded != Recorded::No {
            return None;
        }
        self.recorded = Recorded::Writing;
        Some(MachineRecord {
            addr: self.addr.clone(),
            machine_type: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            recorded_ms: 0,
        })
    }

    /// The write of its record was answered: it is `stored`, or the write failed.
    pub(crate) fn finish_recording(&mut self, stored: bool) {
        self.recorded = if stored { Recorded::Yes } else { Recorded::No };
    }

    /// Capacity that no task takes; none while something of unknown size is there.
    pub(crate) fn free(&self) -> Option<Need> {
        let size = self.size.as_ref()?;
        let totals = self.tasks.totals();
        if totals.has_unknown_tasks {
            return None;
        }
        let mut free = Need::size_of(size);
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
        self.touch_image(&spec.image, spec.image_gb);
    }

    /// Marks a task to be stopped, and gives the order for it.
    pub(crate) fn stop(&mut self, key: &TaskAttempt, grace: Duration) -> Option<Order> {
        self.tasks.get_mut(key)?.stop = Some(grace);
        Some(stop_order(key, grace))
    }

    /// Whether nothing on it takes room.
    pub(crate) fn is_empty(&self) -> bool {
        self.tasks.totals().tasks == 0
    }

    /// Whether starts may be assigned to it; `silence` is the longest time since its newest
    /// message.
    pub(crate) fn accepts_starts(&self, now: Instant, silence: Duration) -> bool {
        self.state == MachineState::Up
            && self.fenced
            && !self.lease_expired()
            && !self.notice
            && self.reachability != Reachability::Unreachable
            && self.recorded == Recorded::Yes
            && self.heard_at.is_some_and(|at| now.duration_since(at) <= silence)
            && self.health.accepts_starts(now)
    }

    /// Whether a job may run on it.
    pub(crate) fn allows(&self, spec: &JobSpec) -> bool {
        allows(spec, &self.type_name, &self.zone, self.spot)
    }

    /// Notes an image as the most recently used.
    pub(crate) fn touch_image(&mut self, image: &str, size_gb: f64) {
        let capacity_gb = self.size.as_ref().map_or(0.0, |size| size.cache_gb);
        self.images.touch(image, size_gb, capacity_gb);
    }

    /// Stops that have to be sent to the worker, again with every answer.
    pub(crate) fn stops(&self) -> impl Iterator<Item = Order> + '_ {
        self.tasks.iter().filter_map(|(key, machine_task)| {
            let grace = machine_task.stop_to_send()?;
            Some(stop_order(key, grace))
        })
    }
}

/// The machine type of that name.
fn find_size(types: &[MachineType], name: &str) -> Option<MachineType> {
    types.iter().find(|machine_type| machine_type.name == name).cloned()
}

/// The order to stop a task, with so much time to save.
fn stop_order(key: &TaskAttempt, grace: Duration) -> Order {
    let TaskAttempt { task, attempt } = key.clone();
    Order::Stop { task, attempt, grace_s: grace.as_secs_f64() }
}
