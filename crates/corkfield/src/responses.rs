//! HTTP responses of the controller: JSON bodies and errors.

use corkfield_http::Response;
use corkfield_wire::user::ErrorView;
use serde::Serialize;

/// Builds a response with a JSON body.
pub fn json(status: u16, body: &impl Serialize) -> Response {
    Response::new(status, serde_json::to_vec(body).unwrap_or_default())
}

/// Builds an error response that states `reason`.
pub fn error(status: u16, reason: &str) -> Response {
    json(status, &ErrorView { error: reason.to_owned() })
}

/// Builds a 503 response with a `Retry-After` header, which asks the client to retry.
pub fn retry_later(reason: &str) -> Response {
    Response { retry_after_s: Some(1), ..error(503, reason) }
}
