//! What a request to the state service can come to.

use corkfield_http::{ClientError, MalformedReply, ReadError};

/// Why a request to the state service did not succeed.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// These keys have other versions than the transaction requires.
    #[error("conditions failed: {0:?}")]
    Conflict(Vec<String>),
    /// The lease has ended.
    #[error("no such lease")]
    NoSuchLease,
    /// The changes after that revision are no longer kept, or are too many for one answer: the
    /// keys have to be read anew.
    #[error("revision is too old to watch from")]
    TooOld,
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
    #[error("malformed answer of the state service: {0}")]
    MalformedAnswer(#[from] MalformedReply),
}

impl StateError {
    /// An answer that is too large to be taken: the keys have to be read page by page.
    pub(crate) fn is_too_large(&self) -> bool {
        matches!(self, Self::NoAnswer(ClientError::Read(ReadError::BodyTooLarge)))
    }
}
