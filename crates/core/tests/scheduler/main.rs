//! The scheduler alone: heartbeats, records and answers go in, orders and actions come out.

mod claims;
mod completion;
mod failover;
mod fairness;
mod machines;
mod placement;
mod random_faults;
mod restarts;
mod starts;
mod support;
