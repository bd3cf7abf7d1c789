//! What the other controllers said last, and what follows from it: who leads, whether they have
//! answers from the state service, and what they attest to.

use crate::clock::now;
use corkfield_wire::peer::PeerHeartbeat;
use corkfield_wire::settings::PlatformSettings;
use corkfield_wire::{ControllerName, Term};
use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// A controller that sent no heartbeat for this long counts as silent.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// Controllers whose heartbeats are kept, and links that are accepted.
pub const MAX_PEERS: usize = 32;
/// Heartbeats of which the time of sending is kept, for each peer.
const MAX_SENT_HEARTBEATS: usize = 32;

/// What another controller said last.
struct LastHeartbeat {
    heartbeat: PeerHeartbeat,
    received: Instant,
    /// Since when it is the same process.
    process_since: Instant,
    /// It attested for this controller, as the leader, at this moment or later.
    attested: Option<Instant>,
}

impl LastHeartbeat {
    fn is_recent(&self) -> bool {
        now().saturating_duration_since(self.received) < HEARTBEAT_TIMEOUT
    }
}

/// A heartbeat that this controller sent.
struct SentHeartbeat {
    number: u64,
    sent: Instant,
}

/// The peer's heartbeat that the next one to it echoes; zeros if there was none.
#[derive(Debug, Clone, Copy, Default)]
pub struct Echo {
    /// Number of the heartbeat.
    pub number: u64,
    /// The process that sent it.
    pub process: u64,
}

/// The view of the other controllers.
#[derive(Default)]
pub struct Peers {
    last: RefCell<BTreeMap<ControllerName, LastHeartbeat>>,
    /// The heartbeats sent to each, the oldest first.
    sent: RefCell<BTreeMap<ControllerName, VecDeque<SentHeartbeat>>>,
}

impl Peers {
    /// Records a heartbeat; `echoed_sent` is when the one that it echoes was sent.
    pub fn record(&self, heartbeat: PeerHeartbeat, echoed_sent: Option<Instant>) {
        let (peer, received) = (heartbeat.node.clone(), now());
        let mut last = self.last.borrow_mut();
        if last.len() >= MAX_PEERS && !last.contains_key(&peer) {
            return;
        }
        let before =
            last.remove(&peer).filter(|before| before.heartbeat.process == heartbeat.process);
        let process_since = before.as_ref().map_or(received, |before| before.process_since);
        let attested = before.and_then(|before| before.attested);
        // It was sent after what it echoes had come, and so after that was sent.
        let attested = attested.max(echoed_sent.filter(|_| heartbeat.is_outage_attestation));
        last.insert(peer, LastHeartbeat { heartbeat, received, process_since, attested });
    }

    /// When the heartbeat that this one echoes was sent by `process`, which is this one. One to a
    /// process before this one, with the same number, says nothing.
    pub fn echoed_sent(&self, heartbeat: &PeerHeartbeat, process: u64) -> Option<Instant> {
        let sent = self.sent.borrow();
        let mut to_peer = sent.get(&heartbeat.node)?.iter();
        let echoed = to_peer.find(|sent| sent.number == heartbeat.last_received_number)?;
        (heartbeat.last_received_process == process).then_some(echoed.sent)
    }

    /// Records that a heartbeat is sent now; returns its number.
    pub fn record_sent(&self, peer: &str) -> u64 {
        let mut sent = self.sent.borrow_mut();
        let to_peer = sent.entry(ControllerName::from(peer)).or_default();
        let number = to_peer.back().map_or(0, |newest| newest.number) + 1;
        to_peer.push_back(SentHeartbeat { number, sent: now() });
        if to_peer.len() > MAX_SENT_HEARTBEATS {
            to_peer.pop_front();
        }
        number
    }

    /// What the next heartbeat to that controller echoes.
    pub fn echo_to(&self, peer: &str) -> Echo {
        let last = self.last.borrow();
        last.get(peer).map_or_else(Echo::default, |last| Echo {
            number: last.heartbeat.number,
            process: last.heartbeat.process,
        })
    }

    /// How long ago all other controllers attested that nobody else leads, and that this one heard
    /// of all cancellations confirmed (S6). `None` if one of them didn't attest under this `term`,
    /// or is another process than at `proven_at`, when the state service was read last: what a
    /// process before it confirmed is not known.
    pub fn attestation_age(
        &self,
        platform: &PlatformSettings,
        term: Term,
        proven_at: Instant,
    ) -> Option<Duration> {
        if platform.peers.len() + 1 < platform.service.size as usize {
            return None;
        }
        let last = self.last.borrow();
        let attested = platform.peers.iter().map(|peer| {
            let last = last.get(&peer.node)?;
            let counts = last.heartbeat.term == term && last.process_since < proven_at;
            last.attested.filter(|_| counts)
        });
        let oldest = attested.collect::<Option<Vec<Instant>>>()?.into_iter().min()?;
        Some(now().saturating_duration_since(oldest))
    }

    /// Whether another controller has answers from the state service.
    pub fn somebody_has_store(&self) -> bool {
        self.last
            .borrow()
            .values()
            .any(|last| last.heartbeat.is_store_reachable && last.is_recent())
    }

    /// Whether others were heard of, and none of them has answers from the state service: it is
    /// out for all, and not for this controller alone.
    pub fn nobody_has_store(&self) -> bool {
        let last = self.last.borrow();
        let mut others = last.values().filter(|last| last.is_recent()).peekable();
        others.peek().is_some() && others.all(|last| !last.heartbeat.is_store_reachable)
    }

    /// Whether that controller says that it leads.
    pub fn says_it_leads(&self, peer: &str) -> bool {
        let last = self.last.borrow();
        last.get(peer).is_some_and(|last| last.heartbeat.is_leader && last.is_recent())
    }
}

#[cfg(test)]
mod tests;
