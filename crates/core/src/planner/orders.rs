//! Answers to reports: which orders leave with them, and how long an answer may wait.

use super::Planner;
use crate::machine::{MachineState, MachineTask, MachineTaskState};
use corkfield_wire::worker::Order;
use std::time::{Duration, Instant};

/// Orders in one answer; keeps the answer's only line far below 64 KiB.
const MAX_ORDERS: usize = 250;

impl Planner {
    /// Whether a planning pass might start something there, now that it has reported.
    pub fn may_start_on(&self, name: &str, now: Instant) -> bool {
        self.machines.get(name).is_some_and(|machine| {
            machine.takes_work(now, Duration::MAX)
                && machine.free().is_some_and(|free| free.cpus > 0.0)
        }) && self.jobs.values().any(|job| job.may_start() && job.waiting() > 0)
    }

    /// Whether starts wait for that machine's next report.
    pub fn has_starts_for(&self, name: &str) -> bool {
        let assigned = |held: &MachineTask| held.state == MachineTaskState::Assigned;
        self.machines.get(name).is_some_and(|machine| machine.held.values().any(assigned))
    }

    /// Whether the answer to a report may wait for work: the machine has nothing to tell.
    pub fn may_hold(&self, name: &str) -> bool {
        self.machines.get(name).is_some_and(|m| {
            m.fresh && m.held.is_empty() && m.state() == MachineState::Up && !m.notice
        })
    }

    /// The answer to the report with this session and number. `may_start` is false while our
    /// own lease may have ended (S4). Every call counts as an answer with 200.
    pub fn orders(
        &mut self,
        name: &str,
        session: u64,
        seq: u64,
        may_start: bool,
        now: Instant,
    ) -> Vec<Order> {
        let Some(machine) = self.machines.get_mut(name) else {
            return Vec::new();
        };
        machine.answered(self.term, now);
        if !machine.fresh {
            return Vec::new();
        }
        let mut orders = Vec::new();
        for ((task, attempt), held) in machine.held.iter_mut() {
            let job = self.jobs.get(&task.job);
            if job.is_none() && self.unclaimed.contains(&task.job) {
                continue;
            }
            let forget = match held.state {
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
            } else if job.is_none() && held.takes_room() {
                // S11: nobody's task, so cancelled, done or lost.
                held.stop = Some(Duration::ZERO);
            }
        }
        orders.extend(machine.stops());
        orders.truncate(MAX_ORDERS);
        let current = (machine.session, machine.seq) == (session, seq);
        if may_start && current && machine.takes_work(now, Duration::MAX) {
            for ((task, attempt), held) in machine.held.iter_mut() {
                if held.state != MachineTaskState::Assigned || orders.len() >= MAX_ORDERS {
                    continue;
                }
                let Some(job) = self.jobs.get(&task.job).filter(|j| j.may_start()) else {
                    continue;
                };
                // The order's generation must be that of the job's record.
                debug_assert_eq!(*attempt >> 24, job.record.generation);
                let waited_ms = now.saturating_duration_since(held.since).as_millis();
                held.enter(MachineTaskState::Ordered { session, seq }, now);
                tracing::debug!(%task, machine = name, attempt, seq, waited_ms, "start ordered");
                orders.push(Order::Start { task: task.clone(), attempt: *attempt });
            }
        }
        orders
    }
}
