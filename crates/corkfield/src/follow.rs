//! Following the state service: a copy of everything below `c/`, and how fresh it is.

use crate::node::{now, Node};
use corkfield_state::{StateError, Use};
use corkfield_wire::cloud::MachineType;
use corkfield_wire::records::{
    FinalRecord, JobRecord, PlannerRecord, Presence, TransferRequest, TypesRecord, CONTROLLERS,
    FOLLOWED, JOBS, PLANNER, TRANSFER_REQUESTS, TYPES,
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
/// Between two watches. Whatever changes meanwhile comes with one answer: the planner has new jobs
/// to claim and cancelled ones to stop, while the others only stand by.
const WATCH_PAUSE: Duration = Duration::from_millis(50);
const STANDBY_WATCH_PAUSE: Duration = Duration::from_millis(500);
const WATCH_RETRY: Duration = Duration::from_millis(250);
const OUT_OF_REACH: Duration = Duration::from_secs(3600);

#[derive(Default)]
pub struct Cache {
    /// Everything up to this revision is contained.
    revision: u64,
    pub jobs: BTreeMap<JobId, (JobRecord, u64)>,
    pub controllers: BTreeMap<String, (Presence, u64)>,
    /// Versions of the transfer requests, and when each was first seen.
    transfer_requests: BTreeMap<String, (u64, Instant)>,
    pub planner: Option<(PlannerRecord, u64)>,
    planner_since: Option<Instant>,
    pub types: Option<Vec<MachineType>>,
    finals: HashMap<JobId, FinalRecord>,
    finals_order: VecDeque<JobId>,
}

impl Cache {
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

    /// Controllers that asked for the planner's place within that time.
    pub fn transfer_requested_within(&self, time: Duration) -> impl Iterator<Item = &String> {
        let recent = move |at: &Instant| now().saturating_duration_since(*at) < time;
        self.transfer_requests.iter().filter(move |(_, (_, at))| recent(at)).map(|(name, _)| name)
    }

    /// Whether the machine types are known, and a controller that is there plans.
    fn is_served(&self) -> bool {
        self.types.is_some()
            && self.planner.as_ref().is_some_and(|(record, _)| self.is_present(record))
    }

    /// Whether the process that claimed the planner record is still there.
    pub fn is_present(&self, record: &PlannerRecord) -> bool {
        let presence = record.node.as_ref().and_then(|node| self.controllers.get(node));
        presence.is_some_and(|(presence, _)| presence.incarnation == record.incarnation)
    }

    fn put(&mut self, key: &str, value: Value, version: u64) {
        if let Some(id) = key.strip_prefix(JOBS).and_then(JobId::parse) {
            if let Some(record) = read(key, value) {
                self.jobs.insert(id, (record, version));
            }
        } else if let Some(node) = key.strip_prefix(CONTROLLERS) {
            if let Some(presence) = read(key, value) {
                self.controllers.insert(node.to_owned(), (presence, version));
            }
        } else if let Some(node) = key.strip_prefix(TRANSFER_REQUESTS) {
            if read::<TransferRequest>(key, value).is_some() {
                self.transfer_requests.insert(node.to_owned(), (version, now()));
            }
        } else if key == PLANNER {
            self.planner = read(key, value).map(|record| (record, version));
            self.planner_since = Some(now());
        } else if key == TYPES {
            self.types = read::<TypesRecord>(key, value).map(|record| record.types);
        }
    }

    fn delete(&mut self, key: &str) {
        if let Some(id) = key.strip_prefix(JOBS).and_then(JobId::parse) {
            self.jobs.remove(&id);
        } else if let Some(node) = key.strip_prefix(CONTROLLERS) {
            self.controllers.remove(node);
        } else if key == PLANNER {
            self.planner = None;
        }
    }

    /// Applies what is news. Two reads may overlap; what the first brought is skipped, so that
    /// an older value never replaces a newer one.
    fn apply(&mut self, events: Events) -> ReadChanges {
        let mut news = ReadChanges::default();
        for event in events.events {
            match event {
                Event::Put { key, value, version } if version > self.revision => {
                    self.put(&key, value, version);
                    news.changed = true;
                }
                Event::Delete { key, version } if version > self.revision => {
                    self.delete(&key);
                    news.ended.extend(key.strip_prefix(JOBS).and_then(JobId::parse));
                    news.changed = true;
                }
                _ => {}
            }
        }
        self.revision = self.revision.max(events.revision);
        news
    }

    /// Takes over what a read of everything doesn't tell.
    fn inherit(&mut self, before: &mut Self) {
        self.finals = std::mem::take(&mut before.finals);
        self.finals_order = std::mem::take(&mut before.finals_order);
        // Old transfer requests don't count again: a planner that was merely quiet would leave its place for them.
        let known = &before.transfer_requests;
        self.transfer_requests.retain(|name, (version, at)| match known.get(name) {
            Some((before, seen)) if before == version => {
                *at = *seen;
                true
            }
            before => before.is_some(),
        });
        if self.planner.as_ref().map(|p| p.1) == before.planner.as_ref().map(|p| p.1) {
            self.planner_since = before.planner_since.or(self.planner_since);
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

pub struct Follower {
    pub cache: RefCell<Cache>,
    synced: Cell<bool>,
    /// When the newest successful read was begun.
    proof: Cell<Option<Instant>>,
    asked: Cell<u64>,
    ask: Notify,
    served: watch::Sender<(u64, bool)>,
    pub changed: Notify,
}

impl Default for Follower {
    fn default() -> Self {
        Self {
            cache: RefCell::default(),
            synced: Cell::new(false),
            proof: Cell::new(None),
            asked: Cell::new(0),
            ask: Notify::new(),
            served: watch::channel((0, true)).0,
            changed: Notify::new(),
        }
    }
}

impl Follower {
    pub fn is_synced(&self) -> bool {
        self.synced.get()
    }

    /// How long ago the newest state known was surely current.
    pub fn proof_age(&self) -> Duration {
        self.proof.get().map_or(OUT_OF_REACH, |at| now().saturating_duration_since(at))
    }

    pub fn planner_known_for(&self) -> Duration {
        let since = self.cache.borrow().planner_since;
        since.map_or(Duration::ZERO, |at| now().saturating_duration_since(at))
    }

    /// When the newest state known was surely current.
    pub fn proven_at(&self) -> Option<Instant> {
        self.proof.get()
    }

    fn prove(&self, begun: Instant) {
        self.proof.set(self.proof.get().max(Some(begun)));
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

/// Applies what a read brought. It is a proof of fresh state (S6) only once the planner has it:
/// a planner that answers reports on the strength of a read must have closed the jobs that the
/// read shows as over, whatever else it is waiting for.
fn apply(node: &Node, events: Events, begun: Instant) {
    let follower = &node.follower;
    let news = follower.cache.borrow_mut().apply(events);
    node.leader.ended(&news.ended);
    follower.prove(begun);
    if news.changed {
        follower.changed.notify_waiters();
    }
}

/// Reads everything anew; the copy is replaced as a whole.
async fn reload(node: &Node) -> Result<(), StateError> {
    let begun = now();
    let (items, revision) = node.state.list(Use::Claim, FOLLOWED).await?;
    let mut cache = Cache { revision, ..Cache::default() };
    for item in items {
        cache.put(&item.key, item.value, item.version);
    }
    {
        let mut current = node.follower.cache.borrow_mut();
        if current.revision > revision {
            return Ok(());
        }
        cache.inherit(&mut current);
        *current = cache;
        node.leader.close_all_but(&current.jobs);
    }
    node.follower.prove(begun);
    node.follower.synced.set(true);
    node.follower.changed.notify_waiters();
    Ok(())
}

/// Keeps a watch open, and starts over when the service has forgotten where we were.
pub async fn watch(node: Rc<Node>) {
    let follower = &node.follower;
    let wait = node.settings.watch_wait();
    loop {
        if !follower.is_synced() {
            if let Err(error) = reload(&node).await {
                tracing::debug!(%error, "can't read the state service");
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
            continue;
        }
        let after = follower.cache.borrow().revision;
        let begun = now();
        let pause = match node.state.changes(Use::Claim, FOLLOWED, after, wait).await {
            Ok(events) => {
                let quiet =
                    events.events.is_empty() && now().saturating_duration_since(begun) >= wait / 2;
                apply(&node, events, begun);
                // Its proof of fresh state is as old as the watch was long: a pause on top would
                // make a standby doubt the service, and tell the load balancer that it isn't ready.
                if quiet {
                    continue;
                }
                // Without the machine types, or a planner, users and workers wait for what comes next.
                match node.leader.is_leading() || !follower.cache.borrow().is_served() {
                    true => WATCH_PAUSE,
                    false => STANDBY_WATCH_PAUSE,
                }
            }
            Err(StateError::TooOld) => {
                follower.synced.set(false);
                continue;
            }
            Err(error) => {
                tracing::debug!(%error, "watch failed");
                WATCH_RETRY
            }
        };
        node.timers.tick(pause).await;
    }
}

/// Serves [`Follower::refresh`].
pub async fn refresher(node: Rc<Node>) {
    let follower = &node.follower;
    loop {
        while follower.asked.get() <= follower.served.borrow().0 {
            follower.ask.notified().await;
        }
        let ticket = follower.asked.get();
        let after = follower.cache.borrow().revision;
        let begun = now();
        let fresh = if follower.is_synced() {
            match node.state.changes(Use::Reading, FOLLOWED, after, Duration::ZERO).await {
                Ok(events) => {
                    apply(&node, events, begun);
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
        follower.served.send_replace((ticket, fresh));
        if !fresh {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

#[cfg(test)]
mod tests;
