//! One placement pass over all waiting jobs and all machines with room.

use super::candidates::{Candidates, Choice, Preference};
use super::capacity::ClusterCapacity;
use super::queue::StartableJob;
use super::zones::{binds_zones, ZoneRule};
use super::PlacementScope;
use crate::cluster::Cluster;
use crate::job::Job;
use crate::machine::Resources;
use crate::scheduler::Action;
use crate::team::{is_limited, within_guarantee, within_limit, Usage};
use corkfield_wire::{JobId, TaskId};
use rand::rngs::SmallRng;
use std::time::Instant;

/// One placement pass: the cluster that it changes, and what it knows of room and usage.
pub(super) struct PlacementPass<'a> {
    pub(super) cluster: &'a mut Cluster,
    pub(super) capacity: ClusterCapacity,
    /// What each team uses, by its position in the settings, with what the pass placed.
    pub(super) usage: Vec<Usage>,
    /// The most that tasks not known yet can use (S8); `None` while that is not known either.
    pub(super) unaccounted_usage: Option<Usage>,
    /// Whether all tasks that earlier leaders started are accounted for (S7).
    pub(super) reconciled: bool,
    pub(super) rng: &'a mut SmallRng,
    pub(super) actions: &'a mut Vec<Action>,
    /// Machines and tasks looked at.
    pub(super) steps: u64,
    pub(super) now: Instant,
}

