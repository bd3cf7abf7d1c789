//! Links that other controllers opened: their heartbeats, relayed heartbeats of workers, and
//! cancellations come over them.

use super::frames::{split, write_frames, FrameReader};
use super::max_queued_frames;
use crate::environment::Environment;
use crate::outbox::CancellationOutbox;
use crate::peers::{Peers, HEARTBEAT_TIMEOUT, MAX_PEERS};
use corkfield_http::net::LocalFuture;
use corkfield_http::{Listener, Response, Stream};
use corkfield_wire::peer::{Frame, PeerHeartbeat};
use corkfield_wire::JobId;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Pause after a link could not be accepted.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// What other controllers ask of this one.
pub trait PeerRequestHandler {
    /// The answer to a worker's heartbeat that another controller relayed.
    fn relayed_heartbeat<'a>(&'a self, body: &'a [u8]) -> LocalFuture<'a, Response>;

    /// The state service holds the job as cancelled, as another controller says (S11).
    fn job_cancelled(&self, id: &JobId);
}

/// Serves the links that other controllers open.
pub struct IncomingLinks {
    /// Surroundings: settings, and the process that heartbeats have to last_received_number.
    pub env: Rc<Environment>,
    /// Records the heartbeats.
    pub peers: Rc<Peers>,
    /// Learns which controllers have read the state service.
    pub outbox: Rc<CancellationOutbox>,
    /// Decides on what the peers ask.
    pub handler: Rc<dyn PeerRequestHandler>,
}

impl IncomingLinks {
    /// Accepts links for ever, a bounded number at once.
    pub async fn accept(self: Rc<Self>, listener: Box<dyn Listener>) {
        let open_links = Rc::new(());
        loop {
            match listener.accept().await {
                Ok(stream) if Rc::strong_count(&open_links) <= MAX_PEERS => {
                    let (links, open_link) = (self.clone(), open_links.clone());
                    tokio::task::spawn_local(async move {
                        let _open_link = open_link;
                        links.serve(stream).await;
                    });
                }
                Ok(stream) => drop(stream),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY).await,
            }
        }
    }

    /// Takes what another controller says on the link that it opened.
    async fn serve(&self, stream: Stream) {
        let (reader, writer) = split(stream);
        let accepted = self.env.settings.sockets().accepted;
        let (answers, queued) = mpsc::channel(max_queued_frames(accepted));
        tokio::select! {
            () = self.read(reader, &answers) => {}
            () = write_frames(writer, queued) => {}
        }
    }

    /// Returns when the link is silent for too long, or brings what doesn't belong here.
    async fn read(&self, mut reader: FrameReader, answers: &mpsc::Sender<Frame>) {
        while let Ok(Ok(Some(frame))) = timeout(HEARTBEAT_TIMEOUT * 2, reader.next()).await {
            match frame {
                Frame::PeerHeartbeat(heartbeat) => self.on_heartbeat(heartbeat),
                Frame::WorkerHeartbeat { number, body } => {
                    self.answer_relayed(number, body, answers.clone());
                }
                Frame::Cancelled { jobs } => {
                    self.on_cancelled(&jobs);
                    let _ = answers.try_send(Frame::Acknowledged { jobs });
                }
                Frame::Answer { .. } | Frame::Acknowledged { .. } => return,
            }
        }
    }

    fn on_heartbeat(&self, heartbeat: PeerHeartbeat) {
        let echoed_sent = self.peers.echoed_sent(&heartbeat, self.env.process);
        // Its newest read was begun no longer ago than that.
        let read = echoed_sent
            .filter(|_| heartbeat.is_store_reachable)
            .and_then(|sent| sent.checked_sub(HEARTBEAT_TIMEOUT));
        if let Some(read) = read {
            self.outbox.has_read(heartbeat.node.as_str(), read);
        }
        self.peers.record(heartbeat, echoed_sent);
    }

    /// Answers on a task of its own: other frames must not wait for it.
    fn answer_relayed(&self, number: u64, body: Vec<u8>, answers: mpsc::Sender<Frame>) {
        let handler = self.handler.clone();
        tokio::task::spawn_local(async move {
            let Response { status, body, .. } = handler.relayed_heartbeat(&body).await;
            let _ = answers.try_send(Frame::Answer { number, status, body });
        });
    }

    fn on_cancelled(&self, jobs: &[String]) {
        let known: Vec<JobId> = jobs.iter().filter_map(|id| JobId::parse(id)).collect();
        known.iter().for_each(|id| self.handler.job_cancelled(id));
    }
}
