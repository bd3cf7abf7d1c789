//! The order in which waiting jobs are placed.

use crate::job::Job;
use crate::scheduler::Scheduler;
use crate::team::{within_guarantee, Usage};
use corkfield_wire::{JobId, JobSpec, Priority};
use std::cmp::Ordering;
use std::time::{Duration, Instant};

/// So many of these in one pass.
const LONG_WAITING_JOBS: usize = 8;

/// A job of which nothing runs for this long gets the next room that one of its tasks fits into,
/// also if that is kept for an urgent job that needs more: such room is not free for long, but
/// under lasting overload some machine always has some.
const LONG_WAIT: Duration = Duration::from_secs(60);

/// A job of which nothing has begun for this long gets what comes free next: under lasting
/// overload the largest, the latest and idle ones would otherwise wait for its end. Once
/// something of it has begun it stands in line as before.
const STARVED_AFTER: Duration = Duration::from_secs(120);

impl Scheduler {
    /// When the job should be complete, by its own deadline or its class's objective.
    pub(crate) fn due(&self, job: &Job) -> Option<Instant> {
        job.due_at.or_else(|| {
            let finished = |o: &&corkfield_wire::settings::Objective| {
                o.kind == "finished" && o.class.as_deref() == Some(job.spec().class.as_str())
            };
            let within = self.cluster.config.objectives.iter().find(finished)?.within_s?;
            Some(job.accepted_at + Duration::try_from_secs_f64(within).ok()?)
        })
    }

    fn rank(&self, job: &Job, usage: &[Usage], now: Instant) -> Rank {
        let run_s = job.expected_run_s(self.cluster.run_time_correction(&job.spec().class));
        let late = self.due(job).is_some_and(|due| {
            now + Duration::try_from_secs_f64(run_s * 0.5).unwrap_or_default() > due
        });
        let one = usage[job.team].plus(Usage::of(job.spec(), 1));
        Rank {
            urgent: job.is_urgent(),
            starved: job.has_not_begun()
                && now.saturating_duration_since(job.accepted_at) > STARVED_AFTER,
            guaranteed: within_guarantee(&self.cluster.config.teams[job.team], one),
            priority: job.spec().priority,
            late,
            run_s,
            work_s: job.demand().cpus * run_s,
            accepted: job.accepted_at,
        }
    }

    /// Jobs with tasks that may be started now, and how many at the most, in order (S7: while
    /// machines have not shown what they hold, only tasks that no earlier owner can have started).
    pub(super) fn queue(&mut self, usage: &[Usage], now: Instant) -> Vec<(JobId, u32)> {
        let fencing = !self.is_reconciled();
        // Those that need not wait for room have their first starts announced at once.
        let takes_room = |job: &Job| self.takes_room(job.spec(), usage);
        let unannounced = self.cluster.jobs.iter().filter(|(_, job)| job.needs_first_watermark());
        let unannounced = unannounced.filter(|(_, job)| takes_room(job));
        for id in unannounced.map(|(id, _)| id.clone()).collect::<Vec<JobId>>() {
            if let Some(job) = self.cluster.jobs.get_mut(&id) {
                job.raise_start_watermark();
            }
        }
        let startable =
            self.cluster.jobs.iter_mut().filter(|(_, job)| job.may_start()).map(|(id, job)| {
                let count = match job.waiting() {
                    0 => 0,
                    waiting if job.needs_first_watermark() => waiting,
                    _ => job.startable(fencing),
                };
                (id.clone(), count)
            });
        let startable: Vec<(JobId, u32)> = startable.filter(|(_, count)| *count > 0).collect();
        let ranked = startable
            .into_iter()
            .map(|job| (self.rank(&self.cluster.jobs[&job.0], usage, now), job));
        let mut ranked: Vec<(Rank, (JobId, u32))> = ranked.collect();
        ranked.sort_by(|(a, _), (b, _)| {
            b.urgent
                .cmp(&a.urgent)
                .then(b.starved.cmp(&a.starved))
                .then(b.guaranteed.cmp(&a.guaranteed))
                .then(a.priority.cmp(&b.priority))
                .then(a.late.cmp(&b.late))
                // What is late anyway should at least not end last of all: longest tasks first.
                .then(match a.late {
                    true => b.run_s.partial_cmp(&a.run_s).unwrap_or(Ordering::Equal),
                    false => Ordering::Equal,
                })
                .then(a.work_s.partial_cmp(&b.work_s).unwrap_or(Ordering::Equal))
                .then(a.accepted.cmp(&b.accepted))
        });
        ranked.into_iter().map(|(_, job)| job).collect()
    }

