//! Following the state service: a copy of everything below `c/`, and how fresh it is.

use crate::clock::now;
use crate::node::Node;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::cloud::MachineType;
use corkfield_wire::records::{
    FinalRecord, JobRecord, LeaderRecord, MachineTypesRecord, Membership, TransferRequest,
    CONTROLLERS_PREFIX, JOBS_PREFIX, LEADER_KEY, MACHINE_TYPES_KEY, REPLICATED_PREFIX,
    TRANSFER_REQUESTS_PREFIX,
};
use corkfield_wire::store::{Event, Events};
use corkfield_wire::JobId;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{watch, Notify};

const MAX_FINALS: usize = 20_000;
/// Between two watches. Whatever changes meanwhile comes with one answer: the leader has new jobs
/// to claim and cancelled ones to stop, while the others only stand by.
const WATCH_PAUSE: Duration = Duration::from_millis(50);
const STANDBY_WATCH_PAUSE: Duration = Duration::from_millis(500);
const WATCH_RETRY: Duration = Duration::from_millis(250);
const OUT_OF_REACH: Duration = Duration::from_secs(3600);

#[derive(Default)]
pub struct ReplicaContents {
    /// Everything up to this revision is contained.
    revision: u64,
    pub jobs: BTreeMap<JobId, (JobRecord, u64)>,
    pub controllers: BTreeMap<String, (Membership, u64)>,
    /// Versions of the transfer requests, and when each was first seen.
    transfer_requests: BTreeMap<String, (u64, Instant)>,
    pub scheduler: Option<(LeaderRecord, u64)>,
    leader_since: Option<Instant>,
    pub types: Option<Vec<MachineType>>,
    finals: HashMap<JobId, FinalRecord>,
    finals_order: VecDeque<JobId>,
}

impl ReplicaContents {
    /// Final states never change, so they may be kept as long as there is room.
    pub fn note_final(&mut self, id: &JobId, record: FinalRecord) {
        if self.finals.insert(id.clone(), record).is_none() {
            self.finals_order.push_back(id.clone());
            if self.finals_order.len() > MAX_FINALS {
                if let Some(oldest) = self.finals_order.pop_front() {
                    self.finals.remove(&oldest);
                }
            }
        }
    }

