//! Claimed jobs: taking them up, and closing those that are over.

use super::{direct_orders, Action, Scheduler};
use crate::job::{Job, JobState, Placed};
use crate::machine::MachineTaskState;
use corkfield_wire::records::JobRecord;
use corkfield_wire::worker::Order;
use corkfield_wire::{JobId, TaskId, TaskSet};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

impl Scheduler {
    /// Jobs that have to be claimed once more.
    pub fn jobs_to_reclaim(&self) -> Vec<JobId> {
        let lease_expired =
            self.cluster.jobs.iter().filter(|(_, j)| j.state() == JobState::NeedsReclaim);
        lease_expired.map(|(id, _)| id.clone()).collect()
    }

    /// Which unfinished jobs are still to be claimed. A failover claims them a few at a time,
    /// and their machines report meanwhile: tasks of jobs that are merely not claimed yet must
    /// neither be stopped as nobody's, nor their results be forgotten.
    pub fn set_unclaimed(&mut self, unclaimed: BTreeSet<JobId>) {
        self.unclaimed = unclaimed;
    }

    /// A job that was claimed, with its finished tasks.
    pub fn claimed(
        &mut self,
        record: JobRecord,
        finished: TaskSet,
        version: u64,
        age: Duration,
        now: Instant,
    ) {
        let Some(team) = self.cluster.config.teams.iter().position(|t| t.name == record.spec.team)
        else {
            tracing::error!(job = %record.spec.id, "claimed a job of an unknown team");
            return;
        };
        let id = record.spec.id.clone();
        if let Some(job) = self.cluster.jobs.get_mut(&id).filter(|j| j.is_live()) {
            job.reclaimed(record, version, now);
            if job.state() == JobState::DeadLettered {
                self.stop_job(&id);
            }
            return;
        }
        let mut job = Job::new(record, finished, version, team, age, now);
        // Tasks that fresh machines reported before the claim are taken up now.
        for machine in self.cluster.machines.values_mut() {
            for ((task, attempt), machine_task) in
                machine.tasks.iter_mut().filter(|((t, _), _)| t.job == id)
            {
                machine_task.belongs_to(job.spec(), team);
                if machine_task.state == MachineTaskState::Done {
                    job.finish(task.index);
                } else if machine_task.takes_room() && !job.active().contains_key(&task.index) {
                    machine_task.stop = None;
                    job.place(task.index, &machine.name, *attempt);
                }
            }
        }
        let spec = job.spec();
        tracing::debug!(
            job = %id,
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
            generation = job.record.generation,
            claims = job.record.claims,
            "claimed"
        );
        self.cluster.jobs.insert(id, job);
    }

    /// Closes all jobs that are no longer unfinished.
    pub fn close_all_but(&mut self, unfinished: impl Fn(&JobId) -> bool) {
        let live = self.cluster.jobs.iter().filter(|(_, job)| job.is_live()).map(|(id, _)| id);
        let over = live.chain(&self.unclaimed).filter(|id| !unfinished(id)).cloned();
        for id in over.collect::<Vec<JobId>>() {
            self.close_job(&id);
        }
    }

    /// The job is cancelled, done, or another's: nothing of it may start any more, and what of it
    /// is on machines is stopped, whether it was claimed yet or not.
    pub fn close_job(&mut self, id: &JobId) {
        let unclaimed = self.unclaimed.remove(id);
        match self.cluster.jobs.get_mut(id) {
            Some(job) if job.is_live() => job.enter(JobState::Closing),
            None if unclaimed => {}
            _ => return,
        }
        tracing::debug!(job = %id, "closed");
        self.stop_job(id);
        self.sweep_job(id);
    }

    fn stop_job(&mut self, id: &JobId) {
        let mut orders: Vec<Action> = Vec::new();
        for machine in self.cluster.machines.values_mut().filter(|m| m.tasks.has_tasks_of(id)) {
            machine.tasks.retain(|(task, _), machine_task| {
                !(task.job == *id && machine_task.state == MachineTaskState::Assigned)
            });
            let mut stops = Vec::new();
            for ((task, attempt), machine_task) in machine.tasks.iter_mut() {
                if task.job == *id && machine_task.takes_room() {
                    machine_task.stop = Some(Duration::ZERO);
                    let (task, attempt) = (task.clone(), *attempt);
                    stops.push(Order::Stop { task, attempt, grace_s: 0.0 });
                }
            }
            if !stops.is_empty() && machine.agent_epoch > 0 {
                orders.push(direct_orders(machine, stops));
            }
        }
        self.actions.extend(orders);
        if let Some(job) = self.cluster.jobs.get_mut(id) {
            let id = id.clone();
            let machine_task = |index: u32, placed: &Placed| {
                let key = (TaskId { job: id.clone(), index }, placed.attempt);
                self.cluster
                    .machines
                    .get(&placed.machine)
                    .is_some_and(|m| m.tasks.contains_key(&key))
            };
            let active = job.active().iter();
            let lost: Vec<(u32, Placed)> = active
                .filter(|(n, p)| !machine_task(**n, p))
                .map(|(n, p)| (*n, p.clone()))
                .collect();
            for (index, placed) in lost {
                job.release(index, &placed.machine, placed.attempt);
            }
        }
    }

    pub(super) fn sweep_job(&mut self, id: &JobId) {
        if self.cluster.jobs.get(id).is_some_and(|j| !j.is_live() && j.active().is_empty()) {
            self.cluster.jobs.remove(id);
        }
    }
}
