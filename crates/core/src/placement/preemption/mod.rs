//! Preemption: running tasks are stopped for jobs that wait, the cheapest loss first.

mod grace;
mod loss;
mod victims;

use super::pass::PlacementPass;
use super::queue::StartableJob;
use super::MIN_TASK_CPUS;
use crate::cluster::Cluster;
use crate::float_order::compare;
use crate::job::Job;
use crate::machine::TaskAttempt;
use crate::scheduler::direct_orders;
use crate::team::{within_guarantee, Usage};
use corkfield_wire::{JobId, MachineName};
use rand::seq::index;
use std::time::{Duration, Instant};
use victims::VictimSelection;

/// Machines searched for tasks to stop in one pass, in samples.
const SAMPLES_PER_PASS: usize = 8;

/// Machines searched for each task that waits for room, at the least.
const MACHINES_PER_TASK: usize = 2;

/// A machine that takes tasks, as it was when the search began.
struct SearchedMachine {
    name: MachineName,
    free_cpus: f64,
    /// CPUs that its tasks take, by priority.
    cpus_by_priority: [f64; 4],
}

/// The machines to search in one pass, and what is being freed already.
struct PreemptionSearch {
    /// Where most is free, and least has to be stopped, first.
    machines: Vec<SearchedMachine>,
    /// Machines that may still be searched for tasks to stop.
    searches_left: usize,
    /// CPUs of tasks that are being stopped, and not yet meant for a job.
    freeing_cpus: f64,
}

impl PreemptionSearch {
    fn new(cluster: &Cluster, now: Instant) -> Self {
        let overdue_after = cluster.config.heartbeat_overdue_after();
        let mut machines: Vec<SearchedMachine> = cluster
            .machines
            .values()
            .filter(|machine| machine.can_accept_starts(now, overdue_after))
            .map(|machine| SearchedMachine {
                name: machine.name.clone(),
                free_cpus: machine.free_resources().map_or(0.0, |free| free.cpus),
                cpus_by_priority: machine.tasks.totals().by_priority.map(|need| need.cpus),
            })
            .collect();
        machines.sort_by(|left, right| compare(right.free_cpus, left.free_cpus));
        let totals = cluster.machines.values().map(|machine| machine.tasks.totals());
        Self {
            machines,
            searches_left: cluster.config.placement_sample.max(1) * SAMPLES_PER_PASS,
            freeing_cpus: totals.map(|totals| totals.stopping_cpus).sum(),
        }
    }

    /// How many of the job's tasks need others to be stopped, beyond those that fit into what is
    /// being freed already; that is theirs then.
    fn tasks_without_room(&mut self, startable: &StartableJob, task_cpus: f64) -> u32 {
        let slots = (self.freeing_cpus / task_cpus.max(MIN_TASK_CPUS)).floor();
        let covered = slots.min(f64::from(startable.tasks));
        self.freeing_cpus -= covered * task_cpus;
        startable.tasks - covered as u32
    }
}

impl PlacementPass<'_> {
    /// Stops tasks of lower priority, or beyond their team's guarantee, for jobs that wait.
    pub(super) fn preempt(&mut self) {
        let queue = self.cluster.placement_queue(&self.usage, self.reconciled, self.now);
        if queue.is_empty() {
            return;
        }
        let mut search = PreemptionSearch::new(self.cluster, self.now);
        for startable in &queue {
            if search.searches_left == 0 {
                return;
            }
            self.preempt_for(startable, &mut search);
        }
    }

    /// Stops tasks for one job, if it has waited for long enough.
    fn preempt_for(&mut self, startable: &StartableJob, search: &mut PreemptionSearch) {
        let Some(job) = self.cluster.jobs.get(&startable.id) else { return };
        let guaranteed = self.cluster.next_task_guaranteed(job, &self.usage);
        let waited = self.now.saturating_duration_since(job.accepted_at);
        if waited < self.cluster.preemption_grace(job, guaranteed) {
            return;
        }
        let mut wanted = search.tasks_without_room(startable, job.spec().cpus);
        if wanted == 0 {
            return;
        }
        let candidates = self.machines_with_victims(job, guaranteed, &search.machines);
        let machines = self.sample_machines(candidates, wanted, search.searches_left);
        for position in machines {
            if wanted == 0 {
                return;
            }
            search.searches_left -= 1;
            wanted -=
                self.preempt_on(&startable.id, search.machines[position].name.as_str(), wanted);
        }
    }

    /// Positions of the machines that may hold something to be stopped for the job: most hold
    /// nothing.
    fn machines_with_victims(
        &self,
        job: &Job,
        guaranteed: bool,
        machines: &[SearchedMachine],
    ) -> Vec<usize> {
        let others_beyond_guarantee = || {
            (0..self.usage.len())
                .any(|team| team != job.team && self.cluster.beyond_guarantee(team, &self.usage))
        };
        let any_machine = guaranteed && others_beyond_guarantee();
        let lower = job.spec().priority as usize + 1;
        let runs_lower = |machine: &SearchedMachine| {
            machine.cpus_by_priority[lower..].iter().any(|cpus| *cpus > 0.0)
        };
        (0..machines.len())
            .filter(|position| any_machine || runs_lower(&machines[*position]))
            .collect()
    }

    /// A sample of the machines, another one in the next pass: searching hundreds of them for
    /// hundreds of jobs costs too much.
    fn sample_machines(
        &mut self,
        candidates: Vec<usize>,
        wanted: u32,
        searches_left: usize,
    ) -> Vec<usize> {
        let sample = self.cluster.config.placement_sample;
        let most = sample.max(wanted as usize * MACHINES_PER_TASK).min(searches_left);
        if candidates.len() <= most {
            return candidates;
        }
        let sample = index::sample(self.rng, candidates.len(), most);
        let mut sampled: Vec<usize> = sample.into_iter().map(|entry| candidates[entry]).collect();
        sampled.sort_unstable();
        sampled
    }

    /// Stops tasks on one machine for up to `wanted` tasks of a job; for how many.
    fn preempt_on(&mut self, id: &JobId, name: &str, wanted: u32) -> u32 {
        let cluster = &*self.cluster;
        self.steps += cluster.machines[name].tasks.len() as u64;
        let Some(selection) = VictimSelection::new(cluster, id, name, &self.usage, self.now) else {
            return 0;
        };
        let victims = selection.select(wanted, &mut self.usage);
        self.stop_tasks(id, name, victims.tasks);
        victims.places
    }

    /// Orders tasks to stop, with time to save for those that can.
    fn stop_tasks(&mut self, id: &JobId, name: &str, tasks: Vec<TaskAttempt>) {
        let Some(machine) = self.cluster.machines.get_mut(name) else { return };
        if tasks.is_empty() {
            return;
        }
        tracing::debug!(job = %id, machine = name, tasks = tasks.len(), "preempting tasks");
        let mut orders = Vec::new();
        for key in tasks {
            let grace =
                self.cluster.jobs.get(&key.task.job).map_or(Duration::ZERO, Job::stop_grace);
            orders.extend(machine.stop_task(&key, grace));
        }
        self.actions.push(direct_orders(machine, orders));
    }
}

impl Cluster {
    /// Whether a team uses more than its guarantee, or has none.
    fn beyond_guarantee(&self, team: usize, usage: &[Usage]) -> bool {
        !within_guarantee(&self.config.teams[team], usage[team])
    }
}
