//! Tests of the server module.

use super::*;
use crate::net::{Network, Tcp};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

async fn exchange(bytes: &[u8]) -> String {
    exchange_with(Limits::default(), bytes).await
}

async fn exchange_with(limits: Limits, bytes: &[u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let listener: Box<dyn Listener> = Box::new(listener);
    let handler = |r: Request| async move {
        Response::new(200, format!("{} {} {}", r.method, r.path(), r.body.len()).into_bytes())
    };
    tokio::task::spawn_local(serve(listener, limits, Rc::new(handler)));
    let mut stream = Tcp.connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    answer
}

fn run<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

#[test]
fn requests_are_answered_in_turn_and_chunks_are_joined() {
    run(async {
        let two = b"GET /a?x=1 HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        let answer = exchange(two).await;
        assert!(answer.contains("GET /a 0") && answer.contains("POST /b 3"), "{answer}");
    });
}

#[test]
fn bad_and_oversized_requests_get_400_and_a_closed_connection() {
    run(async {
        let long = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(20_000));
        let big = b"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n".to_vec();
        let twice = b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab".to_vec();
        for bytes in [b"\x00\x01\x02\r\n\r\n".to_vec(), long.into_bytes(), big, twice] {
            let answer = exchange(&bytes).await;
            assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 400"), "{answer}");
        }
        assert_eq!(exchange(b"GET / HT").await, "", "half a request is never answered");
    });
}

#[test]
fn a_bad_request_is_told_what_is_wrong_with_it() {
    run(async {
        let head_of = |size: usize| format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(size - 19));
        let headers = "X: y\r\n".repeat(49);
        let cases = [
            ("\0\r\n\r\n".to_owned(), "malformed message"),
            (head_of(8193), "head over 8192 bytes"),
            (format!("GET / HTTP/1.1\r\n{headers}\r\n"), "head over 8192 bytes"),
            ("POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n".to_owned(), "body too large"),
            ("POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n".to_owned(), "malformed message"),
            (
                "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n".to_owned(),
                "transfer encoding is not served",
            ),
        ];
        for (request, reason) in cases {
            let body = format!("{{\"error\":\"{reason}\"}}");
            let expected = format!(
                "HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
                 Connection: close\r\n\r\n{body}",
                body.len()
            );
            assert_eq!(exchange(request.as_bytes()).await, expected, "{request:.60}");
        }
    });
}

#[test]
fn a_client_that_asks_is_told_to_continue() {
    run(async {
        let request = b"POST /a HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nab";
        let answer = exchange(request).await;
        assert!(answer.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"), "{answer}");
        assert!(answer.ends_with("\r\n\r\nPOST /a 2"), "{answer}");
    });
}

#[test]
fn connections_beyond_the_others_share_are_refused_and_those_kept_are_not() {
    run(async {
        let limits = Limits { others: 0, kept_for: "/kept", ..Limits::default() };
        let kept = b"GET /kept HTTP/1.1\r\nConnection: close\r\n\r\n";
        assert!(exchange_with(limits.clone(), kept).await.starts_with("HTTP/1.1 200"));
        let other = exchange_with(limits, b"GET /other HTTP/1.1\r\n\r\n").await;
        assert!(other.starts_with("HTTP/1.1 503"), "{other}");
        assert!(other.contains("Retry-After: 1") && other.contains("Connection: close"));
    });
}

#[test]
fn connections_above_those_kept_are_closed_after_their_answer_and_none_is_refused() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let limits = Limits { connections: 6, kept: 4, ..Limits::default() };
        let connections = Rc::new(Connections::new(limits));
        let handler = |_| async { Response::new(200, Vec::new()) };
        let serving = serve_counted(Box::new(listener), connections.clone(), Rc::new(handler));
        tokio::task::spawn_local(serving);
        let mut open = Vec::new();
        for client in 0..20 {
            let mut stream = Tcp.connect(addr).await.unwrap();
            stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
            let mut answer = vec![0; 200];
            let read = stream.read(&mut answer).await.unwrap();
            let answer = String::from_utf8_lossy(&answer[..read]).into_owned();
            assert!(answer.starts_with("HTTP/1.1 200"), "{client}: {answer}");
            assert_eq!(answer.contains("Connection: close"), client >= 4, "{client}: {answer}");
            open.push(stream);
        }
        assert!(
            !connections.is_short_of_connections(),
            "the clients that were told to go don't count"
        );
    });
}
