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

type Task = LocalFuture<'static, ()>;
type Incoming = mpsc::UnboundedSender<Stream>;

struct Inner {
    listeners: RefCell<BTreeMap<SocketAddr, (String, Incoming)>>,
    cuts: RefCell<BTreeSet<(String, String)>>,
    healed: Notify,
    /// How long each message is under way.
    latency: Cell<Duration>,
    spawn: mpsc::UnboundedSender<Task>,
    /// Connections that each host has open, and the most it had.
    open: RefCell<BTreeMap<String, (usize, usize)>>,
}

/// A connection, as long as its client keeps it.
struct Counted(Rc<Inner>, [String; 2]);

impl Counted {
    fn new(net: Rc<Inner>, a: &str, b: &str) -> Self {
        let ends = [a.to_owned(), b.to_owned()];
        for end in &ends {
            let mut open = net.open.borrow_mut();
            let count = open.entry(end.clone()).or_default();
            count.0 += 1;
            count.1 = count.1.max(count.0);
        }
        Self(net, ends)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        for end in &self.1 {
            if let Some(count) = self.0.open.borrow_mut().get_mut(end) {
                count.0 -= 1;
            }
        }
    }
}

impl Inner {
    fn is_cut(&self, a: &str, b: &str) -> bool {
        let cuts = self.cuts.borrow();
        let pairs = [(a, b), (b, a), (a, "*"), (b, "*")];
        pairs.iter().any(|(x, y)| cuts.contains(&((*x).to_owned(), (*y).to_owned())))
    }

    async fn until_open(&self, a: &str, b: &str) {
        loop {
            let healed = self.healed.notified();
            if !self.is_cut(a, b) {
                return;
            }
            healed.await;
        }
    }
}

/// Networks of hosts that come up while a deployment is played.
pub trait Hosts {
    /// The network as a host of this name sees it.
    fn host(&self, name: &str) -> Rc<dyn Network>;
    /// Runs something that outlives the task that started it.
    fn spawn(&self, task: LocalFuture<'static, ()>);
}

/// The system's own network: each host listens on a loopback address of its own, in real time.
#[derive(Clone, Copy, Default)]
pub struct Loopback;

impl Hosts for Loopback {
    fn host(&self, _name: &str) -> Rc<dyn Network> {
        Rc::new(Tcp)
    }

    fn spawn(&self, task: LocalFuture<'static, ()>) {
        tokio::task::spawn_local(task);
    }
}

impl Hosts for MemoryNet {
    fn host(&self, name: &str) -> Rc<dyn Network> {
        Self::host(self, name)
    }

    fn spawn(&self, task: LocalFuture<'static, ()>) {
        let _ = self.0.spawn.send(task);
    }
}

#[derive(Clone)]
pub struct MemoryNet(Rc<Inner>);

impl Default for MemoryNet {
    /// Must be called on a local task set: messages under way outlive their senders.
    fn default() -> Self {
        let (spawn, mut tasks) = mpsc::unbounded_channel::<Task>();
        tokio::task::spawn_local(async move {
            while let Some(task) = tasks.recv().await {
                tokio::task::spawn_local(task);
            }
        });
        Self(Rc::new(Inner {
            listeners: RefCell::default(),
            cuts: RefCell::default(),
            healed: Notify::new(),
            latency: Cell::new(Duration::from_millis(1)),
            spawn,
            open: RefCell::default(),
        }))
    }
}

impl MemoryNet {
    pub fn host(&self, name: &str) -> Rc<Host> {
        Rc::new(Host { name: name.to_owned(), net: self.0.clone() })
    }

    /// Holds back everything between two hosts (`*`: all others) until it is healed.
    pub fn cut(&self, a: &str, b: &str) {
        self.0.cuts.borrow_mut().insert((a.to_owned(), b.to_owned()));
    }

    pub fn heal(&self, a: &str, b: &str) {
        self.0.cuts.borrow_mut().remove(&(a.to_owned(), b.to_owned()));
        self.0.healed.notify_waiters();
    }

    pub fn set_latency(&self, latency: Duration) {
        self.0.latency.set(latency);
    }

    /// The most connections that a host had open at once.
    pub fn most_open(&self, host: &str) -> usize {
        self.0.open.borrow().get(host).map_or(0, |(_, most)| *most)
    }

    /// Counts the most open connections anew, from those that are open now.
    pub fn reset_most_open(&self) {
        for (now_open, most) in self.0.open.borrow_mut().values_mut() {
            *most = *now_open;
        }
    }

    /// Connections that a host has open now.
    pub fn open_now(&self, host: &str) -> usize {
        self.0.open.borrow().get(host).map_or(0, |(now_open, _)| *now_open)
    }
}

/// One host's view of the network.
pub struct Host {
    name: String,
    net: Rc<Inner>,
}

impl Network for Host {
    fn connect(&self, addr: SocketAddr) -> LocalFuture<'_, Result<Stream>> {
        Box::pin(async move {
            let refused = || Error::from(ErrorKind::ConnectionRefused);
            tokio::time::sleep(self.net.latency.get()).await;
            let other = self.net.listeners.borrow().get(&addr).map(|l| l.0.clone());
            let other = other.ok_or_else(refused)?;
            self.net.until_open(&self.name, &other).await;
            let incoming = self.net.listeners.borrow().get(&addr).map(|l| l.1.clone());
            let incoming = incoming.ok_or_else(refused)?;
            let (mine, near) = tokio::io::duplex(64 * 1024);
            let (far, theirs) = tokio::io::duplex(64 * 1024);
            let (near_read, near_write) = tokio::io::split(near);
            let (far_read, far_write) = tokio::io::split(far);
            let counted = Counted::new(self.net.clone(), &self.name, &other);
            let forward = |read, write, counted| {
                let (net, a, b) = (self.net.clone(), self.name.clone(), other.clone());
                let _ = self.net.spawn.send(Box::pin(async move {
                    forward(net, a, b, read, write).await;
                    drop(counted);
                }));
            };
            forward(near_read, far_write, Some(counted));
            forward(far_read, near_write, None);
            incoming.send(Box::new(theirs)).map_err(|_| refused())?;
            Ok(Box::new(mine) as Stream)
        })
    }

    fn listen(&self, addr: SocketAddr) -> LocalFuture<'_, Result<Box<dyn Listener>>> {
        Box::pin(async move {
            let (sender, receiver) = mpsc::unbounded_channel();
            let mut listeners = self.net.listeners.borrow_mut();
            if listeners.contains_key(&addr) {
                return Err(ErrorKind::AddrInUse.into());
            }
            listeners.insert(addr, (self.name.clone(), sender));
            let net = self.net.clone();
            let receiver = Mutex::new(receiver);
            Ok(Box::new(MemoryListener { addr, net, receiver }) as Box<dyn Listener>)
        })
    }
}

struct MemoryListener {
    addr: SocketAddr,
    net: Rc<Inner>,
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

async fn forward(
    net: Rc<Inner>,
    a: String,
    b: String,
    mut from: ReadHalf<DuplexStream>,
    mut to: WriteHalf<DuplexStream>,
) {
    let mut buffer = vec![0; 16 * 1024];
    while let Ok(n) = from.read(&mut buffer).await {
        tokio::time::sleep(net.latency.get()).await;
        // What was sent before or during a cut arrives after it, even if its sender gave up.
        net.until_open(&a, &b).await;
        if n == 0 || to.write_all(&buffer[..n]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
