//! The link between controllers: heartbeats, and reports of workers that can't reach the leader.

use crate::clock::now;
use crate::node::Node;
use crate::{notifications, workers};
use corkfield_http::{Listener, Response, Stream};
use corkfield_wire::peer::{Frame, PeerHeartbeat, MAX_FRAME};
use corkfield_wire::JobId;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader, ReadHalf, WriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);
/// A worker gives a report up after 4 s.
const RELAY_LIMIT: Duration = Duration::from_millis(3500);
const MAX_LINKS: usize = 32;
/// Frames that may wait for one link, at the least. A report that is passed on holds a worker's
/// connection, so no more of them are under way than connections are accepted; all workers of a
/// large zone may have to report this way.
const LEAST_WAITING: usize = 512;

/// A heartbeat, length and all, comes with one read; larger frames take a few.
const READ_BUFFER: usize = 2048;

type Pending = oneshot::Sender<Response>;

/// Heartbeats of which the time of sending is kept, for each peer.
const MAX_SENT_HEARTBEATS: usize = 32;

/// What another controller said last.
struct LastHeartbeat {
    heartbeat: PeerHeartbeat,
    at: Instant,
    /// Since when it is the same process.
    process_since: Instant,
    /// It attested for this controller, as the leader, at this moment or later.
    attested: Option<Instant>,
}

impl LastHeartbeat {
    fn is_recent(&self) -> bool {
        now().saturating_duration_since(self.at) < HEARTBEAT_TIMEOUT
    }
}

#[derive(Default)]
pub struct Peers {
    heard: RefCell<BTreeMap<String, LastHeartbeat>>,
    /// Heartbeats sent to each, by number, and when.
    sent: RefCell<BTreeMap<String, VecDeque<(u64, Instant)>>>,
    links: RefCell<BTreeMap<String, mpsc::Sender<Frame>>>,
    pending: RefCell<BTreeMap<u64, Pending>>,
    number: Cell<u64>,
}

impl Peers {
    fn hear(&self, heartbeat: PeerHeartbeat, echoed: Option<Instant>) {
        let (node, at) = (heartbeat.node.clone(), now());
        let mut heard = self.heard.borrow_mut();
        if heard.len() >= MAX_LINKS && !heard.contains_key(&node) {
            return;
        }
        let before =
            heard.remove(&node).filter(|before| before.heartbeat.process == heartbeat.process);
        let process_since = before.as_ref().map_or(at, |before| before.process_since);
        let attested = before.and_then(|before| before.attested);
        // It was sent after what it echoes had come, and so after that was sent.
        let attested = attested.max(echoed.filter(|_| heartbeat.attests));
        heard.insert(node, LastHeartbeat { heartbeat, at, process_since, attested });
    }

    /// When the heartbeat that this one echoes was sent. One to a process before this one, with the
    /// same number, says nothing.
    fn echoed(&self, heartbeat: &PeerHeartbeat, process: u64) -> Option<Instant> {
        let sent = self.sent.borrow();
        let (_, at) =
            sent.get(&heartbeat.node)?.iter().find(|(number, _)| *number == heartbeat.echo)?;
        (heartbeat.echo_process == process).then_some(*at)
    }

    /// Notes that a heartbeat is sent; its number.
    fn sends(&self, peer: &str) -> u64 {
        let mut sent = self.sent.borrow_mut();
        let to_peer = sent.entry(peer.to_owned()).or_default();
        let number = to_peer.back().map_or(0, |(number, _)| *number) + 1;
        to_peer.push_back((number, now()));
        if to_peer.len() > MAX_SENT_HEARTBEATS {
            to_peer.pop_front();
        }
        number
    }

    /// How long ago all other controllers attested that nobody else plans, and that this one heard
    /// of all cancellations confirmed (S6). `None` if one of them didn't, or is another process
    /// than when the state service was read last: what a process before it confirmed is not known.
    pub fn attestation_age(&self, node: &Node) -> Option<Duration> {
        let platform = &node.env.settings.platform;
        let term = node.leadership.term()?;
        let read = node.replica.proven_at()?;
        if platform.peers.len() + 1 < platform.params.size as usize {
            return None;
        }
        let heard = self.heard.borrow();
        let attested = platform.peers.iter().map(|peer| {
            let heard = heard.get(&peer.node)?;
            let counts = heard.heartbeat.term == term && heard.process_since < read;
            heard.attested.filter(|_| counts)
        });
        let oldest = attested.collect::<Option<Vec<Instant>>>()?.into_iter().min()?;
        Some(now().saturating_duration_since(oldest))
    }

