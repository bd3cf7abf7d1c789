//! A small HTTP/1.1 server and client: bounded sizes, bounded times, no pipelining.
//!
//! Architecture invariant: this crate knows nothing of corkfield's messages, and opens connections
//! only through [`Network`], which tests replace by one in memory.
#![forbid(unsafe_code)]

pub mod client;
mod message;
pub mod net;
mod reply;
pub mod server;

pub use client::{Client, ClientError, ConnectionSizing};
pub use message::ReadError;
pub use net::{Listener, Network, Stream, Tcp};
pub use reply::{MalformedReply, Reply};
pub use server::{serve, serve_counted, Connections, Limits, Request, Response};
