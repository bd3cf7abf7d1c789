//! Periodic work: timeouts, retries and statistics that depend on time alone.

use super::Scheduler;
use crate::cluster::Cluster;
use crate::job::{Job, JobState};
use crate::machine::{Machine, MachineState, MachineTaskState, Reachability};
use corkfield_wire::{JobId, MachineName};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// An assigned task is released if its machine has sent no heartbeat for this long. Starts are sent
/// only in answers to heartbeats, so the start of the task could not be sent.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_secs(5);

impl Scheduler {
    /// Runs all periodic work. The caller calls this at regular intervals.
    pub fn tick(&mut self, now: Instant) {
        self.expire_worker_leases(now);
        self.delete_uncertain_machines(now);
        self.release_undeliverable_tasks(now);
        self.update_job_timers(now);
        self.update_running_task_counts();
        self.advance_reconciliation(now);
        self.request_deletions(now);
        self.flush_machine_events(now);
    }

    /// Marks worker leases as expired if no controller can have renewed them within the lease expiry
    /// timeout. A worker whose lease has expired has provably stopped its tasks (S5c), so its tasks
    /// are released.
    fn expire_worker_leases(&mut self, now: Instant) {
        let expiry_timeout = self.cluster.config.lease_expiry_timeout();
        let machines = self.cluster.machines.values_mut();
        let expired: Vec<MachineName> = machines
            .filter_map(|machine| {
                machine.expire_lease_if_due(now, expiry_timeout).then(|| machine.name.clone())
            })
            .collect();
        for name in expired {
            self.reconciliation.remove(name.as_str());
            self.release_tasks(name.as_str(), |_| true);
        }
    }

    /// Releases the assigned tasks of machines that accept no starts at present.
    ///
    /// This includes machines that send heartbeats but drain or have an interruption notice. No
    /// start is sent to them. If their assigned tasks were not released, the tasks would never be
    /// placed on another machine, and a draining machine would never become empty and be deleted.
    fn release_undeliverable_tasks(&mut self, now: Instant) {
        let machines = self.cluster.machines.values();
        let not_accepting_starts = machines.filter(|machine| {
            !machine.can_accept_starts(now, ASSIGNMENT_TIMEOUT) && !machine.tasks.is_empty()
        });
        let names: Vec<MachineName> =
            not_accepting_starts.map(|machine| machine.name.clone()).collect();
        for name in names {
            self.release_tasks(name.as_str(), |task| task.state == MachineTaskState::Assigned);
        }
    }

    /// Ends backoffs whose time has passed, records since when jobs have waiting tasks but no placed
    /// one, and backs off jobs whose tasks have failed on every machine that they may run on.
    fn update_job_timers(&mut self, now: Instant) {
        let Cluster { jobs, machines, .. } = &mut self.cluster;
        let mut failed_everywhere = Vec::new();
        for (id, job) in jobs {
            if matches!(job.state(), JobState::BackingOff(until) if now >= until) {
                job.transition_to(JobState::NeedsReclaim);
            }
            job.update_unplaced_since(now);
            // A job is not placed on a machine where one of its tasks has failed. The claim that
            // follows a backoff permits these machines again; without it, a job whose tasks have
            // failed on every machine would never start again.
            if job.may_start_tasks()
                && job.has_failed_tasks()
                && !machines.values().any(|m| is_untried(m, job))
            {
                failed_everywhere.push(id.clone());
            }
        }
        for id in failed_everywhere {
            self.back_off_job(&id, now);
        }
    }

    /// Updates the number of running tasks of each job.
    fn update_running_task_counts(&mut self) {
        let Cluster { jobs, machines, .. } = &mut self.cluster;
        let mut running: BTreeMap<&JobId, u32> = BTreeMap::new();
        for machine in machines.values() {
            for tasks in &machine.tasks.totals().running {
                *running.entry(&tasks.job).or_default() += tasks.count;
            }
        }
        for (id, job) in jobs {
            job.running_tasks = running.get(id).copied().unwrap_or(0);
        }
    }

    /// Logs the pending machine events, unless machine events were logged a short time ago.
    fn flush_machine_events(&mut self, now: Instant) {
        if !self.machine_events.is_due(now) {
            return;
        }
        let is_unreachable = |m: &&Machine| m.reachability() == Reachability::Unreachable;
        let unreachable = self.cluster.machines.values().filter(is_unreachable).count();
        self.machine_events.flush(unreachable, now);
    }
}

/// Returns whether the job may run on the machine and none of its tasks has failed there.
fn is_untried(machine: &Machine, job: &Job) -> bool {
    machine.state() == MachineState::Up
        && machine.may_run(job.spec())
        && !job.has_failed_on(machine.name.as_str())
}
