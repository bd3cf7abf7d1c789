//! Tests of the client module.

use super::*;
use corkfield_http::{serve, Limits, Request, Response, Tcp};

/// A state service whose changes are larger than the client takes.
async fn start_service(changes: usize) -> SocketAddr {
    let addr = SocketAddr::from(([127, 0, 0, 1], 0));
    let probe = std::net::TcpListener::bind(addr).unwrap();
    let addr = probe.local_addr().unwrap();
    drop(probe);
    let listener = Tcp.listen(addr).await.unwrap();
    let handler = move |request: Request| async move {
        let body = match request.path() {
            PATH_WATCH => {
                format!("{{\"generation\":9,\"log\":[],\"pad\":\"{}\"}}", "x".repeat(changes))
            }
            _ => "{\"items\":[],\"truncated\":false,\"generation\":9}".to_owned(),
        };
        Response::new(200, body.into_bytes())
    };
    tokio::task::spawn_local(serve(listener, Limits::default(), Rc::new(handler)));
    addr
}

async fn changes_of(size: usize) -> Result<WatchAnswer, StateError> {
    let addr = start_service(size).await;
    let client = StateClient::new(Rc::new(Tcp), addr, 100.0, 40.0, 1024 * 1024);
    assert!(client.list(RequestClass::Claim, "c/").await.is_ok(), "pages can be read");
    client.changes(RequestClass::Claim, "c/", Revision::new(1), Duration::ZERO).await
}

#[test]
fn changes_too_large_to_be_taken_are_read_anew_like_those_no_longer_kept() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        assert!(changes_of(1000).await.is_ok());
        assert!(matches!(changes_of(2 * 1024 * 1024).await, Err(StateError::TooOld)));
    });
}
