//! Where two troubles meet. `docs/meetings.md` lists the meetings and their scenarios.

mod gap;
mod leaders;
mod machines;
mod messages;
mod users;
