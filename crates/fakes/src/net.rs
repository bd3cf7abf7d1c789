//! An in-memory network of hosts. A partition between two hosts delays their messages until it is
//! healed; a host that has stopped refuses connections.

use crate::frame_copies::{FrameCopies, FrameDirection, FrameSplitter};
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

/// The buffer size of each end of a connection, in bytes.
const PIPE_BYTES: usize = 64 * 1024;
/// The largest number of bytes that are forwarded as one message.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;
const DEFAULT_LATENCY: Duration = Duration::from_millis(1);
/// The name that stands for all other hosts in a partition.
const ANY_HOST: &str = "*";

type Task = LocalFuture<'static, ()>;
type StreamSender = mpsc::UnboundedSender<Stream>;

/// A listener that a host has bound to an address.
struct BoundListener {
    host: String,
    incoming: StreamSender,
}

/// The hosts at the two ends of a connection or of a partition.
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

/// The number of connections that a host has open, and the highest number so far.
#[derive(Default)]
struct ConnectionCount {
    open: usize,
    peak: usize,
}

struct NetworkState {
    listeners: RefCell<BTreeMap<SocketAddr, BoundListener>>,
    partitions: RefCell<BTreeSet<Link>>,
    partition_healed: Notify,
    /// The time from sending a message to its delivery.
    latency: Cell<Duration>,
    spawn: mpsc::UnboundedSender<Task>,
    connections: RefCell<BTreeMap<String, ConnectionCount>>,
    /// Late copies of the frames between controllers.
    frame_copies: FrameCopies,
}

impl NetworkState {
    fn is_partitioned(&self, link: &Link) -> bool {
        let partitions = self.partitions.borrow();
        let Link { from, to } = link;
        let pairs = [(from, to.as_str()), (to, from.as_str()), (from, ANY_HOST), (to, ANY_HOST)];
        pairs.iter().any(|(from, to)| partitions.contains(&Link::new(from, to)))
    }

    async fn wait_until_healed(&self, link: &Link) {
        loop {
            let healed = self.partition_healed.notified();
            if !self.is_partitioned(link) {
                return;
            }
            healed.await;
        }
    }
}

/// Counts a connection at the hosts at both ends, until the client closes the connection.
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

/// Provides the network to hosts that are added while a deployment runs.
pub trait NetworkProvider {
    /// Returns the network as the host `name` sees it.
    fn host_network(&self, name: &str) -> Rc<dyn Network>;
    /// Runs a future that may outlive the task that spawned it.
    fn spawn(&self, task: LocalFuture<'static, ()>);
}

/// The network of the operating system: each host listens on its own loopback address, in real
/// time.
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

/// An in-memory network in simulated time. Each host gets its own view of the network from
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
    /// Must be called on a local task set: the task set delivers messages even after their senders
    /// have ended.
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
            frame_copies: FrameCopies::default(),
        }))
    }
}

impl MemoryNet {
    /// Returns the network as the host `name` sees it.
    pub fn host_network(&self, name: &str) -> Rc<HostNetwork> {
        Rc::new(HostNetwork { name: name.to_owned(), net: self.0.clone() })
    }

    /// Delays all messages between two hosts, in both directions, until the partition is healed.
    /// The name `*` stands for all other hosts.
    pub fn partition(&self, from: &str, to: &str) {
        self.0.partitions.borrow_mut().insert(Link::new(from, to));
    }

    /// Heals a partition, so that the delayed messages arrive. The hosts must be in the same order
    /// as in the call to [`MemoryNet::partition`].
    pub fn heal(&self, from: &str, to: &str) {
        self.0.partitions.borrow_mut().remove(&Link::new(from, to));
        self.0.partition_healed.notify_waiters();
    }

    /// Keeps the frames that controllers with this port for other controllers send each other, for
    /// late copies.
    pub fn keep_frames(&self, port: u16) {
        self.0.frame_copies.keep(port);
    }

    /// From now on, precedes each frame that `to` receives over connections that it opened to `from`
    /// by copies of all frames that were kept so far. Returns the number of these frames.
    pub fn deliver_copies_of_answers(&self, from: &str, to: &str) -> usize {
        self.deliver_frame_copies(from, to, false)
    }

    /// Does the same for the connections that `from` opened to `to`.
    pub fn deliver_copies_of_requests(&self, from: &str, to: &str) -> usize {
        self.deliver_frame_copies(from, to, true)
    }

    fn deliver_frame_copies(&self, from: &str, to: &str, is_to_server: bool) -> usize {
        let (from, to) = (from.to_owned(), to.to_owned());
        self.0.frame_copies.deliver(FrameDirection { from, to, is_to_server })
    }

