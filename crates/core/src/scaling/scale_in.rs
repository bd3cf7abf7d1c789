//! Scale-in: drains machines, which are deleted once they are empty.

use super::demand::{CpuDemand, ShapeDemand};
use super::offers::{is_expensive, price_per_cpu};
use super::pools::{Pool, PoolIndex, Pools};
use super::recent_demand::Headroom;
use super::room::{is_up_or_booting, Room};
use super::shape::TaskShape;
use super::spot_balance::PoolCapacity;
use super::{DrainedMachine, ScalingDecisions};
use crate::cluster::Cluster;
use crate::float_order::compare_f64;
use crate::job::Job;
use crate::machine::{Machine, MachineState, Resources};
use corkfield_wire::MachineName;
use std::collections::BTreeSet;
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

/// A machine without tasks.
struct IdleMachine<'a> {
    machine: &'a Machine,
    pool: Pool<'a>,
    price_per_cpu: f64,
    /// Whether the machine has been idle for the full time for which the settings keep an idle
    /// machine, or is slow.
    is_past_idle_keep: bool,
}

/// What idle machines are kept for.
pub(super) struct IdleUse<'a> {
    /// Room that is left once machines are chosen for all waiting tasks.
    pub(super) room: Room,
    /// Tasks for which no machine has room.
    pub(super) missing: &'a [ShapeDemand],
    /// Room to keep for future jobs.
    pub(super) headroom: Option<Headroom>,
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
            let name = machine.name.clone();
            decisions.drained.push(DrainedMachine { name, reason: DrainReason::BootTimeout });
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

/// Returns the expensive on-demand machines to drain, once spot machines provide most of the capacity
/// at a far lower price wherever the unfinished tasks can run. Tasks that run on the drained machines
/// may finish, but no new tasks start there.
pub(super) fn expensive_machines(cluster: &Cluster, pools: &Pools<'_>) -> Vec<MachineName> {
    // Jobs that must not run on spot machines need the on-demand machines.
    if !cluster.jobs.values().all(|job| job.spec().spot) {
        return Vec::new();
    }
    let usable = || cluster.machines.values().filter(|machine| is_usable(machine));
    let is_candidate = |pool: &Pool<'_>| !pool.spot && is_expensive(pool.machine_type);
    let candidates: Vec<(&Machine, Pool<'_>)> = usable()
        .filter_map(|machine| Some((machine, pools.of_machine(machine)?)))
        .filter(|(_, pool)| is_candidate(pool))
        .collect();
    if candidates.is_empty() {
        return Vec::new();
    }
    let demand = CpuDemand::new(cluster, pools);
    let capacity = PoolCapacity::new(cluster, pools, is_usable);
    let candidate_pools: BTreeSet<PoolIndex> =
        candidates.iter().map(|(_, pool)| pool.index).collect();
    let dispensable: BTreeSet<PoolIndex> = pools
        .iter()
        .filter(|pool| candidate_pools.contains(&pool.index))
        .filter(|pool| capacity.is_pool_dispensable(pool, &demand))
        .map(|pool| pool.index)
        .collect();
    let expensive = candidates.into_iter().filter(|(_, pool)| dispensable.contains(&pool.index));
    expensive.map(|(machine, _)| machine.name.clone()).collect()
}

/// Returns whether the machine is up, with neither an interruption notice nor an expired worker
/// lease.
fn is_usable(machine: &Machine) -> bool {
    machine.state() == MachineState::Up
        && !machine.has_interruption_notice
        && !machine.is_lease_expired()
}

/// Updates since when each machine is idle.
pub(super) fn update_idle_times(cluster: &mut Cluster, now: Instant) {
    for machine in cluster.machines.values_mut() {
        if machine.state() == MachineState::Up && machine.tasks.is_empty() {
            machine.idle_since.get_or_insert(now);
        } else {
            machine.idle_since = None;
        }
    }
}

/// Returns the idle machines to drain, the most expensive ones first: those that no waiting task
/// needs and that are not kept for future jobs.
pub(super) fn dispensable_idle_machines(
    cluster: &Cluster,
    pools: &Pools<'_>,
    mut idle_use: IdleUse<'_>,
    now: Instant,
) -> Vec<MachineName> {
    let mut idle = idle_machines(cluster, pools, now);
    if idle.is_empty() {
        return Vec::new();
    }
    idle.sort_by(|left, right| compare_f64(right.price_per_cpu, left.price_per_cpu));
    let mut last_machines = LastMachines::new(cluster, pools);
    let mut dispensable = Vec::new();
    for machine in idle {
        let name = &machine.machine.name;
        if last_machines.include(&machine.pool) || !idle_use.release(&machine) {
            continue;
        }
        tracing::debug!(machine = %name, "returning an idle machine");
        last_machines.remove(&machine.pool);
        dispensable.push(name.clone());
    }
    dispensable
}

impl IdleUse<'_> {
    /// Removes an idle machine from the room that is left, if nothing needs it. Returns whether the
    /// machine may be drained.
    fn release(&mut self, idle: &IdleMachine<'_>) -> bool {
        let pool = idle.pool.index;
        // While such tasks wait, a machine that gets few tasks, or none of this job, is better than
        // none: the cloud may refuse what was requested.
        if self.missing.iter().any(|demand| demand.pools[pool]) {
            return false;
        }
        if idle.machine.is_slow() {
            return true;
        }
        let is_headroom = |headroom: &&Headroom| !idle.is_past_idle_keep && headroom.pools[pool];
        if let Some(headroom) = self.headroom.as_ref().filter(is_headroom) {
            let capacity = Resources::capacity_of(idle.pool.machine_type);
            let own = u64::from(capacity.fitting_tasks(&headroom.shape.need));
            let left = self.room.fitting_tasks(&headroom.shape, &headroom.pools);
            if left < own + headroom.tasks {
                return false;
            }
        }
        self.room.remove_idle_machine(pool, &idle.machine.name)
    }
}

