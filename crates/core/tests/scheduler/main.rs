//! Tests of the scheduler without I/O: they pass in heartbeats, records and answers, and check the
//! orders and actions that the scheduler returns.

mod claims;
mod completion;
mod failover;
mod fairness;
mod limited_machines;
mod machines;
mod placement;
mod random_faults;
mod random_supply;
mod restarts;
mod starts;
mod supply;
mod support;