    /// Whether another controller has answers from the state service.
    pub fn somebody_has_store(&self) -> bool {
        self.heard.borrow().values().any(|heard| heard.heartbeat.store_ok && heard.is_recent())
    }

    /// Whether others were heard of, and none of them has answers from the state service: it is
    /// out for all, and not for this controller alone.
    pub fn nobody_has_store(&self) -> bool {
        let heard = self.heard.borrow();
        let mut others = heard.values().filter(|heard| heard.is_recent()).peekable();
        others.peek().is_some() && others.all(|heard| !heard.heartbeat.store_ok)
    }

    /// Other controllers that say they lead, or that the state service names as leader, and that
    /// there is a link to.
    pub fn leaders(&self, node: &Node) -> Vec<String> {
        let contents = node.replica.contents.borrow();
        let scheduler = contents.scheduler.as_ref().and_then(|(record, _)| record.node.as_ref());
        let heard = self.heard.borrow();
        let says_so = |heard: &LastHeartbeat| heard.heartbeat.leading && heard.is_recent();
        let leading =
            |name: &String| scheduler == Some(name) || heard.get(name).is_some_and(says_so);
        self.links.borrow().keys().filter(|name| leading(name)).cloned().collect()
    }

    /// Passes a report on to the leader, and brings its answer. It is the leader's own
    /// answer, under its term; a worker counts its lease from when it sent the report, so the
    /// way round makes no lease longer, and it drops an answer that comes too late.
    pub async fn relay(&self, node: &Node, scheduler: &str, body: &[u8]) -> Option<Response> {
        let link = self.links.borrow().get(scheduler).cloned()?;
        if self.pending.borrow().len() >= max_waiting(node) {
            return None;
        }
        let number = self.number.get() + 1;
        self.number.set(number);
        let (sender, receiver) = oneshot::channel();
        self.pending.borrow_mut().insert(number, sender);
        let sent = link.try_send(Frame::WorkerHeartbeat { number, body: body.to_vec() });
        let answer = match sent {
            Ok(()) => timeout(RELAY_LIMIT, receiver).await.ok().and_then(Result::ok),
            Err(_) => None,
        };
        self.pending.borrow_mut().remove(&number);
        answer
    }

    fn answered(&self, number: u64, response: Response) {
        if let Some(waiting) = self.pending.borrow_mut().remove(&number) {
            let _ = waiting.send(response);
        }
    }
}

fn max_waiting(node: &Node) -> usize {
    node.env.settings.sockets().accepted.max(LEAST_WAITING)
}

