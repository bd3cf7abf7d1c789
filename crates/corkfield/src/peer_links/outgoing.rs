//! Links to the other controllers, which are reopened whenever they are lost.

use super::frames::{split_link, write_frames, FrameReader};
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

/// Maintains a link to each of the other controllers.
pub struct OutgoingLinks {
    /// The network, settings, timers, and the name and process of this controller.
    pub env: Rc<Environment>,
    /// The replica: heartbeats report its freshness and the leader that it shows.
    pub replica: Rc<StoreReplica>,
    /// This controller's session lease: heartbeats report its incarnation.
    pub session_lease: Rc<SessionLease>,
    /// The state of election and leadership: heartbeats report whether this controller leads.
    pub leadership: Rc<Leadership>,
    /// The heartbeats of the other controllers, which this controller's heartbeats echo.
    pub peers: Rc<Peers>,
    /// The notifications of cancellations to send.
    pub cancellation_outbox: Rc<CancellationOutbox>,
    /// The registry of open links.
    pub links: Rc<PeerLinks>,
}

impl OutgoingLinks {
    /// Maintains a link to a peer, forever; a lost link is reopened after a pause.
    pub async fn maintain_link(self: Rc<Self>, peer: ControllerName, addr: SocketAddr) {
        loop {
            let connected = timeout(HEARTBEAT_INTERVAL * 2, self.env.network.connect(addr)).await;
            if let Ok(Ok(stream)) = connected {
                self.serve_link(peer.as_str(), stream).await;
            }
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Sends frames over a link and handles the peer's answers, until the link is lost.
    async fn serve_link(&self, peer: &str, stream: Stream) {
        let (reader, writer) = split_link(stream);
        let (frames, queued) = self.links.register_link(peer);
        let retention = self.env.settings.platform.service.workers.cancel_timeout();
        let queue_frame = |frame| frames.try_send(frame).is_ok();
        let timers = &self.env.timers;
        tokio::select! {
            () = self.send_heartbeats(peer, &frames) => {}
            () = self.cancellation_outbox.send_notifications(timers, peer, retention, queue_frame) => {}
            () = self.read_frames(peer, reader) => {}
            () = write_frames(writer, queued) => {}
        }
        self.links.remove_link(peer);
    }

    /// Sends heartbeats periodically; returns when the queue of the link is full or closed.
    async fn send_heartbeats(&self, peer: &str, frames: &mpsc::Sender<Frame>) {
        while frames.try_send(Frame::PeerHeartbeat(self.build_heartbeat(peer))).is_ok() {
            self.env.timers.wait_for_tick(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Handles the peer's answers; returns when the link fails, or carries a frame that is
    /// malformed or not allowed in this direction.
    async fn read_frames(&self, peer: &str, mut reader: FrameReader) {
        while let Ok(Some(frame)) = reader.read_frame().await {
            match frame {
                Frame::Answer { number, status, body } => {
                    self.links.complete_relay(peer, number, Response::new(status, body));
                }
                Frame::Acknowledged { jobs } => {
                    self.cancellation_outbox.record_acknowledgement(peer, &jobs)
                }
                Frame::PeerHeartbeat(_)
                | Frame::WorkerHeartbeat { .. }
                | Frame::Cancelled { .. } => break,
            }
        }
    }

    /// Builds the next heartbeat to the peer and records it as sent.
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
            is_outage_attestation: self.can_attest_outage_to(peer),
            is_leader: self.leadership.is_leading(),
            is_store_reachable: self.replica.proof_age() < HEARTBEAT_TIMEOUT,
            leader: leader.and_then(|record| record.node.clone()),
            term: leader.map_or(Term::default(), |record| record.term),
        }
    }

    /// Returns whether this controller attests to an outage of the state service, with the peer as
    /// the leader (S6, S11): the state service has not answered for [`HEARTBEAT_TIMEOUT`], the peer
    /// is the only known leader, and the peer has acknowledged every cancellation that this
    /// controller confirmed to users.
    fn can_attest_outage_to(&self, peer: &str) -> bool {
        let contents = self.replica.contents.borrow();
        let leader = contents.leader.as_ref().and_then(|leader| leader.record.node.as_ref());
        self.replica.is_synced()
            && self.replica.proof_age() > HEARTBEAT_TIMEOUT
            && !self.leadership.is_leading()
            && leader.is_some_and(|leader| leader.as_str() == peer)
            && self.cancellation_outbox.has_acknowledged_all(peer)
    }
}
