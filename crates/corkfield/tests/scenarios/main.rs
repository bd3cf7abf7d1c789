//! Scenario tests: complete controllers run against in-memory fakes in simulated time. All
//! scenarios are in one test binary, so that the controllers are linked only once.

mod cancellations;
mod cluster;
mod combined_faults;
mod copies;
mod delayed_heartbeats;
mod fleet;
mod jobs;
mod leadership;
mod machines;
mod message_faults;
mod store_faults;
mod supply;
