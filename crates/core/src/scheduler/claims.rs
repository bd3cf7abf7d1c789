//! Claimed jobs: which records need a claim, and how a claimed job is added.

use super::Scheduler;
use crate::job::{Job, JobState};
use crate::machine::MachineTaskState;
use corkfield_wire::records::JobRecord;
use corkfield_wire::{JobId, Revision, TaskSet};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

impl Scheduler {
    /// Returns whether the job must be claimed, given its record as stored at `version`. The caller
    /// must not call this while a claim of the job is in flight.
    ///
    /// A job must be claimed if it is unknown, if it waits for its next claim, or if its record was
    /// changed since our claim by another controller or by an operator who released the job. A
    /// record with our own owner and an unknown generation comes from a claim of ours that was
    /// carried out late, after its answer was lost. No other controller claims such a job, so it is
    /// claimed again.
    pub fn needs_claim(&self, record: &JobRecord, version: Revision) -> bool {
        let Some(job) = self.cluster.jobs.get(&record.spec.id) else {
            return true;
        };
        job.state() == JobState::NeedsReclaim
            || (version > job.version && !job.is_of_same_claim(record))
    }

    /// Returns the known jobs that must be claimed again.
    pub fn jobs_to_reclaim(&self) -> Vec<JobId> {
        let due = self.cluster.jobs.iter().filter(|(_, j)| j.state() == JobState::NeedsReclaim);
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Sets which unfinished jobs this leader has not claimed yet.
    ///
    /// After a failover, jobs are claimed a few at a time while their machines already send
    /// heartbeats. Tasks of jobs that are not claimed yet must not be stopped as tasks of an
    /// unknown job, and their results must not be forgotten.
    pub fn set_unclaimed_jobs(&mut self, unclaimed_jobs: BTreeSet<JobId>) {
        self.unclaimed_jobs = unclaimed_jobs;
    }

    /// Adds a job that was claimed at `version`, or updates it if it was claimed before. `finished`
    /// are its finished tasks as stored at `version`; `age` is the time since the job was accepted.
    pub fn on_job_claimed(
        &mut self,
        record: JobRecord,
        finished: TaskSet,
        version: Revision,
        age: Duration,
        now: Instant,
    ) {
        let Some(team) = self.cluster.config.teams.iter().position(|t| t.name == record.spec.team)
        else {
            tracing::error!(job = %record.spec.id, "claimed a job of an unknown team");
            return;
        };
        let id = record.spec.id.clone();
        if self.cluster.jobs.get(&id).is_some_and(Job::is_live) {
            let dead_lettered = record.dead_lettered;
            self.log_reclaim(&record, version);
            self.change_job(&id, |job| job.on_reclaimed(record, &finished, version, now));
            if dead_lettered {
                self.stop_job_tasks(&id);
            }
            return;
        }
        let mut job = Job::new(record, finished, version, team, age, now);
        self.adopt_reported_tasks(&mut job);
        log_claim(&job, age);
        self.cluster.jobs.insert(id, job);
    }

    /// Logs the claim of a job that this controller holds already: how many finished tasks the
    /// claimed record counts, and how many this controller knows of and has not seen stored.
    fn log_reclaim(&self, record: &JobRecord, version: Revision) {
        let Some(job) = self.cluster.jobs.get(&record.spec.id) else { return };
        tracing::debug!(
            job = %record.spec.id,
            version = version.get(),
            generation = record.generation.get(),
            stored_count = record.finished_count,
            finished = job.finished().len(),
            unstored = job.unstored().len(),
            "job claimed again"
        );
    }

    /// Adopts the job's tasks that fenced machines reported before the job was claimed. Results are
    /// adopted first, so that no attempt at a finished task continues.
    fn adopt_reported_tasks(&mut self, job: &mut Job) {
        let id = job.spec().id.clone();
        for machine in self.cluster.machines.values() {
            let tasks = machine.tasks.iter().filter(|(key, _)| key.task.job == id);
            for (key, machine_task) in tasks {
                if machine_task.state == MachineTaskState::Done {
                    job.mark_finished(key.task.index);
                }
            }
        }
        for machine in self.cluster.machines.values_mut() {
            let tasks = machine.tasks.iter_mut().filter(|(key, _)| key.task.job == id);
            for (key, machine_task) in tasks {
                machine_task.set_job(job.spec(), job.team);
                let index = key.task.index;
                if !machine_task.uses_resources() {
                    continue;
                }
                if job.finished().contains(index) || job.placements().contains_key(&index) {
                    machine_task.stop_without_grace();
                } else {
                    machine_task.cancel_stop();
                    job.place_task(index, machine.name.as_str(), key.attempt);
                }
            }
        }
    }
}

/// Logs a claim, with the properties of the job that decide where and when its tasks run.
fn log_claim(job: &Job, age: Duration) {
    let spec = job.spec();
    tracing::debug!(
        job = %spec.id,
        class = %spec.class,
        tasks = spec.tasks,
        cpus = spec.cpus,
        memory_gb = spec.memory_gb,
        zone = ?spec.zone,
        types = ?spec.types,
        spot = spec.spot,
        one_zone = spec.one_zone,
        spread = spec.spread,
        estimate_s = spec.estimate_s,
        deadline_s = spec.deadline_s,
        age_s = age.as_secs_f64(),
        version = job.version.get(),
        generation = job.record.generation.get(),
        claims = job.record.claims,
        start_watermark = job.record.start_watermark,
        previous_start_watermark = job.record.previous_start_watermark,
        "job claimed"
    );
}
