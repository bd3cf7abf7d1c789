//! Figures of a scheduler for operators.

use super::Scheduler;
use crate::job::JobState;
use crate::machine::MachineState;
use corkfield_wire::JobId;
use std::time::{Duration, Instant};

/// Figures for operators.
#[derive(Debug, Clone, Default)]
pub struct Overview {
    /// Claimed jobs.
    pub jobs: usize,
    /// Tasks that have no place.
    pub waiting_tasks: u64,
    /// Tasks that run.
    pub running_tasks: u64,
    /// The job with waiting tasks that was accepted first, and how long ago.
    pub oldest_waiting: Option<(JobId, Duration)>,
    /// Dead-lettered jobs: those at the claim limit.
    pub dead_lettered: Vec<JobId>,
    /// The highest count of claims of a job.
    pub most_claims: u32,
    /// Machines that take tasks.
    pub machines_up: usize,
    /// Machines whose workers have sent no heartbeat yet.
    pub machines_booting: usize,
    /// Machines that have not shown what they hold since the failover.
    pub unreconciled: usize,
    /// Placement passes since this controller became the leader.
    pub passes: u64,
    /// Machines and tasks that these looked at.
    pub steps: u64,
}

impl Scheduler {
    /// Figures for operators.
    pub fn overview(&self, now: Instant) -> Overview {
        let mut overview = Overview {
            jobs: self.cluster.jobs.len(),
            unreconciled: self.reconciliation.len(),
            passes: self.passes,
            steps: self.steps,
            ..Overview::default()
        };
        self.count_jobs(&mut overview, now);
        for machine in self.cluster.machines.values() {
            match machine.state() {
                MachineState::Up => overview.machines_up += 1,
                MachineState::Booting => overview.machines_booting += 1,
                MachineState::Draining | MachineState::Deleting => {}
            }
        }
        overview
    }

    /// Counts jobs and their tasks.
    fn count_jobs(&self, overview: &mut Overview, now: Instant) {
        for (id, job) in &self.cluster.jobs {
            overview.waiting_tasks += u64::from(job.waiting_tasks());
            overview.running_tasks += u64::from(job.running);
            overview.most_claims = overview.most_claims.max(job.record.claims);
            if job.state() == JobState::DeadLettered {
                overview.dead_lettered.push(id.clone());
            }
            let age = now.saturating_duration_since(job.accepted_at);
            let older = overview.oldest_waiting.as_ref().is_none_or(|(_, oldest)| age > *oldest);
            if job.waiting_tasks() > 0 && older {
                overview.oldest_waiting = Some((id.clone(), age));
            }
        }
    }
}
