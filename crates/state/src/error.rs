//! Errors of requests to the state service.

use corkfield_http::{ClientError, ReadError, UnexpectedResponse};

/// Why a request to the state service failed.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// The transaction was not executed, because these keys have other versions than the
    /// transaction requires.
    #[error("conditions failed: {0:?}")]
    Conflict(Vec<String>),
    /// The lease has expired or does not exist.
    #[error("no such lease")]
    NoSuchLease,
    /// The state service no longer has the changes after the revision, or they exceed the maximum
    /// size of one response. The caller must list the keys again.
    #[error("revision is too old to watch from")]
    RevisionTooOld,
    /// The request was not sent, because it can't be encoded as JSON.
    #[error("request can't be encoded: {0}")]
    UnencodableRequest(#[source] serde_json::Error),
    /// The service rejected the request with this status and did not execute it.
    #[error("refused with status {0}")]
    Refused(u16),
    /// No valid HTTP response was received. The request may have been executed, or may still be
    /// executed later.
    #[error("no response: {0}")]
    NoResponse(#[from] ClientError),
    /// The response has an unexpected status or body.
    #[error("unexpected response of the state service: {0}")]
    UnexpectedResponse(#[from] UnexpectedResponse),
}

impl StateError {
    /// Returns whether the response exceeds the client's maximum size. The caller must list the
    /// keys instead, page by page.
    pub(crate) fn is_response_too_large(&self) -> bool {
        matches!(self, Self::NoResponse(ClientError::Read(ReadError::BodyTooLarge)))
    }
}
