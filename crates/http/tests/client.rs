//! The client against servers that answer with fixed bytes.

use corkfield_http::{Client, ClientError, ReadError, Reply, Tcp};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(5);
const MAX_BODY: usize = 1000;

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

/// Requests as a server received them, each with the number of its connection.
type Received = Rc<RefCell<Vec<(usize, String)>>>;

/// Answers the requests of each connection with its list of answers in turn, then closes it.
/// Requests have to come in one piece, which small ones on a loopback connection do.
async fn serve_fixed(answers: Vec<Vec<&'static str>>) -> (SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let received = Received::default();
    let log = received.clone();
    tokio::task::spawn_local(async move {
        for (connection, answers) in answers.into_iter().enumerate() {
            let (mut stream, _) = listener.accept().await.unwrap();
            for answer in answers {
                let mut request = vec![0; 4096];
                let read = stream.read(&mut request).await.unwrap();
                let text = String::from_utf8_lossy(&request[..read]).into_owned();
                log.borrow_mut().push((connection, text));
                stream.write_all(answer.as_bytes()).await.unwrap();
            }
        }
    });
    (addr, received)
}

fn client(addr: SocketAddr) -> Client {
    Client::new(Rc::new(Tcp), addr, 2, MAX_BODY)
}

async fn get(client: &Client) -> Result<Reply, ClientError> {
    client.request("GET", "/x?y=1", b"", LIMIT).await
}

async fn answer_to(answer: &'static str) -> Result<Reply, ClientError> {
    let (addr, _) = serve_fixed(vec![vec![answer]]).await;
    get(&client(addr)).await
}

#[test]
fn a_request_carries_its_length_and_connections_are_used_again() {
    run(async {
        let ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        let (addr, received) = serve_fixed(vec![vec![ok, ok]]).await;
        let client = client(addr);
        let reply = client.request("POST", "/x?y=1", b"{\"a\":1}", LIMIT).await.unwrap();
        assert_eq!((reply.status, &reply.body[..]), (200, &b"ok"[..]));
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

/// Makes two requests, of which the server answers one on each connection, and gives the numbers
/// of the connections that they came over.
async fn connections_of_two_requests(answer: &'static str) -> Vec<usize> {
    let (addr, received) = serve_fixed(vec![vec![answer], vec![answer]]).await;
    let client = client(addr);
    get(&client).await.unwrap();
    get(&client).await.unwrap();
    let connections = received.borrow().iter().map(|(number, _)| *number).collect();
    connections
}

#[test]
fn a_connection_that_the_server_closes_is_not_used_again() {
    run(async {
        let announced = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        assert_eq!(connections_of_two_requests(announced).await, [0, 1]);
    });
}

#[test]
fn a_request_on_a_connection_closed_meanwhile_is_sent_again_on_another() {
    run(async {
        // The first connection is closed after its answer without a word of it.
        let unannounced = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        assert_eq!(connections_of_two_requests(unannounced).await, [0, 1]);
    });
}

#[test]
fn provisional_answers_are_passed_over_and_chunks_joined() {
    run(async {
        let reply = answer_to(
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\
             \r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
        );
        let reply = reply.await.unwrap();
        assert_eq!((reply.status, &reply.body[..]), (201, &b"abcde"[..]));
    });
}

#[test]
fn answers_that_are_malformed_or_too_large_are_errors() {
    run(async {
        let read_error = |result: Result<Reply, ClientError>| match result {
            Err(ClientError::Read(error)) => error.to_string(),
            other => panic!("{other:?}"),
        };
        let no_length = answer_to("HTTP/1.1 200 OK\r\n\r\n").await;
        assert_eq!(read_error(no_length), "malformed message");
        let large = answer_to("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n").await;
        assert_eq!(read_error(large), "body too large");
        let encoded = answer_to("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n").await;
        assert_eq!(read_error(encoded), "transfer encoding is not served");
        let cut_short = answer_to("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc").await;
        assert!(matches!(cut_short, Err(ClientError::Read(ReadError::Closed))), "{cut_short:?}");
    });
}

#[test]
fn requests_beyond_the_connections_are_refused_and_late_answers_given_up() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = client(listener.local_addr().unwrap());
        let short = Duration::from_millis(50);
        let request = || client.request("GET", "/", b"", short);
        let (first, second, third) = tokio::join!(request(), request(), request());
        assert!(matches!(first, Err(ClientError::Timeout)), "{first:?}");
        assert!(matches!(second, Err(ClientError::Timeout)), "{second:?}");
        assert!(matches!(third, Err(ClientError::Busy)), "{third:?}");
        let fourth = request().await;
        assert!(matches!(fourth, Err(ClientError::Timeout)), "the others are over: {fourth:?}");
    });
}
