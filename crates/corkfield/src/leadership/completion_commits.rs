//! Storing finished tasks and first starts, with the generation of our claim as condition (S9).

use super::active_leader::ActiveLeader;
use super::claims::ClaimedJob;
use super::context::LeadershipContext;
use super::in_flight::{InFlight, InFlightGuard};
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

/// Transactions under way at once. One after another, each would wait for the loop's turn and for
/// a slow answer, and with hundreds of jobs their tasks would wait to be announced meanwhile.
const MAX_TRANSACTIONS_IN_FLIGHT: usize = 6;
/// Changes that a transaction may have for completion commits, at the least: those of one job.
const MIN_CHANGES: u32 = 4;
/// Changes of one job's completion commit, as a rule.
const CHANGES_PER_COMMIT: usize = 2;
/// Bytes of values that share a transaction, of completion commits or of claims, far below what
/// one may have.
pub(super) const MAX_TRANSACTION_BYTES: usize = 32 * 1024;
/// Chunks of finished tasks that are dropped with one transaction.
const CHUNKS_PER_DELETION: usize = 4;

/// While nothing is due, and no placement pass ends. What comes in between two passes is stored
/// together.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);
/// After a transaction that the state service refused for another reason than its conditions.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);

impl ActiveLeader {
    /// Stores finished tasks and first starts as they become due.
    pub(super) async fn store_completions(&self) {
        let context = &self.context;
        let params = &context.env.settings.platform.service;
        let max_changes = params.state.txn_ops.max(MIN_CHANGES) as usize;
        let in_flight = InFlight::default();
        loop {
            let free = MAX_TRANSACTIONS_IN_FLIGHT.saturating_sub(in_flight.count());
            let max_commits = free * max_changes / CHANGES_PER_COMMIT;
            let due = self.scheduler.borrow_mut().due_completion_commits(max_commits, now());
            if due.is_empty() {
                let woken = context.leadership.commit_wanted.notified();
                context.env.timers.within(IDLE_INTERVAL, woken).await;
                continue;
            }
            for batch in batches(due, max_changes) {
                let committer =
                    Committer { context: context.clone(), scheduler: self.scheduler.clone() };
                tokio::task::spawn_local(committer.run(batch, in_flight.begin()));
            }
        }
    }
}

/// One job's part of a transaction.
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

/// Jobs that share a transaction, within what one may change.
fn batches(due: Vec<CompletionCommit>, max_changes: usize) -> Vec<Vec<JobCommit>> {
    let mut batches: Vec<Vec<JobCommit>> = Vec::new();
    let mut batch: Vec<JobCommit> = Vec::new();
    let (mut changes, mut bytes) = (0, 0);
    for job_commit in due.into_iter().map(JobCommit::new) {
        let more_changes = job_commit.transaction.changes.len();
        let more_bytes = serialized_bytes(&job_commit.transaction);
        let full =
            changes + more_changes > max_changes || bytes + more_bytes > MAX_TRANSACTION_BYTES;
        if full && !batch.is_empty() {
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

/// Carries out one transaction of completion commits.
struct Committer {
    context: Rc<LeadershipContext>,
    scheduler: SharedScheduler,
}

impl Committer {
    async fn run(self, batch: Vec<JobCommit>, in_flight: InFlightGuard) {
        self.store(batch).await;
        drop(in_flight);
        self.context.leadership.commit_wanted.notify_one();
    }

    /// Stores finished tasks while the records are still of our claims (S9).
    async fn store(&self, batch: Vec<JobCommit>) {
        let mut transaction = Transaction::default();
        let mut commits = Vec::new();
        for job_commit in batch {
            transaction.conditions.extend(job_commit.transaction.conditions);
            transaction.changes.extend(job_commit.transaction.changes);
            commits.push(job_commit.commit);
        }
        let state = &self.context.env.state;
        match state.transaction(RequestClass::Completion, &transaction).await {
            Ok(version) => self.stored(&commits, version).await,
            Err(error) => self.failed(&commits, &error).await,
        }
    }

    async fn stored(&self, commits: &[CompletionCommit], version: Revision) {
        for commit in commits {
            self.scheduler.borrow_mut().on_completion_committed(commit, version);
        }
        self.context.leadership.request_pass();
        for commit in commits {
            if commit.completes_job && commit.record.is_chunked() {
                drop_chunks(&self.context, &commit.record).await;
            }
        }
    }

    async fn failed(&self, commits: &[CompletionCommit], error: &StateError) {
        tracing::debug!(jobs = commits.len(), %error, "completion commit failed");
        for commit in commits {
            let id = &commit.job;
            // Of a transaction that was refused, only the records named have changed.
            let may_have_changed = match error {
                StateError::Conflict(failed) => failed.contains(&job_key(id)),
                StateError::NoAnswer(_) => true,
                _ => false,
            };
            let found =
                if may_have_changed { self.find_own(id, &commit.record).await } else { None };
            let found = found.map(|job| (job.record, job.finished, job.version));
            self.scheduler.borrow_mut().on_completion_commit_failed(id, found);
        }
        if !matches!(error, StateError::Conflict(_) | StateError::NoAnswer(_)) {
            tokio::time::sleep(REFUSAL_PAUSE).await;
        }
    }

    /// The record as the store has it, if it is still of our claim.
    async fn find_own(&self, id: &JobId, ours: &JobRecord) -> Option<ClaimedJob> {
        let state = &self.context.env.state;
        let read = state.get(RequestClass::Completion, &job_key(id)).await.ok()?;
        let Some(item) = read else {
            // Cancelled, or a final write of ours that was carried out after all.
            self.scheduler.borrow_mut().close_job(id);
            return None;
        };
        let record: JobRecord = serde_json::from_value(item.value).ok()?;
        if record.generation != ours.generation && record.owner == ours.owner {
            // A claim of our own, after a back-off, came in between. It takes the job up again.
            return None;
        }
        if record.generation != ours.generation {
            let generation = record.generation.get();
            tracing::warn!(job = %id, generation, "job has a newer generation in the store; closed");
            self.scheduler.borrow_mut().close_job(id);
            return None;
        }
        let finished = if record.is_chunked() {
            finished_chunks(&self.context, id).await?
        } else {
            record.finished.clone()
        };
        Some(ClaimedJob { record, finished, version: item.version })
    }
}

/// Finished tasks of a job that is too large to keep them in its record; `None` without an answer.
pub(super) async fn finished_chunks(context: &LeadershipContext, id: &JobId) -> Option<TaskSet> {
    let state = &context.env.state;
    let (items, _) = state.list(RequestClass::Claim, &finished_tasks_prefix(id)).await.ok()?;
    let mut finished = TaskSet::default();
    for item in items {
        if let Ok(chunk) = serde_json::from_value::<TaskSet>(item.value) {
            finished.extend(&chunk);
        }
    }
    Some(finished)
}

/// Drops the finished tasks of a job that is done; what is left of them does no harm.
async fn drop_chunks(context: &LeadershipContext, record: &JobRecord) {
    let chunks = record.spec.tasks.div_ceil(CHUNK_TASKS);
    let keys: Vec<String> =
        (0..chunks).map(|chunk| finished_tasks_key(&record.spec.id, chunk)).collect();
    for part in keys.chunks(CHUNKS_PER_DELETION) {
        let transaction = part
            .iter()
            .fold(Transaction::default(), |transaction, key| transaction.delete(key.clone()));
        let _ = context.env.state.transaction(RequestClass::Housekeeping, &transaction).await;
    }
}

#[cfg(test)]
mod tests;
