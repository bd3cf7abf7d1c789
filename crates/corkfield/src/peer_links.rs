//! The links between controllers: each keeps one to every other, over which it sends its
//! heartbeats, relays workers' heartbeats to the leader and notifies of cancellations.

mod frames;
mod incoming;
mod outgoing;

pub use incoming::{IncomingLinks, PeerRequestHandler};
pub use outgoing::OutgoingLinks;

use crate::peers::Peers;
use corkfield_http::Response;
use corkfield_wire::peer::Frame;
use corkfield_wire::ControllerName;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Pause between two heartbeats, and before a link is opened again.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// A worker gives a heartbeat up after 4 s.
const RELAY_TIMEOUT: Duration = Duration::from_millis(3500);
/// Frames that may wait for one link, at the least. A heartbeat that is relayed holds a worker's
/// connection, so no more of them are under way than connections are accepted; all workers of a
/// large zone may have to send theirs this way.
const MIN_QUEUED_FRAMES: usize = 512;

/// Frames that may wait for one link, if so many connections are accepted.
pub fn max_queued_frames(accepted_connections: usize) -> usize {
    accepted_connections.max(MIN_QUEUED_FRAMES)
}

/// The links that this controller opened, and the relayed heartbeats that wait for their answers.
pub struct PeerLinks {
    /// Where frames to each controller that there is a link to are queued.
    queues: RefCell<BTreeMap<ControllerName, mpsc::Sender<Frame>>>,
    /// Relayed heartbeats without an answer yet, by number.
    pending_relays: RefCell<BTreeMap<u64, oneshot::Sender<Response>>>,
    last_relay_number: Cell<u64>,
    max_queued: usize,
}

impl PeerLinks {
    /// No more than `max_queued` frames wait for a link, and no more relayed heartbeats for
    /// answers.
    pub fn new(max_queued: usize) -> Self {
        Self {
            queues: RefCell::default(),
            pending_relays: RefCell::default(),
            last_relay_number: Cell::new(0),
            max_queued,
        }
    }

    /// Relays a worker's heartbeat to the leader, and brings its answer. It is the leader's own
    /// answer, under its term; a worker counts its lease from when it sent the heartbeat, so the
    /// way round makes no lease longer, and it drops an answer that comes too late.
    pub async fn relay_heartbeat(&self, leader: &str, body: &[u8]) -> Option<Response> {
        let link = self.queues.borrow().get(leader).cloned()?;
        if self.pending_relays.borrow().len() >= self.max_queued {
            return None;
        }
        let number = self.last_relay_number.get() + 1;
        self.last_relay_number.set(number);
        let (sender, receiver) = oneshot::channel();
        self.pending_relays.borrow_mut().insert(number, sender);
        let sent = link.try_send(Frame::WorkerHeartbeat { number, body: body.to_vec() });
        let answer = match sent {
            Ok(()) => timeout(RELAY_TIMEOUT, receiver).await.ok().and_then(Result::ok),
            Err(_) => None,
        };
        self.pending_relays.borrow_mut().remove(&number);
        answer
    }

    /// Controllers that there is a link to and that say they lead, or that the state service names
    /// as the leader.
    pub fn linked_leaders(
        &self,
        recorded: Option<&ControllerName>,
        peers: &Peers,
    ) -> Vec<ControllerName> {
        let leads =
            |name: &ControllerName| recorded == Some(name) || peers.is_peer_leading(name.as_str());
        self.queues.borrow().keys().filter(|name| leads(name)).cloned().collect()
    }

    /// A link was opened; returns the queue of its frames.
    fn register_link(&self, peer: &str) -> (mpsc::Sender<Frame>, mpsc::Receiver<Frame>) {
        let (sender, receiver) = mpsc::channel(self.max_queued);
        self.queues.borrow_mut().insert(ControllerName::from(peer), sender.clone());
        (sender, receiver)
    }

    /// The link to that controller was lost.
    fn remove_link(&self, peer: &str) {
        self.queues.borrow_mut().remove(peer);
    }

    /// The answer to a relayed heartbeat has come.
    fn complete_relay(&self, number: u64, response: Response) {
        if let Some(waiting) = self.pending_relays.borrow_mut().remove(&number) {
            let _ = waiting.send(response);
        }
    }
}

#[cfg(test)]
mod tests;
