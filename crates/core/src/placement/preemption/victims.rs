//! Which tasks on one machine are stopped for a job.

use crate::cluster::Cluster;
use crate::float_order::compare;
use crate::job::Job;
use crate::machine::TaskAttempt;
use crate::machine::{Machine, Resources};
use crate::team::{within_guarantee, within_limit, Usage};
use corkfield_wire::{JobId, Priority};
use std::time::Instant;

/// Tasks to stop on a machine.
#[derive(Default)]
pub(super) struct Victims {
    pub(super) tasks: Vec<TaskAttempt>,
    /// How many tasks of the waiting job get room.
    pub(super) places: u32,
}

/// A task that may be stopped.
struct Candidate<'a> {
    key: &'a TaskAttempt,
    owner: &'a Job,
    /// CPU seconds lost with it.
    loss: f64,
}

/// Where a job stands in the queue, the best first. Tasks are only stopped for a job that stands
/// before theirs: otherwise each would be placed before the other and stopped for it, again and
/// again.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Standing {
    not_urgent: bool,
    beyond_guarantee: bool,
    priority: Priority,
}

/// The tasks that make room for one more task of the waiting job, and what is left once they are
/// gone.
struct Batch {
    tasks: Vec<TaskAttempt>,
    free: Resources,
    usage: Vec<Usage>,
}

/// The selection of tasks on one machine that are stopped for a waiting job.
pub(super) struct VictimSelection<'a> {
    cluster: &'a Cluster,
    job: &'a Job,
    /// What a task of the job takes, of the machine and of its team's share.
    need: Resources,
    task_usage: Usage,
    /// What is free on the machine, with what was selected.
    free: Resources,
    /// Tasks not looked at yet, the cheapest loss first.
    candidates: std::vec::IntoIter<Candidate<'a>>,
}

impl<'a> VictimSelection<'a> {
    /// A selection for the job on the machine of that name; `None` if the job may not use the
    /// machine, or its team has reached its limit.
    pub(super) fn new(
        cluster: &'a Cluster,
        id: &JobId,
        name: &str,
        usage: &[Usage],
        now: Instant,
    ) -> Option<Self> {
        let (job, machine) = (&cluster.jobs[id], &cluster.machines[name]);
        let has_failed = machine.has_failures() || job.has_failed_on(machine.name.as_str());
        if !machine.may_run(job.spec()) || has_failed {
            return None;
        }
        let mut selection = Self {
            cluster,
            job,
            need: Resources::per_task(job.spec()),
            task_usage: Usage::of_tasks(job.spec(), 1),
            free: machine.free_resources()?,
            candidates: Vec::new().into_iter(),
        };
        if !selection.within_limit(usage) {
            return None;
        }
        selection.candidates = candidates(cluster, job, machine, now).into_iter();
        Some(selection)
    }

    /// Selects the tasks to stop for up to `wanted` tasks of the job, and takes both into account
    /// in the usage.
    pub(super) fn select(mut self, wanted: u32, usage: &mut [Usage]) -> Victims {
        let mut victims = Victims::default();
        while victims.places < wanted && self.within_limit(usage) {
            let Some(batch) = self.next_batch(usage) else { break };
            self.free = batch.free;
            self.free.subtract(&self.need);
            usage.copy_from_slice(&batch.usage);
            usage[self.job.team] = usage[self.job.team].plus(self.task_usage);
            victims.places += 1;
            victims.tasks.extend(batch.tasks);
        }
        victims
    }

    /// The next tasks that together make room for one task of the job; `None` if there are too few,
    /// or if it fits as it is, and is held up by something else.
    fn next_batch(&mut self, usage: &[Usage]) -> Option<Batch> {
        let standing = self.standing(self.job, usage[self.job.team].plus(self.task_usage));
        let mut batch = Batch { tasks: Vec::new(), free: self.free, usage: usage.to_vec() };
        while !batch.free.can_fit(&self.need) {
            let candidate = self.candidates.next()?;
            if self.may_stop_for(&standing, candidate.owner, &batch.usage) {
                batch.add(&candidate);
            }
        }
        (!batch.tasks.is_empty()).then_some(batch)
    }

    /// Whether tasks of the owner may be stopped for the job: those of lower priority, or those
    /// beyond their team's guarantee for what is within one, if the owner stands behind the job.
    fn may_stop_for(&self, standing: &Standing, owner: &Job, usage: &[Usage]) -> bool {
        let lower_priority = owner.spec().priority > self.job.spec().priority;
        let owed = owner.team != self.job.team
            && !standing.beyond_guarantee
            && self.cluster.beyond_guarantee(owner.team, usage);
        (lower_priority || owed) && *standing < self.standing(owner, usage[owner.team])
    }

    fn standing(&self, job: &Job, usage: Usage) -> Standing {
        Standing {
            not_urgent: !job.is_urgent(),
            beyond_guarantee: !within_guarantee(self.cluster.team_of(job), usage),
            priority: job.spec().priority,
        }
    }

    /// Whether the limit of the job's team holds one more task.
    fn within_limit(&self, usage: &[Usage]) -> bool {
        let next = usage[self.job.team].plus(self.task_usage);
        within_limit(self.cluster.team_of(self.job), next)
    }
}

impl Batch {
    /// Takes a task to be stopped into account.
    fn add(&mut self, candidate: &Candidate<'_>) {
        let spec = candidate.owner.spec();
        let usage = &mut self.usage[candidate.owner.team];
        *usage = usage.minus(Usage::of_tasks(spec, 1));
        self.free.add(&Resources::per_task(spec));
        self.tasks.push(candidate.key.clone());
    }
}

/// The tasks on the machine that may be stopped, the cheapest loss first.
fn candidates<'a>(
    cluster: &'a Cluster,
    job: &Job,
    machine: &'a Machine,
    now: Instant,
) -> Vec<Candidate<'a>> {
    let mut candidates = Vec::new();
    for (key, machine_task) in machine.tasks.iter() {
        let Some(owner) = cluster.jobs.get(&key.task.job) else { continue };
        if let Some(loss) = cluster.preemption_loss(job, owner, machine_task, now) {
            candidates.push(Candidate { key, owner, loss });
        }
    }
    candidates.sort_by(|left, right| compare(left.loss, right.loss));
    candidates
}
