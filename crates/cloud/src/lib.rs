//! The cloud's client, within a request budget.
//!
//! Architecture invariant: this crate decides nothing; it makes one request at a time for its
//! caller and repeats none.
#![forbid(unsafe_code)]

mod client;
mod error;

pub use client::CloudClient;
pub use error::CloudError;
