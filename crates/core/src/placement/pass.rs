//! One placement pass over all waiting jobs and all machines with room.

use super::candidates::{Candidates, Choice, Preference};
use super::capacity::ClusterCapacity;
use super::queue::StartableJob;
use super::zones::{has_zone_constraint, ZoneConstraint};
use super::PlacementScope;
use crate::cluster::Cluster;
use crate::job::Job;
use crate::machine::Resources;
use crate::scheduler::Action;
use crate::team::{has_limit, is_within_guarantee, is_within_limit, tasks_within_limit, Usage};
use corkfield_wire::{JobId, TaskId};
use rand::rngs::SmallRng;
use std::time::Instant;

/// State of one placement pass: the cluster that it changes, and the capacity and usage that it
/// tracks.
pub(super) struct PlacementPass<'a> {
    pub(super) cluster: &'a mut Cluster,
    pub(super) capacity: ClusterCapacity,
    /// Usage of each team, indexed by its position in the settings, including the tasks placed in
    /// this pass.
    pub(super) usage: Vec<Usage>,
    /// Upper bound of the usage by tasks that are not known yet, which is counted against each team's
    /// limit (S8); `None` if no bound is known.
    pub(super) unaccounted_usage: Option<Usage>,
    /// Whether all tasks that earlier leaders started are accounted for. If not, only tasks that no
    /// earlier leader can have started are placed (S7).
    pub(super) is_reconciled: bool,
    pub(super) rng: &'a mut SmallRng,
    pub(super) actions: &'a mut Vec<Action>,
    /// Number of machines and tasks examined.
    pub(super) steps: u64,
    pub(super) now: Instant,
}