    /// Returns the number of copies that were delivered so far.
    pub fn delivered_frame_copies(&self) -> usize {
        self.0.frame_copies.delivered()
    }

    /// Sets the time from sending a message to its delivery.
    pub fn set_latency(&self, latency: Duration) {
        self.0.latency.set(latency);
    }

    /// Returns the highest number of connections that a host had open at the same time.
    pub fn peak_connections(&self, host: &str) -> usize {
        self.0.connections.borrow().get(host).map_or(0, |count| count.peak)
    }

    /// Resets the peak of every host to the number of connections that are open now.
    pub fn reset_peak_connections(&self) {
        for count in self.0.connections.borrow_mut().values_mut() {
            count.peak = count.open;
        }
    }

    /// Returns the number of connections that a host has open now.
    pub fn open_connections(&self, host: &str) -> usize {
        self.0.connections.borrow().get(host).map_or(0, |count| count.open)
    }
}

/// The network as one host sees it.
pub struct HostNetwork {
    name: String,
    net: Rc<NetworkState>,
}

impl HostNetwork {
    /// Returns the name of the host that listens on an address.
    fn listening_host(&self, addr: SocketAddr) -> Result<String> {
        let listeners = self.net.listeners.borrow();
        listeners.get(&addr).map(|bound| bound.host.clone()).ok_or_else(connection_refused)
    }

    fn stream_sender(&self, addr: SocketAddr) -> Result<StreamSender> {
        let listeners = self.net.listeners.borrow();
        listeners.get(&addr).map(|bound| bound.incoming.clone()).ok_or_else(connection_refused)
    }

    /// Opens a connection over a link; returns the stream of the client, which is this host, and
    /// that of the server.
    fn open_connection(&self, link: Link, port: u16) -> (DuplexStream, DuplexStream) {
        let (client_stream, client_pipe) = tokio::io::duplex(PIPE_BYTES);
        let (server_pipe, server_stream) = tokio::io::duplex(PIPE_BYTES);
        let (client_read, client_write) = tokio::io::split(client_pipe);
        let (server_read, server_write) = tokio::io::split(server_pipe);
        let connection = CountedConnection::new(self.net.clone(), link.clone());
        let copies = &self.net.frame_copies;
        let Link { from, to } = link.clone();
        let to_server = FrameDirection { from: from.clone(), to: to.clone(), is_to_server: true };
        let to_client = FrameDirection { from: to, to: from, is_to_server: false };
        let to_server = copies.splitter(to_server, port);
        let to_client = copies.splitter(to_client, port);
        let forward_to_server = Forwarding { link: link.clone(), splitter: to_server };
        let forward_to_client = Forwarding { link, splitter: to_client };
        self.spawn_forwarding(forward_to_server, client_read, server_write, Some(connection));
        self.spawn_forwarding(forward_to_client, server_read, client_write, None);
        (client_stream, server_stream)
    }

    /// Forwards one direction of a connection. `connection` stays counted until `from` is closed.
    fn spawn_forwarding(
        &self,
        forwarding: Forwarding,
        from: ReadHalf<DuplexStream>,
        to: WriteHalf<DuplexStream>,
        connection: Option<CountedConnection>,
    ) {
        let net = self.net.clone();
        let _ = self.net.spawn.send(Box::pin(async move {
            forward(net, forwarding, from, to).await;
            drop(connection);
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
            self.net.wait_until_healed(&link).await;
            let incoming = self.stream_sender(addr)?;
            let (client_stream, server_stream) = self.open_connection(link, addr.port());
            incoming.send(Box::new(server_stream)).map_err(|_| connection_refused())?;
            Ok(Box::new(client_stream) as Stream)
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

/// One direction of a connection.
struct Forwarding {
    link: Link,
    /// Splits the bytes into frames, if their copies may be delivered.
    splitter: Option<FrameSplitter>,
}

/// Forwards bytes in one direction until the sender closes the stream or the receiver has ended.
async fn forward(
    net: Rc<NetworkState>,
    mut forwarding: Forwarding,
    mut from: ReadHalf<DuplexStream>,
    mut to: WriteHalf<DuplexStream>,
) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    while let Ok(length) = from.read(&mut buffer).await {
        tokio::time::sleep(net.latency.get()).await;
        // Bytes sent before or during a partition arrive after it, even if the sender has timed
        // out meanwhile.
        net.wait_until_healed(&forwarding.link).await;
        let sent = &buffer[..length];
        let written = match &mut forwarding.splitter {
            Some(splitter) => to.write_all(&splitter.with_copies(sent)).await,
            None => to.write_all(sent).await,
        };
        if length == 0 || written.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
