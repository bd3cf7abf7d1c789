//! Claims of job records under the leader record.

use super::active_leader::ActiveLeader;
use super::completion_commits::{finished_chunks, MAX_TRANSACTION_BYTES};
use super::context::LeadershipContext;
use super::state::SharedScheduler;
use crate::clock::{now, unix_time_ms};
use crate::store_value::{serialized_bytes, store_value};
use corkfield_state::{RequestClass, StateError};
use corkfield_wire::records::{controller_key, job_key, JobRecord, Versioned};
use corkfield_wire::store::Transaction;
use corkfield_wire::{JobId, Revision, TaskSet};
use std::rc::Rc;
use std::time::Duration;

/// Records are looked through this often, if no change of them is seen before.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);
/// Above so many records that are due, a claim takes as many as a transaction may change.
const MANY_DUE: usize = 32;
/// After a failed read of a job's finished tasks.
const FINISHED_TASKS_RETRY: Duration = Duration::from_millis(200);

/// What a look at the job records came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ClaimRound {
    /// A batch was claimed, and more records are due.
    MoreDue,
    /// All records that were due are claimed.
    Complete,
    /// The claim was refused, or it is not known that it was carried out.
    Failed,
}

/// Records that were claimed together.
struct StoredClaim {
    records: Vec<JobRecord>,
    /// Version of all of them.
    version: Revision,
}

/// A job record of our claim as the store has it, with the job's finished tasks.
pub(super) struct ClaimedJob {
    /// The record as it is stored.
    pub(super) record: JobRecord,
    /// Finished tasks, also of a job too large to keep them in its record.
    pub(super) finished: TaskSet,
    /// Version of the record.
    pub(super) version: Revision,
}

/// Keeps the first records that have no more than so many bytes together, and one at least.
/// They are counted as they were before the claim, which changes a few bytes of each.
fn truncate_to_bytes(due: &mut Vec<Versioned<JobRecord>>, max_bytes: usize) {
    let mut bytes = 0;
    let fits = due.iter().take_while(|job| {
        bytes += serialized_bytes(&job.record);
        bytes <= max_bytes
    });
    let count = fits.count();
    due.truncate(count.max(1));
}

impl ActiveLeader {
    /// Claims jobs as they come, and again when their claim has to be renewed.
    pub(super) async fn claim_jobs(&self) {
        loop {
            let changed = self.context.replica.changed.notified();
            if self.claim_round().await != ClaimRound::MoreDue {
                self.context.env.timers.within(CLAIM_INTERVAL, changed).await;
            }
        }
    }

    /// Closes what is over, and claims a batch of what is new or has to be claimed anew.
    pub(super) async fn claim_round(&self) -> ClaimRound {
        self.context.leadership.forget_cancelled(&self.context.replica);
        let mut due = self.due_jobs();
        let all = due.len();
        self.truncate_to_batch(&mut due);
        let more_due = due.len() < all;
        if due.is_empty() {
            return ClaimRound::Complete;
        }
        let Some(claim) = self.claim(due).await else {
            return ClaimRound::Failed;
        };
        self.take_up(claim);
        if more_due {
            ClaimRound::MoreDue
        } else {
            ClaimRound::Complete
        }
    }

    /// Makes the scheduler see which jobs are over or not claimed yet; what is to be claimed.
    fn due_jobs(&self) -> Vec<Versioned<JobRecord>> {
        let contents = self.context.replica.contents.borrow();
        let mut scheduler = self.scheduler.borrow_mut();
        let is_cancelled = |id: &JobId| self.context.leadership.is_cancelled(id);
        scheduler.close_ended_jobs(|id| contents.jobs.contains_key(id));
        let unclaimed = contents.jobs.keys().filter(|id| scheduler.job(id).is_none());
        let unclaimed = unclaimed.filter(|id| !is_cancelled(id)).cloned().collect();
        scheduler.set_unclaimed_jobs(unclaimed);
        let reading = self.reading.borrow();
        let mut due = Vec::new();
        for (id, job) in &contents.jobs {
            if is_cancelled(id) || reading.contains(id) {
                continue;
            }
            if scheduler.needs_claim(&job.record, job.version) {
                due.push(job.clone());
            }
        }
        due
    }

