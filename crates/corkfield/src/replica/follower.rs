//! Reading the state service: a watch that follows all changes, and reads on request.

use super::{ReplicaContents, StoreReplica};
use crate::clock::now;
use crate::environment::Environment;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{JobRecord, Versioned, REPLICATED_PREFIX};
use corkfield_wire::store::WatchAnswer;
use corkfield_wire::JobId;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Between two watches. Whatever changes meanwhile comes with one answer: the leader has new jobs
/// to claim and cancelled ones to stop, while the others only stand by.
const WATCH_PAUSE: Duration = Duration::from_millis(50);
const STANDBY_WATCH_PAUSE: Duration = Duration::from_millis(500);
/// After a watch that failed.
const WATCH_RETRY: Duration = Duration::from_millis(250);
/// After a complete read that failed.
const RELOAD_RETRY: Duration = Duration::from_millis(300);
/// After a requested read that failed.
const REFRESH_RETRY: Duration = Duration::from_millis(100);

/// Who has to know what a read brought before the read counts as a proof of fresh state (S6).
///
/// The methods are called synchronously, after the contents have changed and before the proof is
/// renewed: a leader that answers heartbeats on the strength of a read must have closed the jobs
/// that the read shows as over, whatever else it is waiting for.
pub trait ReplicaObserver {
    /// These jobs are no longer unfinished.
    fn jobs_ended(&self, jobs: &[JobId]);

    /// The copy was replaced as a whole; `unfinished` are all jobs that are not over, with the
    /// versions of their records.
    fn jobs_reloaded(&self, unfinished: &BTreeMap<JobId, Versioned<JobRecord>>);

    /// Whether changes have to be seen soon, as by a leader.
    fn watches_closely(&self) -> bool;
}

/// Keeps a [`StoreReplica`] up to date.
pub struct ReplicaFollower {
    /// Surroundings: the client of the state service, and timers.
    pub env: Rc<Environment>,
    /// The copy that is kept.
    pub replica: Rc<StoreReplica>,
    /// Told of what each read brought.
    pub observer: Rc<dyn ReplicaObserver>,
}

impl ReplicaFollower {
    /// Keeps a watch open, and starts over when the service no longer keeps the changes after the
    /// revision that was reached.
    pub async fn watch(self: Rc<Self>) {
        loop {
            if self.replica.is_synced() {
                if let Some(pause) = self.watch_once().await {
                    self.env.timers.tick(pause).await;
                }
            } else if let Err(error) = self.reload().await {
                tracing::debug!(%error, "can't read the state service");
                tokio::time::sleep(RELOAD_RETRY).await;
            }
        }
    }

    /// Serves [`StoreReplica::refresh`].
    pub async fn serve_refreshes(self: Rc<Self>) {
        loop {
            let ticket = self.replica.refreshes.next().await;
            let fresh = self.replica.is_synced() && self.read_changes().await;
            self.replica.refreshes.serve(ticket, fresh);
            if !fresh {
                tokio::time::sleep(REFRESH_RETRY).await;
            }
        }
    }

    /// Waits for changes once; returns how long to pause before the next watch, if at all.
    async fn watch_once(&self) -> Option<Duration> {
        let wait = self.env.settings.watch_wait();
        let after = self.replica.contents.borrow().revision();
        let started = now();
        let read =
            self.env.state.changes(RequestClass::Claim, REPLICATED_PREFIX, after, wait).await;
        match read {
            Ok(events) => {
                let waited = now().saturating_duration_since(started);
                let quiet = events.events.is_empty() && waited >= wait / 2;
                self.take_events(events, started);
                // Its proof of fresh state is as old as the watch was long: a pause on top would
                // make a standby doubt the service, and tell the load balancer that it isn't ready.
                (!quiet).then(|| self.watch_pause())
            }
            Err(StateError::TooOld) => {
                self.replica.synced.set(false);
                None
            }
            Err(error) => {
                tracing::debug!(%error, "watch failed");
                Some(WATCH_RETRY)
            }
        }
    }

    fn watch_pause(&self) -> Duration {
        // Without the machine types, or a leader, users and workers wait for what comes next.
        if self.observer.watches_closely() || !self.replica.contents.borrow().is_served() {
            WATCH_PAUSE
        } else {
            STANDBY_WATCH_PAUSE
        }
    }

    /// Reads what has changed by now; true if that succeeded.
    async fn read_changes(&self) -> bool {
        let after = self.replica.contents.borrow().revision();
        let started = now();
        let read = self
            .env
            .state
            .changes(RequestClass::Reading, REPLICATED_PREFIX, after, Duration::ZERO)
            .await;
        match read {
            Ok(events) => {
                self.take_events(events, started);
                true
            }
            Err(error) => {
                tracing::debug!(%error, "refresh failed");
                false
            }
        }
    }

    /// Takes what a read begun at `started` brought. It is a proof of fresh state (S6) only once
    /// the observer has it.
    fn take_events(&self, events: WatchAnswer, started: Instant) {
        let changes = self.replica.contents.borrow_mut().apply_events(events);
        self.observer.jobs_ended(&changes.ended);
        self.replica.proof.prove(started);
        if changes.changed {
            self.replica.changed.notify_waiters();
        }
    }

    /// Reads everything anew; the copy is replaced as a whole.
    async fn reload(&self) -> Result<(), StateError> {
        let started = now();
        let (items, revision) = self.env.state.list(RequestClass::Claim, REPLICATED_PREFIX).await?;
        let mut contents = ReplicaContents::from_items(items, revision);
        {
            let mut current = self.replica.contents.borrow_mut();
            if current.revision() > revision {
                return Ok(());
            }
            contents.inherit(&mut current);
            *current = contents;
            self.observer.jobs_reloaded(&current.jobs);
        }
        self.replica.proof.prove(started);
        self.replica.synced.set(true);
        self.replica.changed.notify_waiters();
        Ok(())
    }
}

#[cfg(test)]
mod tests;
