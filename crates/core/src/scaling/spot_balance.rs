//! Whether expensive machines are needed beside the spot machines that there are.

use super::supply::is_up_or_booting;
use crate::cluster::Cluster;

/// Expensive machines are not needed when the spot machines have this many times their CPUs and
/// suffice for the demand.
const SPOT_MAJORITY: f64 = 4.0;
/// Above this they are not needed in any case: what they add is not worth their price.
const OVERWHELMING_SPOT_MAJORITY: f64 = 6.0;

/// CPUs of spot machines and of others.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SpotBalance {
    pub(super) spot_cpus: f64,
    pub(super) on_demand_cpus: f64,
}

impl SpotBalance {
    /// The balance of all machines in use or on their way.
    pub(super) fn from_cluster(cluster: &Cluster) -> Self {
        let mut balance = Self::default();
        for machine in cluster.machines.values().filter(|machine| is_up_or_booting(machine)) {
            let Some(size) = &machine.machine_type else { continue };
            if machine.spot {
                balance.spot_cpus += size.cpus;
            } else {
                balance.on_demand_cpus += size.cpus;
            }
        }
        balance
    }

    /// Whether expensive machines are not needed beside so many spot machines.
    pub(super) fn makes_expensive_needless(&self, wanted_cpus: f64) -> bool {
        let exceeds = |ratio: f64| self.spot_cpus >= ratio * self.on_demand_cpus;
        exceeds(OVERWHELMING_SPOT_MAJORITY)
            || (exceeds(SPOT_MAJORITY) && self.spot_cpus >= wanted_cpus)
    }
}
