//! Failover: which machines earlier leaders may have used, and when each is accounted for (S7).

use super::{Scheduler, Verdict};
use crate::machine::{Machine, MachineState, Reachability, Recorded};
use corkfield_wire::records::MachineRecord;
use corkfield_wire::worker::WorkerHeartbeat;
use std::time::{Duration, Instant};

/// After a failover machines have a report interval and this long to show what they hold.
const RECONCILIATION_GRACE: Duration = Duration::from_secs(2);
/// While others still come, the rest may be on their way: when a cut ends or hung machines go on,
/// they answer one after the other, and the last of them must not be taken for the silent few.
const RECONCILIATION_QUIET: Duration = Duration::from_secs(3);
/// So many machines that don't, or that part of all, are given up; never most of a small fleet.
const FEW_UNRECONCILED: usize = 2;
const UNRECONCILED_PART: usize = 8;
/// And only those that were asked this often in vain: a leader that is busy with the reports of
/// a whole fleet may not have come round to the others yet.
const GIVEN_UP_AFTER: u32 = 2;
/// So many reports with low order numbers, each above the one before, and no others, are a reason
/// to ask the worker whether it counts anew.
const BEHIND_REPORTS: u32 = 2;

impl Scheduler {
    /// A machine on which an earlier leader may have started tasks. Nothing that was claimed
    /// before is started until it has reported under our term, or is gone, or has lapsed.
    /// `age` is the time since the record was written, at the least.
    pub fn recorded_machine(
        &mut self,
        name: &str,
        record: &MachineRecord,
        age: Duration,
        now: Instant,
    ) {
        let MachineRecord { addr, machine_type, zone, spot, .. } = record.clone();
        let mut machine = Machine::new(
            name.to_owned(),
            machine_type,
            zone,
            spot,
            &self.cluster.machine_types,
            now,
        );
        machine.addr = addr;
        machine.recorded = Recorded::Yes;
        // It existed then, so the first lists may tell already that it is gone.
        machine.known_since = now.checked_sub(age).unwrap_or(now);
        // S6: the leader before us may have answered it until its fresh state ran out.
        machine.answered_at = now + self.cluster.config.answer_limit;
        machine.enter(MachineState::Up);
        self.unreconciled.insert(name.to_owned());
        self.unreconciled_since.get_or_insert(now);
        self.cluster.machines.insert(name.to_owned(), machine);
    }

    /// Machines that have to be asked, under our term, what they hold, or whether they hear.
    pub fn fence_targets(&self) -> Vec<(String, String, u64)> {
        let asked = self.cluster.machines.values().filter(|machine| {
            !machine.addr.is_empty()
                && machine.state() != MachineState::Deleting
                && (machine.reachability() == Reachability::Unreachable
                    || machine.behind.1 >= BEHIND_REPORTS
                    || self.unreconciled.contains(&machine.name))
        });
        asked.map(|m| (m.name.clone(), m.addr.clone(), m.agent_epoch.max(1))).collect()
    }

    /// The newest order number known of a machine: what it says in answer to a question asked
    /// after this is newer.
    pub fn known_order(&self, name: &str) -> (u64, u64) {
        self.cluster.machines.get(name).map_or((0, 0), |m| (m.agent_epoch, m.sequence))
    }

    /// A machine's answer to direct orders that were sent when `known` was the newest order
    /// number known of it.
    pub fn on_answer(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        known: (u64, u64),
        now: Instant,
    ) -> Verdict {
        let verdict = self.on_heartbeat(heartbeat, false, now);
        if (heartbeat.agent_epoch, heartbeat.sequence) <= known {
            self.restarted(&heartbeat.machine);
        }
        verdict
    }

    /// A worker that counts anew has lost all its tasks, and its numbers no longer tell old
    /// reports from new ones. So it is not trusted again: the machine is returned.
    pub(super) fn restarted(&mut self, name: &str) {
        self.hand_back(name, "its worker began anew; returned");
    }

    /// Returns a machine at once, with all that it may hold; the answered deletion settles that.
    fn hand_back(&mut self, name: &str, why: &'static str) {
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        if machine.state() != MachineState::Deleting {
            machine.enter(MachineState::Deleting);
            self.last_delete = None;
            self.note(name, why);
        }
    }

    /// A few machines that don't answer hold up every task claimed before, until they lapse or
    /// the list drops them half a minute later. Returned ones are surely gone (S5b), so those
    /// few are given up. Where many are silent it is more likely a zone, or this controller,
    /// that is cut off: then their work is worth the wait.
    pub(super) fn give_up_unreconciled(&mut self, now: Instant) {
        let Some(since) = self.unreconciled_since else {
            return;
        };
        let waited = now.saturating_duration_since(since);
        let machines = self.cluster.machines.len();
        if self.unreconciled.is_empty() {
            let waited_s = waited.as_secs_f64();
            tracing::info!(machines, waited_s, "all machines accounted for after the take-over");
            self.unreconciled_since = None;
            return;
        }
        let few = FEW_UNRECONCILED.min(machines / 2).max(machines / UNRECONCILED_PART);
        let grace = self.cluster.config.heartbeat_interval + RECONCILIATION_GRACE;
        let coming = self
            .accounted_at
            .is_some_and(|at| now.saturating_duration_since(at) < RECONCILIATION_QUIET);
        if waited < grace || coming || self.unreconciled.len() > few {
            return;
        }
        let asked = |name: &&String| {
            self.cluster
                .machines
                .get(*name)
                .is_some_and(|machine| machine.unanswered >= GIVEN_UP_AFTER)
        };
        let silent: Vec<String> = self.unreconciled.iter().filter(asked).cloned().collect();
        for name in silent {
            self.hand_back(&name, "no answer after the take-over; returned");
        }
    }

    /// A machine did not answer direct orders in time.
    pub fn unanswered(&mut self, name: &str) {
        if let Some(machine) = self.cluster.machines.get_mut(name) {
            machine.unanswered += 1;
        }
    }

    /// All tasks that earlier leaders started are accounted for.
    pub fn is_reconciled(&self) -> bool {
        self.unreconciled.is_empty()
    }

    pub(crate) fn is_unreconciled(&self, machine: &str) -> bool {
        self.unreconciled.contains(machine)
    }
}
