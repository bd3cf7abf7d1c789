//! Two troubles at once. `docs/fault-combinations.md` lists the combinations and their scenarios.

mod cancellations;
mod close_questions;
mod gap;
mod late_commands;
mod leaders;
mod lost_answers;
mod machines;
mod many_small_jobs;
mod messages;
mod users;
