//! Tests of the server over TCP connections, with requests given as bytes.

use super::*;
use crate::net::{Network, Tcp};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Sends `request` to a server with default limits; returns all bytes that it answers.
async fn exchange(request: &[u8]) -> String {
    exchange_within(Limits::default(), request).await
}

/// Sends `request` to a server with these limits; returns all bytes that it answers.
async fn exchange_within(limits: Limits, request: &[u8]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let listener: Box<dyn Listener> = Box::new(listener);
    let handler = |request: Request| async move {
        let body_size = request.body.len();
        Response::new(
            200,
            format!("{} {} {body_size}", request.method, request.path()).into_bytes(),
        )
    };
    tokio::task::spawn_local(serve(listener, limits, Rc::new(handler)));
    let mut stream = Tcp.connect(addr).await.unwrap();
    stream.write_all(request).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response).await;
    response
}

/// Runs a future and the local tasks that it spawns on this thread.
fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

#[test]
fn pipelined_requests_are_answered_in_order_and_chunks_are_joined() {
    block_on(async {
        let two_requests = b"GET /a?x=1 HTTP/1.1\r\n\r\nPOST /b HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        let responses = exchange(two_requests).await;
        assert!(responses.contains("GET /a 0") && responses.contains("POST /b 3"), "{responses}");
    });
}

#[test]
fn malformed_and_oversized_requests_get_status_400_or_no_response() {
    block_on(async {
        let long_head = format!("GET / HTTP/1.1\r\nX: {}\r\n\r\n", "y".repeat(20_000));
        let large_body = b"POST / HTTP/1.1\r\nContent-Length: 70000\r\n\r\n".to_vec();
        let conflicting_lengths =
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab".to_vec();
        let no_http = b"\x00\x01\x02\r\n\r\n".to_vec();
        for request in [no_http, long_head.into_bytes(), large_body, conflicting_lengths] {
            let response = exchange(&request).await;
            assert!(response.is_empty() || response.starts_with("HTTP/1.1 400"), "{response}");
        }
        assert_eq!(exchange(b"GET / HT").await, "", "an incomplete request gets no response");
    });
}

#[test]
fn a_malformed_request_gets_the_reason_in_its_response() {
    block_on(async {
        let head_of_size = |size: usize| format!("GET / HTTP/1.1\r\nX: {}", "y".repeat(size - 19));
        let headers = "X: y\r\n".repeat(49);
        let cases = [
            ("\0\r\n\r\n".to_owned(), "malformed message"),
            (head_of_size(8193), "head over 8192 bytes"),
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
fn a_request_with_expect_continue_gets_an_informational_response_first() {
    block_on(async {
        let request = b"POST /a HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\nab";
        let responses = exchange(request).await;
        let expected = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n";
        assert!(responses.starts_with(expected), "{responses}");
        assert!(responses.ends_with("\r\n\r\nPOST /a 2"), "{responses}");
    });
}

#[test]
fn only_requests_for_the_reserved_path_are_served_above_the_unreserved_limit() {
    block_on(async {
        let limits = Limits { max_unreserved: 0, reserved_path: "/reserved", ..Limits::default() };
        let reserved = b"GET /reserved HTTP/1.1\r\nConnection: close\r\n\r\n";
        assert!(exchange_within(limits.clone(), reserved).await.starts_with("HTTP/1.1 200"));
        let other = exchange_within(limits, b"GET /other HTTP/1.1\r\n\r\n").await;
        assert!(other.starts_with("HTTP/1.1 503"), "{other}");
        assert!(other.contains("Retry-After: 1") && other.contains("Connection: close"));
    });
}

#[test]
fn connections_above_the_keep_alive_limit_are_closed_after_their_response_and_none_is_refused() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let limits = Limits { max_connections: 6, max_keep_alive: 4, ..Limits::default() };
        let connections = Rc::new(Connections::new(limits));
        let handler = |_| async { Response::new(200, Vec::new()) };
        let serving =
            serve_with_connections(Box::new(listener), connections.clone(), Rc::new(handler));
        tokio::task::spawn_local(serving);
        let mut open = Vec::new();
        for client in 0..20 {
            let mut stream = Tcp.connect(addr).await.unwrap();
            stream.write_all(b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
            let mut response = vec![0; 200];
            let read = stream.read(&mut response).await.unwrap();
            let response = String::from_utf8_lossy(&response[..read]).into_owned();
            assert!(response.starts_with("HTTP/1.1 200"), "{client}: {response}");
            let is_closed = response.contains("Connection: close");
            assert_eq!(is_closed, client >= 4, "{client}: {response}");
            open.push(stream);
        }
        assert!(
            !connections.is_above_keep_alive_limit(),
            "connections that the server closed are not counted"
        );
    });
}
