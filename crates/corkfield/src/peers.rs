//! The latest heartbeats of the other controllers. They show which controller leads, whether the
//! state service answers the other controllers, and whether they attest to its outage.

use crate::clock::now;
use corkfield_wire::peer::PeerHeartbeat;
use corkfield_wire::settings::PlatformSettings;
use corkfield_wire::{ControllerName, Term};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// A controller whose latest heartbeat is older than this counts as silent.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum number of controllers whose heartbeats are kept, and of links that are accepted.
pub const MAX_PEERS: usize = 32;
/// Number of heartbeats to each peer whose sending times are kept.
const MAX_SENT_HEARTBEATS: usize = 32;

/// The latest heartbeat of another controller.
struct LastHeartbeat {
    heartbeat: PeerHeartbeat,
    received_at: Instant,
    /// When the first heartbeat of the sender's current process was received.
    process_first_seen: Instant,
    /// The peer attested to the outage, with this controller as the leader, at this time or later.
    /// `None` if its current process never did.
    attested_at: Option<Instant>,
}

impl LastHeartbeat {
    /// Returns whether the heartbeat was received within [`HEARTBEAT_TIMEOUT`].
    fn is_recent(&self) -> bool {
        now().saturating_duration_since(self.received_at) < HEARTBEAT_TIMEOUT
    }
}

/// A heartbeat that this controller sent to a peer.
struct SentHeartbeat {
    number: u64,
    sent_at: Instant,
}

/// The peer's heartbeat that the next heartbeat to the peer echoes. Both fields are 0 if none was
/// received.
#[derive(Debug, Clone, Copy, Default)]
pub struct Echo {
    /// Number of the heartbeat.
    pub number: u64,
    /// The process that sent the heartbeat.
    pub process: u64,
}

/// Tracks the heartbeats received from and sent to the other controllers.
#[derive(Default)]
pub struct Peers {
    /// The latest heartbeat of each controller.
    last_heartbeats: RefCell<BTreeMap<ControllerName, LastHeartbeat>>,
    /// The heartbeats sent to each controller, oldest first.
    sent_heartbeats: RefCell<BTreeMap<ControllerName, VecDeque<SentHeartbeat>>>,
}

impl Peers {
    /// Records a received heartbeat. `echoed_sent_at` is the time when this controller sent the
    /// heartbeat that the received one echoes. A heartbeat of an unknown controller is ignored if
    /// [`MAX_PEERS`] controllers are known already.
    pub fn record_heartbeat(&self, heartbeat: PeerHeartbeat, echoed_sent_at: Option<Instant>) {
        let (peer, received_at) = (heartbeat.node.clone(), now());
        let mut last = self.last_heartbeats.borrow_mut();
        if last.len() >= MAX_PEERS && !last.contains_key(&peer) {
            return;
        }
        let previous =
            last.remove(&peer).filter(|previous| previous.heartbeat.process == heartbeat.process);
        let process_first_seen =
            previous.as_ref().map_or(received_at, |previous| previous.process_first_seen);
        let attested_at = previous.and_then(|previous| previous.attested_at);
        // The peer sent its heartbeat after it had received the echoed one, so the attestation is
        // later than the time when the echoed heartbeat was sent.
        let attested_at =
            attested_at.max(echoed_sent_at.filter(|_| heartbeat.is_outage_attestation));
        last.insert(
            peer,
            LastHeartbeat { heartbeat, received_at, process_first_seen, attested_at },
        );
    }

    /// Returns when this controller sent the heartbeat that `heartbeat` echoes. `process` is this
    /// process. Returns `None` if the echoed heartbeat was sent by an earlier process of this
    /// controller: its number may equal that of a different heartbeat of this process.
    pub fn echoed_sent_at(&self, heartbeat: &PeerHeartbeat, process: u64) -> Option<Instant> {
        let sent = self.sent_heartbeats.borrow();
        let mut to_peer = sent.get(&heartbeat.node)?.iter();
        let echoed = to_peer.find(|sent| sent.number == heartbeat.last_received_number)?;
        (heartbeat.last_received_process == process).then_some(echoed.sent_at)
    }

    /// Records that a heartbeat to the peer is sent now; returns the number of the heartbeat.
    pub fn record_sent_heartbeat(&self, peer: &str) -> u64 {
        let mut sent = self.sent_heartbeats.borrow_mut();
        let to_peer = sent.entry(ControllerName::from(peer)).or_default();
        let number = to_peer.back().map_or(0, |newest| newest.number) + 1;
        to_peer.push_back(SentHeartbeat { number, sent_at: now() });
        if to_peer.len() > MAX_SENT_HEARTBEATS {
            to_peer.pop_front();
        }
        number
    }

    /// Returns the received heartbeat that the next heartbeat to the peer echoes.
    pub fn echo_for(&self, peer: &str) -> Echo {
        let last = self.last_heartbeats.borrow();
        last.get(peer).map_or_else(Echo::default, |last| Echo {
            number: last.heartbeat.number,
            process: last.heartbeat.process,
        })
    }

    /// Returns how long ago all other controllers attested that no other controller leads and that
    /// this controller acknowledged every cancellation that they confirmed to users (S6).
    ///
    /// Returns `None` if any of them did not attest under `term`, or if its process first appeared
    /// after `proven_at`, the time of the newest read of the state service: cancellations that an
    /// earlier process of that controller confirmed are unknown.
    pub fn attestation_age(
        &self,
        platform: &PlatformSettings,
        term: Term,
        proven_at: Instant,
    ) -> Option<Duration> {
        if platform.peers.len() + 1 < platform.service.size as usize {
            return None;
        }
        let last = self.last_heartbeats.borrow();
        let attested = platform.peers.iter().map(|peer| {
            let last = last.get(&peer.node)?;
            let is_valid = last.heartbeat.term == term && last.process_first_seen < proven_at;
            last.attested_at.filter(|_| is_valid)
        });
        let oldest = attested.collect::<Option<Vec<Instant>>>()?.into_iter().min()?;
        Some(now().saturating_duration_since(oldest))
    }

    /// Returns whether another controller recently reported that the state service answers it.
    pub fn has_peer_with_store_access(&self) -> bool {
        self.last_heartbeats
            .borrow()
            .values()
            .any(|last| last.heartbeat.is_store_reachable && last.is_recent())
    }

    /// Returns whether other controllers sent heartbeats recently and the state service answers
    /// none of them. The outage then doesn't affect this controller alone.
    pub fn is_store_unreachable_for_all_peers(&self) -> bool {
        let last = self.last_heartbeats.borrow();
        let mut others = last.values().filter(|last| last.is_recent()).peekable();
        others.peek().is_some() && others.all(|last| !last.heartbeat.is_store_reachable)
    }

    /// Returns whether the peer recently reported that it leads.
    pub fn is_peer_leading(&self, peer: &str) -> bool {
        let last = self.last_heartbeats.borrow();
        last.get(peer).is_some_and(|last| last.heartbeat.is_leader && last.is_recent())
    }
}

#[cfg(test)]
mod tests;