pub async fn listen(node: Rc<Node>, listener: Box<dyn Listener>) {
    let links = Rc::new(());
    loop {
        match listener.accept().await {
            Ok(stream) if Rc::strong_count(&links) <= MAX_LINKS => {
                let (node, link) = (node.clone(), links.clone());
                tokio::task::spawn_local(async move {
                    let _link = link;
                    serve_link(node, stream).await;
                });
            }
            Ok(stream) => drop(stream),
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Takes what another controller says on the link that it opened.
async fn serve_link(node: Rc<Node>, stream: Stream) {
    let (reader, writer) = tokio::io::split(stream);
    let mut reader = BufReader::with_capacity(READ_BUFFER, reader);
    let (answers, waiting) = mpsc::channel(max_waiting(&node));
    let writing = write_frames(writer, waiting);
    let reading = async {
        while let Ok(Ok(Some(frame))) =
            timeout(HEARTBEAT_TIMEOUT * 2, read_frame(&mut reader)).await
        {
            match frame {
                Frame::PeerHeartbeat(heartbeat) => {
                    // Its newest read was begun no longer ago than that.
                    let echoed = node.peers.echoed(&heartbeat, node.env.process);
                    let read = echoed
                        .filter(|_| heartbeat.store_ok)
                        .and_then(|at| at.checked_sub(HEARTBEAT_TIMEOUT));
                    if let Some(read) = read {
                        node.notifications.has_read(&heartbeat.node, read);
                    }
                    node.peers.hear(heartbeat, echoed);
                }
                Frame::WorkerHeartbeat { number, body } => {
                    let (node, answers) = (node.clone(), answers.clone());
                    tokio::task::spawn_local(async move {
                        let Response { status, body, .. } = workers::relayed(&node, &body).await;
                        let _ = answers.try_send(Frame::Answer { number, status, body });
                    });
                }
                Frame::Cancelled { jobs } => {
                    let known: Vec<JobId> = jobs.iter().filter_map(|id| JobId::parse(id)).collect();
                    known.iter().for_each(|id| node.leadership.cancelled(id));
                    let _ = answers.try_send(Frame::Acknowledged { jobs });
                }
                Frame::Answer { .. } | Frame::Acknowledged { .. } => return,
            }
        }
    };
    tokio::select! {
        () = reading => {}
        () = writing => {}
    }
}

/// Keeps a link to a peer: sends heartbeats to it again and again, and passes reports on.
pub async fn maintain_link(node: Rc<Node>, peer: String, addr: SocketAddr) {
    loop {
        if let Ok(Ok(stream)) =
            timeout(HEARTBEAT_INTERVAL * 2, node.env.network.connect(addr)).await
        {
            let (reader, writer) = tokio::io::split(stream);
            let mut reader = BufReader::with_capacity(READ_BUFFER, reader);
            let (frames, waiting) = mpsc::channel(max_waiting(&node));
            node.peers.links.borrow_mut().insert(peer.clone(), frames.clone());
            let heartbeat = async {
                while frames.try_send(Frame::PeerHeartbeat(heartbeat(&node, &peer))).is_ok() {
                    node.env.timers.tick(HEARTBEAT_INTERVAL).await;
                }
            };
            let reading = async {
                while let Ok(Some(frame)) = read_frame(&mut reader).await {
                    match frame {
                        Frame::Answer { number, status, body } => {
                            node.peers.answered(number, Response::new(status, body));
                        }
                        Frame::Acknowledged { jobs } => {
                            node.notifications.acknowledged(&peer, &jobs)
                        }
                        Frame::PeerHeartbeat(_)
                        | Frame::WorkerHeartbeat { .. }
                        | Frame::Cancelled { .. } => break,
                    }
                }
            };
            tokio::select! {
                () = heartbeat => {}
                () = notifications::send(&node, &peer, |frame| frames.try_send(frame).is_ok()) => {}
                () = reading => {}
                () = write_frames(writer, waiting) => {}
            }
            node.peers.links.borrow_mut().remove(&peer);
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn write_frames(mut writer: WriteHalf<Stream>, mut frames: mpsc::Receiver<Frame>) {
    while let Some(frame) = frames.recv().await {
        let written = timeout(HEARTBEAT_INTERVAL * 2, writer.write_all(&frame.encode())).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}

async fn read_frame(stream: &mut BufReader<ReadHalf<Stream>>) -> std::io::Result<Option<Frame>> {
    let length = stream.read_u32_le().await? as usize;
    if length > MAX_FRAME {
        tracing::debug!(length, "oversized frame from a peer");
        return Ok(None);
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    match Frame::decode(&bytes) {
        Ok(frame) => Ok(Some(frame)),
        Err(error) => {
            tracing::debug!(%error, "nonsense from a peer");
            Ok(None)
        }
    }
}

fn heartbeat(node: &Node, to: &str) -> PeerHeartbeat {
    let contents = node.replica.contents.borrow();
    let scheduler = contents.scheduler.as_ref().map(|(record, _)| record);
    let (echo, echo_process) = {
        let heard = node.peers.heard.borrow();
        heard.get(to).map_or((0, 0), |heard| (heard.heartbeat.number, heard.heartbeat.process))
    };
    let attests = node.replica.is_synced()
        && node.replica.proof_age() > HEARTBEAT_TIMEOUT
        && !node.leadership.is_leading()
        && scheduler.is_some_and(|scheduler| scheduler.node.as_deref() == Some(to))
        && node.notifications.all_acknowledged(to);
    PeerHeartbeat {
        node: node.env.name.clone(),
        incarnation: node.session_lease.current().map(|c| c.incarnation).unwrap_or_default(),
        process: node.env.process,
        number: node.peers.sends(to),
        echo,
        echo_process,
        attests,
        leading: node.leadership.is_leading(),
        store_ok: node.replica.proof_age() < HEARTBEAT_TIMEOUT,
        scheduler: scheduler.and_then(|p| p.node.clone()),
        term: scheduler.map_or(0, |p| p.term),
    }
}

#[cfg(test)]
mod tests;
