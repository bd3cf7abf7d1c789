//! The local copy of everything below `c/` in the state service, and how fresh it is.
//!
//! Reading and following the service is the part of [`ReplicaFollower`]; all other components only
//! look at [`StoreReplica`].

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

/// The copy of the store's keys that this controller decides from.
#[derive(Default)]
pub struct StoreReplica {
    /// The records as last read.
    pub contents: RefCell<ReplicaContents>,
    /// Notified after each read that changed the contents.
    pub changed: Notify,
    /// Whether the contents follow the service from a complete read on.
    synced: Cell<bool>,
    proof: FreshnessProof,
    refresh_queue: RefreshQueue,
}

impl StoreReplica {
    /// Whether a complete read was made, from which on changes are followed without a gap.
    pub fn is_synced(&self) -> bool {
        self.synced.get()
    }

    /// How long ago the newest state known was surely current; an hour if nothing was read yet.
    pub fn proof_age(&self) -> Duration {
        self.proof.age()
    }

    /// When the newest state known was surely current.
    pub fn proven_at(&self) -> Option<Instant> {
        self.proof.proven_at()
    }

    /// For how long the present leader record has been known; zero if there is none.
    pub fn leader_known_for(&self) -> Duration {
        let since = self.contents.borrow().leader_first_seen();
        since.map_or(Duration::ZERO, |at| now().saturating_duration_since(at))
    }

    /// Waits until the copy contains everything that was stored before the call (S1), for `limit`
    /// at most; true if it does. One read serves all that wait for it.
    pub async fn refresh(&self, limit: Duration) -> bool {
        self.refresh_queue.wait_for_read(limit).await
    }
}
