//! Where connections come from: the system's TCP, or a stand-in for tests.

use std::future::Future;
use std::io::Result;
use std::net::SocketAddr;
use std::pin::Pin;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

/// A future that stays on its thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// What a connection has to be able to do.
pub trait Io: AsyncRead + AsyncWrite + Unpin {}
impl<T: AsyncRead + AsyncWrite + Unpin> Io for T {}

/// A connection, of whatever network.
pub type Stream = Box<dyn Io>;

/// Accepts connections at an address.
pub trait Listener {
    /// Waits for the next connection.
    fn accept(&self) -> LocalFuture<'_, Result<Stream>>;
}

/// Opens and accepts connections; a real network or one in memory.
pub trait Network {
    /// Opens a connection.
    fn connect(&self, addr: SocketAddr) -> LocalFuture<'_, Result<Stream>>;
    /// Begins to accept connections.
    fn listen(&self, addr: SocketAddr) -> LocalFuture<'_, Result<Box<dyn Listener>>>;
}

/// The system's TCP.
#[derive(Debug, Clone, Copy, Default)]
pub struct Tcp;

impl Network for Tcp {
    fn connect(&self, addr: SocketAddr) -> LocalFuture<'_, Result<Stream>> {
        Box::pin(async move { TcpStream::connect(addr).await.map(without_delay) })
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
        Box::pin(
            async move { TcpListener::accept(self).await.map(|(stream, _)| without_delay(stream)) },
        )
    }
}

/// Small messages go out at once. That is only a matter of speed: a platform that refuses the
/// setting loses nothing else.
fn without_delay(stream: TcpStream) -> Stream {
    let _ = stream.set_nodelay(true);
    Box::new(stream)
}