/// The sets of pools in which waiting tasks can run, also those of jobs that back off, and the number
/// of machines in each pool.
struct LastMachines {
    pool_sets: BTreeSet<Vec<bool>>,
    machines: Vec<u32>,
}

impl LastMachines {
    fn new(cluster: &Cluster, pools: &Pools<'_>) -> Self {
        let mut machines = vec![0; pools.iter().count()];
        for machine in cluster.machines.values().filter(|machine| is_up_or_booting(machine)) {
            if let Some(pool) = pools.of_machine(machine) {
                machines[pool.index] += 1;
            }
        }
        let waits = |job: &&Job| job.is_live() && job.waiting_tasks() > 0;
        let waiting = cluster.jobs.values().filter(waits);
        let pool_sets =
            waiting.map(|job| pools.that_can_run(&TaskShape::of_spec(job.spec()))).collect();
        Self { pool_sets, machines }
    }

    /// Returns whether waiting tasks can run on the machines of this pool and on no other machine
    /// than one.
    fn include(&self, pool: &Pool<'_>) -> bool {
        let machines = |is_in: &Vec<bool>| {
            let counts = self.machines.iter().zip(is_in).filter(|(_, is_in)| **is_in);
            counts.map(|(machines, _)| *machines).sum::<u32>()
        };
        self.pool_sets.iter().any(|is_in| is_in[pool.index] && machines(is_in) <= 1)
    }

    /// Counts a machine of the pool as drained.
    fn remove(&mut self, pool: &Pool<'_>) {
        self.machines[pool.index] -= 1;
    }
}

/// Returns the machines that have been idle for the short keep time or are slow.
fn idle_machines<'a>(
    cluster: &'a Cluster,
    pools: &Pools<'a>,
    now: Instant,
) -> Vec<IdleMachine<'a>> {
    let long_keep = cluster.config.idle_keep;
    let short_keep = long_keep.mul_f64(SHORT_IDLE_KEEP_FRACTION);
    let idle = cluster.machines.values().filter_map(|machine| {
        let since = machine.idle_since?;
        let idle_for = now.saturating_duration_since(since);
        let is_slow = machine.is_slow();
        let pool = pools.of_machine(machine).filter(|_| is_slow || idle_for >= short_keep)?;
        Some(IdleMachine {
            machine,
            pool,
            price_per_cpu: price_per_cpu(pool.machine_type, pool.spot),
            is_past_idle_keep: is_slow || idle_for >= long_keep,
        })
    });
    idle.collect()
}
