//! Statistics of a scheduler for operators.

use super::Scheduler;
use crate::job::JobState;
use crate::machine::MachineState;
use crate::scaling::UnsuppliedShape;
use corkfield_wire::JobId;
use std::time::{Duration, Instant};

/// Statistics of a scheduler for operators.
#[derive(Debug, Clone, Default)]
pub struct Overview {
    /// Number of claimed jobs.
    pub jobs: usize,
    /// Number of unfinished tasks that are not placed on a machine.
    pub waiting_tasks: u64,
    /// Number of running tasks.
    pub running_tasks: u64,
    /// The job accepted first of those with waiting tasks, and the time since it was accepted.
    pub oldest_waiting: Option<(JobId, Duration)>,
    /// Dead-lettered jobs: those that reached the claim limit.
    pub dead_lettered: Vec<JobId>,
    /// The highest claim count of any claimed job.
    pub most_claims: u32,
    /// Waiting tasks, by shape, for which no machine has room, boots or is requested although their
    /// team is under its limit.
    pub unsupplied: Vec<UnsuppliedShape>,
    /// Number of machines that accept tasks.
    pub machines_up: usize,
    /// Number of machines whose workers have not sent a heartbeat yet.
    pub machines_booting: usize,
    /// Number of machines that have not reported their tasks since the failover.
    pub machines_unreconciled: usize,
    /// Number of placement passes since this controller became the leader.
    pub passes: u64,
    /// Number of machines and tasks examined in these placement passes.
    pub steps: u64,
}

impl Scheduler {
    /// Returns the current statistics.
    pub fn overview(&self, now: Instant) -> Overview {
        let mut overview = Overview {
            jobs: self.cluster.jobs.len(),
            machines_unreconciled: self.reconciliation.len(),
            passes: self.passes,
            steps: self.steps,
            unsupplied: self.scaling.unsupplied().to_vec(),
            ..Overview::default()
        };
        self.add_job_statistics(&mut overview, now);
        for machine in self.cluster.machines.values() {
            match machine.state() {
                MachineState::Up => overview.machines_up += 1,
                MachineState::Booting => overview.machines_booting += 1,
                MachineState::Draining | MachineState::Deleting => {}
            }
        }
        overview
    }

    /// Adds the statistics of all claimed jobs and their tasks.
    fn add_job_statistics(&self, overview: &mut Overview, now: Instant) {
        for (id, job) in &self.cluster.jobs {
            overview.waiting_tasks += u64::from(job.waiting_tasks());
            overview.running_tasks += u64::from(job.running_tasks);
            overview.most_claims = overview.most_claims.max(job.record.claims);
            if job.state() == JobState::DeadLettered {
                overview.dead_lettered.push(id.clone());
            }
            let age = now.saturating_duration_since(job.accepted_at);
            let is_oldest =
                overview.oldest_waiting.as_ref().is_none_or(|(_, oldest)| age > *oldest);
            if job.waiting_tasks() > 0 && is_oldest {
                overview.oldest_waiting = Some((id.clone(), age));
            }
        }
    }
}
