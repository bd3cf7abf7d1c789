//! Responses received by the client, and decoding of their bodies.

use serde::de::DeserializeOwned;

/// A complete response to a request of the client.
#[derive(Debug, Clone)]
pub struct ClientResponse {
    /// HTTP status code.
    pub status: u16,
    /// Body, without its transfer encoding.
    pub body: Vec<u8>,
}

/// Why a response can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum UnexpectedResponse {
    /// The status is none that the caller expects.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The body is not the expected JSON.
    #[error("unexpected body: {0}")]
    Body(#[from] serde_json::Error),
}

impl ClientResponse {
    /// Returns whether the server refused the request: too many requests (429) or a server error
    /// (5xx). The services that corkfield uses guarantee that they don't execute such a request.
    pub fn is_refusal(&self) -> bool {
        matches!(self.status, 429 | 500..=599)
    }

    /// Returns whether the body contains `text`.
    pub fn body_contains(&self, text: &str) -> bool {
        self.body.windows(text.len()).any(|window| window == text.as_bytes())
    }

    /// Decodes the JSON body of a successful response (status 200).
    ///
    /// # Errors
    ///
    /// Returns an error if the status is not 200 or the body is not the JSON of a `T`.
    pub fn decode_success<T: DeserializeOwned>(&self) -> Result<T, UnexpectedResponse> {
        match self.status {
            200 => self.decode_json(),
            status => Err(UnexpectedResponse::Status(status)),
        }
    }

    /// Decodes the JSON body, whatever the status.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not the JSON of a `T`.
    pub fn decode_json<T: DeserializeOwned>(&self) -> Result<T, UnexpectedResponse> {
        Ok(serde_json::from_slice(&self.body)?)
    }
}
