//! A controller process: its settings, its components and all of its I/O.
//!
//! Modules depend on each other in one direction only; each line may use only the lines above it:
//!
//! - `clock`, `responses`, `store_value`, `timers`, `settings`: utilities and settings, used by all
//!   modules;
//! - `environment`: settings, clients of external services, random numbers;
//! - `replica`, `session_lease`, `peers`, `outbox`: the replica of the state service's records,
//!   this controller's session lease, the latest heartbeats of the other controllers, and the
//!   cancellations that they have not acknowledged yet;
//! - `leadership`: leader election, and the leader's loops around the scheduler;
//! - `peer_links`: the connections between controllers;
//! - `notifications`, `workers`, `users`: handlers of requests;
//! - `routes`: dispatches HTTP requests to the handlers;
//! - `node`: builds the components and starts their loops.
#![forbid(unsafe_code)]

mod clock;
mod environment;
mod leadership;
pub mod node;
mod notifications;
mod outbox;
mod peer_links;
mod peers;
mod replica;
mod responses;
mod routes;
mod session_lease;
pub mod settings;
mod store_value;
mod timers;
mod users;
mod workers;
