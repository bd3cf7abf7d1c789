//! The state service's client: leases, transactions, watches, all within a request budget.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budget;
mod client;

pub use budget::{RateLimiter, RequestClass};
pub use client::{RateBudget, StateClient, StateError};