impl PlacementPass<'_> {
    /// Places first what comes before the rest because it is within a guarantee, and no more of it
    /// than that; then what is left, in the order that results. At last tasks are stopped for jobs
    /// that still wait.
    pub(super) fn run(&mut self, queue: &[StartableJob]) {
        let long_waiting = self.cluster.long_waiting_jobs(queue, self.now);
        let is_urgent = |startable: &StartableJob| self.cluster.jobs[&startable.id].is_urgent();
        let (urgent, others) = queue.split_at(queue.partition_point(is_urgent));
        self.place_guaranteed(urgent);
        for id in &long_waiting {
            self.place_job(id, PlacementScope::OneTask);
        }
        self.place_guaranteed(others);
        self.place_rest();
        self.preempt();
    }

    fn place_guaranteed(&mut self, queue: &[StartableJob]) {
        for startable in queue {
            self.place_job(&startable.id, PlacementScope::Guaranteed);
            self.reserve_for_urgent(&startable.id);
        }
    }

    fn place_rest(&mut self) {
        for startable in self.cluster.placement_queue(&self.usage, self.reconciled, self.now) {
            if self.capacity.open.is_empty() {
                return;
            }
            self.place_job(&startable.id, PlacementScope::All);
        }
    }

    /// Places waiting tasks of a job.
    fn place_job(&mut self, id: &JobId, scope: PlacementScope) {
        let Some(job) = self.cluster.jobs.get(id) else { return };
        if !self.team_allows_task(job, scope) || self.awaits_placed_tasks(job) {
            return;
        }
        let eligible = self.eligible_machines(id, scope);
        if eligible.is_empty() || self.request_first_starts(id) {
            return;
        }
        self.place_tasks(id, scope, eligible);
    }

    /// Whether the team's limit, and its guarantee where only that is placed, hold one more task of
    /// the job (S8).
    fn team_allows_task(&self, job: &Job, scope: PlacementScope) -> bool {
        let team = self.cluster.team_of(job);
        let next = self.usage[job.team].plus(Usage::of_tasks(job.spec(), 1));
        let within_limit = match self.unaccounted_usage {
            Some(unaccounted_usage) => within_limit(team, next.plus(unaccounted_usage)),
            None => !is_limited(team),
        };
        let guarantee_only = scope == PlacementScope::Guaranteed && !job.is_urgent();
        within_limit && (!guarantee_only || within_guarantee(team, next))
    }

    /// Whether the zones matter in which tasks of the job are that earlier owners may have started,
    /// while it is not known yet where those are (S8).
    fn awaits_placed_tasks(&self, job: &Job) -> bool {
        let may_have_begun = job.record.previous_start_watermark > 0;
        !self.reconciled && binds_zones(job.spec()) && may_have_begun
    }

    /// Positions of the machines that the job may use, and that have room for one of its tasks.
    fn eligible_machines(&mut self, id: &JobId, scope: PlacementScope) -> Vec<usize> {
        let looked_at = match scope {
            PlacementScope::OneTask => self.capacity.machines.len(),
            PlacementScope::Guaranteed | PlacementScope::All => self.capacity.open.len(),
        };
        self.steps += looked_at as u64;
        self.capacity.eligible(&self.cluster.jobs[id], scope, &self.cluster.machines)
    }

    /// Asks for the job's record to allow first starts, if it allows none yet; true if it does not.
    /// There is room now. Not before: what a record allows counts as begun after a failover, and
    /// then has to wait until all machines have shown what they hold, which takes long if a part of
    /// them is silent.
    fn request_first_starts(&mut self, id: &JobId) -> bool {
        let Some(job) = self.cluster.jobs.get_mut(id) else { return true };
        let waits = job.needs_first_watermark();
        if waits {
            job.request_start_watermark_raise();
        }
        waits
    }

    /// Places tasks of a job on eligible machines until tasks, room or the team's share run out.
    fn place_tasks(&mut self, id: &JobId, scope: PlacementScope, eligible: Vec<usize>) {
        let job = &self.cluster.jobs[id];
        let need = Resources::per_task(job.spec());
        let machines = &self.capacity.machines;
        let image_holders = self.capacity.image_holders(&job.spec().image);
        let mut candidates = Candidates::new(eligible, machines, image_holders, scope);
        let mut zones = ZoneRule::new(job, &self.cluster.machines, machines, candidates.all());
        let mut recheck_room = true;
        while self.team_allows_task(&self.cluster.jobs[id], scope) {
            if recheck_room {
                let machines = &self.capacity.machines;
                candidates.retain(|position| {
                    let machine = &machines[*position];
                    machine.has_room_for(&need, scope) && zones.allows(&machine.zone)
                });
            }
            let Some(position) = self.place_next_task(id, &mut candidates) else { return };
            let machine = &self.capacity.machines[position];
            zones.count_task(&machine.zone);
            if scope == PlacementScope::OneTask {
                return;
            }
            recheck_room = !machine.fits(&need) || zones.is_full(&machine.zone);
        }
    }

    /// Places the next task of a job on the preferred candidate; its position, or `None` if there
    /// is no candidate or no task left.
    fn place_next_task(&mut self, id: &JobId, candidates: &mut Candidates) -> Option<usize> {
        let sample = self.cluster.config.placement_sample;
        let choice = candidates.choose(&self.capacity.machines, sample, self.rng)?;
        let index = self.cluster.jobs.get_mut(id)?.pop_startable_task(!self.reconciled)?;
        let position = self.take_candidate(id, candidates, choice);
        self.assign(TaskId { job: id.clone(), index }, position)?;
        Some(position)
    }

    /// Takes the chosen machine, which is going to fetch the image if it lacks it; its position.
    fn take_candidate(&mut self, id: &JobId, candidates: &mut Candidates, choice: Choice) -> usize {
        let position = candidates.take(choice);
        if choice.preference == Preference::LacksImage {
            let image = &self.cluster.jobs[id].spec().image;
            self.capacity.add_image_holder(image, position);
        }
        position
    }

    /// Assigns a task to a machine, and takes its room and its part of the team's share. `None` if
    /// the machine or the job is not known.
    fn assign(&mut self, task: TaskId, position: usize) -> Option<()> {
        let capacity = &mut self.capacity.machines[position];
        let machine = self.cluster.machines.get_mut(&capacity.name)?;
        let job = self.cluster.jobs.get_mut(&task.job)?;
        let attempt = job.next_attempt();
        if machine.tasks.is_empty() {
            // Its heartbeat may be waiting for an answer.
            self.actions.push(Action::Answer(machine.name.clone()));
        }
        let index = task.index;
        machine.assign_task(task, attempt, job, self.now);
        job.place_task(index, machine.name.as_str(), attempt);
        let usage = &mut self.usage[job.team];
        *usage = usage.plus(Usage::of_tasks(job.spec(), 1));
        capacity.place(&Resources::per_task(job.spec()), job.spec().priority);
        Some(())
    }
}
