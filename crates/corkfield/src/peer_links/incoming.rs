//! Links that other controllers opened. They carry the heartbeats of those controllers, relayed
//! heartbeats of workers, and notifications of cancellations.

use super::frames::{split_link, write_frames, FrameReader};
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

/// Pause after accepting a link failed.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Handles the requests of other controllers.
pub trait PeerRequestHandler {
    /// Answers a worker's heartbeat that another controller relayed.
    fn answer_relayed_heartbeat<'a>(&'a self, body: &'a [u8]) -> LocalFuture<'a, Response>;

    /// Records another controller's notification that the state service holds the job as cancelled,
    /// so that a leader stops the job's tasks (S11).
    fn on_job_cancelled(&self, id: &JobId);
}

/// Serves the links that other controllers open.
pub struct IncomingLinks {
    /// Settings, and the id of this process, which the peers' heartbeats must echo.
    pub env: Rc<Environment>,
    /// Records the received heartbeats.
    pub peers: Rc<Peers>,
    /// Records which controllers have read the state service.
    pub cancellation_outbox: Rc<CancellationOutbox>,
    /// Handles the peers' requests.
    pub handler: Rc<dyn PeerRequestHandler>,
}

impl IncomingLinks {
    /// Accepts links forever; at most [`MAX_PEERS`] are open at once.
    pub async fn accept_links(self: Rc<Self>, listener: Box<dyn Listener>) {
        let open_links = Rc::new(());
        loop {
            match listener.accept().await {
                Ok(stream) if Rc::strong_count(&open_links) <= MAX_PEERS => {
                    let (links, open_link) = (self.clone(), open_links.clone());
                    tokio::task::spawn_local(async move {
                        let _open_link = open_link;
                        links.serve_link(stream).await;
                    });
                }
                Ok(stream) => drop(stream),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
            }
        }
    }

    /// Reads and answers the frames of a link until it is lost.
    async fn serve_link(&self, stream: Stream) {
        let (reader, writer) = split_link(stream);
        let accepted = self.env.settings.connection_limits().accepted;
        let (answers, queued) = mpsc::channel(max_queued_frames(accepted));
        tokio::select! {
            () = self.read_frames(reader, &answers) => {}
            () = write_frames(writer, queued) => {}
        }
    }

    /// Handles the frames of a link; returns when the link fails, is silent for too long, or
    /// carries a frame that is malformed or not allowed in this direction.
    async fn read_frames(&self, mut reader: FrameReader, answers: &mpsc::Sender<Frame>) {
        while let Ok(Ok(Some(frame))) = timeout(HEARTBEAT_TIMEOUT * 2, reader.read_frame()).await {
            match frame {
                Frame::PeerHeartbeat(heartbeat) => self.on_peer_heartbeat(heartbeat),
                Frame::WorkerHeartbeat { number, body } => {
                    self.answer_relayed_heartbeat(number, body, answers.clone());
                }
                Frame::Cancelled { jobs } => {
                    self.on_jobs_cancelled(&jobs);
                    let _ = answers.try_send(Frame::Acknowledged { jobs });
                }
                Frame::Answer { .. } | Frame::Acknowledged { .. } => return,
            }
        }
    }

    fn on_peer_heartbeat(&self, heartbeat: PeerHeartbeat) {
        let echoed_sent_at = self.peers.echoed_sent_at(&heartbeat, self.env.process);
        // A peer sets `store_answers` only if its newest successful read started less than
        // `HEARTBEAT_TIMEOUT` before it sent this heartbeat, and it sent this heartbeat after this
        // controller had sent the echoed one.
        let read_started_after = echoed_sent_at
            .filter(|_| heartbeat.is_store_reachable)
            .and_then(|sent| sent.checked_sub(HEARTBEAT_TIMEOUT));
        if let Some(started_after) = read_started_after {
            self.cancellation_outbox.record_store_read(heartbeat.node.as_str(), started_after);
        }
        self.peers.record_heartbeat(heartbeat, echoed_sent_at);
    }

    /// Answers a relayed heartbeat in a separate task, so that other frames don't wait for the
    /// answer.
    fn answer_relayed_heartbeat(&self, number: u64, body: Vec<u8>, answers: mpsc::Sender<Frame>) {
        let handler = self.handler.clone();
        tokio::task::spawn_local(async move {
            let Response { status, body, .. } = handler.answer_relayed_heartbeat(&body).await;
            let _ = answers.try_send(Frame::Answer { number, status, body });
        });
    }

    fn on_jobs_cancelled(&self, jobs: &[String]) {
        let known: Vec<JobId> = jobs.iter().filter_map(|id| JobId::parse(id)).collect();
        known.iter().for_each(|id| self.handler.on_job_cancelled(id));
    }
}
