//! A controller: settings, wiring, and everything that needs I/O.
//!
//! Modules depend on each other one way, each line on those above it:
//!
//! - `clock`, `responses`, `store_value`, `timers`, `settings`: of use to all;
//! - `environment`: settings, clients of outside services, random numbers;
//! - `replica`, `session_lease`, `peers`, `outbox`: what this controller
//!   knows of the store, of its lease and of the other controllers;
//! - `leadership`: election, and what a leader does outside the scheduler;
//! - `peer_links`: the links between controllers;
//! - `notifications`, `workers`, `users`: requests;
//! - `routes`: which component answers which request;
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
