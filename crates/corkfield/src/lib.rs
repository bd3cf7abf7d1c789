//! A controller: settings, wiring, and everything that needs I/O.
#![forbid(unsafe_code)]

mod clock;
mod environment;
mod leadership;
pub mod node;
mod notifications;
mod peers;
mod replica;
mod responses;
mod session_lease;
pub mod settings;
mod timers;
mod users;
mod workers;
