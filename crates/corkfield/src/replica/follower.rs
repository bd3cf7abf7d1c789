//! Reads the state service: a watch follows all changes, and other reads are made on request.

use super::{ReplicaContents, StoreReplica};
use crate::clock::now;
use crate::environment::Environment;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{JobRecord, Versioned, REPLICATED_PREFIX};
use corkfield_wire::store::Events;
use corkfield_wire::JobId;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Pause of a leader between two watches. Changes during the pause arrive together in one answer.
/// A leader pauses briefly because it has to claim new jobs and stop cancelled ones.
const WATCH_PAUSE: Duration = Duration::from_millis(50);
/// Pause of a standby between two watches.
const STANDBY_WATCH_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a failed watch.
const WATCH_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause after a failed complete read.
const RELOAD_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause after a failed read on request.
const REFRESH_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Observes the changes of a read before the read counts as proof of fresh state (S6).
///
/// The methods are called synchronously, after the contents have changed and before the proof is
/// renewed: a leader that answers heartbeats because of a read must already have closed the jobs
/// that the read shows as finished, whatever else it is waiting for.
pub trait ReplicaObserver {
    /// Called with the jobs that are no longer unfinished.
    fn on_jobs_ended(&self, jobs: &[JobId]);

    /// Called after the whole copy was replaced, with the records of all unfinished jobs.
    fn on_jobs_reloaded(&self, unfinished: &BTreeMap<JobId, Versioned<JobRecord>>);

    /// Returns whether this controller needs to see changes with little delay, as a leader does.
    fn needs_prompt_updates(&self) -> bool;
}

/// Keeps a [`StoreReplica`] up to date.
pub struct ReplicaFollower {
    /// The client of the state service, settings and timers.
    pub env: Rc<Environment>,
    /// The local copy to update.
    pub replica: Rc<StoreReplica>,
    /// Is notified of the changes of each read.
    pub observer: Rc<dyn ReplicaObserver>,
}

impl ReplicaFollower {
    /// Follows all changes with one watch after another. Makes a complete read at the start, and
    /// when the state service no longer keeps the changes after the copy's revision.
    pub async fn watch(self: Rc<Self>) {
        loop {
            if self.replica.is_synced() {
                if let Some(pause) = self.watch_once().await {
                    self.env.timers.tick(pause).await;
                }
            } else if let Err(error) = self.reload().await {
                tracing::debug!(%error, "complete read of the state service failed");
                tokio::time::sleep(RELOAD_RETRY_PAUSE).await;
            }
        }
    }

    /// Makes the reads that [`StoreReplica::refresh`] requests.
    pub async fn serve_refreshes(self: Rc<Self>) {
        loop {
            let ticket = self.replica.refresh_queue.next_ticket().await;
            let succeeded = self.replica.is_synced() && self.read_changes().await;
            self.replica.refresh_queue.complete_ticket(ticket, succeeded);
            if !succeeded {
                tokio::time::sleep(REFRESH_RETRY_PAUSE).await;
            }
        }
    }

    /// Opens one watch and applies its changes. Returns the pause before the next watch, or `None`
    /// to continue at once.
    async fn watch_once(&self) -> Option<Duration> {
        let wait = self.env.settings.watch_timeout();
        let after = self.replica.contents.borrow().revision();
        let started = now();
        let read = self.env.state.watch(RequestClass::Claim, REPLICATED_PREFIX, after, wait).await;
        match read {
            Ok(events) => {
                let waited = now().saturating_duration_since(started);
                let is_quiet = events.events.is_empty() && waited >= wait / 2;
                self.apply_read(events, started);
                // The proof of fresh state is as old as the watch was long. With an additional
                // pause a standby would consider the state service unreachable, and would report to
                // the load balancer that it isn't ready.
                (!is_quiet).then(|| self.watch_pause())
            }
            Err(StateError::RevisionTooOld) => {
                self.replica.synced.set(false);
                None
            }
            Err(error) => {
                tracing::debug!(%error, "watch failed");
                Some(WATCH_RETRY_PAUSE)
            }
        }
    }

    /// Returns the pause between two watches.
    fn watch_pause(&self) -> Duration {
        // Without machine types or a leader, users and workers wait for the next change.
        if self.observer.needs_prompt_updates()
            || !self.replica.contents.borrow().can_serve_requests()
        {
            WATCH_PAUSE
        } else {
            STANDBY_WATCH_PAUSE
        }
    }

    /// Reads the changes since the copy's revision without waiting for new ones. Returns whether
    /// the read succeeded.
    async fn read_changes(&self) -> bool {
        let after = self.replica.contents.borrow().revision();
        let started = now();
        let read = self
            .env
            .state
            .watch(RequestClass::Query, REPLICATED_PREFIX, after, Duration::ZERO)
            .await;
        match read {
            Ok(events) => {
                self.apply_read(events, started);
                true
            }
            Err(error) => {
                tracing::debug!(%error, "read on request failed");
                false
            }
        }
    }

    /// Applies a read that started at `started`. The read becomes the proof of fresh state (S6)
    /// only after the observer was notified of the ended jobs.
    fn apply_read(&self, events: Events, started: Instant) {
        let changes = self.replica.contents.borrow_mut().apply_events(events);
        self.observer.on_jobs_ended(&changes.ended_jobs);
        self.replica.proof.record_read(started);
        if changes.has_changes {
            self.replica.changed.notify_waiters();
        }
    }

    /// Makes a complete read and replaces the whole copy, unless the copy is newer than the read.
    async fn reload(&self) -> Result<(), StateError> {
        let started = now();
        let (items, revision) = self.env.state.list(RequestClass::Claim, REPLICATED_PREFIX).await?;
        let mut contents = ReplicaContents::from_items(items, revision);
        {
            let mut current = self.replica.contents.borrow_mut();
            if current.revision() > revision {
                return Ok(());
            }
            contents.carry_over_from(&mut current);
            *current = contents;
            self.observer.on_jobs_reloaded(&current.jobs);
        }
        self.replica.proof.record_read(started);
        self.replica.synced.set(true);
        self.replica.changed.notify_waiters();
        Ok(())
    }
}

#[cfg(test)]
mod tests;
