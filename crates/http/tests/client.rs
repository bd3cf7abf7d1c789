//! Tests of the client against servers that respond with fixed bytes.

use corkfield_http::{Client, ClientError, ClientResponse, ReadError, Tcp};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIME_LIMIT: Duration = Duration::from_secs(5);
const MAX_BODY: usize = 1000;

/// Runs a future and the local tasks that it spawns on this thread.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// The requests that a server has received, each with the index of its connection.
type ReceivedRequests = Rc<RefCell<Vec<(usize, String)>>>;

/// Starts a server that responds to the requests of its n-th connection with the n-th list of
/// responses, in order, and then closes the connection. Each request must arrive in a single read,
/// as small requests on a loopback connection do.
async fn serve_scripted(scripts: Vec<Vec<&'static str>>) -> (SocketAddr, ReceivedRequests) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let received = ReceivedRequests::default();
    let log = received.clone();
    tokio::task::spawn_local(async move {
        for (connection, responses) in scripts.into_iter().enumerate() {
            let (mut stream, _) = listener.accept().await.unwrap();
            for response in responses {
                let mut request = vec![0; 4096];
                let read = stream.read(&mut request).await.unwrap();
                let text = String::from_utf8_lossy(&request[..read]).into_owned();
                log.borrow_mut().push((connection, text));
                stream.write_all(response.as_bytes()).await.unwrap();
            }
        }
    });
    (addr, received)
}

fn client(addr: SocketAddr) -> Client {
    Client::new(Rc::new(Tcp), addr, 2, MAX_BODY)
}

async fn get(client: &Client) -> Result<ClientResponse, ClientError> {
    client.request("GET", "/x?y=1", b"", TIME_LIMIT).await
}

/// Sends a request to a server that responds with these bytes; returns the client's result.
async fn get_from_server(response: &'static str) -> Result<ClientResponse, ClientError> {
    let (addr, _) = serve_scripted(vec![vec![response]]).await;
    get(&client(addr)).await
}

#[test]
fn requests_have_a_content_length_and_reuse_the_connection() {
    block_on(async {
        let ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        let (addr, received) = serve_scripted(vec![vec![ok, ok]]).await;
        let client = client(addr);
        let response = client.request("POST", "/x?y=1", b"{\"a\":1}", TIME_LIMIT).await.unwrap();
        assert_eq!((response.status, &response.body[..]), (200, &b"ok"[..]));
        get(&client).await.unwrap();
        let expected = |method: &str, body: &str| {
            let length = body.len();
            format!(
                "{method} /x?y=1 HTTP/1.1\r\nHost: {addr}\r\nContent-Type: application/json\r\n\
                 Content-Length: {length}\r\n\r\n{body}"
            )
        };
        let requests = [(0, expected("POST", "{\"a\":1}")), (0, expected("GET", ""))];
        assert_eq!(*received.borrow(), requests);
    });
}

/// Sends two requests to a server that closes each connection after one response. Returns the index
/// of each request's connection.
async fn connections_of_two_requests(response: &'static str) -> Vec<usize> {
    let (addr, received) = serve_scripted(vec![vec![response], vec![response]]).await;
    let client = client(addr);
    get(&client).await.unwrap();
    get(&client).await.unwrap();
    let connections = received.borrow().iter().map(|(connection, _)| *connection).collect();
    connections
}

#[test]
fn a_connection_with_connection_close_is_not_used_again() {
    block_on(async {
        let with_close = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        assert_eq!(connections_of_two_requests(with_close).await, [0, 1]);
    });
}

#[test]
fn a_request_on_a_connection_that_the_server_closed_is_sent_again_on_a_new_one() {
    block_on(async {
        // The server closes the first connection without a `Connection: close` header.
        let without_close = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        assert_eq!(connections_of_two_requests(without_close).await, [0, 1]);
    });
}

#[test]
fn informational_responses_are_skipped_and_chunks_are_joined() {
    block_on(async {
        let response = get_from_server(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\
             \r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        );
        let response = response.await.unwrap();
        assert_eq!((response.status, &response.body[..]), (201, &b"abcde"[..]));
    });
}

#[test]
fn malformed_oversized_and_truncated_responses_are_errors() {
    block_on(async {
        let read_error = |result: Result<ClientResponse, ClientError>| match result {
            Err(ClientError::Read(error)) => error.to_string(),
            other => panic!("{other:?}"),
        };
        let no_length = get_from_server("HTTP/1.1 200 OK\r\n\r\n").await;
        assert_eq!(read_error(no_length), "malformed message");
        let too_large = get_from_server("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n").await;
        assert_eq!(read_error(too_large), "body too large");
        let gzip = get_from_server("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n").await;
        assert_eq!(read_error(gzip), "transfer encoding is not served");
        let truncated = get_from_server("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc").await;
        assert!(matches!(truncated, Err(ClientError::Read(ReadError::Closed))), "{truncated:?}");
    });
}

#[test]
fn requests_above_the_connection_limit_are_rejected_and_others_time_out() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = client(listener.local_addr().unwrap());
        let time_limit = Duration::from_millis(50);
        let request = || client.request("GET", "/", b"", time_limit);
        let (first, second, third) = tokio::join!(request(), request(), request());
        assert!(matches!(first, Err(ClientError::Timeout)), "{first:?}");
        assert!(matches!(second, Err(ClientError::Timeout)), "{second:?}");
        assert!(matches!(third, Err(ClientError::Busy)), "{third:?}");
        let fourth = request().await;
        assert!(
            matches!(fourth, Err(ClientError::Timeout)),
            "the earlier requests have ended: {fourth:?}"
        );
    });
}
