//! The records of the replica, and the changes that reads apply to them.

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

/// Maximum number of final records that are kept.
const MAX_FINAL_RECORDS: usize = 20_000;

/// Another controller's request to take over leadership, as seen in the replica.
#[derive(Debug, Clone, Copy)]
struct SeenTransferRequest {
    version: Revision,
    first_seen: Instant,
}

/// The records below `c/` with their versions, and a cache of final records of jobs.
#[derive(Default)]
pub struct ReplicaContents {
    /// The revision of the state service up to which the contents include all changes.
    revision: Revision,
    /// The unfinished jobs.
    pub jobs: BTreeMap<JobId, Versioned<JobRecord>>,
    /// The membership records, by controller.
    pub controllers: BTreeMap<ControllerName, Versioned<Membership>>,
    /// The transfer requests, by requesting controller.
    transfer_requests: BTreeMap<ControllerName, SeenTransferRequest>,
    /// The leader record.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// When the current leader record was first seen; `None` if none has been seen.
    leader_first_seen: Option<Instant>,
    /// The machine types that the cloud offers; `None` until they are known.
    pub machine_types: Option<Vec<MachineType>>,
    /// A cache of final records, by job.
    final_records: HashMap<JobId, FinalRecord>,
    /// The jobs of `final_records`, oldest entry first.
    final_records_order: VecDeque<JobId>,
}

impl ReplicaContents {
    /// Creates the contents from a complete read at `revision`.
    pub(super) fn from_items(items: Vec<Item>, revision: Revision) -> Self {
        let mut contents = Self { revision, ..Self::default() };
        for item in items {
            contents.insert_item(&item.key, item.value, item.version);
        }
        contents
    }

    /// Caches the final record of a job. Final records never change, so an entry stays valid; the
    /// oldest entry is dropped above [`MAX_FINAL_RECORDS`].
    pub fn insert_final_record(&mut self, id: &JobId, record: FinalRecord) {
        if self.final_records.insert(id.clone(), record).is_some() {
            return;
        }
        self.final_records_order.push_back(id.clone());
        if self.final_records_order.len() > MAX_FINAL_RECORDS {
            if let Some(oldest) = self.final_records_order.pop_front() {
                self.final_records.remove(&oldest);
            }
        }
    }

    /// Returns the final record of a job, if it is cached.
    pub fn final_record(&self, id: &JobId) -> Option<FinalRecord> {
        self.final_records.get(id).cloned()
    }

    /// Returns the revision of the state service up to which the contents include all changes.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the controllers whose request to take over leadership was first seen less than
    /// `max_age` ago.
    pub fn recent_transfer_requesters(
        &self,
        max_age: Duration,
    ) -> impl Iterator<Item = &ControllerName> {
        let recent = move |request: &SeenTransferRequest| {
            now().saturating_duration_since(request.first_seen) < max_age
        };
        let requests = self.transfer_requests.iter();
        requests.filter(move |(_, request)| recent(request)).map(|(name, _)| name)
    }

    /// Returns when the current leader record was first seen.
    pub(super) fn leader_first_seen(&self) -> Option<Instant> {
        self.leader_first_seen
    }

    /// Returns whether the machine types are known and the leader's process is present.
    pub(super) fn can_serve_requests(&self) -> bool {
        self.machine_types.is_some()
            && self.leader.as_ref().is_some_and(|leader| self.is_holder_present(&leader.record))
    }

    /// Returns whether the process that claimed the leader record still holds its lease, according
    /// to its membership record.
    pub fn is_holder_present(&self, record: &LeaderRecord) -> bool {
        let membership = record.node.as_ref().and_then(|node| self.controllers.get(node));
        membership.is_some_and(|membership| membership.record.incarnation == record.incarnation)
    }

    /// Inserts the record stored under a key; ignores keys that the replica doesn't use.
    fn insert_item(&mut self, key: &str, value: Value, version: Revision) {
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
            self.leader_first_seen = Some(now());
        } else if key == MACHINE_TYPES_KEY {
            self.machine_types =
                decode::<MachineTypesRecord>(key, value).map(|record| record.types);
        }
    }

    /// Removes the record of a deleted key, if it is the record of a job, a controller or the
    /// leader. Deleted transfer requests and machine types are kept.
    fn remove_key(&mut self, key: &str) {
        if let Some(id) = key.strip_prefix(JOBS_PREFIX).and_then(JobId::parse) {
            self.jobs.remove(&id);
        } else if let Some(node) = key.strip_prefix(CONTROLLERS_PREFIX) {
            self.controllers.remove(node);
        } else if key == LEADER_KEY {
            self.leader = None;
        }
    }

    /// Applies the events that are newer than the contents. Two reads may overlap; events that were
    /// already applied are skipped, so that an older value never replaces a newer one.
    pub(super) fn apply_events(&mut self, events: WatchAnswer) -> ReadChanges {
        let mut changes = ReadChanges::default();
        for event in events.events {
            match event {
                Event::Put { key, value, version } if version > self.revision => {
                    self.insert_item(&key, value, version);
                    changes.has_changes = true;
                }
                Event::Delete { key, version } if version > self.revision => {
                    self.remove_key(&key);
                    changes.ended_jobs.extend(key.strip_prefix(JOBS_PREFIX).and_then(JobId::parse));
                    changes.has_changes = true;
                }
                _ => {}
            }
        }
        self.revision = self.revision.max(events.revision);
        changes
    }

    /// Takes over the data of the previous contents that a complete read doesn't contain: cached
    /// final records, and the times when records were first seen.
    pub(super) fn carry_over_from(&mut self, previous: &mut Self) {
        self.final_records = std::mem::take(&mut previous.final_records);
        self.final_records_order = std::mem::take(&mut previous.final_records_order);
        // A known transfer request keeps its first-seen time, and an unknown one is dropped because
        // it may be old. Otherwise a leader that was merely silent for a while would hand over its
        // place because of old requests.
        let known = &previous.transfer_requests;
        self.transfer_requests.retain(|name, request| match known.get(name) {
            Some(previous) if previous.version == request.version => {
                request.first_seen = previous.first_seen;
                true
            }
            previous => previous.is_some(),
        });
        let version_of = |contents: &Self| contents.leader.as_ref().map(|leader| leader.version);
        if version_of(self) == version_of(previous) {
            self.leader_first_seen = previous.leader_first_seen.or(self.leader_first_seen);
        }
    }
}

/// The changes that a read applied to the contents.
#[derive(Default)]
pub(super) struct ReadChanges {
    /// Whether any record was inserted or removed.
    pub(super) has_changes: bool,
    /// Jobs that finished or were cancelled: the records of unfinished jobs that the read shows as
    /// deleted.
    pub(super) ended_jobs: Vec<JobId>,
}

/// Decodes the record stored under a key; logs an error and returns `None` if it is unreadable.
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
