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
    since: Instant,
    sent: Option<Instant>,
}

/// What each of the other controllers has still to acknowledge.
#[derive(Default)]
pub struct CancellationOutbox {
    /// By controller.
    open: RefCell<BTreeMap<ControllerName, BTreeMap<JobId, Unacknowledged>>>,
    /// Controllers for which a notification was dropped unacknowledged, and when the last one was.
    dropped: RefCell<BTreeMap<ControllerName, Instant>>,
    added: Notify,
    acknowledged: Notify,
}

impl CancellationOutbox {
    /// Adds a notification to one controller. If too many are open for it, this one is dropped.
    fn add(&self, peer: &str, id: &JobId) {
        let mut open = self.open.borrow_mut();
        let to_peer = open.entry(ControllerName::from(peer)).or_default();
        if to_peer.len() < MAX_UNACKNOWLEDGED {
            to_peer.entry(id.clone()).or_insert(Unacknowledged { since: now(), sent: None });
        } else {
            self.dropped.borrow_mut().insert(ControllerName::from(peer), now());
        }
    }

    /// Whether that controller has acknowledged every cancellation that users of this one, since
    /// its process began, were told of.
    pub fn all_acknowledged(&self, peer: &str) -> bool {
        !self.has_open(peer) && !self.dropped.borrow().contains_key(peer)
    }

    /// That controller read the state service after `since`: it knows of what was dropped before.
    pub fn has_read(&self, peer: &str, since: Instant) {
        self.dropped.borrow_mut().retain(|other, at| other.as_str() != peer || *at >= since);
    }

    /// Whether that controller has anything to acknowledge.
    fn has_open(&self, peer: &str) -> bool {
        self.open.borrow().get(peer).is_some_and(|to_peer| !to_peer.is_empty())
    }

    /// Whether that controller has still to acknowledge the cancellation.
    fn is_open(&self, peer: &str, id: &JobId) -> bool {
        self.open.borrow().get(peer).is_some_and(|to_peer| to_peer.contains_key(id))
    }

    /// That controller has heard of these cancellations.
    pub fn acknowledged(&self, peer: &str, jobs: &[String]) {
        if let Some(to_peer) = self.open.borrow_mut().get_mut(peer) {
            jobs.iter().filter_map(|id| JobId::parse(id)).for_each(|id| {
                to_peer.remove(&id);
            });
        }
        self.acknowledged.notify_waiters();
    }

    /// What is to be sent to that controller now. Older notifications than `keep` are dropped: by
    /// then the answer limit has settled the matter.
    fn due(&self, peer: &str, keep: Duration) -> Vec<String> {
        let at = now();
        let mut open = self.open.borrow_mut();
        let Some(to_peer) = open.get_mut(peer) else { return Vec::new() };
        let before = to_peer.len();
        to_peer.retain(|_, notification| at.saturating_duration_since(notification.since) < keep);
        if to_peer.len() < before {
            self.dropped.borrow_mut().insert(ControllerName::from(peer), at);
        }
        let due = to_peer.iter_mut().filter(|(_, notification)| {
            notification
                .sent
                .is_none_or(|sent| at.saturating_duration_since(sent) >= RESEND_INTERVAL)
        });
        let mut jobs = Vec::new();
        for (id, notification) in due.take(MAX_JOBS_IN_FRAME) {
            notification.sent = Some(at);
            jobs.push(id.to_string());
        }
        jobs
    }

    /// A new link: whatever went over the one before may be lost.
    fn link_opened(&self, peer: &str) {
        if let Some(to_peer) = self.open.borrow_mut().get_mut(peer) {
            to_peer.values_mut().for_each(|notification| notification.sent = None);
        }
    }

    /// Adds a notification of this cancellation to each of the controllers.
    pub fn add_for_all<'a>(&self, peers: impl Iterator<Item = &'a str>, id: &JobId) {
        peers.for_each(|peer| self.add(peer, id));
        self.added.notify_waiters();
    }

    /// Waits until all of these controllers have acknowledged the cancellation.
    pub async fn until_acknowledged(&self, peers: &[ControllerName], id: &JobId) {
        loop {
            let acknowledged = self.acknowledged.notified();
            if !peers.iter().any(|peer| self.is_open(peer.as_str(), id)) {
                return;
            }
            acknowledged.await;
        }
    }

    /// Sends what is due over a link that was just opened, for as long as `queue_frame` says that
    /// the link takes frames. Older notifications than `keep` are dropped.
    pub async fn send(
        &self,
        timers: &AlignedTimers,
        peer: &str,
        keep: Duration,
        queue_frame: impl Fn(Frame) -> bool,
    ) {
        self.link_opened(peer);
        loop {
            let added = self.added.notified();
            let jobs = self.due(peer, keep);
            if jobs.is_empty() && !self.has_open(peer) {
                added.await;
            } else if jobs.is_empty() {
                timers.within(RESEND_INTERVAL, added).await;
            } else if !queue_frame(Frame::Cancelled { jobs }) {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
