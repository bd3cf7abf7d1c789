//! Stores finished tasks and raised start watermarks, conditional on the claimed version of the job
//! record (S9).

use super::active_leader::ActiveLeader;
use super::claims::ClaimedJob;
use super::context::LeadershipContext;
use super::in_flight::{InFlightCounter, InFlightGuard};
use super::state::SharedScheduler;
use crate::clock::now;
use crate::store_value::{serialized_bytes, store_value};
use corkfield_core::CompletionCommit;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{
    final_record_key, finished_tasks_key, finished_tasks_prefix, job_key, FinalRecord, JobRecord,
    CHUNK_TASKS,
};
use corkfield_wire::store::Transaction;
use corkfield_wire::{JobId, JobStatus, Revision, TaskSet};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of concurrent transactions. If they ran one after another, slow answers would add
/// up, and with hundreds of jobs finished tasks would be reported late.
const MAX_TRANSACTIONS_IN_FLIGHT: usize = 6;
/// Lower bound on the changes per transaction, enough for the completion commit of one job.
const MIN_CHANGES_PER_TRANSACTION: u32 = 4;
/// Usual number of changes in the completion commit of one job.
const CHANGES_PER_COMMIT: usize = 2;
/// Maximum total size of the completion commits or claims that are batched into one transaction.
/// Far below the state service's limit.
pub(super) const MAX_TRANSACTION_BYTES: usize = 32 * 1024;
/// Number of chunks of finished tasks deleted with one transaction.
const CHUNKS_PER_DELETION: usize = 4;

/// Interval at which due completion commits are collected while none are due. The end of a
/// placement pass or of a transaction triggers the next collection earlier. Commits that become due
/// between two passes are stored together.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after a transaction that failed for another reason than a conflict or a missing answer.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);

impl ActiveLeader {
    /// Stores finished tasks and start watermarks as they become due, in an endless loop.
    pub(super) async fn commit_completions(&self) {
        let context = &self.context;
        let params = &context.env.settings.platform.service;
        let max_changes = params.state.txn_ops.max(MIN_CHANGES_PER_TRANSACTION) as usize;
        let in_flight = InFlightCounter::default();
        loop {
            let free_slots = MAX_TRANSACTIONS_IN_FLIGHT.saturating_sub(in_flight.count());
            let max_commits = free_slots * max_changes / CHANGES_PER_COMMIT;
            let due = self.scheduler.borrow_mut().due_completion_commits(max_commits, now());
            if due.is_empty() {
                let notified = context.leadership.commits_due.notified();
                context.env.timers.wait_for_event(IDLE_INTERVAL, notified).await;
                continue;
            }
            for batch in group_into_batches(due, max_changes) {
                let committer =
                    Committer { context: context.clone(), scheduler: self.scheduler.clone() };
                tokio::task::spawn_local(committer.run(batch, in_flight.increment()));
            }
        }
    }
}

/// The completion commit of one job, and the conditions and changes that store it.
struct JobCommit {
    commit: CompletionCommit,
    transaction: Transaction,
}

impl JobCommit {
    fn new(commit: CompletionCommit) -> Self {
        let id = &commit.job;
        let mut transaction = Transaction::default().when(job_key(id), commit.version);
        if commit.completes_job {
            let record = FinalRecord {
                status: JobStatus::Done,
                finished_count: commit.record.finished_count,
            };
            transaction =
                transaction.delete(job_key(id)).put(final_record_key(id), store_value(&record));
        } else {
            transaction = transaction.put(job_key(id), store_value(&commit.record));
            for (chunk, finished) in &commit.chunks {
                transaction =
                    transaction.put(finished_tasks_key(id, *chunk), store_value(finished));
            }
        }
        Self { commit, transaction }
    }
}

/// Groups completion commits into batches that each fit into one transaction.
fn group_into_batches(due: Vec<CompletionCommit>, max_changes: usize) -> Vec<Vec<JobCommit>> {
    let mut batches: Vec<Vec<JobCommit>> = Vec::new();
    let mut batch: Vec<JobCommit> = Vec::new();
    let (mut changes, mut bytes) = (0, 0);
    for job_commit in due.into_iter().map(JobCommit::new) {
        let more_changes = job_commit.transaction.changes.len();
        let more_bytes = serialized_bytes(&job_commit.transaction);
        let is_full =
            changes + more_changes > max_changes || bytes + more_bytes > MAX_TRANSACTION_BYTES;
        if is_full && !batch.is_empty() {
            batches.push(std::mem::take(&mut batch));
            (changes, bytes) = (0, 0);
        }
        changes += more_changes;
        bytes += more_bytes;
        batch.push(job_commit);
    }
    batches.push(batch);
    batches
}

/// Runs one transaction of completion commits in the background.
struct Committer {
    context: Rc<LeadershipContext>,
    scheduler: SharedScheduler,
}

impl Committer {
    /// Stores the batch, then wakes the commit loop, and deletes the chunks of finished jobs. The
    /// deletion waits in the lowest class, so it must not count as a transaction in flight: a few
    /// deletions that wait would keep all commits from being made.
    async fn run(self, batch: Vec<JobCommit>, in_flight: InFlightGuard) {
        let commits = self.store_batch(batch).await;
        drop(in_flight);
        self.context.leadership.commits_due.notify_one();
        for commit in commits {
            if commit.completes_job && commit.record.is_chunked() {
                delete_finished_chunks(&self.context, &commit.record).await;
            }
        }
    }

