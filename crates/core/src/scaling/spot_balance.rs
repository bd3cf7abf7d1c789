//! Decides whether expensive on-demand machines are needed in addition to the spot machines.
//!
//! The question is asked for each set of pools in which some task can run: spot machines on which a
//! task does not fit spare it no on-demand machine.

use super::demand::CpuDemand;
use super::offers::is_expensive;
use super::pools::{Pool, Pools};
use crate::cluster::Cluster;
use crate::machine::Machine;

/// Expensive on-demand machines are not needed if spot machines have at least this many times the
/// CPUs of the on-demand machines and meet the whole demand.
const SUFFICIENT_SPOT_RATIO: f64 = 4.0;
/// Expensive on-demand machines are not needed if spot machines have at least this many times the
/// CPUs of the on-demand machines, whatever the demand: the capacity that on-demand machines add is
/// not worth their price.
const DOMINANT_SPOT_RATIO: f64 = 6.0;

/// CPUs of spot machines and of on-demand machines, in all pools or in some.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SpotBalance {
    spot_cpus: f64,
    /// CPUs of the on-demand machines that count.
    on_demand_cpus: f64,
}

impl SpotBalance {
    /// Returns the balance with one more on-demand machine of the pool.
    pub(super) fn with_on_demand_machine(self, pool: &Pool<'_>) -> Self {
        Self { on_demand_cpus: self.on_demand_cpus + pool.machine_type.cpus, ..self }
    }

    /// Returns whether expensive machines are not needed in addition to the spot machines.
    pub(super) fn is_spot_sufficient(&self, demand_cpus: f64) -> bool {
        let has_ratio = |ratio: f64| self.spot_cpus >= ratio * self.on_demand_cpus;
        has_ratio(DOMINANT_SPOT_RATIO)
            || (has_ratio(SUFFICIENT_SPOT_RATIO) && self.spot_cpus >= demand_cpus)
    }
}

/// CPUs of the machines in each pool.
pub(super) struct PoolCapacity<'a> {
    cpus: Vec<f64>,
    pools: &'a Pools<'a>,
}

impl<'a> PoolCapacity<'a> {
    /// Sums up the CPUs of the machines for which `counts` holds.
    pub(super) fn new(
        cluster: &Cluster,
        pools: &'a Pools<'a>,
        counts: impl Fn(&Machine) -> bool,
    ) -> Self {
        let mut cpus = vec![0.0; pools.iter().count()];
        for machine in cluster.machines.values().filter(|machine| counts(machine)) {
            if let Some(pool) = pools.of_machine(machine) {
                cpus[pool.index] += pool.machine_type.cpus;
            }
        }
        Self { cpus, pools }
    }

    /// Returns the balance in the given pools. Of the on-demand machines, only those of the types
    /// for which `counts_type` holds are counted.
    pub(super) fn balance_in(
        &self,
        is_in: &[bool],
        counts_on_demand: impl Fn(&Pool<'_>) -> bool,
    ) -> SpotBalance {
        let mut balance = SpotBalance::default();
        for pool in self.pools.iter().filter(|pool| is_in[pool.index]) {
            if pool.spot {
                balance.spot_cpus += self.cpus[pool.index];
            } else if counts_on_demand(&pool) {
                balance.on_demand_cpus += self.cpus[pool.index];
            }
        }
        balance
    }

    /// Returns whether spot machines spare the expensive on-demand machines of a pool: in the whole
    /// deployment, and in each set of pools in which tasks of an unfinished job can run and that
    /// contains the pool.
    pub(super) fn is_pool_dispensable(&self, pool: &Pool<'_>, demand: &CpuDemand) -> bool {
        let counts = |pool: &Pool<'_>| is_expensive(pool.machine_type);
        let all_pools = vec![true; self.cpus.len()];
        let is_sufficient = |is_in: &Vec<bool>| {
            let demand_cpus = demand.cpus_bound_to(is_in);
            self.balance_in(is_in, counts).is_spot_sufficient(demand_cpus)
        };
        let mut sets = demand.pool_sets().filter(|is_in| is_in[pool.index]);
        is_sufficient(&all_pools) && sets.all(is_sufficient)
    }
}
