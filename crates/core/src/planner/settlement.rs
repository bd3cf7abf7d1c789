//! Settling writes: finished tasks and first starts that the state service has to hold (S9).

use super::{Planner, Settlement};
use crate::job::Job;
use corkfield_wire::records::{JobRecord, CHUNK_TASKS};
use corkfield_wire::{JobId, TaskSet};
use std::collections::BTreeMap;
use std::time::Instant;

/// Chunks of finished numbers in one settling write.
const MAX_CHUNKS: usize = 2;

impl Planner {
    /// Settling writes that are due, those first for which somebody waits, then those that have
    /// waited longest: in the order of their ids, the last of hundreds would never have their
    /// turn. Each has to be answered with [`Self::settled`] or [`Self::settling_failed`].
    pub fn settlements(&mut self, most: usize, now: Instant) -> Vec<Settlement> {
        let due = self.jobs.values_mut().filter_map(|job| {
            let waited_for = job.settling_due(now)?;
            Some((!waited_for, job.settled_at, job))
        });
        let mut due: Vec<(bool, Option<Instant>, &mut Job)> = due.collect();
        due.sort_by_key(|(later, at, _)| (*later, *at));
        due.truncate(most);
        due.into_iter().map(|(_, _, job)| Self::settlement(job, now)).collect()
    }

    fn settlement(job: &mut Job, now: Instant) -> Settlement {
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
            record.begin_more();
        }
        if job.is_refunded_now(now) {
            job.refunded = true;
            record.claims -= 1;
        }
        if !tasks.is_empty() {
            // Progress resets the count of claims (S12).
            record.claims = 0;
        }
        job.settling = true;
        job.settled_at = Some(now);
        Settlement {
            job: record.spec.id.clone(),
            version: job.version,
            finishes: record.done >= record.spec.tasks,
            record,
            chunks: chunks.into_iter().collect(),
            tasks,
        }
    }

    /// A settling write was carried out, at that version.
    pub fn settled(&mut self, settlement: &Settlement, version: u64) {
        let Some(job) = self.jobs.get_mut(&settlement.job) else {
            return;
        };
        job.settling = false;
        job.stored(&settlement.tasks);
        job.version = version;
        job.record = settlement.record.clone();
        if settlement.finishes {
            tracing::debug!(job = %settlement.job, tasks = settlement.record.done, "job done");
            self.close_job(&settlement.job);
        }
    }

    /// The write may be tried again from the record as it was found, if that is still ours.
    pub fn settling_failed(&mut self, id: &JobId, found: Option<(JobRecord, TaskSet, u64)>) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.settling = false;
        if let Some((record, finished, version)) = found {
            job.found_stored(&finished);
            job.record = record;
            job.version = version;
        }
    }
}
