//! Client of the state service: reads, transactions, watches and leases within a rate budget.
//!
//! Architecture invariant: every request of a controller to the state service passes through a
//! [`RateLimiter`], so that lease renewals never wait behind less important requests.
#![forbid(unsafe_code)]

mod client;
mod error;
mod rate_limiter;

pub use client::{RateBudget, StateClient};
pub use error::StateError;
pub use rate_limiter::{RateLimiter, RequestClass};
