//! The server: one task per connection, one request at a time on each.

mod connection;
mod connections;
mod limits;
mod request;
mod response;

pub use connections::Connections;
pub use limits::Limits;
pub use request::Request;
pub use response::Response;

use crate::net::Listener;
use connection::Connection;
use connections::ConnectionSlot;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

/// Pause after a failing accept.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Accepts connections for ever, within limits of its own.
pub async fn serve<H, F>(listener: Box<dyn Listener>, limits: Limits, handler: Rc<H>)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    serve_counted(listener, Rc::new(Connections::new(limits)), handler).await;
}

/// Accepts connections for ever. A failing accept (no free sockets, say) never ends it.
pub async fn serve_counted<H, F>(
    listener: Box<dyn Listener>,
    connections: Rc<Connections>,
    handler: Rc<H>,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    loop {
        match listener.accept().await {
            // Above the limit a connection is closed at once: its client goes elsewhere.
            Ok(stream) if connections.has_free_slot() => {
                let slot = ConnectionSlot::take(connections.clone());
                let connection = Connection::new(stream, slot);
                let handler = handler.clone();
                tokio::task::spawn_local(async move {
                    let _ = connection.serve(&*handler).await;
                });
            }
            Ok(stream) => drop(stream),
            Err(error) => {
                tracing::debug!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_RETRY).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
