//! Periodic work: timeouts, retries and statistics that depend on time alone.

use super::Scheduler;
use crate::cluster::Cluster;
use crate::job::{Job, JobState};
use crate::machine::{Machine, MachineState, MachineTaskState, Reachability};
use corkfield_wire::{JobId, MachineName};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A task is unassigned if its machine has sent no heartbeat for this long, so that its start could
/// not be sent.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_secs(5);

impl Scheduler {
    /// Runs all periodic work. The caller calls this at regular intervals.
    pub fn tick(&mut self, now: Instant) {
        self.expire_worker_leases(now);
        self.delete_uncertain_machines(now);
        self.unassign_undeliverable_tasks(now);
        self.tick_jobs(now);
        self.count_running_tasks();
        self.advance_reconciliation(now);
        self.request_deletions(now);
        self.flush_machine_events(now);
    }

    /// Expires the leases of workers that no controller can have answered for longer than a lease
    /// lasts. Such a worker has provably stopped its tasks (S5c).
    fn expire_worker_leases(&mut self, now: Instant) {
        let expiry_after = self.cluster.config.lease_expiry_timeout();
        let machines = self.cluster.machines.values_mut();
        let expired: Vec<MachineName> = machines
            .filter_map(|machine| {
                machine.expire_lease_if_due(now, expiry_after).then(|| machine.name.clone())
            })
            .collect();
        for name in expired {
            self.reconciliation.remove(name.as_str());
            self.release_tasks(name.as_str(), |_| true);
        }
    }

    /// Removes assigned tasks from machines that accept no starts at present.
    ///
    /// This includes machines that send heartbeats but drain or have an interruption notice. No
    /// start is sent to them, so their assigned tasks would wait forever and delay the deletion of
    /// a draining machine.
    fn unassign_undeliverable_tasks(&mut self, now: Instant) {
        let machines = self.cluster.machines.values();
        let unavailable = machines.filter(|machine| {
            !machine.can_accept_starts(now, ASSIGNMENT_TIMEOUT) && !machine.tasks.is_empty()
        });
        let names: Vec<MachineName> = unavailable.map(|machine| machine.name.clone()).collect();
        for name in names {
            self.release_tasks(name.as_str(), |task| task.state == MachineTaskState::Assigned);
        }
    }

    /// Ends backoffs whose time has passed, and backs off jobs that have failed on every machine
    /// that they may run on.
    fn tick_jobs(&mut self, now: Instant) {
        let Cluster { jobs, machines, .. } = &mut self.cluster;
        let mut failed_everywhere = Vec::new();
        for (id, job) in jobs {
            if matches!(job.state(), JobState::BackingOff(until) if now >= until) {
                job.enter(JobState::NeedsReclaim);
            }
            job.update_unplaced_since(now);
            // Without a backoff, a job that has failed on every machine would wait forever.
            if job.may_start() && job.has_failed() && !machines.values().any(|m| is_untried(m, job))
            {
                failed_everywhere.push(id.clone());
            }
        }
        for id in failed_everywhere {
            self.back_off_job(&id, now);
        }
    }

    /// Updates the number of running tasks of each job.
    fn count_running_tasks(&mut self) {
        let Cluster { jobs, machines, .. } = &mut self.cluster;
        let mut running: BTreeMap<&JobId, u32> = BTreeMap::new();
        for machine in machines.values() {
            for tasks in &machine.tasks.totals().running {
                *running.entry(&tasks.job).or_default() += tasks.count;
            }
        }
        for (id, job) in jobs {
            job.running = running.get(id).copied().unwrap_or(0);
        }
    }

    /// Logs the pending machine events, if the last round of log lines is old enough.
    fn flush_machine_events(&mut self, now: Instant) {
        if !self.machine_events.is_due(now) {
            return;
        }
        let is_unreachable = |m: &&Machine| m.reachability() == Reachability::Unreachable;
        let unreachable = self.cluster.machines.values().filter(is_unreachable).count();
        self.machine_events.flush(unreachable, now);
    }
}

/// Returns whether the job may run on the machine and has not failed there.
fn is_untried(machine: &Machine, job: &Job) -> bool {
    machine.state() == MachineState::Up
        && machine.may_run(job.spec())
        && !job.has_failed_on(machine.name.as_str())
}
