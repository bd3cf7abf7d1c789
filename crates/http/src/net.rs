//! The transport of the server and the client: the operating system's TCP, or a replacement for
//! tests.

use std::future::Future;
use std::io::Result;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

/// A boxed future that is not `Send`: it is polled only on the thread that created it.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// A bidirectional byte stream.
pub trait Io: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Io for T {}

/// An open connection of any [`Network`].
pub type Stream = Box<dyn Io>;

/// Accepts connections at one address.
pub trait Listener {
    /// Waits for the next connection.
    fn accept(&self) -> LocalFuture<'_, Result<Stream>>;
}

/// Opens and accepts connections, over a real network or in memory.
pub trait Network {
    /// Opens a connection to `addr`.
    fn connect(&self, addr: SocketAddr) -> LocalFuture<'_, Result<Stream>>;
    /// Binds a listener to `addr`.
    fn listen(&self, addr: SocketAddr) -> LocalFuture<'_, Result<Box<dyn Listener>>>;
}

/// The operating system's TCP.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tcp;

impl Network for Tcp {
    fn connect(&self, addr: SocketAddr) -> LocalFuture<'_, Result<Stream>> {
        Box::pin(async move { TcpStream::connect(addr).await.map(into_nodelay_stream) })
    }

    fn listen(&self, addr: SocketAddr) -> LocalFuture<'_, Result<Box<dyn Listener>>> {
        Box::pin(async move {
            let listener = TcpListener::bind(addr).await?;
            Ok(Box::new(listener) as Box<dyn Listener>)
        })
    }
}

impl Listener for TcpListener {
    fn accept(&self) -> LocalFuture<'_, Result<Stream>> {
        Box::pin(async move {
            TcpListener::accept(self).await.map(|(stream, _)| into_nodelay_stream(stream))
        })
    }
}

/// Sets `TCP_NODELAY`, so that small messages are sent without delay. An error is ignored: the
/// option affects only latency.
fn into_nodelay_stream(stream: TcpStream) -> Stream {
    let _ = stream.set_nodelay(true);
    Box::new(stream)
}
