//! What the state service takes and answers.

use serde::{Deserialize, Serialize};
use serde_json::Value;

pub const PATH_KEYS: &str = "/kv";
pub const PATH_TXN: &str = "/txn";
pub const PATH_LEASES: &str = "/grants";
pub const PATH_RENEW: &str = "extend";
pub const PATH_WATCH: &str = "/changes";

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "v")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
    #[serde(rename = "claim", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Page {
    pub items: Vec<Item>,
    #[serde(rename = "truncated", default)]
    pub more: bool,
    #[serde(rename = "generation")]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    #[serde(rename = "k")]
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "put")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "claim", default, skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    #[serde(rename = "when")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "then")]
    pub changes: Vec<Change>,
}

impl Transaction {
    #[must_use]
    pub fn when(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.changes.push(Change::Put { key: key.into(), value, lease: None });
        self
    }

    #[must_use]
    pub fn put_leased(mut self, key: impl Into<String>, value: Value, lease: u64) -> Self {
        self.changes.push(Change::Put { key: key.into(), value, lease: Some(lease) });
        self
    }

    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.changes.push(Change::Delete { key: key.into() });
        self
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revision {
    #[serde(rename = "generation")]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failed {
    pub failed: Vec<String>,
    #[serde(rename = "generation")]
    pub revision: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    #[serde(rename = "claim")]
    pub lease: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    pub ttl_ms: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Event {
    Put {
        #[serde(rename = "put")]
        key: String,
        #[serde(rename = "v")]
        value: Value,
        #[serde(rename = "stamp")]
        version: u64,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
        #[serde(rename = "stamp")]
        version: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Events {
    #[serde(rename = "generation")]
    pub revision: u64,
    #[serde(rename = "log", default)]
    pub events: Vec<Event>,
}
