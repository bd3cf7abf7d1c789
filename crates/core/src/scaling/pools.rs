//! Pools: machines of the same type, in the same zone, all spot or all on-demand.

use super::shape::TaskShape;
use crate::cluster::Cluster;
use crate::machine::Machine;
use corkfield_wire::cloud::MachineType;
use std::collections::BTreeSet;

/// Index of a pool in [`Pools`].
pub(super) type PoolIndex = usize;

/// One pool: what the cloud rents out under one offer.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pool<'a> {
    pub(super) index: PoolIndex,
    pub(super) machine_type: &'a MachineType,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
}

impl Pool<'_> {
    /// Returns whether the cloud offers machines of this pool.
    pub(super) fn is_offered(&self) -> bool {
        self.machine_type.zones.iter().any(|zone| zone == self.zone)
    }

    /// Returns the price per hour of one machine.
    pub(super) fn price(&self) -> f64 {
        if self.spot {
            self.machine_type.spot_price
        } else {
            self.machine_type.price
        }
    }
}

/// All pools: those that the cloud offers, and those of the known machines.
pub(super) struct Pools<'a> {
    types: &'a [MachineType],
    zones: Vec<&'a str>,
}

impl<'a> Pools<'a> {
    /// Collects the pools of the cloud's machine types and of the known machines.
    pub(super) fn new(cluster: &'a Cluster) -> Self {
        let offered = cluster.machine_types.iter().flat_map(|machine_type| &machine_type.zones);
        let mut zones: BTreeSet<&str> = offered.map(String::as_str).collect();
        zones.extend(cluster.machines.values().map(|machine| machine.zone.as_str()));
        Self { types: &cluster.machine_types, zones: zones.into_iter().collect() }
    }

    /// Returns the names of all zones.
    pub(super) fn zones(&self) -> &[&'a str] {
        &self.zones
    }

    /// Returns the pool with the given type, zone and kind; `None` if the type or zone is unknown.
    pub(super) fn find(&self, type_name: &str, zone: &str, spot: bool) -> Option<Pool<'a>> {
        let machine_type = self.types.iter().position(|known| known.name == type_name)?;
        let zone = self.zones.binary_search(&zone).ok()?;
        Some(self.get((machine_type * self.zones.len() + zone) * 2 + usize::from(spot)))
    }

    /// Returns the pool of a machine; `None` if its type is unknown.
    pub(super) fn of_machine(&self, machine: &Machine) -> Option<Pool<'a>> {
        self.find(&machine.type_name, &machine.zone, machine.spot)
    }

    /// Returns all pools, in order of their indices.
    pub(super) fn iter(&self) -> impl Iterator<Item = Pool<'a>> + '_ {
        (0..self.types.len() * self.zones.len() * 2).map(|index| self.get(index))
    }

    fn get(&self, index: PoolIndex) -> Pool<'a> {
        let type_and_zone = index / 2;
        Pool {
            index,
            machine_type: &self.types[type_and_zone / self.zones.len()],
            zone: self.zones[type_and_zone % self.zones.len()],
            spot: index % 2 == 1,
        }
    }

    /// Returns, for each pool, whether tasks of this shape may run on its machines and fit into an
    /// empty one.
    pub(super) fn that_can_run(&self, shape: &TaskShape) -> Vec<bool> {
        self.iter().map(|pool| shape.can_run_in(&pool)).collect()
    }
}
