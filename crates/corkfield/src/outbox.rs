//! The outbox of notifications: cancellations that other controllers have not acknowledged yet.

use crate::clock::now;
use crate::timers::AlignedTimers;
use corkfield_wire::peer::Frame;
use corkfield_wire::{ControllerName, JobId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A notification is sent again after this time without an acknowledgement.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of unacknowledged notifications for one controller. A receiver keeps the same
/// maximum number of cancelled jobs. As notifications are dropped after the time limit of a
/// cancellation, the maximum is reached only with some thousand cancellations per second.
const MAX_UNACKNOWLEDGED: usize = 65_536;
/// Maximum number of notifications in one frame.
const MAX_JOBS_IN_FRAME: usize = 256;

/// A notification without an acknowledgement.
struct Unacknowledged {
    added_at: Instant,
    last_sent_at: Option<Instant>,
}

/// Notifications of cancellations that the other controllers have not acknowledged yet.
#[derive(Default)]
pub struct CancellationOutbox {
    /// The unacknowledged notifications, by controller.
    unacknowledged: RefCell<BTreeMap<ControllerName, BTreeMap<JobId, Unacknowledged>>>,
    /// When an unacknowledged notification was last dropped, by controller.
    last_dropped_at: RefCell<BTreeMap<ControllerName, Instant>>,
    /// Notified when a notification was added.
    added: Notify,
    /// Notified when a peer has acknowledged notifications.
    acknowledged: Notify,
}

impl CancellationOutbox {
    /// Adds a notification for one controller; drops it if the controller already has
    /// [`MAX_UNACKNOWLEDGED`] notifications.
    fn add(&self, peer: &str, id: &JobId) {
        let mut unacknowledged = self.unacknowledged.borrow_mut();
        let to_peer = unacknowledged.entry(ControllerName::from(peer)).or_default();
        if to_peer.len() < MAX_UNACKNOWLEDGED {
            to_peer
                .entry(id.clone())
                .or_insert(Unacknowledged { added_at: now(), last_sent_at: None });
        } else {
            self.last_dropped_at.borrow_mut().insert(ControllerName::from(peer), now());
        }
    }

    /// Returns whether the peer has acknowledged every cancellation that this process confirmed to
    /// users.
    pub fn has_acknowledged_all(&self, peer: &str) -> bool {
        !self.has_unacknowledged(peer) && !self.last_dropped_at.borrow().contains_key(peer)
    }

    /// Records that the peer made a successful read of the state service that started after
    /// `since`. The read contained every cancellation whose notification was dropped before
    /// `since`.
    pub fn record_store_read(&self, peer: &str, since: Instant) {
        self.last_dropped_at
            .borrow_mut()
            .retain(|other, at| other.as_str() != peer || *at >= since);
    }

    /// Returns whether the peer has any unacknowledged notification.
    fn has_unacknowledged(&self, peer: &str) -> bool {
        self.unacknowledged.borrow().get(peer).is_some_and(|to_peer| !to_peer.is_empty())
    }

    /// Returns whether the peer has not acknowledged the job's cancellation yet.
    fn is_unacknowledged(&self, peer: &str, id: &JobId) -> bool {
        self.unacknowledged.borrow().get(peer).is_some_and(|to_peer| to_peer.contains_key(id))
    }

    /// Removes the notifications that the peer acknowledged, and wakes the tasks that wait for
    /// acknowledgements.
    pub fn record_acknowledgement(&self, peer: &str, jobs: &[String]) {
        if let Some(to_peer) = self.unacknowledged.borrow_mut().get_mut(peer) {
            jobs.iter().filter_map(|id| JobId::parse(id)).for_each(|id| {
                to_peer.remove(&id);
            });
        }
        self.acknowledged.notify_waiters();
    }

    /// Returns the jobs whose notifications are due for the peer, one frame's worth, and marks them
    /// as sent. Drops notifications older than `retention`: by then the answer limit guarantees
    /// that the jobs were stopped.
    fn take_due_jobs(&self, peer: &str, retention: Duration) -> Vec<String> {
        let at = now();
        let mut unacknowledged = self.unacknowledged.borrow_mut();
        let Some(to_peer) = unacknowledged.get_mut(peer) else { return Vec::new() };
        let before = to_peer.len();
        to_peer.retain(|_, notification| {
            at.saturating_duration_since(notification.added_at) < retention
        });
        if to_peer.len() < before {
            self.last_dropped_at.borrow_mut().insert(ControllerName::from(peer), at);
        }
        let due = to_peer.iter_mut().filter(|(_, notification)| {
            notification
                .last_sent_at
                .is_none_or(|sent| at.saturating_duration_since(sent) >= RESEND_INTERVAL)
        });
        let mut jobs = Vec::new();
        for (id, notification) in due.take(MAX_JOBS_IN_FRAME) {
            notification.last_sent_at = Some(at);
            jobs.push(id.to_string());
        }
        jobs
    }

    /// Marks all notifications for the peer as unsent, when a new link opens: frames sent over the
    /// previous link may be lost.
    fn reset_last_sent(&self, peer: &str) {
        if let Some(to_peer) = self.unacknowledged.borrow_mut().get_mut(peer) {
            to_peer.values_mut().for_each(|notification| notification.last_sent_at = None);
        }
    }

    /// Adds a notification of the job's cancellation for each of the controllers.
    pub fn add_for_all<'a>(&self, peers: impl Iterator<Item = &'a str>, id: &JobId) {
        peers.for_each(|peer| self.add(peer, id));
        self.added.notify_waiters();
    }

    /// Waits until none of these controllers has an unacknowledged notification for the job.
    pub async fn wait_until_acknowledged(&self, peers: &[ControllerName], id: &JobId) {
        loop {
            let acknowledged = self.acknowledged.notified();
            if !peers.iter().any(|peer| self.is_unacknowledged(peer.as_str(), id)) {
                return;
            }
            acknowledged.await;
        }
    }

    /// Sends notifications over a link that was just opened, until `queue_frame` returns false
    /// because the link accepts no more frames. Drops notifications older than `retention`.
    pub async fn send_notifications(
        &self,
        timers: &AlignedTimers,
        peer: &str,
        retention: Duration,
        queue_frame: impl Fn(Frame) -> bool,
    ) {
        self.reset_last_sent(peer);
        loop {
            let added = self.added.notified();
            let jobs = self.take_due_jobs(peer, retention);
            if jobs.is_empty() && !self.has_unacknowledged(peer) {
                added.await;
            } else if jobs.is_empty() {
                timers.wait_for_event(RESEND_INTERVAL, added).await;
            } else if !queue_frame(Frame::Cancelled { jobs }) {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
