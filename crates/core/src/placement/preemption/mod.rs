//! Preemption: stops tasks on machines to make room for waiting jobs; the tasks whose stop costs the
//! least are stopped first.

mod cost;
mod delay;
mod victims;

use super::pass::PlacementPass;
use super::queue::StartableJob;
use super::MIN_TASK_CPUS;
use crate::cluster::Cluster;
use crate::float_order::compare_f64;
use crate::job::Job;
use crate::machine::TaskAttempt;
use crate::scheduler::direct_orders_action;
use crate::team::{is_within_guarantee, Usage};
use corkfield_wire::{JobId, MachineName};
use rand::seq::index;
use std::time::{Duration, Instant};
use victims::VictimSelection;

/// Maximum number of machines that one pass searches for tasks to stop, as a multiple of the
/// placement sample.
const SAMPLES_PER_PASS: usize = 8;

/// For a job that needs room for many tasks, this many machines are searched for each of the tasks,
/// even if that exceeds the placement sample.
const MACHINES_PER_TASK: usize = 2;

/// Snapshot of a machine that accepts starts, taken at the beginning of the search.
struct MachineSnapshot {
    name: MachineName,
    free_cpus: f64,
    /// CPUs that the machine's tasks use, by priority.
    cpus_by_priority: [f64; 4],
}

/// The machines to search in one pass, and the CPUs that are already being freed.
struct PreemptionSearch {
    /// The machines in descending order of free CPUs: those with the most free CPUs need the fewest
    /// tasks stopped.
    machines: Vec<MachineSnapshot>,
    /// How many more machines may be searched for tasks to stop.
    searches_left: usize,
    /// CPUs of tasks that are being stopped and that are not yet attributed to a waiting job.
    freeing_cpus: f64,
}

impl PreemptionSearch {
    fn new(cluster: &Cluster, now: Instant) -> Self {
        let heartbeat_timeout = cluster.config.heartbeat_timeout();
        let mut machines: Vec<MachineSnapshot> = cluster
            .machines
            .values()
            .filter(|machine| machine.can_accept_starts(now, heartbeat_timeout))
            .map(|machine| MachineSnapshot {
                name: machine.name.clone(),
                free_cpus: machine.free_resources().map_or(0.0, |free| free.cpus),
                cpus_by_priority: machine.tasks.totals().by_priority.map(|need| need.cpus),
            })
            .collect();
        machines.sort_by(|left, right| compare_f64(right.free_cpus, left.free_cpus));
        let totals = cluster.machines.values().map(|machine| machine.tasks.totals());
        Self {
            machines,
            searches_left: cluster.config.placement_sample.max(1) * SAMPLES_PER_PASS,
            freeing_cpus: totals.map(|totals| totals.stopping_cpus).sum(),
        }
    }

    /// Returns how many of the job's tasks need other tasks to be stopped. CPUs that are already
    /// being freed are attributed to the job first.
    fn tasks_needing_preemption(&mut self, startable: &StartableJob, task_cpus: f64) -> u32 {
        let slots = (self.freeing_cpus / task_cpus.max(MIN_TASK_CPUS)).floor();
        let covered_tasks = slots.min(f64::from(startable.tasks));
        self.freeing_cpus -= covered_tasks * task_cpus;
        startable.tasks - covered_tasks as u32
    }
}

