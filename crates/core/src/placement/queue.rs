//! The order in which waiting jobs are placed.

use super::first_starts;
use crate::cluster::Cluster;
use crate::config::ObjectiveKind;
use crate::float_order::compare_f64;
use crate::job::Job;
use crate::team::Usage;
use corkfield_wire::{JobId, Priority};
use std::cmp::Ordering;
use std::time::{Duration, Instant};

/// A job of which no task is placed or finished this long after its acceptance is placed before all
/// other jobs that are not urgent. Without this rule, the largest jobs, late jobs and jobs of low
/// priority would wait for the end of a sustained overload.
const STARVATION_TIMEOUT: Duration = Duration::from_secs(120);

/// A job is late if the time left until it is due is less than this fraction of a task's expected
/// run time.
const LATE_RUN_TIME_FRACTION: f64 = 0.5;

/// A job with tasks that may be started now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StartableJob {
    pub(super) id: JobId,
    /// Upper bound of the number of tasks that may be started now.
    pub(super) tasks: u32,
}

/// The properties that determine a job's position in the queue.
struct QueueRank {
    is_urgent: bool,
    is_starved: bool,
    is_guaranteed: bool,
    priority: Priority,
    is_late: bool,
    /// Expected run time of one task, in seconds.
    expected_run_s: f64,
    /// Expected CPU seconds of all unfinished tasks.
    remaining_cpu_s: f64,
    accepted_at: Instant,
}

impl QueueRank {
    /// Returns `Less` if this job is placed before the other.
    fn compare(&self, other: &Self) -> Ordering {
        let urgent_first = other.is_urgent.cmp(&self.is_urgent);
        let starved_first = other.is_starved.cmp(&self.is_starved);
        let guaranteed_first = other.is_guaranteed.cmp(&self.is_guaranteed);
        let higher_priority_first = self.priority.cmp(&other.priority);
        let late_last = self.is_late.cmp(&other.is_late);
        let shortest_first = compare_f64(self.remaining_cpu_s, other.remaining_cpu_s);
        let oldest_first = self.accepted_at.cmp(&other.accepted_at);
        urgent_first
            .then(starved_first)
            .then(guaranteed_first)
            .then(higher_priority_first)
            .then(late_last)
            .then(self.compare_if_late(other))
            .then(shortest_first)
            .then(oldest_first)
    }

    /// Compares two late jobs: the job with the longer tasks comes first. It misses its due time
    /// anyway, and would otherwise also be the last job to finish. Returns `Equal` if this job is
    /// not late.
    fn compare_if_late(&self, other: &Self) -> Ordering {
        if self.is_late {
            compare_f64(other.expected_run_s, self.expected_run_s)
        } else {
            Ordering::Equal
        }
    }
}

impl Cluster {
    /// Returns the jobs with tasks that may be started now, in placement order. Until
    /// reconciliation is complete, only tasks that no earlier controller can have started are
    /// included (S7).
    pub(super) fn placement_queue(
        &mut self,
        usage: &[Usage],
        is_reconciled: bool,
        now: Instant,
    ) -> Vec<StartableJob> {
        first_starts::request_watermarks_of_preempting_jobs(self, usage);
        let startable = self.startable_jobs(is_reconciled);
        let mut ranked: Vec<(QueueRank, StartableJob)> = startable
            .into_iter()
            .map(|startable| (self.queue_rank(&self.jobs[&startable.id], usage, now), startable))
            .collect();
        ranked.sort_by(|(left, _), (right, _)| left.compare(right));
        ranked.into_iter().map(|(_, startable)| startable).collect()
    }

    /// Returns the jobs with tasks that may be started now, in order of their ids.
    fn startable_jobs(&mut self, is_reconciled: bool) -> Vec<StartableJob> {
        let mut startable = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| job.may_start_tasks()) {
            let waiting = job.waiting_tasks();
            if waiting == 0 {
                continue;
            }
            // A job without a start watermark is queued as well: its watermark is requested once
            // there is room for one of its tasks.
            let tasks = if job.needs_first_watermark() {
                waiting
            } else {
                job.startable_tasks(!is_reconciled)
            };
            if tasks > 0 {
                startable.push(StartableJob { id: id.clone(), tasks });
            }
        }
        startable
    }

    fn queue_rank(&self, job: &Job, usage: &[Usage], now: Instant) -> QueueRank {
        let expected_run_s = self.expected_run_s(job);
        let waited = now.saturating_duration_since(job.accepted_at);
        QueueRank {
            is_urgent: job.is_urgent(),
            is_starved: job.has_not_started() && waited > STARVATION_TIMEOUT,
            is_guaranteed: self.is_next_task_guaranteed(job, usage),
            priority: job.spec().priority,
            is_late: self.is_late(job, expected_run_s, now),
            expected_run_s,
            remaining_cpu_s: job.remaining_demand().cpus * expected_run_s,
            accepted_at: job.accepted_at,
        }
    }

    /// Returns whether the job is late: too little time is left until it is due. A job that is
    /// never due is never late.
    fn is_late(&self, job: &Job, expected_run_s: f64, now: Instant) -> bool {
        let needed_run_time = Duration::try_from_secs_f64(expected_run_s * LATE_RUN_TIME_FRACTION)
            .unwrap_or_default();
        self.due_at(job).is_some_and(|due_at| now + needed_run_time > due_at)
    }

    /// Returns when the job is due, by its own deadline or else by the objective of its class.
    pub(super) fn due_at(&self, job: &Job) -> Option<Instant> {
        job.due_at.or_else(|| {
            let class = job.spec().class.as_str();
            let within_s = self.config.class_objective_s(ObjectiveKind::Finished, class)?;
            Some(job.accepted_at + Duration::try_from_secs_f64(within_s).ok()?)
        })
    }
}