    pub fn known_final(&self, id: &JobId) -> Option<FinalRecord> {
        self.finals.get(id).cloned()
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Controllers that asked for the leader's place within that time.
    pub fn transfer_requested_within(&self, time: Duration) -> impl Iterator<Item = &String> {
        let recent = move |at: &Instant| now().saturating_duration_since(*at) < time;
        self.transfer_requests.iter().filter(move |(_, (_, at))| recent(at)).map(|(name, _)| name)
    }

    /// Whether the machine types are known, and a controller that is there plans.
    fn is_served(&self) -> bool {
        self.types.is_some()
            && self.scheduler.as_ref().is_some_and(|(record, _)| self.is_present(record))
    }

    /// Whether the process that claimed the leader record is still there.
    pub fn is_present(&self, record: &LeaderRecord) -> bool {
        let session_lease = record.node.as_ref().and_then(|node| self.controllers.get(node));
        session_lease
            .is_some_and(|(session_lease, _)| session_lease.incarnation == record.incarnation)
    }

    fn put(&mut self, key: &str, value: Value, version: u64) {
        if let Some(id) = key.strip_prefix(JOBS_PREFIX).and_then(JobId::parse) {
            if let Some(record) = read(key, value) {
                self.jobs.insert(id, (record, version));
            }
        } else if let Some(node) = key.strip_prefix(CONTROLLERS_PREFIX) {
            if let Some(session_lease) = read(key, value) {
                self.controllers.insert(node.to_owned(), (session_lease, version));
            }
        } else if let Some(node) = key.strip_prefix(TRANSFER_REQUESTS_PREFIX) {
            if read::<TransferRequest>(key, value).is_some() {
                self.transfer_requests.insert(node.to_owned(), (version, now()));
            }
        } else if key == LEADER_KEY {
            self.scheduler = read(key, value).map(|record| (record, version));
            self.leader_since = Some(now());
        } else if key == MACHINE_TYPES_KEY {
            self.types = read::<MachineTypesRecord>(key, value).map(|record| record.types);
        }
    }

    fn delete(&mut self, key: &str) {
        if let Some(id) = key.strip_prefix(JOBS_PREFIX).and_then(JobId::parse) {
            self.jobs.remove(&id);
        } else if let Some(node) = key.strip_prefix(CONTROLLERS_PREFIX) {
            self.controllers.remove(node);
        } else if key == LEADER_KEY {
            self.scheduler = None;
        }
    }

    /// Applies what is news. Two reads may overlap; what the first brought is skipped, so that
    /// an older value never replaces a newer one.
    fn apply(&mut self, events: Events) -> ReadChanges {
        let mut changes = ReadChanges::default();
        for event in events.events {
            match event {
                Event::Put { key, value, version } if version > self.revision => {
                    self.put(&key, value, version);
                    changes.changed = true;
                }
                Event::Delete { key, version } if version > self.revision => {
                    self.delete(&key);
                    changes.ended.extend(key.strip_prefix(JOBS_PREFIX).and_then(JobId::parse));
                    changes.changed = true;
                }
                _ => {}
            }
        }
        self.revision = self.revision.max(events.revision);
        changes
    }

    /// Takes over what a read of everything doesn't tell.
    fn inherit(&mut self, before: &mut Self) {
        self.finals = std::mem::take(&mut before.finals);
        self.finals_order = std::mem::take(&mut before.finals_order);
        // Old transfer requests don't count again: a leader that was merely quiet would leave its place for them.
        let known = &before.transfer_requests;
        self.transfer_requests.retain(|name, (version, at)| match known.get(name) {
            Some((before, seen)) if before == version => {
                *at = *seen;
                true
            }
            before => before.is_some(),
        });
        if self.scheduler.as_ref().map(|p| p.1) == before.scheduler.as_ref().map(|p| p.1) {
            self.leader_since = before.leader_since.or(self.leader_since);
        }
    }
}

/// What a read changed.
#[derive(Default)]
struct ReadChanges {
    changed: bool,
    /// Jobs that are no longer unfinished.
    ended: Vec<JobId>,
}

fn read<T: DeserializeOwned>(key: &str, value: Value) -> Option<T> {
    match serde_json::from_value(value) {
        Ok(read) => Some(read),
        Err(error) => {
            tracing::error!(key, %error, "unreadable record");
            None
        }
    }
}

pub struct StoreReplica {
    pub contents: RefCell<ReplicaContents>,
    synced: Cell<bool>,
    /// When the newest successful read was begun.
    proof: Cell<Option<Instant>>,
    asked: Cell<u64>,
    ask: Notify,
    served: watch::Sender<(u64, bool)>,
    pub changed: Notify,
}

impl Default for StoreReplica {
    fn default() -> Self {
        Self {
            contents: RefCell::default(),
            synced: Cell::new(false),
            proof: Cell::new(None),
            asked: Cell::new(0),
            ask: Notify::new(),
            served: watch::channel((0, true)).0,
            changed: Notify::new(),
        }
    }
}

impl StoreReplica {
    pub fn is_synced(&self) -> bool {
        self.synced.get()
    }

    /// How long ago the newest state known was surely current.
    pub fn proof_age(&self) -> Duration {
        self.proof.get().map_or(OUT_OF_REACH, |at| now().saturating_duration_since(at))
    }

    pub fn leader_known_for(&self) -> Duration {
        let since = self.contents.borrow().leader_since;
        since.map_or(Duration::ZERO, |at| now().saturating_duration_since(at))
    }

    /// When the newest state known was surely current.
    pub fn proven_at(&self) -> Option<Instant> {
        self.proof.get()
    }

    fn prove(&self, started: Instant) {
        self.proof.set(self.proof.get().max(Some(started)));
    }

