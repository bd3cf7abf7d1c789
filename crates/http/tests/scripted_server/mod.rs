//! A server with scripted responses, for tests of the clients that are built on this crate. The
//! tests of other crates include this file by its path.

use corkfield_http::{serve, Limits, Network, Request, Response, Tcp};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

/// Runs a future and the local tasks that it spawns on this thread.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Status and body of a response.
pub type ScriptedResponse = (u16, &'static str);

/// The requests that the server has received, each as method, target and body.
pub type ReceivedRequests = Rc<RefCell<Vec<String>>>;

/// Starts a server that sends these responses in order and then repeats the last one.
pub async fn serve_scripted(
    responses: &'static [ScriptedResponse],
) -> (SocketAddr, ReceivedRequests) {
    let probe = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = probe.local_addr().unwrap();
    drop(probe);
    let listener = Tcp.listen(addr).await.unwrap();
    let received = ReceivedRequests::default();
    let log = received.clone();
    let handler = move |request: Request| {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        log.borrow_mut().push(format!("{} {} {body}", request.method, request.target));
        let (status, body) = responses[(log.borrow().len() - 1).min(responses.len() - 1)];
        async move { Response::new(status, body.as_bytes().to_vec()) }
    };
    tokio::task::spawn_local(serve(listener, Limits::default(), Rc::new(handler)));
    (addr, received)
}
