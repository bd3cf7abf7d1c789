//! Claims job records, conditional on the leader record.

use super::active_leader::ActiveLeader;
use super::completion_commits::{read_finished_chunks, MAX_TRANSACTION_BYTES};
use super::context::LeadershipContext;
use super::state::SharedScheduler;
use crate::clock::{now, unix_time_ms};
use crate::store_value::{serialized_bytes, store_value};
use corkfield_core::confirm_claim;
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{controller_key, job_key, JobRecord, Versioned};
use corkfield_wire::store::Transaction;
use corkfield_wire::{JobId, Revision, TaskSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Interval at which the replica is checked for job records to claim. A change in the replica
/// triggers the check earlier.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);
/// If more records than this have to be claimed, a batch contains as many records as a transaction
/// may change.
const LARGE_BATCH_THRESHOLD: usize = 32;
/// Pause after a failed read of a job's finished tasks.
const FINISHED_TASKS_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Outcome of claiming one batch of job records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimBatchOutcome {
    /// A batch was claimed, and more records have to be claimed.
    MoreDue,
    /// No more records have to be claimed.
    AllClaimed,
    /// The claim was refused, or its outcome is unknown.
    Failed,
}

/// A stored job record that this leader claimed, with the job's finished tasks.
pub(super) struct ClaimedJob {
    /// The record as stored.
    pub(super) record: JobRecord,
    /// Finished tasks. For a job too large to keep them in its record, read from the job's chunks.
    pub(super) finished: TaskSet,
    /// Version of the record.
    pub(super) version: Revision,
}

/// Truncates `due` to the longest prefix of records with at most `max_bytes` bytes in total, but
/// at least one record. Sizes are those before the claim, which changes a few bytes per record.
fn truncate_to_bytes(due: &mut Vec<Versioned<JobRecord>>, max_bytes: usize) {
    let mut bytes = 0;
    let fitting = due.iter().take_while(|job| {
        bytes += serialized_bytes(&job.record);
        bytes <= max_bytes
    });
    let count = fitting.count();
    due.truncate(count.max(1));
}

impl ActiveLeader {
    /// Claims new jobs, and reclaims jobs whose claim has to be renewed, in an endless loop.
    pub(super) async fn claim_jobs(&self) {
        loop {
            let changed = self.context.replica.changed.notified();
            if self.claim_next_batch().await != ClaimBatchOutcome::MoreDue {
                self.context.env.timers.wait_for_event(CLAIM_INTERVAL, changed).await;
            }
        }
    }

    /// Closes finished and cancelled jobs, and claims a batch of the records that have to be
    /// claimed.
    pub(super) async fn claim_next_batch(&self) -> ClaimBatchOutcome {
        self.context.leadership.prune_cancelled(&self.context.replica);
        let mut due = self.sync_jobs_and_find_due();
        let due_count = due.len();
        self.truncate_to_batch(&mut due);
        let has_more_due = due.len() < due_count;
        if due.is_empty() {
            return ClaimBatchOutcome::AllClaimed;
        }
        let batch_len = due.len();
        let claimed = self.claim_records(due).await;
        if claimed.is_empty() {
            return ClaimBatchOutcome::Failed;
        }
        let is_partly_claimed = claimed.len() < batch_len;
        self.register_claimed_jobs(claimed);
        if has_more_due || is_partly_claimed {
            ClaimBatchOutcome::MoreDue
        } else {
            ClaimBatchOutcome::AllClaimed
        }
    }

    /// Closes finished and cancelled jobs, passes the set of unclaimed jobs to the scheduler, and
    /// returns the records that have to be claimed.
    fn sync_jobs_and_find_due(&self) -> Vec<Versioned<JobRecord>> {
        let contents = self.context.replica.contents.borrow();
        let mut scheduler = self.scheduler.borrow_mut();
        let is_cancelled = |id: &JobId| self.context.leadership.is_cancelled(id);
        scheduler.close_ended_jobs(|id| contents.jobs.contains_key(id));
        let unclaimed = contents.jobs.keys().filter(|id| scheduler.job(id).is_none());
        let unclaimed = unclaimed.filter(|id| !is_cancelled(id)).cloned().collect();
        scheduler.set_unclaimed_jobs(unclaimed);
        let loading_jobs = self.loading_jobs.borrow();
        let mut due = Vec::new();
        for (id, job) in &contents.jobs {
            if is_cancelled(id) || loading_jobs.contains(id) {
                continue;
            }
            if scheduler.needs_claim(&job.record, job.version) {
                due.push(job.clone());
            }
        }
        due
    }

    /// Truncates `due` to the most urgent records, as many as one batch may contain.
    fn truncate_to_batch(&self, due: &mut Vec<Versioned<JobRecord>>) {
        due.sort_by_key(|job| (job.record.spec.priority, job.record.accepted_ms));
        let max_changes = self.context.max_transaction_changes();
        let claim_batch = self.context.env.settings.operator.claim_batch as usize;
        // After a failover hundreds of records have to be claimed. The limit on changes per second
        // determines how long this takes; larger batches only save most of the transactions.
        let batch = if due.len() > LARGE_BATCH_THRESHOLD {
            max_changes
        } else {
            claim_batch.min(max_changes)
        };
        due.truncate(batch);
        truncate_to_bytes(due, MAX_TRANSACTION_BYTES);
    }

    /// Claims a batch of records with one conditional transaction. Returns the records that are
    /// known to be claimed: none if the claim was refused or its outcome is unknown.
    async fn claim_records(&self, batch: Vec<Versioned<JobRecord>>) -> Vec<Versioned<JobRecord>> {
        let own_key = controller_key(self.context.env.name.as_str());
        let mut transaction =
            self.leader_transaction().when(own_key, self.claim.membership.membership_version);
        let mut records = Vec::new();
        for job in batch {
            let record = self.apply_claim(job.record);
            let key = job_key(&record.spec.id);
            transaction = transaction.when(key.clone(), job.version).put(key, store_value(&record));
            records.push(record);
        }
        self.store_claim(&transaction, records).await
    }

    /// Passes claimed jobs to the scheduler, after reading finished tasks stored in chunks.
    fn register_claimed_jobs(&self, claimed: Vec<Versioned<JobRecord>>) {
        for Versioned { record, version } in claimed {
            if record.is_chunked() && record.finished_count > 0 {
                self.load_finished_tasks(record, version);
            } else {
                let finished = record.finished.clone();
                let job = ClaimedJob { record, finished, version };
                register_claimed_job(&self.context, &self.scheduler, job);
            }
        }
        self.scaling_requested.notify_one();
    }

    /// Returns the record as changed by this leader's claim. Dead-letters a job that has exceeded
    /// the claim limit (S12).
    fn apply_claim(&self, mut record: JobRecord) -> JobRecord {
        let owner = self.claim.membership.incarnation.clone();
        if record.start_watermark > 0 || self.scheduler.borrow().may_start_soon(&record.spec, now())
        {
            record.claim(owner);
        } else {
            record.claim_keeping_start_watermark(owner);
        }
        if record.claims > self.context.env.settings.operator.claim_limit {
            let (job, claims) = (&record.spec.id, record.claims);
            tracing::warn!(%job, claims, "claim limit reached; job dead-lettered");
            record.dead_lettered = true;
        }
        record
    }

    /// Runs the transaction of a claim. Returns the claimed records with the versions that the store
    /// gave them: none if the claim was refused or its outcome is unknown.
    async fn store_claim(
        &self,
        transaction: &Transaction,
        claimed: Vec<JobRecord>,
    ) -> Vec<Versioned<JobRecord>> {
        let env = &self.context.env;
        match env.state.commit(RequestClass::Claim, transaction).await {
            Ok(version) => {
                claimed.into_iter().map(|record| Versioned { record, version }).collect()
            }
            Err(StateError::NoResponse(error)) => {
                tracing::debug!(jobs = claimed.len(), %error, "claim not answered");
                self.read_back_claims(claimed).await
            }
            Err(error) => {
                tracing::debug!(jobs = claimed.len(), %error, "claim failed");
                env.sleep_random(50..150).await;
                Vec::new()
            }
        }
    }

    /// Reads back all records of a claim that was not answered. Returns the stored records of the
    /// jobs that this leader has claimed. Of the others nothing is known: they are claimed again
    /// from what the replica shows.
    async fn read_back_claims(&self, claimed: Vec<JobRecord>) -> Vec<Versioned<JobRecord>> {
        let mut reads = JoinSet::new();
        for record in claimed {
            reads.spawn_local(read_back_claim(self.context.clone(), record));
        }
        reads.join_all().await.into_iter().flatten().collect()
    }

    /// Reads a claimed job's finished tasks in the background, then passes the job to the
    /// scheduler. Other claims don't wait for the read.
    fn load_finished_tasks(&self, record: JobRecord, version: Revision) {
        let id = record.spec.id.clone();
        self.loading_jobs.borrow_mut().insert(id.clone());
        let (context, loading_jobs) = (self.context.clone(), self.loading_jobs.clone());
        // With a weak reference, the reads end when the leader that claimed the job stops leading.
        let scheduler = Rc::downgrade(&self.scheduler);
        tokio::task::spawn_local(async move {
            while let Some(scheduler) = scheduler.upgrade() {
                if let Some(finished) = read_finished_chunks(&context, &id).await {
                    let job = ClaimedJob { record, finished, version };
                    register_claimed_job(&context, &scheduler, job);
                    break;
                }
                drop(scheduler);
                tokio::time::sleep(FINISHED_TASKS_RETRY_PAUSE).await;
            }
            loading_jobs.borrow_mut().remove(&id);
        });
    }
}

/// Reads back one record of a claim that was not answered. Returns the stored record if it shows
/// this leader's claim, and `None` if it does not or can't be read.
async fn read_back_claim(
    context: Rc<LeadershipContext>,
    claimed: JobRecord,
) -> Option<Versioned<JobRecord>> {
    let key = job_key(&claimed.spec.id);
    let item = context.env.state.get(RequestClass::Claim, &key).await.ok()??;
    let record: JobRecord = serde_json::from_value(item.value).ok()?;
    let (job, version, generation) =
        (record.spec.id.clone(), item.version.get(), record.generation.get());
    let confirmed = confirm_claim(&claimed, Versioned { record, version: item.version });
    let is_ours = confirmed.is_some();
    tracing::debug!(%job, version, generation, is_ours, "claim not answered; record read");
    confirmed
}

/// Passes a claimed job to the scheduler.
fn register_claimed_job(context: &LeadershipContext, scheduler: &SharedScheduler, job: ClaimedJob) {
    let ClaimedJob { record, finished, version } = job;
    let age = Duration::from_millis(unix_time_ms().saturating_sub(record.accepted_ms));
    let id = record.spec.id.clone();
    scheduler.borrow_mut().on_job_claimed(record, finished, version, age, now());
    // The job may have been cancelled before the claim was answered.
    let is_unfinished = context.replica.contents.borrow().jobs.contains_key(&id);
    if !is_unfinished || context.leadership.is_cancelled(&id) {
        scheduler.borrow_mut().close_job(&id);
    }
    context.leadership.request_pass();
}
