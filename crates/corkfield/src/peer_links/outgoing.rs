//! Links to the other controllers, opened again whenever they are lost.

use super::frames::{split, write_frames, FrameReader};
use super::{PeerLinks, HEARTBEAT_INTERVAL};
use crate::environment::Environment;
use crate::leadership::Leadership;
use crate::outbox::CancellationOutbox;
use crate::peers::{Peers, HEARTBEAT_TIMEOUT};
use crate::replica::StoreReplica;
use crate::session_lease::SessionLease;
use corkfield_http::{Response, Stream};
use corkfield_wire::peer::{Frame, PeerHeartbeat};
use corkfield_wire::{ControllerName, Term};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Keeps a link to each of the other controllers.
pub struct OutgoingLinks {
    /// Surroundings: the network, timers, and this controller's name and process.
    pub env: Rc<Environment>,
    /// The copy of the store, whose freshness heartbeats state.
    pub replica: Rc<StoreReplica>,
    /// This controller's lease, whose incarnation heartbeats state.
    pub session_lease: Rc<SessionLease>,
    /// Whether this controller leads.
    pub leadership: Rc<Leadership>,
    /// The heartbeats of the others, which those of this controller last_received_number.
    pub peers: Rc<Peers>,
    /// The cancellations that are sent.
    pub outbox: Rc<CancellationOutbox>,
    /// Where open links are found.
    pub links: Rc<PeerLinks>,
}

impl OutgoingLinks {
    /// Keeps a link to a peer: sends heartbeats to it again and again, and relays those of workers.
    pub async fn maintain(self: Rc<Self>, peer: ControllerName, addr: SocketAddr) {
        loop {
            let connected = timeout(HEARTBEAT_INTERVAL * 2, self.env.network.connect(addr)).await;
            if let Ok(Ok(stream)) = connected {
                self.serve(peer.as_str(), stream).await;
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Serves a link until it is lost.
    async fn serve(&self, peer: &str, stream: Stream) {
        let (reader, writer) = split(stream);
        let (frames, queued) = self.links.opened(peer);
        let keep = self.env.settings.platform.service.workers.cancel_timeout();
        let queue_frame = |frame| frames.try_send(frame).is_ok();
        tokio::select! {
            () = self.send_heartbeats(peer, &frames) => {}
            () = self.outbox.send(&self.env.timers, peer, keep, queue_frame) => {}
            () = self.read(peer, reader) => {}
            () = write_frames(writer, queued) => {}
        }
        self.links.closed(peer);
    }

    /// Returns when the link takes no more frames.
    async fn send_heartbeats(&self, peer: &str, frames: &mpsc::Sender<Frame>) {
        while frames.try_send(Frame::PeerHeartbeat(self.heartbeat_to(peer))).is_ok() {
            self.env.timers.tick(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Takes the peer's answers; returns when the link fails, or brings what doesn't belong here.
    async fn read(&self, peer: &str, mut reader: FrameReader) {
        while let Ok(Some(frame)) = reader.next().await {
            match frame {
                Frame::Answer { number, status, body } => {
                    self.links.answered(number, Response::new(status, body));
                }
                Frame::Acknowledged { jobs } => self.outbox.acknowledged(peer, &jobs),
                Frame::PeerHeartbeat(_)
                | Frame::WorkerHeartbeat { .. }
                | Frame::Cancelled { .. } => break,
            }
        }
    }

    fn heartbeat_to(&self, peer: &str) -> PeerHeartbeat {
        let contents = self.replica.contents.borrow();
        let leader = contents.leader.as_ref().map(|leader| &leader.record);
        let last_received_number = self.peers.echo_to(peer);
        let lease = self.session_lease.current();
        PeerHeartbeat {
            node: self.env.name.clone(),
            incarnation: lease.map(|lease| lease.incarnation).unwrap_or_default(),
            process: self.env.process,
            number: self.peers.record_sent(peer),
            last_received_number: last_received_number.number,
            last_received_process: last_received_number.process,
            is_outage_attestation: self.attests_for(peer),
            is_leader: self.leadership.is_leading(),
            is_store_reachable: self.replica.proof_age() < HEARTBEAT_TIMEOUT,
            leader: leader.and_then(|record| record.node.clone()),
            term: leader.map_or(Term::default(), |record| record.term),
        }
    }

    /// Whether this controller attests_outage for the peer as the leader (S6, S11): it has had no answer
    /// from the state service for a while, knows of no other leader, and all cancellations that
    /// its users were told of were acknowledged there.
    fn attests_for(&self, peer: &str) -> bool {
        let contents = self.replica.contents.borrow();
        let leader = contents.leader.as_ref().and_then(|leader| leader.record.node.as_ref());
        self.replica.is_synced()
            && self.replica.proof_age() > HEARTBEAT_TIMEOUT
            && !self.leadership.is_leading()
            && leader.is_some_and(|leader| leader.as_str() == peer)
            && self.outbox.all_acknowledged(peer)
    }
}
