//! A small HTTP/1.1 server and client with bounded message sizes and timeouts. The client has one
//! request at a time on a connection; the server serves pipelined requests one after the other.
//!
//! Architecture invariant: this crate does not depend on corkfield's messages, and it opens
//! connections only through [`Network`], which tests replace by an in-memory implementation.
#![forbid(unsafe_code)]

pub mod client;
mod client_response;
mod message;
pub mod net;
pub mod server;

pub use client::{Client, ClientError, ConnectionSizing};
pub use client_response::{ClientResponse, UnexpectedResponse};
pub use message::ReadError;
pub use net::{Listener, Network, Stream, Tcp};
pub use server::{serve, serve_with_connections, Connections, Limits, Request, Response};
