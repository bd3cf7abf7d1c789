//! Scenarios in which two faults occur at the same time. `docs/fault-combinations.md` lists the
//! combinations and their scenarios.

mod back_offs;
mod cancellations;
mod delayed_orders;
mod leader_changes;
mod lost_answers;
mod machines;
mod many_small_jobs;
mod messages;
mod read_consistency;
mod store_outages;
mod unread_cancellations;
mod users;
