//! A server with fixed answers, for tests of the clients built on this crate. Other crates' tests
//! take it in by its path.

use corkfield_http::{serve, Limits, Network, Request, Response, Tcp};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

/// Runs a future and what it spawns on this thread.
pub fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// A status and a body.
pub type Answer = (u16, &'static str);

/// Requests as the server received them: method, target and body.
pub type Received = Rc<RefCell<Vec<String>>>;

/// A server that gives these answers in turn, and the last one again and again.
pub async fn serve_answers(answers: &'static [Answer]) -> (SocketAddr, Received) {
    let probe = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = probe.local_addr().unwrap();
    drop(probe);
    let listener = Tcp.listen(addr).await.unwrap();
    let received = Received::default();
    let log = received.clone();
    let handler = move |request: Request| {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        log.borrow_mut().push(format!("{} {} {body}", request.method, request.target));
        let (status, body) = answers[(log.borrow().len() - 1).min(answers.len() - 1)];
        async move { Response::new(status, body.as_bytes().to_vec()) }
    };
    tokio::task::spawn_local(serve(listener, Limits::default(), Rc::new(handler)));
    (addr, received)
}
