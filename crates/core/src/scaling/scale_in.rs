//! Scale in: which machines are taken out of use, to be returned once they are empty.

use super::offers::{is_expensive, price_per_cpu};
use super::spot_balance::SpotBalance;
use super::{DrainedMachine, ScalingDecisions};
use crate::cluster::Cluster;
use crate::float_order::compare;
use crate::machine::{Machine, MachineState};
use corkfield_wire::MachineName;
use std::time::{Duration, Instant};

/// The fraction of the keeping time after which machines beyond the likely need are returned.
const SHORT_IDLE_KEEP_FRACTION: f64 = 0.17;

/// Machines that take longer than this many times their boot time, and the margin on top, may never
/// come up.
const LATE_BOOT_RATIO: f64 = 2.5;
const LATE_BOOT_MARGIN_S: f64 = 10.0;
/// The boot time of machines whose type is not known.
const DEFAULT_BOOT_S: f64 = 60.0;

/// Why a machine is taken out of use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainReason {
    /// It did not come up in time.
    LateBoot,
    /// Spot machines suffice at a far lower price.
    Expensive,
    /// Nothing runs on it, and nothing is likely to.
    Idle,
}

impl DrainReason {
    /// What operators should know of it; nothing of what happens every day.
    pub(crate) fn message(self) -> Option<&'static str> {
        match self {
            Self::LateBoot => Some("machine didn't come up; returned"),
            Self::Expensive => Some("returning an expensive machine"),
            Self::Idle => None,
        }
    }
}

/// What there is beyond the demand.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spare {
    /// CPUs beyond the demand; below 0 where some are missing.
    pub(super) cpus: f64,
    /// CPUs that jobs which start soon are likely to need.
    pub(super) headroom_cpus: f64,
}

/// A machine on which nothing runs.
struct IdleMachine {
    name: MachineName,
    cpus: f64,
    price_per_cpu: f64,
    /// Whether it was kept for as long as idle machines are, or is slow.
    kept_long: bool,
}

/// Takes out of use machines that may never come up.
pub(super) fn drain_late_boots(
    cluster: &mut Cluster,
    decisions: &mut ScalingDecisions,
    now: Instant,
) {
    for machine in cluster.machines.values_mut() {
        if is_late_boot(machine, now) {
            machine.enter(MachineState::Draining);
            decisions.add_drained(machine.name.as_str(), DrainReason::LateBoot);
        }
    }
}

fn is_late_boot(machine: &Machine, now: Instant) -> bool {
    let boot_s = machine.machine_type.as_ref().map_or(DEFAULT_BOOT_S, |size| size.boot_s);
    let limit = Duration::from_secs_f64(boot_s * LATE_BOOT_RATIO + LATE_BOOT_MARGIN_S);
    machine.state() == MachineState::Booting
        && now.saturating_duration_since(machine.rented_at) > limit
}

/// Once most of the capacity is up at a far lower price, the expensive rest is let go: its tasks
/// end, and no new ones come.
pub(super) fn drain_expensive(
    cluster: &mut Cluster,
    wanted_cpus: f64,
    decisions: &mut ScalingDecisions,
) {
    // Jobs that must not run on spot machines need them.
    if !cluster.jobs.values().all(|job| job.spec().spot) {
        return;
    }
    let mut balance = SpotBalance::default();
    let mut expensive = Vec::new();
    for machine in cluster.machines.values().filter(|machine| is_in_use(machine)) {
        let Some(size) = &machine.machine_type else { continue };
        if machine.spot {
            balance.spot_cpus += size.cpus;
        } else if is_expensive(size) {
            balance.on_demand_cpus += size.cpus;
            expensive.push(machine.name.clone());
        }
    }
    if !balance.makes_expensive_needless(wanted_cpus) {
        return;
    }
    for name in expensive {
        cluster.drain(name.as_str());
        decisions.add_drained(name.as_str(), DrainReason::Expensive);
    }
}

/// Whether the machine is up, and is not about to be lost.
fn is_in_use(machine: &Machine) -> bool {
    machine.state() == MachineState::Up
        && !machine.has_interruption_notice
        && !machine.is_lease_expired()
}

/// Takes idle machines out of use that are not needed, the most expensive ones first.
pub(super) fn drain_idle(
    cluster: &mut Cluster,
    mut spare: Spare,
    decisions: &mut ScalingDecisions,
    now: Instant,
) {
    let mut idle = idle_machines(cluster, now);
    idle.sort_by(|left, right| compare(right.price_per_cpu, left.price_per_cpu));
    for machine in idle {
        // What jobs that start soon are likely to need is kept for longer.
        let headroom_cpus = if machine.kept_long { 0.0 } else { spare.headroom_cpus };
        if spare.cpus < machine.cpus + headroom_cpus {
            continue;
        }
        spare.cpus -= machine.cpus;
        tracing::debug!(machine = %machine.name, "returning an idle machine");
        cluster.drain(machine.name.as_str());
        decisions.add_drained(machine.name.as_str(), DrainReason::Idle);
    }
}

/// Machines that have been idle for some time, or are slow. Notes since when machines are idle.
fn idle_machines(cluster: &mut Cluster, now: Instant) -> Vec<IdleMachine> {
    let long_keep = cluster.config.idle_keep;
    let short_keep = long_keep.mul_f64(SHORT_IDLE_KEEP_FRACTION);
    let mut idle = Vec::new();
    for machine in cluster.machines.values_mut() {
        let Some(size) = &machine.machine_type else { continue };
        if machine.state() != MachineState::Up || !machine.tasks.is_empty() {
            machine.idle_since = None;
            continue;
        }
        let since = *machine.idle_since.get_or_insert(now);
        let idle_for = now.saturating_duration_since(since);
        let slow = machine.is_slow();
        if slow || idle_for >= short_keep {
            idle.push(IdleMachine {
                name: machine.name.clone(),
                cpus: size.cpus,
                price_per_cpu: price_per_cpu(size, machine.spot),
                kept_long: slow || idle_for >= long_keep,
            });
        }
    }
    idle
}

impl ScalingDecisions {
    fn add_drained(&mut self, name: &str, reason: DrainReason) {
        self.drained.push(DrainedMachine { name: MachineName::from(name), reason });
    }
}
