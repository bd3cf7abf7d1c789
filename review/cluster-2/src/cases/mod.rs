//! The cases.

mod cut_node;
mod large_tasks;
mod limited_machine;
mod random_troubles;
mod slow_machines;
mod slow_state;
mod tiny_tasks;

use crate::cluster::Cluster;
use crate::record::Record;
use crate::world::{Job, Poll};
use std::collections::BTreeMap;
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
        "large-tasks" => large_tasks::run(root, folder, record, has_trouble).await,
        "limited-machine" => limited_machine::run(root, folder, record, has_trouble).await,
        "slow-machines" => slow_machines::run(root, folder, record, has_trouble).await,
        "tiny-tasks" => tiny_tasks::run(root, folder, record, has_trouble).await,
        // The others are no cases: they go beyond the pages' limits, or look for faults.
        "cut-node" => cut_node::run(root, folder, record, has_trouble).await,
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

/// The bound of the rule on jobs that are left waiting.
const WAIT_LIMIT: Duration = Duration::from_secs(90);

/// Watches jobs of one task for a while, after the troubles. Returns those that were left waiting for
/// 90 s in which there always was a machine that fits and has room.
async fn wait_beside_room(cluster: &Cluster, jobs: &[Job], watch: Duration) -> Vec<String> {
    wait_beside_room_for(cluster, jobs, watch, WAIT_LIMIT).await
}

/// Does the same with another bound.
async fn wait_beside_room_for(
    cluster: &Cluster,
    jobs: &[Job],
    watch: Duration,
    limit: Duration,
) -> Vec<String> {
    let mut waiting_since: BTreeMap<String, Instant> = BTreeMap::new();
    let mut left_waiting: BTreeMap<String, Duration> = BTreeMap::new();
    let calm_at = Instant::now();
    while calm_at.elapsed() < watch {
        tokio::time::sleep(Duration::from_millis(250)).await;
        let workers = cluster.cloud.workers();
        for job in jobs {
            let has_room = workers.iter().any(|worker| worker.has_room_for(job));
            let is_on_machine = cluster.world.running_count(job.id()) > 0;
            let is_done = cluster.world.completed_count(job.id()) as f64 >= job.number("pieces")
                || cluster.world.is_over(job.id());
            if is_on_machine || is_done || !has_room {
                waiting_since.remove(job.id());
                continue;
            }
            let since = *waiting_since.entry(job.id().to_owned()).or_insert_with(Instant::now);
            if since.elapsed() >= limit {
                left_waiting.insert(job.id().to_owned(), since.elapsed());
            }
        }
    }
    for (id, waited) in &left_waiting {
        cluster.record.say(format!(
            "BREACH left waiting: {id} waited for {:.0} s with the trouble over, beside a machine \
             with room",
            waited.as_secs_f64()
        ));
    }
    left_waiting.into_keys().collect()
}
