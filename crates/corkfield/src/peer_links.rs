//! The links between controllers. Each controller maintains a connection to every other controller,
//! over which it sends its heartbeats, relays workers' heartbeats to the leader and sends
//! notifications of cancellations.

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

/// Interval of heartbeats, and pause before a lost link is reopened.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum time that a relayed heartbeat waits for the leader's answer. A worker abandons its
/// heartbeat after 4 s.
const RELAY_TIMEOUT: Duration = Duration::from_millis(3500);
/// Minimum capacity of a link's frame queue. A relayed heartbeat occupies a worker's connection, so
/// the number of accepted connections bounds the relayed heartbeats without an answer. All workers
/// of a large zone may need to have their heartbeats relayed.
const MIN_QUEUED_FRAMES: usize = 512;

/// Returns the capacity of a link's frame queue for a maximum number of accepted connections.
pub fn max_queued_frames(accepted_connections: usize) -> usize {
    accepted_connections.max(MIN_QUEUED_FRAMES)
}

/// The links that this controller opened, and the relayed heartbeats without an answer.
pub struct PeerLinks {
    /// The frame queues of the open links, by controller.
    queues: RefCell<BTreeMap<ControllerName, mpsc::Sender<Frame>>>,
    /// The relayed heartbeats without an answer, by number.
    pending_relays: RefCell<BTreeMap<u64, PendingRelay>>,
    /// Number of the last relayed heartbeat. The numbers begin at a random one that differs between
    /// processes, so a late copy of an answer to an earlier process has the number of no heartbeat
    /// that this process relays (S3).
    last_relay_number: Cell<u64>,
    /// Maximum number of frames in the queue of each link, and of relayed heartbeats without an
    /// answer.
    max_queued: usize,
}

/// A relayed heartbeat without an answer.
struct PendingRelay {
    /// The controller that was asked.
    leader: ControllerName,
    /// Passes the answer to the request that waits for it.
    answer: oneshot::Sender<Response>,
}

impl PeerLinks {
    /// Creates a set of links. `max_queued` limits the frames in the queue of each link, and the
    /// relayed heartbeats that wait for an answer. `process` is the random number that identifies
    /// this process.
    pub fn new(max_queued: usize, process: u64) -> Self {
        Self {
            queues: RefCell::default(),
            pending_relays: RefCell::default(),
            last_relay_number: Cell::new(process),
            max_queued,
        }
    }

    /// Relays a worker's heartbeat to the leader and returns the leader's answer. Returns `None` if
    /// there is no link to the leader, the link's queue is full, too many relayed heartbeats wait
    /// for an answer, or no answer arrives in time.
    ///
    /// The answer is the leader's own, under the leader's term. A worker's lease starts when the
    /// worker sends the heartbeat, and the worker drops an answer that arrives too late, so
    /// relaying never extends a lease.
    pub async fn relay_heartbeat(&self, leader: &str, body: &[u8]) -> Option<Response> {
        let link = self.queues.borrow().get(leader).cloned()?;
        if self.pending_relays.borrow().len() >= self.max_queued {
            return None;
        }
        let number = self.last_relay_number.get().wrapping_add(1);
        self.last_relay_number.set(number);
        let (answer, receiver) = oneshot::channel();
        let pending = PendingRelay { leader: ControllerName::from(leader), answer };
        self.pending_relays.borrow_mut().insert(number, pending);
        let sent = link.try_send(Frame::WorkerHeartbeat { number, body: body.to_vec() });
        let answer = match sent {
            Ok(()) => timeout(RELAY_TIMEOUT, receiver).await.ok().and_then(Result::ok),
            Err(_) => None,
        };
        self.pending_relays.borrow_mut().remove(&number);
        answer
    }

    /// Returns the controllers with an open link that report that they lead, or that are named by
    /// the leader record in the replica (`recorded_leader`).
    pub fn linked_leaders(
        &self,
        recorded_leader: Option<&ControllerName>,
        peers: &Peers,
    ) -> Vec<ControllerName> {
        let may_lead = |name: &ControllerName| {
            recorded_leader == Some(name) || peers.is_peer_leading(name.as_str())
        };
        self.queues.borrow().keys().filter(|name| may_lead(name)).cloned().collect()
    }

    /// Registers a link that was opened; returns both ends of its frame queue.
    fn register_link(&self, peer: &str) -> (mpsc::Sender<Frame>, mpsc::Receiver<Frame>) {
        let (sender, receiver) = mpsc::channel(self.max_queued);
        self.queues.borrow_mut().insert(ControllerName::from(peer), sender.clone());
        (sender, receiver)
    }

    /// Removes the link to a controller after it was lost.
    fn remove_link(&self, peer: &str) {
        self.queues.borrow_mut().remove(peer);
    }

    /// Passes a peer's answer to a relayed heartbeat on to the request that waits for it. Each answer
    /// is used once, and only if it is the asked peer's answer to a heartbeat of this process (S3):
    /// its starts may have been executed already, and a worker that has forgotten an attempt would
    /// run it again.
    fn complete_relay(&self, peer: &str, number: u64, response: Response) {
        let mut pending_relays = self.pending_relays.borrow_mut();
        let is_awaited =
            pending_relays.get(&number).is_some_and(|pending| pending.leader.as_str() == peer);
        if !is_awaited {
            tracing::debug!(controller = peer, number, "answer to no relayed heartbeat dropped");
            return;
        }
        if let Some(pending) = pending_relays.remove(&number) {
            let _ = pending.answer.send(response);
        }
    }
}

#[cfg(test)]
mod tests;
