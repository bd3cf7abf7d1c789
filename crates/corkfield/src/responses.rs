//! HTTP responses of the controller: JSON bodies and errors.

use corkfield_http::Response;
use corkfield_wire::user::ErrorView;
use serde::Serialize;

/// A response with a JSON body.
pub fn json(status: u16, body: &impl Serialize) -> Response {
    Response::new(status, serde_json::to_vec(body).unwrap_or_default())
}

/// An error response with its reason.
pub fn error(status: u16, reason: &str) -> Response {
    json(status, &ErrorView { error: reason.to_owned() })
}

/// Asks the client to come back: 503 with `Retry-After`.
pub fn retry_later(reason: &str) -> Response {
    Response { retry_after_s: Some(1), ..error(503, reason) }
}
