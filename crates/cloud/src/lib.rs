//! Client of the cloud's machine interface, with a rate limit.
//!
//! Architecture invariant: this crate makes no decisions. Each method sends the requests that its
//! caller asks for, and never retries a request after an error. Only the HTTP client sends a request
//! again, on a new connection, if the idle connection that it used turns out to be closed.
#![forbid(unsafe_code)]

mod client;
mod error;

pub use client::CloudClient;
pub use error::CloudError;
