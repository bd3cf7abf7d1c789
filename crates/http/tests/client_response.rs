//! Tests of decoding responses and of sizing the connections for a rate of requests.

use corkfield_http::{ClientResponse, ConnectionSizing, UnexpectedResponse};

fn response(status: u16, body: &str) -> ClientResponse {
    ClientResponse { status, body: body.as_bytes().to_vec() }
}

#[test]
fn only_status_200_is_a_success() {
    assert_eq!(response(200, "[1,2]").decode_success::<Vec<u8>>().unwrap(), [1, 2]);
    let created = response(201, "[1]").decode_success::<Vec<u8>>().unwrap_err();
    assert!(matches!(created, UnexpectedResponse::Status(201)), "{created:?}");
    assert_eq!(created.to_string(), "unexpected status 201");
    let invalid_json = response(200, "{").decode_success::<Vec<u8>>().unwrap_err();
    assert!(matches!(invalid_json, UnexpectedResponse::Body(_)), "{invalid_json:?}");
    assert_eq!(response(409, "[3]").decode_json::<Vec<u8>>().unwrap(), [3]);
}

#[test]
fn status_429_and_server_errors_are_refusals() {
    let refusals: Vec<u16> =
        (100..700).filter(|&status| response(status, "").is_refusal()).collect();
    let expected: Vec<u16> = std::iter::once(429).chain(500..=599).collect();
    assert_eq!(refusals, expected);
}

#[test]
fn body_contains_finds_a_text_anywhere() {
    let no_capacity = response(503, r#"{"error":"no capacity"}"#);
    assert!(no_capacity.body_contains("no capacity") && no_capacity.body_contains("{"));
    assert!(
        !no_capacity.body_contains("capacity!") && !response(503, "").body_contains("no capacity")
    );
}

#[test]
fn the_connection_limit_grows_with_the_rate_within_bounds() {
    let sizing =
        ConnectionSizing { request_duration_s: 0.5, min_connections: 8, max_connections: 64 };
    let rates = [0.0, 2.0, 17.9, 40.0, 128.0, 1e9, f64::INFINITY];
    let connections = rates.map(|rps| sizing.connections_for_rate(rps));
    assert_eq!(connections, [8, 8, 8, 20, 64, 64, 64]);
}
