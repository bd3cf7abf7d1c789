//! Claimed jobs: taking them up.

use super::Scheduler;
use crate::job::{Job, JobState};
use crate::machine::MachineTaskState;
use corkfield_wire::records::JobRecord;
use corkfield_wire::{JobId, Revision, TaskSet};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

impl Scheduler {
    /// Whether a record, as it is stored at that version, has to be claimed. To be asked only while
    /// no claim of the job is under way.
    ///
    /// That is so for a job that is not known, for one that waits for its next claim, and for one
    /// whose record somebody else has changed since: another controller, or an operator who
    /// released it. A record of our own at a generation that is not known is that of a claim that
    /// went unanswered and was carried out late; nobody would take the job up otherwise.
    pub fn needs_claim(&self, record: &JobRecord, version: Revision) -> bool {
        let Some(job) = self.cluster.jobs.get(&record.spec.id) else {
            return true;
        };
        job.state() == JobState::NeedsReclaim
            || (version > job.version && !job.is_of_same_claim(record))
    }

    /// Jobs that have to be claimed once more.
    pub fn jobs_to_reclaim(&self) -> Vec<JobId> {
        let due = self.cluster.jobs.iter().filter(|(_, j)| j.state() == JobState::NeedsReclaim);
        due.map(|(id, _)| id.clone()).collect()
    }

    /// Which unfinished jobs are still to be claimed. A failover claims them a few at a time,
    /// and their machines send heartbeats meanwhile: tasks of jobs that are merely not claimed yet
    /// must neither be stopped as nobody's, nor their results be forgotten.
    pub fn set_unclaimed(&mut self, unclaimed: BTreeSet<JobId>) {
        self.unclaimed = unclaimed;
    }

    /// A job that was claimed, with its finished tasks.
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
            self.change_job(&id, |job| job.on_reclaimed(record, version, now));
            if dead_lettered {
                self.stop_job(&id);
            }
            return;
        }
        let mut job = Job::new(record, finished, version, team, age, now);
        self.adopt_reported_tasks(&mut job);
        log_claim(&job, age);
        self.cluster.jobs.insert(id, job);
    }

    /// Tasks that fenced machines reported before the claim are taken up now: results first, so that
    /// nothing goes on of a task that is done.
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

/// Logs a claim, with what of the job decides where and when it runs.
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
        generation = job.record.generation.get(),
        claims = job.record.claims,
        "job claimed"
    );
}
