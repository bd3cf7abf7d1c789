//! The state service's client: leases, transactions, watches, all within a request budget.
//!
//! Architecture invariant: every request of a controller to the state service passes a
//! [`RateLimiter`], so that lease renewals never wait behind anything else.
#![forbid(unsafe_code)]

mod client;
mod error;
mod rate_limiter;

pub use client::{RateBudget, StateClient};
pub use error::StateError;
pub use rate_limiter::{RateLimiter, RequestClass};
