//! Jobs that users submit and cancel, and that operators release.

use super::driver::{Driver, MAX_JOBS};
use super::workers::JobBehavior;
use crate::support::job_record;
use corkfield_wire::records::{JobRecord, CHUNK_TASKS};
use corkfield_wire::{JobId, Priority, TaskSet};
use rand::seq::IteratorRandom;
use rand::Rng;

/// Probability that a submitted job stores its finished tasks in chunks.
const CHUNKED_JOB_PROBABILITY: f64 = 0.3;

impl Driver {
    pub(super) fn submit_job(&mut self) {
        if self.store.jobs.len() >= MAX_JOBS {
            return;
        }
        self.jobs_submitted += 1;
        let is_chunked = self.rng.random_bool(CHUNKED_JOB_PROBABILITY);
        let chunked_tasks = if is_chunked { CHUNK_TASKS } else { 0 };
        let tasks = chunked_tasks + self.rng.random_range(1..14);
        let mut record = JobRecord::new(job_record(tasks, 1).spec, 0);
        record.spec.id =
            JobId::parse(&format!("j-{:06}", self.jobs_submitted)).expect("a valid job id");
        record.spec.cpus = [1.0, 1.0, 2.0][self.rng.random_range(0..3)];
        record.spec.priority =
            [Priority::High, Priority::Normal, Priority::Low][self.rng.random_range(0..3)];
        if self.rng.random_bool(0.5) {
            record.spec.team = "limited".into();
        }
        let behavior = match self.rng.random_range(0..10) {
            0..=1 => JobBehavior::Fails,
            2..=3 => JobBehavior::Unknown,
            4..=5 => JobBehavior::FailsOddTasks,
            6 if is_chunked => JobBehavior::FailsOddTasks,
            _ => JobBehavior::Completes,
        };
        self.behaviors.insert(record.spec.id.clone(), behavior);
        if is_chunked {
            self.store_nearly_finished(record);
        } else {
            self.store.put(record);
        }
    }

    /// Stores a large job as an earlier leader left it: released, with few tasks unfinished, so that
    /// the machines of one run can finish it. Tasks of the second chunk were never started.
    fn store_nearly_finished(&mut self, mut record: JobRecord) {
        record.start_watermark = CHUNK_TASKS;
        let mut finished = TaskSet::default();
        let unfinished_in_first_chunk = self.rng.random_range(0..6);
        for index in unfinished_in_first_chunk..CHUNK_TASKS {
            finished.insert(index);
        }
        self.completed.insert(record.spec.id.clone(), finished.clone());
        self.store.put_with_chunks(record, &finished);
    }

    pub(super) fn cancel_random_job(&mut self) {
        let Some(id) = self.store.jobs.keys().choose(&mut self.rng).cloned() else { return };
        self.store.jobs.remove(&id);
        self.cancelled.push(id.clone());
        self.scheduler.close_job(&id);
    }

    pub(super) fn release_random_dead_lettered_job(&mut self) {
        let dead_lettered = self.store.jobs.values().filter(|stored| stored.record.dead_lettered);
        let Some(record) = dead_lettered.choose(&mut self.rng).map(|stored| stored.record.clone())
        else {
            return;
        };
        self.store.put(JobRecord { dead_lettered: false, claims: 0, owner: None, ..record });
    }

    /// Uploads the description of a random job that workers did not know.
    pub(super) fn upload_random_job_description(&mut self) {
        let unknown =
            self.behaviors.iter_mut().filter(|(_, behavior)| **behavior == JobBehavior::Unknown);
        if let Some((_, behavior)) = unknown.choose(&mut self.rng) {
            *behavior = JobBehavior::Completes;
        }
    }
}
