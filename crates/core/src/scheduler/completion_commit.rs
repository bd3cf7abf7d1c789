//! Settling writes: finished tasks and first starts that the state service has to hold (S9).

use super::{CompletionCommit, Scheduler};
use crate::job::Job;
use corkfield_wire::records::{JobRecord, CHUNK_TASKS};
use corkfield_wire::{JobId, TaskSet};
use std::collections::BTreeMap;
use std::time::Instant;

/// Chunks of finished numbers in one settling write.
const MAX_CHUNKS: usize = 2;

impl Scheduler {
    /// Settling writes that are due, those first for which somebody waits, then those that have
    /// waited longest: in the order of their ids, the last of hundreds would never have their
    /// turn. Each has to be answered with [`Self::completion_committed`] or [`Self::completion_commit_failed`].
    pub fn due_completion_commits(&mut self, most: usize, now: Instant) -> Vec<CompletionCommit> {
        let due = self.cluster.jobs.values_mut().filter_map(|job| {
            let waited_for = job.commit_due(now)?;
            Some((!waited_for, job.last_commit_at, job))
        });
        let mut due: Vec<(bool, Option<Instant>, &mut Job)> = due.collect();
        due.sort_by_key(|(later, at, _)| (*later, *at));
        due.truncate(most);
        due.into_iter().map(|(_, _, job)| Self::completion_commit(job, now)).collect()
    }

    fn completion_commit(job: &mut Job, now: Instant) -> CompletionCommit {
        let mut record = job.record.clone();
        let mut chunks: BTreeMap<u32, TaskSet> = BTreeMap::new();
        let mut tasks = Vec::new();
        if record.is_chunked() {
            // A few chunks at a time stay below the limits of a transaction.
            for &index in job.unstored() {
                let chunk = index / CHUNK_TASKS;
                if !chunks.contains_key(&chunk) {
                    if chunks.len() >= MAX_CHUNKS {
                        break;
                    }
                    chunks.insert(chunk, job.chunk(chunk));
                }
                tasks.push(index);
            }
            record.done = record.done.saturating_add(u32::try_from(tasks.len()).unwrap_or(0));
        } else {
            tasks.extend(job.unstored());
            record.finished = job.finished().clone();
            record.done = record.finished.len();
        }
        record.running = job.running;
        if std::mem::take(&mut job.unannounced) {
            record.raise_start_watermark();
        }
        if job.is_refunded_now(now) {
            job.refunded = true;
            record.claims -= 1;
        }
        if !tasks.is_empty() {
            // Progress resets the count of claims (S12).
            record.claims = 0;
        }
        job.committing = true;
        job.last_commit_at = Some(now);
        CompletionCommit {
            job: record.spec.id.clone(),
            version: job.version,
            finishes: record.done >= record.spec.tasks,
            record,
            chunks: chunks.into_iter().collect(),
            tasks,
        }
    }

    /// A settling write was carried out, at that version.
    pub fn completion_committed(&mut self, completion_commit: &CompletionCommit, version: u64) {
        let Some(job) = self.cluster.jobs.get_mut(&completion_commit.job) else {
            return;
        };
        job.committing = false;
        job.stored(&completion_commit.tasks);
        job.version = version;
        job.record = completion_commit.record.clone();
        if completion_commit.finishes {
            tracing::debug!(job = %completion_commit.job, tasks = completion_commit.record.done, "job done");
            self.close_job(&completion_commit.job);
        }
    }

    /// The write may be tried again from the record as it was found, if that is still ours.
    pub fn completion_commit_failed(
        &mut self,
        id: &JobId,
        found: Option<(JobRecord, TaskSet, u64)>,
    ) {
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        job.committing = false;
        if let Some((record, finished, version)) = found {
            job.found_stored(&finished);
            job.record = record;
            job.version = version;
        }
    }
}