    /// Whether others may be stopped for the job, so that it need not wait for room.
    fn takes_room(&self, spec: &JobSpec, usage: &[Usage]) -> bool {
        let team = self.cluster.config.teams.iter().position(|team| team.name == spec.team);
        let guaranteed = |team: usize| {
            let one = usage[team].plus(Usage::of(spec, 1));
            within_guarantee(&self.cluster.config.teams[team], one)
        };
        spec.priority <= Priority::High || team.is_some_and(guaranteed)
    }

    /// Whether a job that is claimed now may be expected to begin soon.
    pub fn may_begin_soon(&self, spec: &JobSpec, now: Instant) -> bool {
        self.takes_room(spec, &self.cluster.usage_by_team())
            || !self.cluster.jobs.values().any(|job| job.needs_first_watermark())
                && self.spare_cpus(now) > 0.0
    }

    /// Jobs that are not urgent and of which nothing ran for long, the longest first.
    pub(super) fn long_waiting(&self, queue: &[(JobId, u32)], now: Instant) -> Vec<JobId> {
        let waiting = queue.iter().filter_map(|(id, _)| {
            let job = &self.cluster.jobs[id];
            let since = job.unplaced_since.filter(|_| !job.is_urgent())?;
            (now.saturating_duration_since(since) > LONG_WAIT).then_some((since, id))
        });
        let mut waiting: Vec<(Instant, &JobId)> = waiting.collect();
        waiting.sort();
        waiting.into_iter().take(LONG_WAITING_JOBS).map(|(_, id)| id.clone()).collect()
    }

    fn free_cpus(&self, now: Instant) -> f64 {
        let silence = self.cluster.config.silence();
        let working = self.cluster.machines.values().filter(|m| m.accepts_starts(now, silence));
        working.filter_map(|m| m.free()).map(|free| free.cpus.max(0.0)).sum()
    }

    /// CPUs that are free beyond what waits for them and may be started.
    fn spare_cpus(&self, now: Instant) -> f64 {
        let waiting = self.cluster.jobs.values().filter(|job| job.may_start());
        let waiting = waiting.map(|job| f64::from(job.waiting_below_watermark()) * job.spec().cpus);
        self.free_cpus(now) - waiting.sum::<f64>()
    }

    /// The most that tasks not known yet can use (S8): all of each machine that has not shown
    /// what it holds, or holds tasks of jobs that are not known. A worker starts nothing beyond
    /// its machine's size, and any team may be the one that uses it. `None` while a size is not
    /// known.
    pub(super) fn unaccounted_usage(&self) -> Option<Usage> {
        let mut unaccounted_usage = Usage::default();
        for machine in self.cluster.machines.values() {
            if self.is_unreconciled(&machine.name) || machine.tasks.totals().has_unknown_tasks {
                let size = machine.size.as_ref()?;
                unaccounted_usage =
                    unaccounted_usage.plus(Usage { cpus: size.cpus, gpus: size.gpus });
            }
        }
        Some(unaccounted_usage)
    }
}

struct Rank {
    pub(super) urgent: bool,
    pub(super) starved: bool,
    pub(super) guaranteed: bool,
    pub(super) priority: Priority,
    pub(super) late: bool,
    pub(super) run_s: f64,
    pub(super) work_s: f64,
    pub(super) accepted: Instant,
}