    /// Keeps the most urgent records, as many as one claim takes.
    fn truncate_to_batch(&self, due: &mut Vec<Versioned<JobRecord>>) {
        due.sort_by_key(|job| (job.record.spec.priority, job.record.accepted_ms));
        let max_changes = self.context.max_transaction_changes();
        let claim_batch = self.context.env.settings.operator.claim_batch as usize;
        // A failover has hundreds of them. How long they take is set by the changes that may be
        // written a second; larger claims spare most of the transactions.
        let batch = if due.len() > MANY_DUE { max_changes } else { claim_batch.min(max_changes) };
        due.truncate(batch);
        truncate_to_bytes(due, MAX_TRANSACTION_BYTES);
    }

    /// The design's claim: one conditional transaction over a few records. `None` if it is not known
    /// to be carried out.
    async fn claim(&self, batch: Vec<Versioned<JobRecord>>) -> Option<StoredClaim> {
        let own_key = controller_key(self.context.env.name.as_str());
        let mut transaction = self.when_leading().when(own_key, self.claim.membership.version);
        let mut records = Vec::new();
        for job in batch {
            let record = self.claimed_record(job.record);
            let key = job_key(&record.spec.id);
            transaction = transaction.when(key.clone(), job.version).put(key, store_value(&record));
            records.push(record);
        }
        let version = self.store_claim(&transaction, &records).await?;
        Some(StoredClaim { records, version })
    }

    /// Gives the scheduler what was claimed.
    fn take_up(&self, claim: StoredClaim) {
        let version = claim.version;
        for record in claim.records {
            if record.is_chunked() && record.finished_count > 0 {
                self.read_finished(record, version);
            } else {
                let finished = record.finished.clone();
                let job = ClaimedJob { record, finished, version };
                take_claimed(&self.context, &self.scheduler, job);
            }
        }
        self.scaling_wanted.notify_one();
    }

    /// The record as it stands after our claim.
    fn claimed_record(&self, mut record: JobRecord) -> JobRecord {
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

    /// The version at which the claim is stored; `None` if it is not known to be.
    async fn store_claim(
        &self,
        transaction: &Transaction,
        claimed: &[JobRecord],
    ) -> Option<Revision> {
        let env = &self.context.env;
        match env.state.transaction(RequestClass::Claim, transaction).await {
            Ok(version) => Some(version),
            Err(StateError::NoAnswer(_)) => self.find_claim(claimed.first()?).await,
            Err(error) => {
                tracing::debug!(jobs = claimed.len(), %error, "claim failed");
                env.pause(50..150).await;
                None
            }
        }
    }

    /// The version of a claim without an answer, if it was carried out: all of it, as it is one
    /// transaction.
    async fn find_claim(&self, record: &JobRecord) -> Option<Revision> {
        let key = job_key(&record.spec.id);
        let item = self.context.env.state.get(RequestClass::Claim, &key).await.ok()??;
        let found: JobRecord = serde_json::from_value(item.value).ok()?;
        let is_ours = found.owner == record.owner && found.generation == record.generation;
        is_ours.then_some(item.version)
    }

    /// Takes up a claimed job once its finished tasks are read. Other claims don't wait for that.
    fn read_finished(&self, record: JobRecord, version: Revision) {
        let id = record.spec.id.clone();
        self.reading.borrow_mut().insert(id.clone());
        let (context, reading) = (self.context.clone(), self.reading.clone());
        // It goes on no longer than the leader that claimed the job.
        let scheduler = Rc::downgrade(&self.scheduler);
        tokio::task::spawn_local(async move {
            while let Some(scheduler) = scheduler.upgrade() {
                if let Some(finished) = finished_chunks(&context, &id).await {
                    let job = ClaimedJob { record, finished, version };
                    take_claimed(&context, &scheduler, job);
                    break;
                }
                drop(scheduler);
                tokio::time::sleep(FINISHED_TASKS_RETRY).await;
            }
            reading.borrow_mut().remove(&id);
        });
    }
}

/// Gives the scheduler a job that was claimed.
fn take_claimed(context: &LeadershipContext, scheduler: &SharedScheduler, job: ClaimedJob) {
    let ClaimedJob { record, finished, version } = job;
    let age = Duration::from_millis(unix_time_ms().saturating_sub(record.accepted_ms));
    let id = record.spec.id.clone();
    scheduler.borrow_mut().on_job_claimed(record, finished, version, age, now());
    // It may have been cancelled while the claim's answer was under way.
    let unfinished = context.replica.contents.borrow().jobs.contains_key(&id);
    if !unfinished || context.leadership.is_cancelled(&id) {
        scheduler.borrow_mut().close_job(&id);
    }
    context.leadership.request_pass();
}
