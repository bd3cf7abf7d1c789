//! A stand-in for the load balancer, after the protocol page: it works at connection level, probes
//! `GET /ready`, and resets the connections of a node that has been unhealthy for 5 s.

use crate::http1::exchange;
use crate::record::Record;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

const PROBE_INTERVAL: Duration = Duration::from_secs(1);
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
const ACCEPT_LIMIT: Duration = Duration::from_millis(500);
const RESET_AFTER: Duration = Duration::from_secs(5);
const SKIP_FOR: Duration = Duration::from_secs(3);
const FIRST_PAUSE: Duration = Duration::from_secs(3);
const MAX_PAUSE: Duration = Duration::from_secs(60);
const REMOVAL_MEMORY: Duration = Duration::from_secs(120);

/// A node, as the load balancer sees it.
struct Node {
    name: String,
    addr: SocketAddr,
    is_healthy: Cell<bool>,
    was_healthy: Cell<bool>,
    probes: RefCell<VecDeque<bool>>,
    unhealthy_since: Cell<Option<Instant>>,
    removals: RefCell<Vec<Instant>>,
    open: Cell<usize>,
    failed_in_a_row: Cell<u32>,
    skipped_until: Cell<Option<Instant>>,
}

impl Node {
    fn last_fail(&self, count: usize) -> bool {
        let probes = self.probes.borrow();
        probes.len() >= count && probes.iter().rev().take(count).all(|ok| !ok)
    }

    fn last_succeed(&self, count: usize) -> bool {
        let probes = self.probes.borrow();
        probes.len() >= count && probes.iter().rev().take(count).all(|ok| *ok)
    }

    /// Returns how long the node stays removed: 3 s, doubled by each further removal within two
    /// minutes.
    fn pause(&self) -> Duration {
        let removals = self.removals.borrow();
        let recent = removals.iter().filter(|at| at.elapsed() < REMOVAL_MEMORY).count();
        let doublings = u32::try_from(recent.saturating_sub(1)).unwrap_or(0).min(5);
        (FIRST_PAUSE * 2u32.pow(doublings)).min(MAX_PAUSE)
    }

    fn on_probe(&self, is_ready: bool, record: &Record) {
        {
            let mut probes = self.probes.borrow_mut();
            probes.push_back(is_ready);
            if probes.len() > 6 {
                probes.pop_front();
            }
        }
        let failed = self.probes.borrow().iter().filter(|ok| !**ok).count();
        if self.is_healthy.get() {
            if self.last_fail(2) || failed >= 3 {
                self.is_healthy.set(false);
                self.unhealthy_since.set(Some(Instant::now()));
                self.removals.borrow_mut().push(Instant::now());
                record.note(format!("load balancer: {} is unhealthy", self.name));
            }
            return;
        }
        let is_pause_over =
            self.unhealthy_since.get().is_none_or(|since| since.elapsed() >= self.pause());
        if self.last_succeed(2) && is_pause_over || is_ready && !self.was_healthy.get() {
            self.is_healthy.set(true);
            self.was_healthy.set(true);
            self.unhealthy_since.set(None);
            self.probes.borrow_mut().clear();
            record.note(format!("load balancer: {} is healthy", self.name));
        }
    }
}

/// The load balancer.
pub struct Balancer {
    nodes: Vec<Rc<Node>>,
    record: Rc<Record>,
}

/// A user's connection to a node.
pub struct UserConnection {
    pub stream: TcpStream,
    node: Rc<Node>,
}

impl UserConnection {
    pub fn node_name(&self) -> &str {
        &self.node.name
    }

    /// Waits until the load balancer resets the connection.
    pub async fn wait_for_reset(node: Rc<NodeHandle>) {
        loop {
            let since = node.0.unhealthy_since.get();
            if since.is_some_and(|since| since.elapsed() >= RESET_AFTER) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }

    pub fn handle(&self) -> Rc<NodeHandle> {
        Rc::new(NodeHandle(self.node.clone()))
    }
}

/// A node, for the wait for a reset.
pub struct NodeHandle(Rc<Node>);

impl Drop for UserConnection {
    fn drop(&mut self) {
        self.node.open.set(self.node.open.get() - 1);
    }
}

impl Balancer {
    pub fn start(nodes: Vec<(String, SocketAddr)>, record: Rc<Record>) -> Rc<Self> {
        let nodes = nodes.into_iter().map(|(name, addr)| {
            Rc::new(Node {
                name,
                addr,
                is_healthy: Cell::new(false),
                was_healthy: Cell::new(false),
                probes: RefCell::default(),
                unhealthy_since: Cell::new(None),
                removals: RefCell::default(),
                open: Cell::new(0),
                failed_in_a_row: Cell::new(0),
                skipped_until: Cell::new(None),
            })
        });
        let balancer = Rc::new(Self { nodes: nodes.collect(), record });
        for node in &balancer.nodes {
            tokio::task::spawn_local(probe(node.clone(), balancer.record.clone()));
        }
        balancer
    }

    /// Returns how many nodes are healthy.
    pub fn healthy_count(&self) -> usize {
        self.nodes.iter().filter(|node| node.is_healthy.get()).count()
    }

    /// Returns the number of open connections of each node.
    pub fn open_connections(&self) -> Vec<(String, usize)> {
        self.nodes.iter().map(|node| (node.name.clone(), node.open.get())).collect()
    }

    /// Opens a connection to a healthy node, preferring nodes with fewer open ones. Tries three
    /// nodes at most.
    pub async fn connect(&self) -> Option<UserConnection> {
        let mut candidates: Vec<&Rc<Node>> = self
            .nodes
            .iter()
            .filter(|node| node.is_healthy.get())
            .filter(|node| node.skipped_until.get().is_none_or(|until| Instant::now() >= until))
            .collect();
        candidates.sort_by_key(|node| node.open.get());
        for node in candidates.into_iter().take(3) {
            let connected = tokio::time::timeout(ACCEPT_LIMIT, TcpStream::connect(node.addr)).await;
            if let Ok(Ok(stream)) = connected {
                let _ = stream.set_nodelay(true);
                node.failed_in_a_row.set(0);
                node.open.set(node.open.get() + 1);
                return Some(UserConnection { stream, node: node.clone() });
            }
            node.failed_in_a_row.set(node.failed_in_a_row.get() + 1);
            if node.failed_in_a_row.get() >= 3 {
                node.failed_in_a_row.set(0);
                node.skipped_until.set(Some(Instant::now() + SKIP_FOR));
            }
        }
        None
    }
}

async fn probe(node: Rc<Node>, record: Rc<Record>) {
    loop {
        let probing = async {
            let mut stream = TcpStream::connect(node.addr).await?;
            exchange(&mut stream, "GET", "/ready", b"").await
        };
        let probed = tokio::time::timeout(PROBE_TIMEOUT, probing).await;
        let is_ready = matches!(probed, Ok(Ok(answer)) if answer.status == 200);
        node.on_probe(is_ready, &record);
        tokio::time::sleep(PROBE_INTERVAL).await;
    }
}
