//! A network in memory: hosts, cuts that hold messages back, hosts that die.

use corkfield_http::net::LocalFuture;
use corkfield_http::{Listener, Network, Stream, Tcp};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Error, ErrorKind, Result};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, ReadHalf, WriteHalf};
use tokio::sync::{mpsc, Mutex, Notify};

/// How many bytes a connection holds on each side.
const PIPE_BYTES: usize = 64 * 1024;
/// How many bytes are forwarded as one message.
const MESSAGE_BYTES: usize = 16 * 1024;
const DEFAULT_LATENCY: Duration = Duration::from_millis(1);
/// Stands for all other hosts in a cut.
const ANY_HOST: &str = "*";

type Task = LocalFuture<'static, ()>;
type StreamSender = mpsc::UnboundedSender<Stream>;

/// An address that a host listens on.
struct BoundListener {
    host: String,
    incoming: StreamSender,
}

/// The hosts at the two ends of a connection, or of a cut.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: String,
    to: String,
}

impl Link {
    fn new(from: &str, to: &str) -> Self {
        Self { from: from.to_owned(), to: to.to_owned() }
    }
}

/// Connections that a host has open, and the most it had at once.
#[derive(Default)]
struct ConnectionCount {
    open: usize,
    peak: usize,
}

struct NetworkState {
    listeners: RefCell<BTreeMap<SocketAddr, BoundListener>>,
    partitions: RefCell<BTreeSet<Link>>,
    partition_healed: Notify,
    /// How long each message is under way.
    latency: Cell<Duration>,
    spawn: mpsc::UnboundedSender<Task>,
    connections: RefCell<BTreeMap<String, ConnectionCount>>,
}

impl NetworkState {
    fn is_partitioned(&self, link: &Link) -> bool {
        let partitions = self.partitions.borrow();
        let Link { from, to } = link;
        let pairs = [(from, to.as_str()), (to, from.as_str()), (from, ANY_HOST), (to, ANY_HOST)];
        pairs.iter().any(|(from, to)| partitions.contains(&Link::new(from, to)))
    }

    async fn wait_until_open(&self, link: &Link) {
        loop {
            let partition_healed = self.partition_healed.notified();
            if !self.is_partitioned(link) {
                return;
            }
            partition_healed.await;
        }
    }
}

/// A connection counts at both of its ends, as long as its client keeps it.
struct CountedConnection {
    net: Rc<NetworkState>,
    link: Link,
}

impl CountedConnection {
    fn new(net: Rc<NetworkState>, link: Link) -> Self {
        for host in [&link.from, &link.to] {
            let mut connections = net.connections.borrow_mut();
            let count = connections.entry(host.clone()).or_default();
            count.open += 1;
            count.peak = count.peak.max(count.open);
        }
        Self { net, link }
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        for host in [&self.link.from, &self.link.to] {
            if let Some(count) = self.net.connections.borrow_mut().get_mut(host) {
                count.open -= 1;
            }
        }
    }
}

/// Networks of hosts that come up while a deployment is played.
pub trait NetworkProvider {
    /// The network as a host of this name sees it.
    fn host_network(&self, name: &str) -> Rc<dyn Network>;
    /// Runs something that outlives the task that started it.
    fn spawn(&self, task: LocalFuture<'static, ()>);
}

/// The system's own network: each host listens on a loopback address of its own, in real time.
#[derive(Clone, Copy, Default)]
pub struct Loopback;

impl NetworkProvider for Loopback {
    fn host_network(&self, _name: &str) -> Rc<dyn Network> {
        Rc::new(Tcp)
    }

    fn spawn(&self, task: LocalFuture<'static, ()>) {
        tokio::task::spawn_local(task);
    }
}

/// A network in memory, in simulated time. Each host gets its own view of it from
/// [`MemoryNet::host_network`].
#[derive(Clone)]
pub struct MemoryNet(Rc<NetworkState>);

impl NetworkProvider for MemoryNet {
    fn host_network(&self, name: &str) -> Rc<dyn Network> {
        Self::host_network(self, name)
    }

    fn spawn(&self, task: LocalFuture<'static, ()>) {
        let _ = self.0.spawn.send(task);
    }
}

impl Default for MemoryNet {
    /// Must be called on a local task set: messages under way outlive their senders.
    fn default() -> Self {
        let (spawn, mut tasks) = mpsc::unbounded_channel::<Task>();
        tokio::task::spawn_local(async move {
            while let Some(task) = tasks.recv().await {
                tokio::task::spawn_local(task);
            }
        });
        Self(Rc::new(NetworkState {
            listeners: RefCell::default(),
            partitions: RefCell::default(),
            partition_healed: Notify::new(),
            latency: Cell::new(DEFAULT_LATENCY),
            spawn,
            connections: RefCell::default(),
        }))
    }
}

impl MemoryNet {
    /// The network as a host of this name sees it.
    pub fn host_network(&self, name: &str) -> Rc<HostNetwork> {
        Rc::new(HostNetwork { name: name.to_owned(), net: self.0.clone() })
    }

    /// Holds back everything between two hosts (`*`: all others) until it is healed.
    pub fn partition(&self, from: &str, to: &str) {
        self.0.partitions.borrow_mut().insert(Link::new(from, to));
    }

