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
    pub async fn maintain_link(self: Rc<Self>, peer: ControllerName, addr: SocketAddr) {
        loop {
            let connected = timeout(HEARTBEAT_INTERVAL * 2, self.env.network.connect(addr)).await;
            if let Ok(Ok(stream)) = connected {
                self.serve_link(peer.as_str(), stream).await;
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Serves a link until it is lost.
    async fn serve_link(&self, peer: &str, stream: Stream) {
        let (reader, writer) = split(stream);
        let (frames, queued) = self.links.register_link(peer);
        let retention = self.env.settings.platform.params.workers.cancel();
        let queue_frame = |frame| frames.try_send(frame).is_ok();
        tokio::select! {
            () = self.send_heartbeats(peer, &frames) => {}
            () = self.outbox.send_notifications(&self.env.timers, peer, retention, queue_frame) => {}
            () = self.read_frames(peer, reader) => {}
            () = write_frames(writer, queued) => {}
        }
        self.links.remove_link(peer);
    }

    /// Returns when the link takes no more frames.
    async fn send_heartbeats(&self, peer: &str, frames: &mpsc::Sender<Frame>) {
        while frames.try_send(Frame::PeerHeartbeat(self.build_heartbeat(peer))).is_ok() {
            self.env.timers.tick(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Takes the peer's answers; returns when the link fails, or brings what doesn't belong here.
    async fn read_frames(&self, peer: &str, mut reader: FrameReader) {
        while let Ok(Some(frame)) = reader.read_frame().await {
            match frame {
                Frame::Answer { number, status, body } => {
                    self.links.complete_relay(number, Response::new(status, body));
                }
                Frame::Acknowledged { jobs } => self.outbox.record_acknowledgement(peer, &jobs),
                Frame::PeerHeartbeat(_)
                | Frame::WorkerHeartbeat { .. }
                | Frame::Cancelled { .. } => break,
            }
        }
    }

    fn build_heartbeat(&self, peer: &str) -> PeerHeartbeat {
        let contents = self.replica.contents.borrow();
        let leader = contents.leader.as_ref().map(|leader| &leader.record);
        let echo = self.peers.echo_for(peer);
        let lease = self.session_lease.current();
        PeerHeartbeat {
            node: self.env.name.clone(),
            incarnation: lease.map(|lease| lease.incarnation).unwrap_or_default(),
            process: self.env.process,
            number: self.peers.record_sent_heartbeat(peer),
            last_received_number: echo.number,
            last_received_process: echo.process,
            attests_outage: self.can_attest_outage_to(peer),
            leading: self.leadership.is_leading(),
            store_answers: self.replica.proof_age() < HEARTBEAT_TIMEOUT,
            leader: leader.and_then(|record| record.node.clone()),
            term: leader.map_or(Term::default(), |record| record.term),
        }
    }

    /// Whether this controller attests_outage for the peer as the leader (S6, S11): it has had no answer
    /// from the state service for a while, knows of no other leader, and all cancellations that
    /// its users were told of were acknowledged there.
    fn can_attest_outage_to(&self, peer: &str) -> bool {
        let contents = self.replica.contents.borrow();
        let leader = contents.leader.as_ref().and_then(|leader| leader.record.node.as_ref());
        self.replica.is_synced()
            && self.replica.proof_age() > HEARTBEAT_TIMEOUT
            && !self.leadership.is_leading()
            && leader.is_some_and(|leader| leader.as_str() == peer)
            && self.outbox.has_acknowledged_all(peer)
    }
}
