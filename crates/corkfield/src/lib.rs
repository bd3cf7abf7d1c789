//! A controller process: its settings, its components and all of its I/O.
//!
//! Modules depend on each other in one direction only; each line may use only the lines above it:
//!
//! - `clock`, `responses`, `store_value`, `timers`, `settings`: utilities and settings, used by all
//!   modules;
//! - `environment`: settings, clients of external services, random numbers;
//! - `replica`, `session_lease`, `peers`, `outbox`: the local view of the state service, of this
//!   controller's lease and of the other controllers;
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
