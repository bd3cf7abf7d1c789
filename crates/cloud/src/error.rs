//! Errors of requests to the cloud.

use corkfield_http::{ClientError, UnexpectedResponse};

/// Why a request to the cloud failed.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// The cloud has no free machine of the requested type, zone and kind (spot or on-demand).
    #[error("no capacity")]
    NoCapacity,
    /// The request was not sent, because it can't be encoded as JSON.
    #[error("request can't be encoded: {0}")]
    UnencodableRequest(#[source] serde_json::Error),
    /// The cloud rejected the request with this status and did not execute it.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No valid HTTP response was received. The request may have been executed, or may still be
    /// executed later.
    #[error("no response: {0}")]
    NoResponse(#[from] ClientError),
    /// The response has an unexpected status or body.
    #[error("unexpected response of the cloud: {0}")]
    UnexpectedResponse(#[from] UnexpectedResponse),
}
