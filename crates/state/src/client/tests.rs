//! Tests of the client with responses above its maximum size.

use super::*;
use corkfield_http::{serve, Limits, Request, Response, Tcp};

/// Starts a state service whose responses to a watch have a padding of `padding` bytes.
async fn start_service(padding: usize) -> SocketAddr {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let probe = std::net::TcpListener::bind(addr).unwrap();
    let addr = probe.local_addr().unwrap();
    drop(probe);
    let listener = Tcp.listen(addr).await.unwrap();
    let handler = move |request: Request| async move {
        let body = match request.path() {
            PATH_WATCH => {
                format!("{{\"generation\":9,\"log\":[],\"pad\":\"{}\"}}", "x".repeat(padding))
            }
            _ => "{\"items\":[],\"truncated\":false,\"generation\":9}".to_owned(),
        };
        Response::new(200, body.into_bytes())
    };
    tokio::task::spawn_local(serve(listener, Limits::default(), Rc::new(handler)));
    addr
}

/// Watches a state service whose responses have a padding of `padding` bytes.
async fn watch_with_padding(padding: usize) -> Result<Events, StateError> {
    let addr = start_service(padding).await;
    let client = StateClient::new(Rc::new(Tcp), addr, 100.0, 40.0, 1024 * 1024);
    assert!(client.list(RequestClass::Claim, "c/").await.is_ok(), "listing the keys still works");
    client.watch(RequestClass::Claim, "c/", Revision::new(1), Duration::ZERO).await
}

#[test]
fn a_watch_response_above_the_maximum_size_is_reported_as_revision_too_old() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        assert!(watch_with_padding(1000).await.is_ok());
        assert!(matches!(
            watch_with_padding(2 * 1024 * 1024).await,
            Err(StateError::RevisionTooOld)
        ));
    });
}
