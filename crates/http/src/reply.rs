//! Answers to a client's requests, and reading them.

use serde::de::DeserializeOwned;

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// Its HTTP status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
}

/// Why an answer can't be read.
#[derive(Debug, thiserror::Error)]
pub enum MalformedReply {
    /// It has a status that means nothing here.
    #[error("unexpected status {0}")]
    Status(u16),
    /// Its body is not the JSON that it should be.
    #[error("unexpected body: {0}")]
    Body(#[from] serde_json::Error),
}

impl Reply {
    /// Whether the status says that the request was surely not executed: too many requests (429),
    /// or a service in trouble (5xx).
    pub fn is_refusal(&self) -> bool {
        matches!(self.status, 429 | 500..=599)
    }

    /// Whether the body contains this text.
    pub fn body_contains(&self, text: &str) -> bool {
        self.body.windows(text.len()).any(|window| window == text.as_bytes())
    }

    /// Reads the JSON of a success (200).
    ///
    /// # Errors
    ///
    /// If the status is another, or the body is not the JSON of a `T`.
    pub fn success<T: DeserializeOwned>(&self) -> Result<T, MalformedReply> {
        match self.status {
            200 => self.json(),
            status => Err(MalformedReply::Status(status)),
        }
    }

    /// Reads the body's JSON, whatever the status.
    ///
    /// # Errors
    ///
    /// If the body is not the JSON of a `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, MalformedReply> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}
