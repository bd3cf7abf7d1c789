//! The server: one task per connection, which serves one request at a time.

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

/// Delay after a failed accept before the next attempt.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts and serves connections within `limits`. Never returns.
pub async fn serve<H, F>(listener: Box<dyn Listener>, limits: Limits, handler: Rc<H>)
where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    serve_with_connections(listener, Rc::new(Connections::new(limits)), handler).await;
}

/// Accepts connections and serves them within the limits of `connections`, which the caller can
/// query at the same time. Never returns: a failed accept, for example because no socket is free,
/// is retried.
pub async fn serve_with_connections<H, F>(
    listener: Box<dyn Listener>,
    connections: Rc<Connections>,
    handler: Rc<H>,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response> + 'static,
{
    loop {
        match listener.accept().await {
            // A connection above the limit is closed immediately: its client may then connect to
            // another controller.
            Ok(stream) if connections.has_free_slot() => {
                let slot = ConnectionSlot::acquire(connections.clone());
                let connection = Connection::new(stream, slot);
                let handler = handler.clone();
                tokio::task::spawn_local(async move {
                    let _ = connection.serve(&*handler).await;
                });
            }
            Ok(stream) => drop(stream),
            Err(error) => {
                tracing::debug!(%error, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
