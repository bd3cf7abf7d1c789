//! A controller: settings, wiring, and everything that needs I/O.
#![forbid(unsafe_code)]

mod follow;
mod leader;
pub mod node;
mod notifications;
mod peers;
mod presence;
pub mod settings;
mod settling;
mod timers;
mod users;
mod workers;
