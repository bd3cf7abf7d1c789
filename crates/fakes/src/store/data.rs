//! The data of the fake state service: keys, leases, events and conditional transactions. This
//! module does no I/O.

use crate::now;
use corkfield_wire::store::{Change, Event, FailedConditions, Item, Transaction};
use corkfield_wire::Revision;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The value of a key.
struct StoredValue {
    value: Value,
    /// The revision at which the value was written.
    version: Revision,
    /// The lease that the key is attached to; the key is deleted when the lease ends.
    lease: Option<u64>,
}

impl StoredValue {
    fn item(&self, key: &str) -> Item {
        Item {
            key: key.to_owned(),
            value: self.value.clone(),
            version: self.version,
            lease: self.lease,
        }
    }
}

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

struct RecordedEvent {
    revision: Revision,
    event: Event,
}

impl RecordedEvent {
    fn key(&self) -> &str {
        let (Event::Put { key, .. } | Event::Delete { key, .. }) = &self.event;
        key
    }
}

/// Why a transaction was not executed.
pub(super) enum TransactionError {
    /// A change refers to a lease that does not exist.
    UnknownLease,
    /// The versions of these keys differ from the versions in the conditions.
    ConditionsFailed(FailedConditions),
}

/// One page of a list of keys.
pub(super) struct ItemPage {
    pub items: Vec<Item>,
    /// Whether there are more keys after this page.
    pub more: bool,
}

/// The keys, leases and events of the store.
#[derive(Default)]
pub(super) struct StoreData {
    keys: BTreeMap<String, StoredValue>,
    pub revision: Revision,
    events: Vec<RecordedEvent>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// The size of the largest value written so far, in bytes of its JSON text.
    pub max_value_bytes: usize,
    /// The largest number of changes in one transaction so far.
    pub max_transaction_changes: usize,
}

impl StoreData {
    pub fn item(&self, key: &str) -> Option<Item> {
        self.keys.get(key).map(|stored| stored.item(key))
    }

    pub fn value(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|stored| stored.value.clone())
    }

    /// Returns the version of a key; 0 if the key does not exist.
    pub fn version(&self, key: &str) -> Revision {
        self.keys.get(key).map_or(Revision::NONE, |stored| stored.version)
    }

    pub fn keys_with_prefix(&self, prefix: &str) -> Vec<String> {
        self.keys.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Returns up to `limit` items whose keys have a prefix and sort after the key `after`.
    pub fn page(&self, prefix: &str, after: &str, limit: usize) -> ItemPage {
        let mut items: Vec<Item> = self
            .keys
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, stored)| stored.item(key))
            .collect();
        let more = items.len() > limit;
        items.truncate(limit);
        ItemPage { items, more }
    }

    /// Returns the events after a revision for keys with a prefix.
    pub fn events_after(&self, revision: Revision, prefix: &str) -> Vec<Event> {
        let events = self
            .events
            .iter()
            .filter(|recorded| recorded.revision > revision && recorded.key().starts_with(prefix));
        events.map(|recorded| recorded.event.clone()).collect()
    }

    pub fn grant_lease(&mut self, ttl: Duration) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires_at: now() + ttl });
        self.last_lease
    }

    /// Extends a lease by its full duration from now; returns false if the lease has ended.
    pub fn renew_lease(&mut self, lease: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else { return false };
        lease.expires_at = now() + lease.ttl;
        true
    }

    pub fn renew_all_leases(&mut self) {
        for lease in self.leases.values_mut() {
            lease.expires_at = now() + lease.ttl;
        }
    }

    /// Returns the leases that have expired.
    pub fn expired_leases(&self) -> Vec<u64> {
        let now = now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        expired.map(|(number, _)| *number).collect()
    }

    /// Removes a lease; returns the keys that are attached to it.
    pub fn remove_lease(&mut self, lease: u64) -> Vec<String> {
        self.leases.remove(&lease);
        let attached = self.keys.iter().filter(|(_, stored)| stored.lease == Some(lease));
        attached.map(|(key, _)| key.clone()).collect()
    }

    /// Executes a transaction atomically; returns the revision after it.
    pub fn execute(&mut self, transaction: Transaction) -> Result<Revision, TransactionError> {
        self.max_transaction_changes = self.max_transaction_changes.max(transaction.changes.len());
        if transaction.changes.iter().any(|change| self.has_unknown_lease(change)) {
            return Err(TransactionError::UnknownLease);
        }
        let failed: Vec<String> = transaction
            .conditions
            .iter()
            .filter(|condition| self.version(&condition.key) != condition.version)
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            let failed = FailedConditions { failed, revision: self.revision };
            return Err(TransactionError::ConditionsFailed(failed));
        }
        if !transaction.changes.is_empty() {
            self.revision = self.revision.next();
        }
        for change in transaction.changes {
            self.apply_change(change);
        }
        Ok(self.revision)
    }

    fn has_unknown_lease(&self, change: &Change) -> bool {
        matches!(change, Change::Put { lease: Some(lease), .. } if !self.leases.contains_key(lease))
    }

    fn apply_change(&mut self, change: Change) {
        let version = self.revision;
        let event = match change {
            Change::Put { key, value, lease } => {
                self.max_value_bytes = self.max_value_bytes.max(value.to_string().len());
                let event = Event::Put { key: key.clone(), value: value.clone(), version };
                self.keys.insert(key, StoredValue { value, version, lease });
                event
            }
            Change::Delete { key } => {
                if self.keys.remove(&key).is_none() {
                    return;
                }
                Event::Delete { key, version }
            }
        };
        self.events.push(RecordedEvent { revision: version, event });
    }
}
