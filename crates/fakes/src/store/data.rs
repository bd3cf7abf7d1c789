//! Keys, leases and events of the store: transactions on conditions, without any I/O.

use crate::now;
use corkfield_wire::store::{Change, Event, Failed, Item, Transaction};
use corkfield_wire::Revision;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A key's value.
struct StoredValue {
    value: Value,
    /// The revision that wrote it.
    version: Revision,
    /// The lease with which the key ends.
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
    expires: Instant,
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
    /// A change names a lease that does not exist.
    UnknownLease,
    /// The versions of these keys are not those of the conditions.
    ConditionsFailed(Failed),
}

/// One page of a list of keys.
pub(super) struct ItemPage {
    pub items: Vec<Item>,
    /// There are more keys after these.
    pub more: bool,
}

/// All that the store holds.
#[derive(Default)]
pub(super) struct StoreData {
    keys: BTreeMap<String, StoredValue>,
    pub revision: Revision,
    events: Vec<RecordedEvent>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    /// The largest value seen, in bytes of its text.
    pub max_value_bytes: usize,
    /// The most changes seen in one transaction.
    pub max_transaction_changes: usize,
}

impl StoreData {
    pub fn item(&self, key: &str) -> Option<Item> {
        self.keys.get(key).map(|stored| stored.item(key))
    }

    pub fn value(&self, key: &str) -> Option<Value> {
        self.keys.get(key).map(|stored| stored.value.clone())
    }

    /// The version of a key; 0 if there is none.
    pub fn version(&self, key: &str) -> Revision {
        self.keys.get(key).map_or(Revision::NONE, |stored| stored.version)
    }

    pub fn keys_with_prefix(&self, prefix: &str) -> Vec<String> {
        self.keys.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    /// Up to `limit` keys with a prefix that come after a key.
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

    /// What happened to keys with a prefix after a revision.
    pub fn events_after(&self, revision: Revision, prefix: &str) -> Vec<Event> {
        let events = self
            .events
            .iter()
            .filter(|recorded| recorded.revision > revision && recorded.key().starts_with(prefix));
        events.map(|recorded| recorded.event.clone()).collect()
    }

    pub fn grant_lease(&mut self, ttl: Duration) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, Lease { ttl, expires: now() + ttl });
        self.last_lease
    }

    /// Gives a lease its full time again; false if it has ended.
    pub fn renew_lease(&mut self, lease: u64) -> bool {
        let Some(lease) = self.leases.get_mut(&lease) else { return false };
        lease.expires = now() + lease.ttl;
        true
    }

    pub fn renew_all_leases(&mut self) {
        for lease in self.leases.values_mut() {
            lease.expires = now() + lease.ttl;
        }
    }

    /// Leases that were not renewed in time.
    pub fn expired_leases(&self) -> Vec<u64> {
        let now = now();
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires <= now);
        expired.map(|(number, _)| *number).collect()
    }

    /// Removes a lease; returns the keys that end with it.
    pub fn remove_lease(&mut self, lease: u64) -> Vec<String> {
        self.leases.remove(&lease);
        let attached = self.keys.iter().filter(|(_, stored)| stored.lease == Some(lease));
        attached.map(|(key, _)| key.clone()).collect()
    }

    /// Executes a transaction whole or not at all; returns the revision after it.
    pub fn execute(&mut self, transaction: Transaction) -> Result<Revision, TransactionError> {
        self.max_transaction_changes = self.max_transaction_changes.max(transaction.changes.len());
        if transaction.changes.iter().any(|change| self.names_unknown_lease(change)) {
            return Err(TransactionError::UnknownLease);
        }
        let failed: Vec<String> = transaction
            .conditions
            .iter()
            .filter(|condition| self.version(&condition.key) != condition.version)
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            let failed = Failed { failed, revision: self.revision };
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

    fn names_unknown_lease(&self, change: &Change) -> bool {
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