    /// Ends a cut: what it held back arrives. The hosts must be named as they were for the cut.
    pub fn heal(&self, from: &str, to: &str) {
        self.0.partitions.borrow_mut().remove(&Link::new(from, to));
        self.0.partition_healed.notify_waiters();
    }

    /// Sets how long each message is under way.
    pub fn set_latency(&self, latency: Duration) {
        self.0.latency.set(latency);
    }

    /// The most connections that a host had open at once.
    pub fn peak_connections(&self, host: &str) -> usize {
        self.0.connections.borrow().get(host).map_or(0, |count| count.peak)
    }

    /// Counts the most open connections anew, from those that are open now.
    pub fn reset_peak_connections(&self) {
        for count in self.0.connections.borrow_mut().values_mut() {
            count.peak = count.open;
        }
    }

    /// Connections that a host has open now.
    pub fn open_connections(&self, host: &str) -> usize {
        self.0.connections.borrow().get(host).map_or(0, |count| count.open)
    }
}

/// One host's view of the network.
pub struct HostNetwork {
    name: String,
    net: Rc<NetworkState>,
}

impl HostNetwork {
    /// The host that listens on an address.
    fn listening_host(&self, addr: SocketAddr) -> Result<String> {
        let listeners = self.net.listeners.borrow();
        listeners.get(&addr).map(|bound| bound.host.clone()).ok_or_else(connection_refused)
    }

    fn incoming_streams(&self, addr: SocketAddr) -> Result<StreamSender> {
        let listeners = self.net.listeners.borrow();
        listeners.get(&addr).map(|bound| bound.incoming.clone()).ok_or_else(connection_refused)
    }

    /// A connection over a link: the stream of this host, and that of the other one.
    fn open_connection(&self, link: Link) -> (DuplexStream, DuplexStream) {
        let (mine, near) = tokio::io::duplex(PIPE_BYTES);
        let (far, theirs) = tokio::io::duplex(PIPE_BYTES);
        let (near_read, near_write) = tokio::io::split(near);
        let (far_read, far_write) = tokio::io::split(far);
        let counted = CountedConnection::new(self.net.clone(), link.clone());
        self.spawn_forwarding(link.clone(), near_read, far_write, Some(counted));
        self.spawn_forwarding(link, far_read, near_write, None);
        (mine, theirs)
    }

    /// Forwards one direction of a connection, which counts as long as its client sends.
    fn spawn_forwarding(
        &self,
        link: Link,
        from: ReadHalf<DuplexStream>,
        to: WriteHalf<DuplexStream>,
        counted: Option<CountedConnection>,
    ) {
        let net = self.net.clone();
        let _ = self.net.spawn.send(Box::pin(async move {
            forward(net, link, from, to).await;
            drop(counted);
        }));
    }
}

fn connection_refused() -> Error {
    Error::from(ErrorKind::ConnectionRefused)
}

impl Network for HostNetwork {
    fn connect(&self, addr: SocketAddr) -> LocalFuture<'_, Result<Stream>> {
        Box::pin(async move {
            tokio::time::sleep(self.net.latency.get()).await;
            let link = Link::new(&self.name, &self.listening_host(addr)?);
            self.net.wait_until_open(&link).await;
            let incoming = self.incoming_streams(addr)?;
            let (mine, theirs) = self.open_connection(link);
            incoming.send(Box::new(theirs)).map_err(|_| connection_refused())?;
            Ok(Box::new(mine) as Stream)
        })
    }

    fn listen(&self, addr: SocketAddr) -> LocalFuture<'_, Result<Box<dyn Listener>>> {
        Box::pin(async move {
            let (incoming, receiver) = mpsc::unbounded_channel();
            let mut listeners = self.net.listeners.borrow_mut();
            if listeners.contains_key(&addr) {
                return Err(ErrorKind::AddrInUse.into());
            }
            listeners.insert(addr, BoundListener { host: self.name.clone(), incoming });
            let net = self.net.clone();
            let receiver = Mutex::new(receiver);
            Ok(Box::new(MemoryListener { addr, net, receiver }) as Box<dyn Listener>)
        })
    }
}

struct MemoryListener {
    addr: SocketAddr,
    net: Rc<NetworkState>,
    receiver: Mutex<mpsc::UnboundedReceiver<Stream>>,
}

impl Listener for MemoryListener {
    fn accept(&self) -> LocalFuture<'_, Result<Stream>> {
        Box::pin(async move {
            let next = self.receiver.lock().await.recv().await;
            next.ok_or_else(|| ErrorKind::ConnectionAborted.into())
        })
    }
}

impl Drop for MemoryListener {
    fn drop(&mut self) {
        self.net.listeners.borrow_mut().remove(&self.addr);
    }
}

/// Carries bytes one way until the sender closes, or the receiver is gone.
async fn forward(
    net: Rc<NetworkState>,
    link: Link,
    mut from: ReadHalf<DuplexStream>,
    mut to: WriteHalf<DuplexStream>,
) {
    let mut buffer = vec![0; MESSAGE_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        tokio::time::sleep(net.latency.get()).await;
        // What was sent before or during a cut arrives after it, even if its sender gave up.
        net.wait_until_open(&link).await;
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
