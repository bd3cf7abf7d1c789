//! What a request to the cloud can come to.

use corkfield_http::{ClientError, MalformedReply};

/// Why a request to the cloud did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum CloudError {
    /// No machine of that type, zone and kind is to be had.
    #[error("no capacity")]
    NoCapacity,
    /// The request was surely not executed: it can't be written as JSON.
    #[error("request can't be written: {0}")]
    MalformedRequest(#[source] serde_json::Error),
    /// The request was surely not executed.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The request may have been executed, or may be executed later on.
    #[error("no answer: {0}")]
    NoAnswer(#[from] ClientError),
    /// The answer can't be read.
    #[error("malformed answer of the cloud: {0}")]
    MalformedAnswer(#[from] MalformedReply),
}
