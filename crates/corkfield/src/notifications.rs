//! Cancellations, told to the other controllers over the link between them.
//!
//! The state service may refuse the leader alone while others commit cancellations. What it then
//! doesn't read it hears here, and stops at once. That comes on top of the answer limit (S6), which
//! holds with no other controller in reach.

use crate::clock::now;
use crate::node::Node;
use corkfield_wire::peer::Frame;
use corkfield_wire::JobId;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A user's answer waits this long for the leader's acknowledgement.
const ACKNOWLEDGEMENT_WAIT: Duration = Duration::from_millis(300);
/// Without an acknowledgement a notification is sent again after this time.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Notifications that may be open for one controller. It keeps as many cancelled jobs in mind;
/// they are dropped after the time that a cancellation may take, so that only a flood of some
/// thousand cancellations a second reaches this.
const MAX_UNACKNOWLEDGED: usize = 65_536;
/// Notifications that share a frame.
const MAX_JOBS: usize = 256;

/// A notification that was not acknowledged yet.
struct Unacknowledged {
    since: Instant,
    sent: Option<Instant>,
}

/// What each of the other controllers has still to acknowledge.
#[derive(Default)]
pub struct Notifications {
    open: RefCell<BTreeMap<String, BTreeMap<JobId, Unacknowledged>>>,
    /// Controllers for which a notification was dropped unacknowledged, and when the last one was.
    dropped: RefCell<BTreeMap<String, Instant>>,
    added: Notify,
    acknowledged: Notify,
}

impl Notifications {
    fn add(&self, peer: &str, id: &JobId) {
        let mut open = self.open.borrow_mut();
        let of_peer = open.entry(peer.to_owned()).or_default();
        if of_peer.len() < MAX_UNACKNOWLEDGED {
            of_peer.entry(id.clone()).or_insert(Unacknowledged { since: now(), sent: None });
        } else {
            self.dropped.borrow_mut().insert(peer.to_owned(), now());
        }
    }

    /// Whether that controller has acknowledged every cancellation that users of this one, since
    /// its process began, were told of.
    pub fn all_acknowledged(&self, peer: &str) -> bool {
        !self.has_open(peer) && !self.dropped.borrow().contains_key(peer)
    }

    /// That controller read the state service after `since`: it knows of what was dropped before.
    pub fn has_read(&self, peer: &str, since: Instant) {
        self.dropped.borrow_mut().retain(|other, at| other != peer || *at >= since);
    }

    fn has_open(&self, peer: &str) -> bool {
        self.open.borrow().get(peer).is_some_and(|of_peer| !of_peer.is_empty())
    }

    fn is_open(&self, peer: &str, id: &JobId) -> bool {
        self.open.borrow().get(peer).is_some_and(|of_peer| of_peer.contains_key(id))
    }

    pub fn acknowledged(&self, peer: &str, jobs: &[String]) {
        if let Some(of_peer) = self.open.borrow_mut().get_mut(peer) {
            jobs.iter().filter_map(|id| JobId::parse(id)).for_each(|id| {
                of_peer.remove(&id);
            });
        }
        self.acknowledged.notify_waiters();
    }

    /// What is to be sent to that controller now. Older notifications than `keep` are dropped: by then
    /// the answer limit has settled the matter.
    fn due(&self, peer: &str, keep: Duration) -> Vec<String> {
        let at = now();
        let mut open = self.open.borrow_mut();
        let Some(of_peer) = open.get_mut(peer) else { return Vec::new() };
        let before = of_peer.len();
        of_peer.retain(|_, notification| at.saturating_duration_since(notification.since) < keep);
        if of_peer.len() < before {
            self.dropped.borrow_mut().insert(peer.to_owned(), at);
        }
        let due = of_peer.iter_mut().filter(|(_, notification)| {
            notification
                .sent
                .is_none_or(|sent| at.saturating_duration_since(sent) >= RESEND_INTERVAL)
        });
        let mut jobs = Vec::new();
        for (id, notification) in due.take(MAX_JOBS) {
            notification.sent = Some(at);
            jobs.push(id.to_string());
        }
        jobs
    }

    /// A new link: whatever went over the one before may be lost.
    fn link_opened(&self, peer: &str) {
        if let Some(of_peer) = self.open.borrow_mut().get_mut(peer) {
            of_peer.values_mut().for_each(|notification| notification.sent = None);
        }
    }
}

/// Tells all controllers that the state service holds the job as cancelled, and waits a moment for
/// whoever leads. Called only for what was committed or read here: a cancellation whose commit had
/// no answer may never come about, and is not told.
pub async fn notify_all(node: &Node, id: &JobId) {
    node.leadership.cancelled(id);
    let peers = &node.env.settings.platform.peers;
    peers.iter().for_each(|peer| node.notifications.add(&peer.node, id));
    node.notifications.added.notify_waiters();
    let leaders = node.peers.leaders(node);
    let all = async {
        loop {
            let acknowledged = node.notifications.acknowledged.notified();
            if !leaders.iter().any(|peer| node.notifications.is_open(peer, id)) {
                return;
            }
            acknowledged.await;
        }
    };
    let _ = tokio::time::timeout(ACKNOWLEDGEMENT_WAIT, all).await;
}

/// Sends what is due over a link, for as long as it takes frames.
pub async fn send(node: &Node, peer: &str, put: impl Fn(Frame) -> bool) {
    let keep = node.env.settings.platform.params.workers.cancel();
    node.notifications.link_opened(peer);
    loop {
        let added = node.notifications.added.notified();
        let jobs = node.notifications.due(peer, keep);
        if jobs.is_empty() && !node.notifications.has_open(peer) {
            added.await;
        } else if jobs.is_empty() {
            node.env.timers.within(RESEND_INTERVAL, added).await;
        } else if !put(Frame::Cancelled { jobs }) {
            return;
        }
    }
}

#[cfg(test)]
mod tests;
