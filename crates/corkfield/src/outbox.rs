//! The outbox of notifications: cancellations that other controllers have still to acknowledge.

use crate::clock::now;
use crate::timers::AlignedTimers;
use corkfield_wire::peer::Frame;
use corkfield_wire::{ControllerName, JobId};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Without an acknowledgement a notification is sent again after this time.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Notifications that may be open for one controller. It remembers as many cancelled jobs; they are dropped after the time that a cancellation may take, so that only a flood of some
/// thousand cancellations a second reaches this.
const MAX_UNACKNOWLEDGED: usize = 65_536;
/// Notifications that share a frame.
const MAX_JOBS_IN_FRAME: usize = 256;

/// A notification that was not acknowledged yet.
struct Unacknowledged {
    added_at: Instant,
    last_sent_at: Option<Instant>,
}

/// What each of the other controllers has still to acknowledge.
#[derive(Default)]
pub struct CancellationOutbox {
    /// By controller.
    unacknowledged: RefCell<BTreeMap<ControllerName, BTreeMap<JobId, Unacknowledged>>>,
    /// Controllers for which a notification was dropped unacknowledged, and when the last one was.
    last_dropped_at: RefCell<BTreeMap<ControllerName, Instant>>,
    added: Notify,
    acknowledged: Notify,
}

impl CancellationOutbox {
    /// Adds a notification to one controller. If too many are open for it, this one is dropped.
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

    /// Whether that controller has acknowledged every cancellation that users of this one, since
    /// its process began, were told of.
    pub fn has_acknowledged_all(&self, peer: &str) -> bool {
        !self.has_unacknowledged(peer) && !self.last_dropped_at.borrow().contains_key(peer)
    }

    /// That controller read the state service after `since`: it knows of what was dropped before.
    pub fn record_store_read(&self, peer: &str, since: Instant) {
        self.last_dropped_at
            .borrow_mut()
            .retain(|other, at| other.as_str() != peer || *at >= since);
    }

    /// Whether that controller has anything to acknowledge.
    fn has_unacknowledged(&self, peer: &str) -> bool {
        self.unacknowledged.borrow().get(peer).is_some_and(|to_peer| !to_peer.is_empty())
    }

    /// Whether that controller has still to acknowledge the cancellation.
    fn is_unacknowledged(&self, peer: &str, id: &JobId) -> bool {
        self.unacknowledged.borrow().get(peer).is_some_and(|to_peer| to_peer.contains_key(id))
    }

    /// That controller has heard of these cancellations.
    pub fn record_acknowledgement(&self, peer: &str, jobs: &[String]) {
        if let Some(to_peer) = self.unacknowledged.borrow_mut().get_mut(peer) {
            jobs.iter().filter_map(|id| JobId::parse(id)).for_each(|id| {
                to_peer.remove(&id);
            });
        }
        self.acknowledged.notify_waiters();
    }

    /// What is to be sent to that controller now. Older notifications than `retention` are dropped: by
    /// then the answer limit has settled the matter.
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

    /// A new link: whatever went over the one before may be lost.
    fn reset_last_sent(&self, peer: &str) {
        if let Some(to_peer) = self.unacknowledged.borrow_mut().get_mut(peer) {
            to_peer.values_mut().for_each(|notification| notification.last_sent_at = None);
        }
    }

    /// Adds a notification of this cancellation to each of the controllers.
    pub fn add_for_all<'a>(&self, peers: impl Iterator<Item = &'a str>, id: &JobId) {
        peers.for_each(|peer| self.add(peer, id));
        self.added.notify_waiters();
    }

    /// Waits until all of these controllers have acknowledged the cancellation.
    pub async fn wait_until_acknowledged(&self, peers: &[ControllerName], id: &JobId) {
        loop {
            let acknowledged = self.acknowledged.notified();
            if !peers.iter().any(|peer| self.is_unacknowledged(peer.as_str(), id)) {
                return;
            }
            acknowledged.await;
        }
    }

    /// Sends what is due over a link that was just opened, for as long as `queue_frame` says that
    /// the link takes frames. Older notifications than `retention` are dropped.
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
