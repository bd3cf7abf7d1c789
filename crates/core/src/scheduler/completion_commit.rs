//! Completion commits: writes of finished tasks and start watermarks that the key-value store has
//! to hold (S9).

use super::Scheduler;
use crate::job::{CommitUrgency, Job};
use corkfield_wire::records::{JobRecord, CHUNK_TASKS};
use corkfield_wire::{JobId, Revision, TaskSet};
use std::collections::BTreeMap;
use std::time::Instant;

/// Chunks of finished numbers in one completion commit: a few at a time stay below the limits of
/// a transaction.
const MAX_CHUNKS: usize = 2;

/// A write that stores finished tasks (S9).
#[derive(Debug, Clone)]
pub struct CompletionCommit {
    /// Whose tasks.
    pub job: JobId,
    /// Version of the record that the write rests on.
    pub version: Revision,
    /// The record to be stored.
    pub record: JobRecord,
    /// Finished numbers by chunk, for jobs too large to keep them in the record.
    pub chunks: Vec<(u32, TaskSet)>,
    /// Numbers of the tasks that this stores as done.
    pub tasks: Vec<u32>,
    /// Whether the job is done with it.
    pub finishes: bool,
}

/// Finished tasks of a job that one write can store.
#[derive(Default)]
struct StorableTasks {
    /// Finished numbers of the chunks that these tasks are in.
    chunks: BTreeMap<u32, TaskSet>,
    /// Numbers of the tasks.
    tasks: Vec<u32>,
}

impl StorableTasks {
    /// Finished tasks of a job that keeps them in chunks, of the first few chunks.
    fn in_chunks(job: &Job) -> Self {
        let mut storable = Self::default();
        for &index in job.unstored() {
            let chunk = index / CHUNK_TASKS;
            if !storable.chunks.contains_key(&chunk) {
                if storable.chunks.len() >= MAX_CHUNKS {
                    break;
                }
                storable.chunks.insert(chunk, job.finished_in_chunk(chunk));
            }
            storable.tasks.push(index);
        }
        storable
    }

    /// Finished tasks of a job that keeps them in its record.
    fn in_record(job: &Job) -> Self {
        Self { chunks: BTreeMap::new(), tasks: job.unstored().iter().copied().collect() }
    }
}

impl Scheduler {
    /// Completion commits that are due, those first for which somebody waits, then those that have
    /// waited longest: in the order of their ids, the last of hundreds would never have their
    /// turn. Each has to be answered with [`Self::completion_committed`] or
    /// [`Self::completion_commit_failed`].
    pub fn due_completion_commits(&mut self, most: usize, now: Instant) -> Vec<CompletionCommit> {
        let due = self.cluster.jobs.values_mut().filter_map(|job| {
            let urgency = job.commit_urgency(now)?;
            Some((urgency, job.last_commit_at(), job))
        });
        let mut due: Vec<(CommitUrgency, Option<Instant>, &mut Job)> = due.collect();
        due.sort_by_key(|(urgency, last_commit_at, _)| (*urgency, *last_commit_at));
        due.truncate(most);
        due.into_iter().map(|(_, _, job)| Self::completion_commit(job, now)).collect()
    }

    /// The write of what of a job is to be stored now.
    fn completion_commit(job: &mut Job, now: Instant) -> CompletionCommit {
        let mut record = job.record.clone();
        let storable = if record.is_chunked() {
            let storable = StorableTasks::in_chunks(job);
            let stored = u32::try_from(storable.tasks.len()).unwrap_or(0);
            record.done = record.done.saturating_add(stored);
            storable
        } else {
            record.finished = job.finished().clone();
            record.done = record.finished.len();
            StorableTasks::in_record(job)
        };
        record.running = job.running;
        if job.take_watermark_raise() {
            record.raise_start_watermark();
        }
        if job.take_refund(now) {
            record.claims -= 1;
        }
        if !storable.tasks.is_empty() {
            // Progress resets the count of claims (S12).
            record.claims = 0;
        }
        job.begin_commit(now);
        CompletionCommit {
            job: record.spec.id.clone(),
            version: job.version,
            finishes: record.done >= record.spec.tasks,
            record,
            chunks: storable.chunks.into_iter().collect(),
            tasks: storable.tasks,
        }
    }

    /// A completion commit was carried out, at that version.
    pub fn completion_committed(
        &mut self,
        completion_commit: &CompletionCommit,
        version: Revision,
    ) {
        let CompletionCommit { job: id, record, tasks, finishes, .. } = completion_commit;
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        job.on_commit_succeeded(record, tasks, version);
        if *finishes {
            tracing::debug!(job = %id, tasks = record.done, "job done");
            self.close_job(id);
        }
    }

    /// The write may be tried again from the record as it was found, if that is still ours.
    pub fn completion_commit_failed(
        &mut self,
        id: &JobId,
        found: Option<(JobRecord, TaskSet, Revision)>,
    ) {
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        job.on_commit_failed();
        if let Some((record, finished, version)) = found {
            job.merge_stored_record(record, &finished, version);
        }
    }
}
