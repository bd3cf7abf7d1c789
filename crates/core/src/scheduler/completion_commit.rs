//! Completion commits: writes that store finished tasks and start watermarks in the key-value store.
//! A worker may forget a finished task only after the task is stored (S9).

use super::Scheduler;
use crate::job::{CommitUrgency, Job};
use corkfield_wire::records::{JobRecord, CHUNK_TASKS};
use corkfield_wire::{JobId, Revision, TaskSet};
use std::collections::BTreeMap;
use std::time::Instant;

/// Maximum number of chunks of finished tasks in one completion commit, which keeps the write below
/// the limits of a transaction.
const MAX_CHUNKS_PER_COMMIT: usize = 2;

/// A conditional write of one job's record, which also stores the job's finished tasks.
#[derive(Debug, Clone)]
pub struct CompletionCommit {
    /// Id of the job.
    pub job: JobId,
    /// Version of the stored record that the write is conditional on.
    pub version: Revision,
    /// The record to store.
    pub record: JobRecord,
    /// Finished task indices by chunk number, for jobs that are too large to keep them in the
    /// record.
    pub chunks: Vec<(u32, TaskSet)>,
    /// Indices of the tasks that this write stores as done.
    pub tasks: Vec<u32>,
    /// Whether this write stores the job's last task, so that the job is done.
    pub completes_job: bool,
}

/// Finished tasks of a job that one write can store.
#[derive(Default)]
struct StorableTasks {
    /// The chunks that contain the tasks, with all their finished task indices.
    chunks: BTreeMap<u32, TaskSet>,
    /// Indices of the tasks.
    tasks: Vec<u32>,
}

impl StorableTasks {
    /// Returns the unstored tasks of the first [`MAX_CHUNKS_PER_COMMIT`] chunks that have any, for
    /// a job that stores finished tasks in chunks.
    fn in_chunks(job: &Job) -> Self {
        let mut storable = Self::default();
        for &index in job.unstored() {
            let chunk = index / CHUNK_TASKS;
            if !storable.chunks.contains_key(&chunk) {
                if storable.chunks.len() >= MAX_CHUNKS_PER_COMMIT {
                    break;
                }
                storable.chunks.insert(chunk, job.finished_in_chunk(chunk));
            }
            storable.tasks.push(index);
        }
        storable
    }

    /// Returns all unstored tasks of a job that stores finished tasks in its record.
    fn in_record(job: &Job) -> Self {
        Self { chunks: BTreeMap::new(), tasks: job.unstored().iter().copied().collect() }
    }
}

impl Scheduler {
    /// Begins up to `max_commits` completion commits that are due, the most urgent first, then
    /// those of the jobs whose last commit is the oldest. If they began in the order of job ids, the
    /// finished tasks of the last of hundreds of jobs would never be stored.
    ///
    /// The caller must report the outcome of each with [`Self::on_completion_committed`] or
    /// [`Self::on_completion_commit_failed`].
    pub fn due_completion_commits(
        &mut self,
        max_commits: usize,
        now: Instant,
    ) -> Vec<CompletionCommit> {
        let due = self.cluster.jobs.values_mut().filter_map(|job| {
            let urgency = job.commit_urgency(now)?;
            Some((urgency, job.last_commit_at(), job))
        });
        let mut due: Vec<(CommitUrgency, Option<Instant>, &mut Job)> = due.collect();
        due.sort_by_key(|(urgency, last_commit_at, _)| (*urgency, *last_commit_at));
        due.truncate(max_commits);
        due.into_iter().map(|(_, _, job)| Self::begin_completion_commit(job, now)).collect()
    }

    /// Begins a completion commit of everything that the job can store in one write.
    fn begin_completion_commit(job: &mut Job, now: Instant) -> CompletionCommit {
        let mut record = job.record.clone();
        let storable = if record.is_chunked() {
            let storable = StorableTasks::in_chunks(job);
            // The count is derived from the set of tasks. If it were added to the record's count,
            // tasks of a commit whose outcome was unknown could be counted twice.
            let newly_stored = u32::try_from(storable.tasks.len()).unwrap_or(u32::MAX);
            record.finished_count = job.stored_count().saturating_add(newly_stored);
            storable
        } else {
            record.finished = job.finished().clone();
            record.finished_count = record.finished.len();
            StorableTasks::in_record(job)
        };
        record.running_count = job.running_tasks;
        if job.take_watermark_raise() {
            record.raise_start_watermark();
        }
        if job.take_refund(now) {
            record.claims -= 1;
        }
        if !storable.tasks.is_empty() {
            // S12: a commit that stores finished tasks resets the number of claims.
            record.claims = 0;
        }
        job.begin_commit(now);
        tracing::debug!(
            job = %record.spec.id,
            version = job.version.get(),
            generation = record.generation.get(),
            tasks = storable.tasks.len(),
            finished_count = record.finished_count,
            finished = job.finished().len(),
            unstored = job.unstored().len(),
            "completion commit begun"
        );
        CompletionCommit {
            job: record.spec.id.clone(),
            version: job.version,
            completes_job: record.finished_count >= record.spec.tasks,
            record,
            chunks: storable.chunks.into_iter().collect(),
            tasks: storable.tasks,
        }
    }

    /// Handles a completion commit that was stored at `version`. Closes the job if it is done.
    pub fn on_completion_committed(
        &mut self,
        completion_commit: &CompletionCommit,
        version: Revision,
    ) {
        let CompletionCommit { job: id, record, tasks, completes_job, .. } = completion_commit;
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        job.on_commit_succeeded(record, tasks, version);
        if *completes_job {
            tracing::debug!(job = %id, tasks = record.finished_count, "job done");
            self.close_job(id);
        }
    }

    /// Handles a completion commit that was refused or not answered; it may be tried again.
    ///
    /// `stored` is the record as read from the store afterwards, with the job's finished tasks and
    /// the record's version, if the record is still of our claim.
    pub fn on_completion_commit_failed(
        &mut self,
        id: &JobId,
        stored: Option<(JobRecord, TaskSet, Revision)>,
    ) {
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        job.on_commit_failed();
        if let Some((record, finished, version)) = stored {
            job.merge_stored_record(record, &finished, version);
        }
    }
}
