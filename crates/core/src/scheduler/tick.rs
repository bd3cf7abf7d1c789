//! What only time brings about.

use super::Scheduler;
use crate::cluster::Cluster;
use crate::job::{Job, JobState};
use crate::machine::{Machine, MachineState, MachineTaskState, Reachability};
use corkfield_wire::{JobId, MachineName};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A decision that no heartbeat came to fetch is taken back after this time.
const ASSIGNED_KEEP: Duration = Duration::from_secs(5);

impl Scheduler {
    /// Everything that only time brings about.
    pub fn tick(&mut self, now: Instant) {
        self.expire_worker_leases(now);
        self.return_doubtful_machines(now);
        self.take_back_assigned_tasks(now);
        self.tick_jobs(now);
        self.count_running_tasks();
        self.give_up_unreconciled(now);
        self.delete_machines(now);
        self.write_machine_events(now);
    }

    /// Ends the leases of workers that no controller can have answered for longer than they last:
    /// their tasks are surely stopped (S5c).
    fn expire_worker_leases(&mut self, now: Instant) {
        let expiry_after = self.cluster.config.lease_expiry_after();
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

    /// Takes tasks off machines that won't be ordered to start them. Also off one that sends
    /// heartbeats, but takes no more tasks: no start goes to a machine that drains or is about to
    /// be taken, so what was assigned to it would wait there for ever, and hold up its return.
    fn take_back_assigned_tasks(&mut self, now: Instant) {
        let machines = self.cluster.machines.values();
        let waiting_in_vain = machines.filter(|machine| {
            !machine.can_accept_starts(now, ASSIGNED_KEEP) && !machine.tasks.is_empty()
        });
        let names: Vec<MachineName> = waiting_in_vain.map(|machine| machine.name.clone()).collect();
        for name in names {
            self.release_tasks(name.as_str(), |task| task.state == MachineTaskState::Assigned);
        }
    }

    /// Ends back-offs that are over, and begins those of jobs that failed wherever they may run.
    fn tick_jobs(&mut self, now: Instant) {
        let Cluster { jobs, machines, .. } = &mut self.cluster;
        let mut failed_everywhere = Vec::new();
        for (id, job) in jobs {
            if matches!(job.state(), JobState::BackingOff(until) if now >= until) {
                job.enter(JobState::NeedsReclaim);
            }
            job.update_unplaced_since(now);
            // A job that failed on every machine there is would otherwise wait for ever.
            if job.may_start() && job.has_failed() && !machines.values().any(|m| is_untried(m, job))
            {
                failed_everywhere.push(id.clone());
            }
        }
        for id in failed_everywhere {
            self.back_off_job(&id, now);
        }
    }

    /// Counts each job's running tasks.
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

    /// Writes log lines of what happened to machines, from time to time.
    fn write_machine_events(&mut self, now: Instant) {
        if !self.machine_events.is_due(now) {
            return;
        }
        let unreachable = |m: &&Machine| m.reachability() == Reachability::Unreachable;
        let unreachable = self.cluster.machines.values().filter(unreachable).count();
        self.machine_events.write(unreachable, now);
    }
}

/// Whether the job may run on the machine and has not failed there.
fn is_untried(machine: &Machine, job: &Job) -> bool {
    machine.state() == MachineState::Up
        && machine.may_run(job.spec())
        && !job.has_failed_on(machine.name.as_str())
}
