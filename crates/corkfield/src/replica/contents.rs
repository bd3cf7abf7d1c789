//! The records of the local copy, and how reads change them.

use crate::clock::now;
use corkfield_wire::cloud::MachineType;
use corkfield_wire::records::{
    FinalRecord, JobRecord, LeaderRecord, MachineTypesRecord, Membership, TransferRequest,
    Versioned, CONTROLLERS_PREFIX, JOBS_PREFIX, LEADER_KEY, MACHINE_TYPES_KEY,
    TRANSFER_REQUESTS_PREFIX,
};
use corkfield_wire::store::{Event, Item, WatchAnswer};
use corkfield_wire::{ControllerName, JobId, Revision};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Final states that are kept.
const MAX_FINALS: usize = 20_000;

/// A request for the leader's place, as it was seen here.
#[derive(Debug, Clone, Copy)]
struct SeenTransferRequest {
    version: Revision,
    first_seen: Instant,
}

/// The records below `c/`, each with its version, and what else is known of jobs that are over.
#[derive(Default)]
pub struct ReplicaContents {
    /// Everything up to this revision is contained.
    revision: Revision,
    /// The unfinished jobs.
    pub jobs: BTreeMap<JobId, Versioned<JobRecord>>,
    /// The membership records, by controller.
    pub controllers: BTreeMap<ControllerName, Versioned<Membership>>,
    /// By the controller that asks.
    transfer_requests: BTreeMap<ControllerName, SeenTransferRequest>,
    /// The leader record.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// When the present leader record was first seen.
    leader_since: Option<Instant>,
    /// The machine types on offer, once they are known.
    pub types: Option<Vec<MachineType>>,
    finals: HashMap<JobId, FinalRecord>,
    /// The jobs of `finals`, the oldest note first.
    finals_order: VecDeque<JobId>,
}

impl ReplicaContents {
    /// What a complete read at this revision brought.
    pub(super) fn from_items(items: Vec<Item>, revision: Revision) -> Self {
        let mut contents = Self { revision, ..Self::default() };
        for item in items {
            contents.insert(&item.key, item.value, item.version);
        }
        contents
    }

    /// Final states never change, so they may be kept as long as there is room.
    pub fn insert_final(&mut self, id: &JobId, record: FinalRecord) {
        if self.finals.insert(id.clone(), record).is_some() {
            return;
        }
        self.finals_order.push_back(id.clone());
        if self.finals_order.len() > MAX_FINALS {
            if let Some(oldest) = self.finals_order.pop_front() {
                self.finals.remove(&oldest);
            }
        }
    }

    /// The final state of a job that is over, if it is among those kept.
    pub fn known_final(&self, id: &JobId) -> Option<FinalRecord> {
        self.finals.get(id).cloned()
    }

    /// Everything up to this revision of the store is contained.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Controllers that asked for the leader's place within that time.
    pub fn transfer_requested_within(
        &self,
        time: Duration,
    ) -> impl Iterator<Item = &ControllerName> {
        let recent = move |request: &SeenTransferRequest| {
            now().saturating_duration_since(request.first_seen) < time
        };
        let requests = self.transfer_requests.iter();
        requests.filter(move |(_, request)| recent(request)).map(|(name, _)| name)
    }

    /// When the present leader record was first seen.
    pub(super) fn leader_since(&self) -> Option<Instant> {
        self.leader_since
    }

    /// Whether the machine types are known, and there is a leader whose process is present.
    pub(super) fn is_served(&self) -> bool {
        self.types.is_some()
            && self.leader.as_ref().is_some_and(|leader| self.is_present(&leader.record))
    }

    /// Whether the process that claimed the leader record is still there.
    pub fn is_present(&self, record: &LeaderRecord) -> bool {
        let membership = record.node.as_ref().and_then(|node| self.controllers.get(node));
        membership.is_some_and(|membership| membership.record.incarnation == record.incarnation)
    }

    /// Takes the record stored under a key.
    fn insert(&mut self, key: &str, value: Value, version: Revision) {
        if let Some(id) = key.strip_prefix(JOBS_PREFIX).and_then(JobId::parse) {
            if let Some(record) = decode(key, value) {
                self.jobs.insert(id, Versioned { record, version });
            }
        } else if let Some(node) = key.strip_prefix(CONTROLLERS_PREFIX) {
            if let Some(record) = decode(key, value) {
                let membership = Versioned { record, version };
                self.controllers.insert(ControllerName::from(node), membership);
            }
        } else if let Some(node) = key.strip_prefix(TRANSFER_REQUESTS_PREFIX) {
            if decode::<TransferRequest>(key, value).is_some() {
                self.transfer_requests.insert(
                    ControllerName::from(node),
                    SeenTransferRequest { version, first_seen: now() },
                );
            }
        } else if key == LEADER_KEY {
            self.leader = decode(key, value).map(|record| Versioned { record, version });
            self.leader_since = Some(now());
        } else if key == MACHINE_TYPES_KEY {
            self.types = decode::<MachineTypesRecord>(key, value).map(|record| record.types);
        }
    }

    /// Drops the record of a key that was deleted.
    fn remove(&mut self, key: &str) {
        if let Some(id) = key.strip_prefix(JOBS_PREFIX).and_then(JobId::parse) {
            self.jobs.remove(&id);
        } else if let Some(node) = key.strip_prefix(CONTROLLERS_PREFIX) {
            self.controllers.remove(node);
        } else if key == LEADER_KEY {
            self.leader = None;
        }
    }

    /// Applies the events that are newer than the contents. Two reads may overlap; what the first
    /// brought is skipped, so that an older value never replaces a newer one.
    pub(super) fn apply_events(&mut self, events: WatchAnswer) -> ReadChanges {
        let mut changes = ReadChanges::default();
        for event in events.events {
            match event {
                Event::Put { key, value, version } if version > self.revision => {
                    self.insert(&key, value, version);
                    changes.changed = true;
                }
                Event::Delete { key, version } if version > self.revision => {
                    self.remove(&key);
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
    pub(super) fn inherit(&mut self, before: &mut Self) {
        self.finals = std::mem::take(&mut before.finals);
        self.finals_order = std::mem::take(&mut before.finals_order);
        // Old transfer requests don't count again: a leader that was merely quiet would leave its
        // place for them.
        let known = &before.transfer_requests;
        self.transfer_requests.retain(|name, request| match known.get(name) {
            Some(before) if before.version == request.version => {
                request.first_seen = before.first_seen;
                true
            }
            before => before.is_some(),
        });
        let version_of = |contents: &Self| contents.leader.as_ref().map(|leader| leader.version);
        if version_of(self) == version_of(before) {
            self.leader_since = before.leader_since.or(self.leader_since);
        }
    }
}

/// What a read changed.
#[derive(Default)]
pub(super) struct ReadChanges {
    /// Whether any record was written or deleted.
    pub(super) changed: bool,
    /// Jobs that are no longer unfinished.
    pub(super) ended: Vec<JobId>,
}

/// The record stored under a key; an unreadable one is reported and left out.
fn decode<T: DeserializeOwned>(key: &str, value: Value) -> Option<T> {
    match serde_json::from_value(value) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::error!(key, %error, "unreadable record");
            None
        }
    }
}

#[cfg(test)]
mod tests;
