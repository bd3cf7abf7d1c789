//! Selection of the tasks on one machine that are stopped for a waiting job.

use crate::cluster::Cluster;
use crate::float_order::compare_f64;
use crate::job::Job;
use crate::machine::TaskAttempt;
use crate::machine::{Machine, Resources};
use crate::team::{is_within_guarantee, is_within_limit, Usage};
use corkfield_wire::{JobId, Priority};
use std::time::Instant;

/// The tasks to stop on one machine.
#[derive(Default)]
pub(super) struct Victims {
    pub(super) tasks: Vec<TaskAttempt>,
    /// For how many tasks of the waiting job the machine then has room.
    pub(super) slots: u32,
}

/// A task that may be stopped.
struct VictimCandidate<'a> {
    key: &'a TaskAttempt,
    victim_job: &'a Job,
    /// CPU seconds lost if the task is stopped.
    cost_cpu_s: f64,
}

/// Rank of a job for preemption; the lowest rank goes first. Tasks are stopped only for a job of a
/// lower rank than their own job's. Otherwise two jobs could preempt each other in turn,
/// indefinitely.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionRank {
    is_not_urgent: bool,
    is_beyond_guarantee: bool,
    priority: Priority,
}

/// The tasks to stop for one more task of the waiting job, and the state after they have stopped.
struct VictimBatch {
    tasks: Vec<TaskAttempt>,
    free: Resources,
    usage: Vec<Usage>,
}

/// Selects the tasks on one machine that are stopped for a waiting job.
pub(super) struct VictimSelection<'a> {
    cluster: &'a Cluster,
    waiting_job: &'a Job,
    /// Resources that one task of the waiting job needs on the machine.
    need: Resources,
    task_usage: Usage,
    /// Free resources of the machine, including those of the tasks selected so far.
    free: Resources,
    /// Tasks that have not been considered yet, the lowest cost first.
    candidates: std::vec::IntoIter<VictimCandidate<'a>>,
}

impl<'a> VictimSelection<'a> {
    /// Creates a selection for the job on the machine. Returns `None` if the job may not use the
    /// machine, if tasks of the job have failed there, if any task has failed there and none has
    /// completed there since, if the machine's free resources are unknown or if the job's team has
    /// reached its limit.
    pub(super) fn new(
        cluster: &'a Cluster,
        id: &JobId,
        name: &str,
        usage: &[Usage],
        now: Instant,
    ) -> Option<Self> {
        let (waiting_job, machine) = (&cluster.jobs[id], &cluster.machines[name]);
        let has_failures =
            machine.has_failures() || waiting_job.has_failed_on(machine.name.as_str());
        if !machine.may_run(waiting_job.spec()) || has_failures {
            return None;
        }
        let mut selection = Self {
            cluster,
            waiting_job,
            need: Resources::per_task(waiting_job.spec()),
            task_usage: Usage::of_tasks(waiting_job.spec(), 1),
            free: machine.free_resources()?,
            candidates: Vec::new().into_iter(),
        };
        if !selection.is_next_task_within_limit(usage) {
            return None;
        }
        selection.candidates = victim_candidates(cluster, waiting_job, machine, now).into_iter();
        Some(selection)
    }

    /// Selects the tasks to stop for up to `missing_slots` tasks of the waiting job, and updates
    /// the usage for the stopped tasks and for the tasks that replace them.
    pub(super) fn select(mut self, missing_slots: u32, usage: &mut [Usage]) -> Victims {
        let mut victims = Victims::default();
        while victims.slots < missing_slots && self.is_next_task_within_limit(usage) {
            let Some(batch) = self.next_batch(usage) else { break };
            self.free = batch.free;
            self.free.subtract(&self.need);
            usage.copy_from_slice(&batch.usage);
            usage[self.waiting_job.team] = usage[self.waiting_job.team].plus(self.task_usage);
            victims.slots += 1;
            victims.tasks.extend(batch.tasks);
        }
        victims
    }

    /// Returns the next tasks whose stop makes room for one task of the waiting job. Returns `None`
    /// if too few tasks may be stopped, or if the waiting task already fits, so that it must be
    /// waiting for another reason.
    fn next_batch(&mut self, usage: &[Usage]) -> Option<VictimBatch> {
        let waiting_rank = self
            .preemption_rank(self.waiting_job, usage[self.waiting_job.team].plus(self.task_usage));
        let mut batch = VictimBatch { tasks: Vec::new(), free: self.free, usage: usage.to_vec() };
        while !batch.free.can_fit(&self.need) {
            let candidate = self.candidates.next()?;
            if self.may_preempt(&waiting_rank, candidate.victim_job, &batch.usage) {
                batch.add(&candidate);
            }
        }
        (!batch.tasks.is_empty()).then_some(batch)
    }

    /// Returns whether tasks of `victim_job` may be stopped for the waiting job. They have to be of
    /// lower priority, or beyond their team's guarantee while the waiting job is within its own. In
    /// both cases `victim_job` must have a higher rank value than the waiting job.
    fn may_preempt(
        &self,
        waiting_rank: &PreemptionRank,
        victim_job: &Job,
        usage: &[Usage],
    ) -> bool {
        let has_lower_priority = victim_job.spec().priority > self.waiting_job.spec().priority;
        let reclaims_guarantee = victim_job.team != self.waiting_job.team
            && !waiting_rank.is_beyond_guarantee
            && self.cluster.is_beyond_guarantee(victim_job.team, usage);
        (has_lower_priority || reclaims_guarantee)
            && *waiting_rank < self.preemption_rank(victim_job, usage[victim_job.team])
    }

    fn preemption_rank(&self, job: &Job, usage: Usage) -> PreemptionRank {
        PreemptionRank {
            is_not_urgent: !job.is_urgent(),
            is_beyond_guarantee: !is_within_guarantee(self.cluster.team_of(job), usage),
            priority: job.spec().priority,
        }
    }

    /// Returns whether one more task of the waiting job is within its team's limit.
    fn is_next_task_within_limit(&self, usage: &[Usage]) -> bool {
        let usage = usage[self.waiting_job.team].plus(self.task_usage);
        is_within_limit(self.cluster.team_of(self.waiting_job), usage)
    }
}

impl VictimBatch {
    /// Adds a task to be stopped.
    fn add(&mut self, candidate: &VictimCandidate<'_>) {
        let spec = candidate.victim_job.spec();
        let usage = &mut self.usage[candidate.victim_job.team];
        *usage = usage.minus(Usage::of_tasks(spec, 1));
        self.free.add(&Resources::per_task(spec));
        self.tasks.push(candidate.key.clone());
    }
}

/// Returns the tasks on the machine that may be stopped, the lowest cost first.
fn victim_candidates<'a>(
    cluster: &'a Cluster,
    waiting_job: &Job,
    machine: &'a Machine,
    now: Instant,
) -> Vec<VictimCandidate<'a>> {
    let mut candidates = Vec::new();
    for (key, machine_task) in machine.tasks.iter() {
        let Some(victim_job) = cluster.jobs.get(&key.task.job) else { continue };
        if let Some(cost_cpu_s) =
            cluster.preemption_cost_cpu_s(waiting_job, victim_job, machine_task, now)
        {
            candidates.push(VictimCandidate { key, victim_job, cost_cpu_s });
        }
    }
    candidates.sort_by(|left, right| compare_f64(left.cost_cpu_s, right.cost_cpu_s));
    candidates
}