    /// Stores a batch with one transaction, which is conditional on the versions of the job records
    /// and so on this leader's claims (S9). Returns the commits that were stored.
    async fn store_batch(&self, batch: Vec<JobCommit>) -> Vec<CompletionCommit> {
        let mut transaction = Transaction::default();
        let mut commits = Vec::new();
        for job_commit in batch {
            transaction.conditions.extend(job_commit.transaction.conditions);
            transaction.changes.extend(job_commit.transaction.changes);
            commits.push(job_commit.commit);
        }
        let state = &self.context.env.state;
        match state.commit(RequestClass::Completion, &transaction).await {
            Ok(version) => {
                self.on_committed(&commits, version);
                commits
            }
            Err(error) => {
                self.on_failed(&commits, &error).await;
                Vec::new()
            }
        }
    }

    /// Reports the committed batch to the scheduler.
    fn on_committed(&self, commits: &[CompletionCommit], version: Revision) {
        for commit in commits {
            self.scheduler.borrow_mut().on_completion_committed(commit, version);
        }
        self.context.leadership.request_pass();
    }

    /// Reports a failed transaction to the scheduler, with the stored record of each job whose
    /// record may have changed, so that the scheduler can retry from it.
    async fn on_failed(&self, commits: &[CompletionCommit], error: &StateError) {
        tracing::debug!(jobs = commits.len(), %error, "completion commit failed");
        for commit in commits {
            let id = &commit.job;
            // A conflict names the records whose conditions failed. The others are unchanged.
            let may_have_changed = match error {
                StateError::Conflict(failed) => failed.contains(&job_key(id)),
                StateError::NoResponse(_) => true,
                _ => false,
            };
            let found = if may_have_changed {
                self.read_own_record(id, &commit.record).await
            } else {
                None
            };
            let found = found.map(|job| (job.record, job.finished, job.version));
            self.scheduler.borrow_mut().on_completion_commit_failed(id, found);
        }
        if !matches!(error, StateError::Conflict(_) | StateError::NoResponse(_)) {
            tokio::time::sleep(REFUSAL_PAUSE).await;
        }
    }

    /// Reads the job's stored record and finished tasks. Returns `None` if the read fails or the
    /// record was claimed again or deleted in the meantime. Closes the job if its record was
    /// deleted or claimed by another incarnation.
    async fn read_own_record(&self, id: &JobId, ours: &JobRecord) -> Option<ClaimedJob> {
        let state = &self.context.env.state;
        let read = state.get(RequestClass::Completion, &job_key(id)).await.ok()?;
        let Some(item) = read else {
            // The job was cancelled, or an earlier commit that finished it was carried out although
            // it was not answered.
            self.scheduler.borrow_mut().close_job(id);
            return None;
        };
        let record: JobRecord = serde_json::from_value(item.value).ok()?;
        if record.generation != ours.generation && record.owner == ours.owner {
            // This leader has reclaimed the job after a back-off in the meantime. That claim passes
            // the job to the scheduler again, with the finished tasks that the store has.
            return None;
        }
        if record.generation != ours.generation {
            let generation = record.generation.get();
            tracing::warn!(job = %id, generation, "job closed: newer generation in the store");
            self.scheduler.borrow_mut().close_job(id);
            return None;
        }
        let finished = if record.is_chunked() {
            read_finished_chunks(&self.context, id).await?
        } else {
            record.finished.clone()
        };
        Some(ClaimedJob { record, finished, version: item.version })
    }
}

/// Reads the finished tasks of a job that is too large to keep them in its record. Returns `None`
/// if the read fails.
pub(super) async fn read_finished_chunks(
    context: &LeadershipContext,
    id: &JobId,
) -> Option<TaskSet> {
    let state = &context.env.state;
    let (items, _) = state.list(RequestClass::Claim, &finished_tasks_prefix(id)).await.ok()?;
    let mut finished = TaskSet::default();
    for item in items {
        match serde_json::from_value::<TaskSet>(item.value) {
            Ok(chunk) => finished.extend(&chunk),
            // Its tasks count as unfinished: they run again, and the next commit rewrites the chunk.
            Err(error) => tracing::error!(key = item.key, %error, "unreadable finished tasks"),
        }
    }
    Some(finished)
}

/// Deletes the chunks of finished tasks of a job that is done. Errors are ignored, as leftover
/// chunks do no harm.
async fn delete_finished_chunks(context: &LeadershipContext, record: &JobRecord) {
    let chunks = record.spec.tasks.div_ceil(CHUNK_TASKS);
    let keys: Vec<String> =
        (0..chunks).map(|chunk| finished_tasks_key(&record.spec.id, chunk)).collect();
    for part in keys.chunks(CHUNKS_PER_DELETION) {
        let transaction = part
            .iter()
            .fold(Transaction::default(), |transaction, key| transaction.delete(key.clone()));
        let _ = context.env.state.commit(RequestClass::Housekeeping, &transaction).await;
    }
}

#[cfg(test)]
mod tests;
