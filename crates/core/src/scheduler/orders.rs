//! Answers to reports: which orders leave with them, and how long an answer may wait.

use super::Scheduler;
use crate::machine::{MachineState, MachineTask, MachineTaskState};
use corkfield_wire::worker::Order;
use std::time::{Duration, Instant};

/// Orders in one answer; keeps the answer's only line far below 64 KiB.
const MAX_ORDERS: usize = 250;

impl Scheduler {
    /// Whether a placement pass might start something there, now that it has reported.
    pub fn may_start_on(&self, name: &str, now: Instant) -> bool {
        self.cluster.machines.get(name).is_some_and(|machine| {
            machine.takes_work(now, Duration::MAX)
                && machine.free().is_some_and(|free| free.cpus > 0.0)
        }) && self.cluster.jobs.values().any(|job| job.may_start() && job.waiting() > 0)
    }

    /// Whether starts wait for that machine's next report.
    pub fn has_starts_for(&self, name: &str) -> bool {
        let assigned =
            |machine_task: &MachineTask| machine_task.state == MachineTaskState::Assigned;
        self.cluster.machines.get(name).is_some_and(|machine| machine.tasks.values().any(assigned))
    }

    /// Whether the answer to a report may wait for work: the machine has nothing to tell.
    pub fn may_hold(&self, name: &str) -> bool {
        self.cluster.machines.get(name).is_some_and(|m| {
            m.fenced && m.tasks.is_empty() && m.state() == MachineState::Up && !m.notice
        })
    }

    /// The answer to the report with this session and number. `may_start` is false while our
    /// own lease may have ended (S4). Every call counts as an answer with 200.
    pub fn orders(
        &mut self,
        name: &str,
        agent_epoch: u64,
        sequence: u64,
        may_start: bool,
        now: Instant,
    ) -> Vec<Order> {
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return Vec::new();
        };
        machine.answered(self.term, now);
        if !machine.fenced {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for ((task, attempt), machine_task) in machine.tasks.iter_mut() {
            let job = self.cluster.jobs.get(&task.job);
            if job.is_none() && self.unclaimed.contains(&task.job) {
                continue;
            }
            let forget = match machine_task.state {
                // S9: stored before it is forgotten.
                MachineTaskState::Done => match job {
                    Some(job) => !job.is_live() || job.is_stored(task.index),
                    None => true,
                },
                MachineTaskState::Exited => true,
                _ => false,
            };
            if forget {
                orders.push(Order::Forget { task: task.clone(), attempt: *attempt });
            } else if job.is_none() && machine_task.takes_room() {
                // S11: nobody's task, so cancelled, done or lost.
                machine_task.stop = Some(Duration::ZERO);
            }
        }
        orders.extend(machine.stops());
        orders.truncate(MAX_ORDERS);
        let current = (machine.agent_epoch, machine.sequence) == (agent_epoch, sequence);
        if may_start && current && machine.takes_work(now, Duration::MAX) {
            for ((task, attempt), machine_task) in machine.tasks.iter_mut() {
                if machine_task.state != MachineTaskState::Assigned || orders.len() >= MAX_ORDERS {
                    continue;
                }
                let Some(job) = self.cluster.jobs.get(&task.job).filter(|j| j.may_start()) else {
                    continue;
                };
                // The order's generation must be that of the job's record.
                debug_assert_eq!(*attempt >> 24, job.record.generation);
                let waited_ms = now.saturating_duration_since(machine_task.since).as_millis();
                machine_task.enter(MachineTaskState::Ordered { agent_epoch, sequence }, now);
                tracing::debug!(%task, machine = name, attempt, sequence, waited_ms, "start ordered");
                orders.push(Order::Start { task: task.clone(), attempt: *attempt });
            }
        }
        orders
    }
}
