//! The cases.

mod cut_node;
mod random_troubles;
mod slow_state;
mod tiny_tasks;

use crate::record::Record;
use crate::world::Poll;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The outcome of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

/// Runs a case.
pub async fn run(
    case: &str,
    root: &Path,
    folder: &Path,
    record: Rc<Record>,
    has_trouble: bool,
) -> std::io::Result<Outcome> {
    match case {
        "cut-node" => cut_node::run(root, folder, record, has_trouble).await,
        "tiny-tasks" => tiny_tasks::run(root, folder, record, has_trouble).await,
        "slow-state" => slow_state::run(root, folder, record, has_trouble).await,
        "random-troubles" => random_troubles::run(root, folder, record, has_trouble).await,
        _ => Err(std::io::Error::other(format!("no case {case}"))),
    }
}

/// Returns the longest time over which every poll failed: from the sending of the first poll of a
/// row of failed ones to the sending of its last.
fn longest_failure(polls: &[Poll]) -> Duration {
    let mut longest = Duration::ZERO;
    let mut failing_since: Option<Instant> = None;
    for poll in polls {
        if poll.status.is_some() {
            failing_since = None;
            continue;
        }
        let since = *failing_since.get_or_insert(poll.sent_at);
        longest = longest.max(poll.sent_at.saturating_duration_since(since));
    }
    longest
}

/// Returns how many of the polls were answered.
fn answered(polls: &[Poll]) -> usize {
    polls.iter().filter(|poll| poll.status.is_some()).count()
}