    /// Waits until the copy contains everything that was stored before the call (S1). One read
    /// serves all that wait for it.
    pub async fn refresh(&self, limit: Duration) -> bool {
        let ticket = self.asked.get() + 1;
        self.asked.set(ticket);
        self.ask.notify_one();
        let mut served = self.served.subscribe();
        let wait = served.wait_for(|(done, _)| *done >= ticket);
        let waited = tokio::time::timeout(limit, wait).await;
        matches!(waited, Ok(Ok(state)) if state.1)
    }
}

/// Applies what a read brought. It is a proof of fresh state (S6) only once the leader has it:
/// a leader that answers reports on the strength of a read must have closed the jobs that the
/// read shows as over, whatever else it is waiting for.
fn apply(node: &Node, events: Events, started: Instant) {
    let replica = &node.replica;
    let changes = replica.contents.borrow_mut().apply(events);
    node.leadership.ended(&changes.ended);
    replica.prove(started);
    if changes.changed {
        replica.changed.notify_waiters();
    }
}

/// Reads everything anew; the copy is replaced as a whole.
async fn reload(node: &Node) -> Result<(), StateError> {
    let started = now();
    let (items, revision) = node.env.state.list(RequestClass::Claim, REPLICATED_PREFIX).await?;
    let mut contents = ReplicaContents { revision, ..ReplicaContents::default() };
    for item in items {
        contents.put(&item.key, item.value, item.version);
    }
    {
        let mut current = node.replica.contents.borrow_mut();
        if current.revision > revision {
            return Ok(());
        }
        contents.inherit(&mut current);
        *current = contents;
        node.leadership.close_all_but(&current.jobs);
    }
    node.replica.prove(started);
    node.replica.synced.set(true);
    node.replica.changed.notify_waiters();
    Ok(())
}

/// Keeps a watch open, and starts over when the service has forgotten where we were.
pub async fn watch(node: Rc<Node>) {
    let replica = &node.replica;
    let wait = node.env.settings.watch_wait();
    loop {
        if !replica.is_synced() {
            if let Err(error) = reload(&node).await {
                tracing::debug!(%error, "can't read the state service");
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            continue;
        }
        let after = replica.contents.borrow().revision;
        let started = now();
        let pause =
            match node.env.state.changes(RequestClass::Claim, REPLICATED_PREFIX, after, wait).await
            {
                Ok(events) => {
                    let quiet = events.events.is_empty()
                        && now().saturating_duration_since(started) >= wait / 2;
                    apply(&node, events, started);
                    // Its proof of fresh state is as old as the watch was long: a pause on top would
                    // make a standby doubt the service, and tell the load balancer that it isn't ready.
                    if quiet {
                        continue;
                    }
                    // Without the machine types, or a leader, users and workers wait for what comes next.
                    match node.leadership.is_leading() || !replica.contents.borrow().is_served() {
                        true => WATCH_PAUSE,
                        false => STANDBY_WATCH_PAUSE,
                    }
                }
                Err(StateError::TooOld) => {
                    replica.synced.set(false);
                    continue;
                }
                Err(error) => {
                    tracing::debug!(%error, "watch failed");
                    WATCH_RETRY
                }
            };
        node.env.timers.tick(pause).await;
    }
}

/// Serves [`StoreReplica::refresh`].
pub async fn refresher(node: Rc<Node>) {
    let replica = &node.replica;
    loop {
        while replica.asked.get() <= replica.served.borrow().0 {
            replica.ask.notified().await;
        }
        let ticket = replica.asked.get();
        let after = replica.contents.borrow().revision;
        let started = now();
        let fresh = if replica.is_synced() {
            match node
                .env
                .state
                .changes(RequestClass::Reading, REPLICATED_PREFIX, after, Duration::ZERO)
                .await
            {
                Ok(events) => {
                    apply(&node, events, started);
                    true
                }
                Err(error) => {
                    tracing::debug!(%error, "refresh failed");
                    false
                }
            }
        } else {
            false
        };
        replica.served.send_replace((ticket, fresh));
        if !fresh {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

#[cfg(test)]
mod tests;
