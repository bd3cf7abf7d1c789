//! What the state service takes and answers.
//!
//! The protocol calls the revision of the whole store its `generation`, the version of a key its
//! `stamp`, and a lease a `grant` or, on a key, a `claim`.

use crate::ids::Revision;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Path of the keys.
pub const PATH_KEYS: &str = "/kv";
/// Path of transactions.
pub const PATH_TXN: &str = "/txn";
/// Path of leases.
pub const PATH_LEASES: &str = "/grants";
/// Last part of the path that renews a lease.
pub const PATH_RENEW: &str = "extend";
/// Path of watches.
pub const PATH_WATCH: &str = "/changes";

/// A key and its value.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The value.
    #[serde(rename = "v")]
    pub value: Value,
    /// The revision of the key's last change (`stamp`).
    #[serde(rename = "stamp")]
    pub version: Revision,
    /// The lease that the key is attached to, if any (`claim`).
    #[serde(rename = "claim", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

/// Some of the keys with a prefix, in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    /// The keys of this page.
    pub items: Vec<Item>,
    /// Whether more follow (`truncated`).
    #[serde(rename = "truncated", default)]
    pub has_more: bool,
    /// The revision that the page was read at.
    #[serde(rename = "generation")]
    pub revision: Revision,
}

/// What a transaction requires of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// The key.
    #[serde(rename = "k")]
    pub key: String,
    /// The version that it must have; 0 if it must not exist.
    #[serde(rename = "stamp")]
    pub version: Revision,
}

/// What a transaction does to a key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    /// Writes a value.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// Its new value.
        #[serde(rename = "v")]
        value: Value,
        /// The lease to attach the key to; none detaches it from any.
        #[serde(rename = "claim", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes the key.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// Changes that are made all together or, if a condition fails, not at all: a compare-and-swap
/// over several keys (S10).
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// All must hold.
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    /// Made in one revision; none only compares.
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

impl Transaction {
    /// Adds the condition that the key has this version (0: doesn't exist).
    #[must_use]
    pub fn when(mut self, key: impl Into<String>, version: Revision) -> Self {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    /// Adds a write of a key that is attached to no lease.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.changes.push(Change::Put { key: key.into(), value, lease: None });
        self
    }

    /// Adds a write of a key that is removed when the lease ends.
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

/// The answer to a transaction that was carried out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionAnswer {
    /// The revision of its changes.
    #[serde(rename = "generation")]
    pub revision: Revision,
}

/// The answer to a transaction whose conditions failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedConditions {
    /// The keys that have other versions than required.
    pub failed: Vec<String>,
    /// The store's revision.
    #[serde(rename = "generation")]
    pub revision: Revision,
}

/// The answer to a request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseAnswer {
    /// The new lease's number.
    #[serde(rename = "claim")]
    pub lease: u64,
}

/// A request for a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time for which it is to last without a renewal, in milliseconds (100 to 600,000).
    pub ttl_ms: u64,
}

/// A change that a watch reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    /// A key was written.
    Put {
        /// The key.
        #[serde(rename = "put")]
        key: String,
        /// Its new value.
        #[serde(rename = "v")]
        value: Value,
        /// Its new version.
        #[serde(rename = "stamp")]
        version: Revision,
    },
    /// A key was removed, by a transaction or with its lease.
    Delete {
        /// The key.
        #[serde(rename = "drop")]
        key: String,
        /// The revision of the removal.
        #[serde(rename = "stamp")]
        version: Revision,
    },
}

/// The answer to a watch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WatchAnswer {
    /// The revision up to which all changes are reported; the next watch begins after it.
    #[serde(rename = "generation")]
    pub revision: Revision,
    /// All changes since the revision asked for (`log`).
    #[serde(rename = "log", default)]
    pub events: Vec<Event>,
}
