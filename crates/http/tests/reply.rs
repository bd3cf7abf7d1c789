//! Reading answers, and the number of connections for a rate of requests.

use corkfield_http::{ConnectionSizing, MalformedReply, Reply};

fn reply(status: u16, body: &str) -> Reply {
    Reply { status, body: body.as_bytes().to_vec() }
}

#[test]
fn only_a_200_is_a_success() {
    assert_eq!(reply(200, "[1,2]").success::<Vec<u8>>().unwrap(), [1, 2]);
    let created = reply(201, "[1]").success::<Vec<u8>>().unwrap_err();
    assert!(matches!(created, MalformedReply::Status(201)), "{created:?}");
    assert_eq!(created.to_string(), "unexpected status 201");
    let no_json = reply(200, "{").success::<Vec<u8>>().unwrap_err();
    assert!(matches!(no_json, MalformedReply::Body(_)), "{no_json:?}");
    assert_eq!(reply(409, "[3]").json::<Vec<u8>>().unwrap(), [3]);
}

#[test]
fn too_many_requests_and_server_errors_are_refusals() {
    let refusals: Vec<u16> = (100..700).filter(|&s| reply(s, "").is_refusal()).collect();
    let expected: Vec<u16> = std::iter::once(429).chain(500..=599).collect();
    assert_eq!(refusals, expected);
}

#[test]
fn a_text_is_found_anywhere_in_a_body() {
    let body = reply(503, r#"{"error":"no capacity"}"#);
    assert!(body.body_contains("no capacity") && body.body_contains("{"));
    assert!(!body.body_contains("capacity!") && !reply(503, "").body_contains("no capacity"));
}

#[test]
fn connections_grow_with_the_rate_within_bounds() {
    let sizing = ConnectionSizing { request_s: 0.5, least: 8, most: 64 };
    let rates = [0.0, 2.0, 17.9, 40.0, 128.0, 1e9, f64::INFINITY];
    let connections = rates.map(|rps| sizing.for_rate(rps));
    assert_eq!(connections, [8, 8, 8, 20, 64, 64, 64]);
}
