//! A TCP proxy in front of one endpoint, as seen by one controller. It can hold all bytes back, as
//! a cut does that lets a host fall silent.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Whether the proxy forwards bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Pass,
    /// Nothing is forwarded, and no connection is closed.
    Silent,
    /// Connections are reset, and new ones are closed at once.
    Refuse,
}

/// The proxy. It runs until the process ends.
pub struct Proxy {
    mode: Cell<Mode>,
}

impl Proxy {
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> std::io::Result<Rc<Self>> {
        let listener = TcpListener::bind(listen).await?;
        let proxy = Rc::new(Self { mode: Cell::new(Mode::Pass) });
        let accepting = proxy.clone();
        tokio::task::spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                tokio::task::spawn_local(accepting.clone().serve(stream, target));
            }
        });
        Ok(proxy)
    }

    pub fn set_mode(&self, mode: Mode) {
        self.mode.set(mode);
    }

    async fn serve(self: Rc<Self>, client: TcpStream, target: SocketAddr) {
        if self.mode.get() == Mode::Refuse {
            return;
        }
        self.wait_until_open().await;
        let Ok(server) = TcpStream::connect(target).await else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (client_read, client_write) = client.into_split();
        let (server_read, server_write) = server.into_split();
        tokio::select! {
            () = self.forward(client_read, server_write) => {}
            () = self.forward(server_read, client_write) => {}
            () = self.wait_until_refusing() => {}
        }
    }

    async fn forward(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf) {
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(length) = from.read(&mut buffer).await {
            self.wait_until_open().await;
            if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
                return;
            }
        }
    }

    async fn wait_until_open(&self) {
        while self.mode.get() == Mode::Silent {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    async fn wait_until_refusing(&self) {
        while self.mode.get() != Mode::Refuse {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }
}