impl PlacementPass<'_> {
    /// Stops tasks of lower priority, and tasks beyond their team's guarantee, for waiting jobs.
    pub(super) fn preempt_for_waiting_jobs(&mut self) {
        let queue = self.cluster.placement_queue(&self.usage, self.is_reconciled, self.now);
        if queue.is_empty() {
            return;
        }
        let mut search = PreemptionSearch::new(self.cluster, self.now);
        for startable in &queue {
            if search.searches_left == 0 {
                return;
            }
            self.preempt_for_job(startable, &mut search);
        }
    }

    /// Stops tasks for one job if it has waited long enough.
    fn preempt_for_job(&mut self, startable: &StartableJob, search: &mut PreemptionSearch) {
        let Some(job) = self.cluster.jobs.get(&startable.id) else { return };
        let is_guaranteed = self.cluster.is_next_task_guaranteed(job, &self.usage);
        let waited = self.now.saturating_duration_since(job.accepted_at);
        if waited < self.cluster.preemption_delay(job, is_guaranteed) {
            return;
        }
        let mut missing_slots = search.tasks_needing_preemption(startable, job.spec().cpus);
        if missing_slots == 0 {
            return;
        }
        let candidates = self.machines_with_possible_victims(job, is_guaranteed, &search.machines);
        let machines = self.sample_machines(candidates, missing_slots, search.searches_left);
        for position in machines {
            if missing_slots == 0 {
                return;
            }
            search.searches_left -= 1;
            missing_slots -= self.preempt_on_machine(
                &startable.id,
                search.machines[position].name.as_str(),
                missing_slots,
            );
        }
    }

    /// Returns the positions of the machines that may hold tasks to be stopped for the job. The other
    /// machines, usually most of them, need not be searched.
    fn machines_with_possible_victims(
        &self,
        job: &Job,
        is_guaranteed: bool,
        machines: &[MachineSnapshot],
    ) -> Vec<usize> {
        let has_other_team_beyond_guarantee = || {
            (0..self.usage.len())
                .any(|team| team != job.team && self.cluster.is_beyond_guarantee(team, &self.usage))
        };
        let may_use_any_machine = is_guaranteed && has_other_team_beyond_guarantee();
        let first_lower_priority = job.spec().priority as usize + 1;
        let has_lower_priority_tasks = |machine: &MachineSnapshot| {
            machine.cpus_by_priority[first_lower_priority..].iter().any(|cpus| *cpus > 0.0)
        };
        (0..machines.len())
            .filter(|position| {
                may_use_any_machine || has_lower_priority_tasks(&machines[*position])
            })
            .collect()
    }

    /// Returns a random sample of the candidates, a different one in each pass. Searching hundreds
    /// of machines for hundreds of jobs would cost too much.
    fn sample_machines(
        &mut self,
        candidates: Vec<usize>,
        missing_slots: u32,
        searches_left: usize,
    ) -> Vec<usize> {
        let sample = self.cluster.config.placement_sample;
        let max_machines =
            sample.max(missing_slots as usize * MACHINES_PER_TASK).min(searches_left);
        if candidates.len() <= max_machines {
            return candidates;
        }
        let sample = index::sample(self.rng, candidates.len(), max_machines);
        let mut sampled: Vec<usize> = sample.into_iter().map(|entry| candidates[entry]).collect();
        sampled.sort_unstable();
        sampled
    }

    /// Stops tasks on one machine for up to `missing_slots` tasks of a job. Returns for how many
    /// tasks it made room.
    fn preempt_on_machine(&mut self, id: &JobId, name: &str, missing_slots: u32) -> u32 {
        let cluster = &*self.cluster;
        self.steps += cluster.machines[name].tasks.len() as u64;
        let Some(selection) = VictimSelection::new(cluster, id, name, &self.usage, self.now) else {
            return 0;
        };
        let victims = selection.select(missing_slots, &mut self.usage);
        self.stop_tasks(id, name, victims.tasks);
        victims.slots
    }

    /// Orders the worker to stop tasks. Tasks that save checkpoints get time to save.
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
        self.actions.push(direct_orders_action(machine, orders));
    }
}

impl Cluster {
    /// Returns whether the team uses more than its guarantee. A team without a guarantee is always
    /// beyond it.
    fn is_beyond_guarantee(&self, team: usize, usage: &[Usage]) -> bool {
        !is_within_guarantee(&self.config.teams[team], usage[team])
    }
}
