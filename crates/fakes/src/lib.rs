//! In-memory fakes of the network, the state service, the cloud and the workers, for tests in
//! simulated time. The fakes implement the published protocol; the execution history checks the
//! safety rules.
//!
//! Architecture invariant: this crate depends on the protocol (`corkfield-wire`, `corkfield-http`)
//! and not on the controllers that are tested with it.
#![forbid(unsafe_code)]

mod cloud;
mod frame_copies;
mod history;
mod net;
mod process;
mod store;
mod worker;

pub use cloud::FakeCloud;
pub use history::{ExecutionHistory, JobPlan, Violation};
pub use net::{HostNetwork, Loopback, MemoryNet, NetworkProvider};
pub use process::{PausableProcess, PauseHandle};
pub use store::{FakeStore, Fault};
pub use worker::{FakeWorker, WorkerSettings};

use corkfield_http::Response;
use serde::Serialize;
use std::time::{Duration, Instant};

/// Returns the current simulated time.
pub(crate) fn now() -> Instant {
    tokio::time::Instant::now().into_std()
}

pub(crate) fn json_response(status: u16, body: &impl Serialize) -> Response {
    Response::new(status, serde_json::to_vec(body).unwrap_or_default())
}

/// Returns a response whose body is an empty JSON object.
pub(crate) fn empty_response(status: u16) -> Response {
    Response::new(status, b"{}".to_vec())
}

/// Returns the value of a query parameter of a request target.
pub(crate) fn query_parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

/// Returns the value of a numeric query parameter; `None` if it is absent or not a number.
pub(crate) fn numeric_parameter<T: std::str::FromStr>(target: &str, name: &str) -> Option<T> {
    query_parameter(target, name)?.parse().ok()
}

pub(crate) async fn sleep(seconds: f64) {
    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
}