impl PlacementPass<'_> {
    /// Runs the pass: places the tasks of urgent jobs, then one task of each long-waiting job, then
    /// the other tasks within their teams' guarantees. All remaining tasks follow, in the queue
    /// order that results from those placements. Finally, running tasks are preempted for jobs that
    /// still wait.
    pub(super) fn run(&mut self, queue: &[StartableJob]) {
        let long_waiting = self.cluster.long_waiting_jobs(queue, self.now);
        let is_urgent = |startable: &StartableJob| self.cluster.jobs[&startable.id].is_urgent();
        let (urgent, others) = queue.split_at(queue.partition_point(is_urgent));
        self.place_guaranteed(urgent);
        for id in &long_waiting {
            self.place_job(id, PlacementScope::OneTask);
        }
        self.place_guaranteed(others);
        self.place_remaining();
        self.preempt_for_waiting_jobs();
    }

    fn place_guaranteed(&mut self, queue: &[StartableJob]) {
        for startable in queue {
            self.place_job(&startable.id, PlacementScope::Guaranteed);
            self.reserve_for_urgent(&startable.id);
        }
    }

    fn place_remaining(&mut self) {
        for startable in self.cluster.placement_queue(&self.usage, self.is_reconciled, self.now) {
            if self.capacity.with_room.is_empty() {
                return;
            }
            self.place_job(&startable.id, PlacementScope::All);
        }
    }

    /// Places waiting tasks of a job, as far as `scope` permits.
    fn place_job(&mut self, id: &JobId, scope: PlacementScope) {
        let Some(job) = self.cluster.jobs.get(id) else { return };
        if !self.may_place_task(job, scope) || self.needs_reconciliation(job) {
            return;
        }
        let eligible = self.eligible_machines(id, scope);
        if eligible.is_empty() || self.request_first_watermark(id) {
            return;
        }
        self.place_tasks(id, scope, eligible);
    }

    /// Returns whether one more task of the job is within the team's limit (S8) and, if `scope` is
    /// limited to the guarantee, within the team's guarantee.
    fn may_place_task(&self, job: &Job, scope: PlacementScope) -> bool {
        let team = self.cluster.team_of(job);
        let usage = self.usage[job.team].plus(Usage::of_tasks(job.spec(), 1));
        let is_within_limit = match self.unaccounted_usage {
            Some(unaccounted_usage) => is_within_limit(team, usage.plus(unaccounted_usage)),
            None => !has_limit(team),
        };
        let is_guarantee_only = scope == PlacementScope::Guaranteed && !job.is_urgent();
        is_within_limit && (!is_guarantee_only || is_within_guarantee(team, usage))
    }

    /// Returns how many of the job's waiting tasks are within the team's limit (S8).
    pub(super) fn tasks_within_limit(&self, job: &Job) -> u32 {
        let team = self.cluster.team_of(job);
        let waiting = job.waiting_tasks();
        match self.unaccounted_usage {
            Some(unaccounted_usage) => {
                let used = self.usage[job.team].plus(unaccounted_usage);
                tasks_within_limit(team, used, job.spec(), waiting)
            }
            None if has_limit(team) => 0,
            None => waiting,
        }
    }

    /// Returns whether the job has to wait until reconciliation is complete: it has a zone
    /// constraint, which must hold for all its tasks (S8), and the zones of tasks that earlier
    /// controllers may have started are not known yet.
    fn needs_reconciliation(&self, job: &Job) -> bool {
        let may_have_started = job.record.previous_start_watermark > 0;
        !self.is_reconciled && has_zone_constraint(job.spec()) && may_have_started
    }

    /// Returns the positions of the machines that the job may use and that have room for one of its
    /// tasks.
    fn eligible_machines(&mut self, id: &JobId, scope: PlacementScope) -> Vec<usize> {
        let examined = match scope {
            PlacementScope::OneTask => self.capacity.machines.len(),
            PlacementScope::Guaranteed | PlacementScope::All => self.capacity.with_room.len(),
        };
        self.steps += examined as u64;
        self.capacity.eligible_machines(&self.cluster.jobs[id], scope, &self.cluster.machines)
    }

    /// Requests the first start watermark if the job's record has none, and returns whether it was
    /// missing. This method is called only when there is room for a task of the job. After a
    /// failover, tasks below the watermark count as possibly started and wait until all machines
    /// have reported their tasks, which takes long if some of the machines send no heartbeats.
    fn request_first_watermark(&mut self, id: &JobId) -> bool {
        let Some(job) = self.cluster.jobs.get_mut(id) else { return true };
        let needs_watermark = job.needs_first_watermark();
        if needs_watermark {
            job.request_start_watermark_raise();
        }
        needs_watermark
    }

    /// Places tasks of a job on eligible machines until no task is left, no machine has room or the
    /// team's limit or guarantee is reached.
    fn place_tasks(&mut self, id: &JobId, scope: PlacementScope, eligible: Vec<usize>) {
        let job = &self.cluster.jobs[id];
        let need = Resources::per_task(job.spec());
        let machines = &self.capacity.machines;
        let image_holders = self.capacity.image_holders(&job.spec().image);
        let mut candidates = Candidates::new(eligible, machines, image_holders, scope);
        let mut zones =
            ZoneConstraint::new(job, &self.cluster.machines, machines, candidates.all());
        let mut needs_room_check = true;
        while self.may_place_task(&self.cluster.jobs[id], scope) {
            if needs_room_check {
                let machines = &self.capacity.machines;
                candidates.retain(|position| {
                    let machine = &machines[*position];
                    machine.has_room_for(&need, scope) && zones.allows(&machine.zone)
                });
            }
            let Some(position) = self.place_next_task(id, &mut candidates) else { return };
            let machine = &self.capacity.machines[position];
            zones.add_task(&machine.zone);
            if scope == PlacementScope::OneTask {
                return;
            }
            needs_room_check = !machine.fits_unreserved(&need) || zones.is_full(&machine.zone);
        }
    }

    /// Places the next task of a job on the preferred candidate. Returns the machine's position, or
    /// `None` if no candidate or no task is left.
    fn place_next_task(&mut self, id: &JobId, candidates: &mut Candidates) -> Option<usize> {
        let sample = self.cluster.config.placement_sample;
        let choice = candidates.choose(&self.capacity.machines, sample, self.rng)?;
        let index = self.cluster.jobs.get_mut(id)?.pop_startable_task(!self.is_reconciled)?;
        let position = self.record_choice(id, candidates, choice);
        self.assign_task(TaskId { job: id.clone(), index }, position)?;
        Some(position)
    }

    /// Records that the chosen machine is used and will hold the image. Returns the machine's
    /// position.
    fn record_choice(&mut self, id: &JobId, candidates: &mut Candidates, choice: Choice) -> usize {
        let position = candidates.record_choice(choice);
        if choice.preference == Preference::LacksImage {
            let image = &self.cluster.jobs[id].spec().image;
            self.capacity.add_image_holder(image, position);
        }
        position
    }

    /// Assigns a task to a machine and updates the machine's capacity and the team's usage. Returns
    /// `None` if the machine or the job is unknown.
    fn assign_task(&mut self, task: TaskId, position: usize) -> Option<()> {
        let capacity = &mut self.capacity.machines[position];
        let machine = self.cluster.machines.get_mut(&capacity.name)?;
        let job = self.cluster.jobs.get_mut(&task.job)?;
        let attempt = job.next_attempt();
        if machine.tasks.is_empty() {
            // The answer to the machine's heartbeat may have been delayed until there is a task to
            // start.
            self.actions.push(Action::SendHeldAnswer(machine.name.clone()));
        }
        let index = task.index;
        machine.assign_task(task, attempt, job, self.now);
        job.place_task(index, machine.name.as_str(), attempt);
        let usage = &mut self.usage[job.team];
        *usage = usage.plus(Usage::of_tasks(job.spec(), 1));
        capacity.allocate(&Resources::per_task(job.spec()), job.spec().priority);
        Some(())
    }
}
