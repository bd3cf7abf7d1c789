//! Messages of the state service's HTTP interface: keys, transactions, leases and watches.
//!
//! The protocol calls the revision of the store its `generation`, the version of a key its `stamp`,
//! and the number of a lease a `claim`.

use crate::ids::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Path that reads a page of the keys with a prefix (GET). With `/{key}` appended, the path that
/// reads one key.
pub const PATH_KEYS: &str = "/kv";
/// Path that executes a transaction (POST).
pub const PATH_TXN: &str = "/txn";
/// Path that grants a lease (POST). With `/{number}` appended, the path of one lease.
pub const PATH_LEASES: &str = "/grants";
/// Last segment of the path that renews a lease.
pub const PATH_RENEW: &str = "extend";
/// Path that watches for changes (GET).
pub const PATH_WATCH: &str = "/changes";

/// A key with its value and version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The key (`k`).
    #[serde(rename = "k")]
    pub key: String,
    /// Value of the key (`v`).
    #[serde(rename = "v")]
    pub value: Value,
    /// Version of the key: the revision of its last change (`stamp`).
    #[serde(rename = "stamp")]
    pub version: Revision,
    /// Number of the lease to which the key is attached, if any (`claim`).
    #[serde(rename = "claim", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// A page of the keys with a prefix, ordered by key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// Keys of this page with their values.
    pub items: Vec<Item>,
    /// Whether further pages follow (`truncated`).
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
    /// Revision of the store at which the page was read (`generation`).
    #[serde(rename = "generation")]
    pub revision: Revision,
}

/// A condition of a transaction on the version of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key (`k`).
    #[serde(rename = "k")]
    pub key: String,
    /// Required version of the key; 0 if the key must not exist (`stamp`).
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// A change that a transaction makes to one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value to a key.
    Put {
        /// The key to write (`put`).
        #[serde(rename = "put")]
        key: String,
        /// New value of the key (`v`).
        #[serde(rename = "v")]
        value: Value,
        /// Number of the lease to which the key is attached; `None` detaches it from any lease
        /// (`claim`).
        #[serde(rename = "claim", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key to remove (`drop`).
        #[serde(rename = "drop")]
        key: String,
    },
}

/// An atomic compare-and-swap over several keys: if all conditions hold, all changes are made,
/// otherwise none. A transaction that is executed late therefore fails if a key of its conditions
/// has changed in the meantime (S10).
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that must all hold (`when`).
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Changes, made in one revision (`then`). Without changes, the transaction only checks the
    /// conditions.
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

impl Transaction {
    /// Adds the condition that the key has this version; 0 requires that the key doesn't exist.
    #[must_use]
    pub fn when(mut self, key: impl Into<String>, version: Revision) -> Self {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    /// Adds a write of a key without a lease.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.changes.push(Change::Put { key: key.into(), value, lease: None });
        self
    }

    /// Adds a write of a key that is attached to a lease and removed when the lease ends.
    #[must_use]
    pub fn put_leased(mut self, key: impl Into<String>, value: Value, lease: u64) -> Self {
        self.changes.push(Change::Put { key: key.into(), value, lease: Some(lease) });
        self
    }

    /// Adds the removal of a key.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.changes.push(Change::Delete { key: key.into() });
        self
    }
}

/// The response to a transaction that was executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionAnswer {
    /// Revision of the transaction's changes (`generation`).
    #[serde(rename = "generation")]
    pub revision: Revision,
}

/// The response to a transaction whose conditions failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedConditions {
    /// Keys whose versions differ from the required ones.
    pub failed: Vec<String>,
    /// Revision of the store (`generation`).
    #[serde(rename = "generation")]
    pub revision: Revision,
}

/// The response to a [`LeaseRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// Number of the new lease (`claim`).
    #[serde(rename = "claim")]
    pub lease: u64,
}

/// A request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time after which the lease expires unless it is renewed, in milliseconds (100 to 600,000).
    pub ttl_ms: u64,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// A key was written.
    Put {
        /// The written key (`put`).
        #[serde(rename = "put")]
        key: String,
        /// New value of the key (`v`).
        #[serde(rename = "v")]
        value: Value,
        /// New version of the key (`stamp`).
        #[serde(rename = "stamp")]
        version: Revision,
    },
    /// A key was removed by a transaction or because its lease ended.
    Delete {
        /// The removed key (`drop`).
        #[serde(rename = "drop")]
        key: String,
        /// Revision of the removal (`stamp`).
        #[serde(rename = "stamp")]
        version: Revision,
    },
}

/// The response to a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// Revision up to which all changes are reported (`generation`). The next watch starts there.
    #[serde(rename = "generation")]
    pub revision: Revision,
    /// All changes after the requested revision (`log`).
    #[serde(rename = "log", default)]
    pub events: Vec<Event>,
}
