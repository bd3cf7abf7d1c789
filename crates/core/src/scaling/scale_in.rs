//! Scale-in: drains machines, which are deleted once they are empty.

use super::offers::{is_expensive, price_per_cpu};
use super::spot_balance::SpotBalance;
use super::{DrainedMachine, ScalingDecisions};
use crate::cluster::Cluster;
use crate::float_order::compare_f64;
use crate::machine::{Machine, MachineState};
use corkfield_wire::MachineName;
use std::time::{Duration, Instant};

/// Idle machines beyond the capacity that future jobs are likely to need may be drained after this
/// fraction of the time for which the settings keep an idle machine.
const SHORT_IDLE_KEEP_FRACTION: f64 = 0.17;

/// A machine whose boot takes longer than this many times its nominal boot time, plus the margin,
/// may never come up.
const BOOT_TIMEOUT_RATIO: f64 = 2.5;
const BOOT_TIMEOUT_MARGIN_S: f64 = 10.0;
/// Boot time assumed for machines of unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;

/// The reason why a machine is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainReason {
    /// The machine did not come up in time.
    BootTimeout,
    /// Spot machines meet the demand at a far lower price.
    Expensive,
    /// The machine runs no task and is not likely to be needed.
    Idle,
}

impl DrainReason {
    /// Returns the log message for operators, or `None` for an everyday event.
    pub(crate) fn message(self) -> Option<&'static str> {
        match self {
            Self::BootTimeout => Some("machine didn't come up; returned"),
            Self::Expensive => Some("returning an expensive machine"),
            Self::Idle => None,
        }
    }
}

/// Capacity beyond the demand.
#[derive(Debug, Clone, Copy)]
pub(super) struct SpareCapacity {
    /// Supply minus demand, in CPUs; negative if capacity is missing.
    pub(super) cpus: f64,
    /// CPUs that future jobs with a start objective are likely to need.
    pub(super) headroom_cpus: f64,
}

/// A machine without tasks.
struct IdleMachine {
    name: MachineName,
    cpus: f64,
    price_per_cpu: f64,
    /// Whether the machine has been idle for the full time for which the settings keep an idle
    /// machine, or is slow.
    is_past_idle_keep: bool,
}

/// Drains machines that have exceeded their boot timeout and may never come up.
pub(super) fn drain_unbooted_machines(
    cluster: &mut Cluster,
    decisions: &mut ScalingDecisions,
    now: Instant,
) {
    for machine in cluster.machines.values_mut() {
        if has_boot_timed_out(machine, now) {
            machine.transition_to(MachineState::Draining);
            decisions.add_drained(machine.name.as_str(), DrainReason::BootTimeout);
        }
    }
}

fn has_boot_timed_out(machine: &Machine, now: Instant) -> bool {
    let boot_s =
        machine.machine_type.as_ref().map_or(DEFAULT_BOOT_S, |machine_type| machine_type.boot_s);
    let limit = Duration::from_secs_f64(boot_s * BOOT_TIMEOUT_RATIO + BOOT_TIMEOUT_MARGIN_S);
    machine.state() == MachineState::Booting
        && now.saturating_duration_since(machine.rented_at) > limit
}

/// Drains the expensive machines once spot machines provide most of the capacity at a far lower
/// price. Tasks that run on the drained machines may finish, but no new tasks start there.
pub(super) fn drain_expensive_machines(
    cluster: &mut Cluster,
    demand_cpus: f64,
    decisions: &mut ScalingDecisions,
) {
    // Jobs that must not run on spot machines need the on-demand machines.
    if !cluster.jobs.values().all(|job| job.spec().spot) {
        return;
    }
    let mut balance = SpotBalance::default();
    let mut expensive = Vec::new();
    for machine in cluster.machines.values().filter(|machine| is_usable(machine)) {
        let Some(machine_type) = &machine.machine_type else { continue };
        if machine.spot {
            balance.spot_cpus += machine_type.cpus;
        } else if is_expensive(machine_type) {
            balance.on_demand_cpus += machine_type.cpus;
            expensive.push(machine.name.clone());
        }
    }
    if !balance.is_spot_sufficient(demand_cpus) {
        return;
    }
    for name in expensive {
        cluster.drain_machine(name.as_str());
        decisions.add_drained(name.as_str(), DrainReason::Expensive);
    }
}

/// Returns whether the machine is up, with neither an interruption notice nor an expired worker
/// lease.
fn is_usable(machine: &Machine) -> bool {
    machine.state() == MachineState::Up
        && !machine.has_interruption_notice
        && !machine.is_lease_expired()
}

/// Drains idle machines that are not needed, the most expensive ones first.
pub(super) fn drain_idle_machines(
    cluster: &mut Cluster,
    mut spare: SpareCapacity,
    decisions: &mut ScalingDecisions,
    now: Instant,
) {
    let mut idle = idle_machines(cluster, now);
    idle.sort_by(|left, right| compare_f64(right.price_per_cpu, left.price_per_cpu));
    for machine in idle {
        // Idle machines that future jobs with a start objective are likely to need are kept for the
        // full time, the others only for the short time.
        let headroom_cpus = if machine.is_past_idle_keep { 0.0 } else { spare.headroom_cpus };
        if spare.cpus < machine.cpus + headroom_cpus {
            continue;
        }
        spare.cpus -= machine.cpus;
        tracing::debug!(machine = %machine.name, "returning an idle machine");
        cluster.drain_machine(machine.name.as_str());
        decisions.add_drained(machine.name.as_str(), DrainReason::Idle);
    }
}

/// Returns the machines that have been idle for the short keep time or are slow. Also updates
/// `idle_since` of every machine.
fn idle_machines(cluster: &mut Cluster, now: Instant) -> Vec<IdleMachine> {
    let long_keep = cluster.config.idle_keep;
    let short_keep = long_keep.mul_f64(SHORT_IDLE_KEEP_FRACTION);
    let mut idle = Vec::new();
    for machine in cluster.machines.values_mut() {
        let Some(machine_type) = &machine.machine_type else { continue };
        if machine.state() != MachineState::Up || !machine.tasks.is_empty() {
            machine.idle_since = None;
            continue;
        }
        let since = *machine.idle_since.get_or_insert(now);
        let idle_for = now.saturating_duration_since(since);
        let is_slow = machine.is_slow();
        if is_slow || idle_for >= short_keep {
            idle.push(IdleMachine {
                name: machine.name.clone(),
                cpus: machine_type.cpus,
                price_per_cpu: price_per_cpu(machine_type, machine.spot),
                is_past_idle_keep: is_slow || idle_for >= long_keep,
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
