//! Whole controllers against in-memory stand-ins, in simulated time. All scenarios are one test
//! binary, so that the controllers are linked once.

mod cancellations;
mod cluster;
mod combined_faults;
mod fleet;
mod held_back_heartbeats;
mod jobs;
mod leadership;
mod machines;
mod message_faults;
mod store_faults;
