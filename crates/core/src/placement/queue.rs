//! The order in which waiting jobs are placed.

use super::first_starts;
use crate::cluster::Cluster;
use crate::config::ObjectiveKind;
use crate::float_order::compare;
use crate::job::Job;
use crate::team::Usage;
use corkfield_wire::{JobId, Priority};
use std::cmp::Ordering;
use std::time::{Duration, Instant};

/// A job of which nothing has begun for this long gets what comes free next: under lasting
/// overload the largest, the latest and idle ones would otherwise wait for its end. Once
/// something of it has begun it is queued as before.
const STARVED_AFTER: Duration = Duration::from_secs(120);

/// A job is late once less than this fraction of its expected run time is left until it is due.
const LATE_BELOW_RUN_TIME_FRACTION: f64 = 0.5;

/// A job with tasks that may be started now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StartableJob {
    pub(super) id: JobId,
    /// How many tasks, at the most.
    pub(super) tasks: u32,
}

/// What a job's place in the queue depends on.
struct QueueRank {
    urgent: bool,
    starved: bool,
    guaranteed: bool,
    priority: Priority,
    late: bool,
    /// Expected run time of a task, in seconds.
    run_s: f64,
    /// CPU seconds that its unfinished tasks are expected to take.
    remaining_cpu_s: f64,
    accepted_at: Instant,
}

impl QueueRank {
    /// `Less` if this one is placed before the other.
    fn compare(&self, other: &Self) -> Ordering {
        let urgent_first = other.urgent.cmp(&self.urgent);
        let starved_first = other.starved.cmp(&self.starved);
        let guaranteed_first = other.guaranteed.cmp(&self.guaranteed);
        let higher_priority_first = self.priority.cmp(&other.priority);
        let late_last = self.late.cmp(&other.late);
        let shortest_first = compare(self.remaining_cpu_s, other.remaining_cpu_s);
        let oldest_first = self.accepted_at.cmp(&other.accepted_at);
        urgent_first
            .then(starved_first)
            .then(guaranteed_first)
            .then(higher_priority_first)
            .then(late_last)
            .then(self.compare_late(other))
            .then(shortest_first)
            .then(oldest_first)
    }

    /// What is late anyway should at least not end last of all: longest tasks first.
    fn compare_late(&self, other: &Self) -> Ordering {
        if self.late {
            compare(other.run_s, self.run_s)
        } else {
            Ordering::Equal
        }
    }
}

impl Cluster {
    /// Jobs with tasks that may be started now, in the order in which they are placed (S7: while
    /// machines have not shown what they hold, only tasks that no earlier owner can have started).
    pub(super) fn placement_queue(
        &mut self,
        usage: &[Usage],
        reconciled: bool,
        now: Instant,
    ) -> Vec<StartableJob> {
        first_starts::allow_without_room(self, usage);
        let startable = self.startable_jobs(reconciled);
        let mut ranked: Vec<(QueueRank, StartableJob)> = startable
            .into_iter()
            .map(|startable| (self.queue_rank(&self.jobs[&startable.id], usage, now), startable))
            .collect();
        ranked.sort_by(|(left, _), (right, _)| left.compare(right));
        ranked.into_iter().map(|(_, startable)| startable).collect()
    }

    /// Jobs with tasks that may be started now, by id.
    fn startable_jobs(&mut self, reconciled: bool) -> Vec<StartableJob> {
        let mut startable = Vec::new();
        for (id, job) in self.jobs.iter_mut().filter(|(_, job)| job.may_start()) {
            let waiting = job.waiting_tasks();
            if waiting == 0 {
                continue;
            }
            // One whose record allows no start yet is queued all the same: its record is to allow
            // first starts once there is room for it.
            let tasks = if job.needs_first_watermark() {
                waiting
            } else {
                job.startable_tasks(!reconciled)
            };
            if tasks > 0 {
                startable.push(StartableJob { id: id.clone(), tasks });
            }
        }
        startable
    }

    fn queue_rank(&self, job: &Job, usage: &[Usage], now: Instant) -> QueueRank {
        let run_s = self.expected_run_s(job);
        let waited = now.saturating_duration_since(job.accepted_at);
        QueueRank {
            urgent: job.is_urgent(),
            starved: job.has_not_started() && waited > STARVED_AFTER,
            guaranteed: self.next_task_guaranteed(job, usage),
            priority: job.spec().priority,
            late: self.is_late(job, run_s, now),
            run_s,
            remaining_cpu_s: job.remaining_demand().cpus * run_s,
            accepted_at: job.accepted_at,
        }
    }

    /// Whether the job is unlikely to be complete when it is due.
    fn is_late(&self, job: &Job, run_s: f64, now: Instant) -> bool {
        let needed =
            Duration::try_from_secs_f64(run_s * LATE_BELOW_RUN_TIME_FRACTION).unwrap_or_default();
        self.due(job).is_some_and(|due| now + needed > due)
    }

    /// When the job should be complete, by its own deadline or its class's objective.
    pub(super) fn due(&self, job: &Job) -> Option<Instant> {
        job.due_at.or_else(|| {
            let class = job.spec().class.as_str();
            let within_s = self.config.class_objective_s(ObjectiveKind::Finished, class)?;
            Some(job.accepted_at + Duration::try_from_secs_f64(within_s).ok()?)
        })
    }
}
