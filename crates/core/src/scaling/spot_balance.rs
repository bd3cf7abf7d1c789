//! Decides whether expensive on-demand machines are needed in addition to the spot machines.

use super::room::is_up_or_booting;
use crate::cluster::Cluster;

/// Expensive on-demand machines are not needed if spot machines have at least this many times the
/// CPUs of the on-demand machines and meet the whole demand.
const SUFFICIENT_SPOT_RATIO: f64 = 4.0;
/// Expensive on-demand machines are not needed if spot machines have at least this many times the
/// CPUs of the on-demand machines, whatever the demand: the capacity that on-demand machines add is
/// not worth their price.
const DOMINANT_SPOT_RATIO: f64 = 6.0;

/// CPUs of spot machines and of on-demand machines.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SpotBalance {
    pub(super) spot_cpus: f64,
    pub(super) on_demand_cpus: f64,
}

impl SpotBalance {
    /// Returns the balance of all machines that are up or booting.
    pub(super) fn from_cluster(cluster: &Cluster) -> Self {
        let mut balance = Self::default();
        for machine in cluster.machines.values().filter(|machine| is_up_or_booting(machine)) {
            let Some(machine_type) = &machine.machine_type else { continue };
            if machine.spot {
                balance.spot_cpus += machine_type.cpus;
            } else {
                balance.on_demand_cpus += machine_type.cpus;
            }
        }
        balance
    }

    /// Returns whether expensive machines are not needed in addition to the spot machines.
    pub(super) fn is_spot_sufficient(&self, demand_cpus: f64) -> bool {
        let has_ratio = |ratio: f64| self.spot_cpus >= ratio * self.on_demand_cpus;
        has_ratio(DOMINANT_SPOT_RATIO)
            || (has_ratio(SUFFICIENT_SPOT_RATIO) && self.spot_cpus >= demand_cpus)
    }
}
