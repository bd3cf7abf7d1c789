//! The replica: this controller's local copy of all records below `c/` in the state service, and
//! the proof of the copy's freshness.
//!
//! [`ReplicaFollower`] reads the state service and updates the replica; all other components only
//! read [`StoreReplica`].

mod contents;
mod follower;
mod freshness;

pub use contents::ReplicaContents;
pub use follower::{ReplicaFollower, ReplicaObserver};

use crate::clock::now;
use freshness::{FreshnessProof, RefreshQueue};
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The local copy of the state service's records, on which this controller bases its decisions.
///
/// A successful read proves that the replica was current when the read started. The start of the
/// newest successful read is the proof of fresh state. The proof's age limits whether a leader may
/// start tasks (S4) and answer heartbeats (S6).
#[derive(Default)]
pub struct StoreReplica {
    /// The records as last read.
    pub contents: RefCell<ReplicaContents>,
    /// Notified after each complete read, and after each other read that changed the contents.
    pub changed: Notify,
    /// Whether a complete read was made and no later change was missed.
    synced: Cell<bool>,
    proof: FreshnessProof,
    refresh_queue: RefreshQueue,
}

impl StoreReplica {
    /// Returns whether a complete read was made and no later change was missed.
    pub fn is_synced(&self) -> bool {
        self.synced.get()
    }

    /// Returns the time since the start of the newest successful read; an hour if there was none.
    pub fn proof_age(&self) -> Duration {
        self.proof.age()
    }

    /// Returns when the newest successful read started; `None` if there was none.
    pub fn proven_at(&self) -> Option<Instant> {
        self.proof.proven_at()
    }

    /// Returns how long the current leader record has been known; zero if there is none.
    pub fn leader_known_for(&self) -> Duration {
        let since = self.contents.borrow().leader_first_seen();
        since.map_or(Duration::ZERO, |at| now().saturating_duration_since(at))
    }

    /// Waits, for `timeout` at most, until the replica contains everything that was stored before
    /// the call, as answers to users require (S1). Returns whether it does. A single read serves
    /// all concurrent calls.
    pub async fn refresh(&self, timeout: Duration) -> bool {
        self.refresh_queue.wait_for_read(timeout).await
    }
}
