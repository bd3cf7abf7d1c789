//! Room for further tasks on the machines that are up, on their way or requested.
//!
//! Room is counted in whole tasks that fit on one machine in every resource. Machines with the same
//! room in the same pool form one group, so that the cost depends on the number of groups.

use super::demand::{ShapeDemand, ShortJobs};
use super::pools::{PoolIndex, Pools};
use super::shape::TaskShape;
use super::RentalsInFlight;
use crate::cluster::Cluster;
use crate::float_order::compare_f64;
use crate::machine::{Machine, MachineState, Reachability, Resources, TaskLimit};
use corkfield_wire::MachineName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Machines with the same room in the same pool.
#[derive(Debug, Clone)]
struct RoomGroup {
    pool: PoolIndex,
    /// Price per hour of one machine.
    price: f64,
    /// Room of each machine.
    free: Resources,
    /// Further tasks that each machine gets at most.
    max_tasks: u32,
    /// Number of machines in the group.
    machines: u32,
    /// Name of the only machine of the group, if tasks of a waiting job have failed there.
    name: Option<MachineName>,
    /// Whether the machines are up, hold no task and were not chosen for any waiting task.
    is_idle: bool,
}

/// What the room for further tasks is collected from.
pub(super) struct RoomSource<'a> {
    pub(super) cluster: &'a Cluster,
    pub(super) pools: &'a Pools<'a>,
    pub(super) rentals_in_flight: &'a RentalsInFlight,
    pub(super) short_jobs: ShortJobs,
    /// Machines on which tasks of a waiting job have failed. They are kept apart from others.
    pub(super) failed_on: BTreeSet<&'a MachineName>,
    /// Smallest amount of each resource that any task needs for which room is sought.
    pub(super) smallest_need: Resources,
}

/// Room for further tasks on all machines that provide supply.
pub(super) struct Room {
    groups: Vec<RoomGroup>,
}

impl Room {
    /// Collects the room of all machines that accept tasks, are booting or are requested and have
    /// room for the smallest need. Machines without a task are kept in any case.
    pub(super) fn new(source: &RoomSource<'_>, now: Instant) -> Self {
        let RoomSource { cluster, pools, .. } = source;
        let mut counts: BTreeMap<GroupKey<'_>, RoomGroup> = BTreeMap::new();
        let mut add = |group: RoomGroup, name| {
            let machines = group.machines;
            let key = GroupKey::new(&group, name);
            counts.entry(key).or_insert(RoomGroup { machines: 0, ..group }).machines += machines;
        };
        let heartbeat_timeout = cluster.config.heartbeat_timeout();
        for machine in cluster.machines.values() {
            if !provides_supply(machine, heartbeat_timeout, now) {
                continue;
            }
            if let Some(group) = source.group_of_machine(machine) {
                let is_apart = source.failed_on.contains(&machine.name);
                let name = is_apart.then(|| machine.name.clone());
                add(RoomGroup { name, ..group }, is_apart.then_some(&machine.name));
            }
        }
        for request in source.rentals_in_flight.values() {
            let pool = pools.find(&request.machine_type, &request.zone, request.spot);
            let Some(pool) = pool else { continue };
            let group = RoomGroup {
                pool: pool.index,
                price: pool.price(),
                free: Resources::capacity_of(pool.machine_type),
                max_tasks: u32::MAX,
                machines: request.count,
                name: None,
                is_idle: false,
            };
            add(group, None);
        }
        Self { groups: counts.into_values().collect() }
    }

    /// Chooses machines for the tasks of each shape, the shapes with the fewest pools and the
    /// largest tasks first. Returns the tasks that fit nowhere.
    pub(super) fn place_all(&mut self, demand: &[ShapeDemand]) -> Vec<ShapeDemand> {
        let mut missing = Vec::new();
        for shape_demand in demand {
            let left = self.place(&shape_demand.shape, &shape_demand.pools, shape_demand.tasks);
            if left > 0 {
                missing.push(ShapeDemand { tasks: left, ..shape_demand.clone() });
            }
        }
        missing
    }

    /// Chooses machines for tasks of one shape: those with the least room that suffices, and among
    /// these the cheapest. Returns the number of tasks that fit nowhere.
    fn place(&mut self, shape: &TaskShape, pools: &[bool], tasks: u32) -> u32 {
        let mut suitable: Vec<usize> = (0..self.groups.len())
            .filter(|position| self.groups[*position].fitting_tasks(shape, pools) > 0)
            .collect();
        suitable.sort_by(|left, right| {
            let (left, right) = (&self.groups[*left], &self.groups[*right]);
            compare_f64(left.free.cpus, right.free.cpus).then(compare_f64(left.price, right.price))
        });
        let mut tasks_left = tasks;
        for position in suitable {
            if tasks_left == 0 {
                return 0;
            }
            tasks_left -= self.place_in_group(position, shape, pools, tasks_left);
        }
        tasks_left
    }

    /// Fills machines of one group with up to `tasks` tasks. Returns the number of tasks placed.
    fn place_in_group(
        &mut self,
        position: usize,
        shape: &TaskShape,
        pools: &[bool],
        tasks: u32,
    ) -> u32 {
        let group = self.groups[position].clone();
        let per_machine = group.fitting_tasks(shape, pools);
        let full_machines = (tasks / per_machine).min(group.machines);
        let rest = if full_machines < group.machines { tasks % per_machine } else { 0 };
        let untouched = group.machines - full_machines - u32::from(rest > 0);
        self.groups[position].machines = untouched;
        for (machines, placed) in [(full_machines, per_machine), (u32::from(rest > 0), rest)] {
            if machines > 0 {
                self.groups.push(group.filled(machines, placed, &shape.need));
            }
        }
        full_machines * per_machine + rest
    }

    /// Returns how many tasks of this shape fit into the room that is left.
    pub(super) fn fitting_tasks(&self, shape: &TaskShape, pools: &[bool]) -> u64 {
        let count = |group: &RoomGroup| {
            u64::from(group.fitting_tasks(shape, pools)) * u64::from(group.machines)
        };
        self.groups.iter().map(count).sum()
    }

    /// Removes an idle machine of the pool from the room, if one is left that was not chosen for
    /// any task.
    pub(super) fn remove_idle_machine(&mut self, pool: PoolIndex, name: &MachineName) -> bool {
        let is_suitable = |group: &&mut RoomGroup| {
            group.is_idle
                && group.machines > 0
                && group.pool == pool
                && group.name.as_ref().is_none_or(|only| only == name)
        };
        let Some(group) = self.groups.iter_mut().find(is_suitable) else { return false };
        group.machines -= 1;
        true
    }
}

impl RoomGroup {
    /// Returns how many tasks of this shape each machine of the group gets.
    fn fitting_tasks(&self, shape: &TaskShape, pools: &[bool]) -> u32 {
        let has_failed = |name: &MachineName| shape.failed_on.contains(name);
        if self.machines == 0 || !pools[self.pool] || self.name.as_ref().is_some_and(has_failed) {
            return 0;
        }
        self.free.fitting_tasks(&shape.need).min(self.max_tasks)
    }

    /// Returns a group of `machines` machines of this group that got `tasks` tasks each.
    fn filled(&self, machines: u32, tasks: u32, need: &Resources) -> Self {
        let mut group = self.clone();
        group.machines = machines;
        group.is_idle = false;
        group.free.subtract(&need.multiplied_by(tasks));
        group.max_tasks = group.max_tasks.saturating_sub(tasks);
        group
    }
}

/// What the machines of one group have in common.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct GroupKey<'a> {
    pool: PoolIndex,
    /// Bits of the free amounts.
    free: [u64; 3],
    max_tasks: u32,
    name: Option<&'a MachineName>,
    is_idle: bool,
}

impl<'a> GroupKey<'a> {
    fn new(group: &RoomGroup, name: Option<&'a MachineName>) -> Self {
        let Resources { cpus, gpus, memory_gb } = group.free;
        Self {
            pool: group.pool,
            free: [cpus, gpus, memory_gb].map(f64::to_bits),
            max_tasks: group.max_tasks,
            name,
            is_idle: group.is_idle,
        }
    }
}

impl RoomSource<'_> {
    /// Returns the room of one machine as a group; `None` if it has too little or its type is
    /// unknown.
    ///
    /// A slow machine has none: it gets a task only once a job has waited for long and nothing else
    /// has room.
    fn group_of_machine(&self, machine: &Machine) -> Option<RoomGroup> {
        let room = machine.task_room()?;
        let max_tasks = match room.limit {
            TaskLimit::Unlimited => u32::MAX,
            TaskLimit::OneTask => 1,
            TaskLimit::OneLongWaitingTask => return None,
        };
        let mut free = room.free;
        free.add(&self.short_jobs.soon_free_on(machine));
        let is_idle = machine.state() == MachineState::Up && machine.tasks.is_empty();
        if !is_idle && !free.can_fit(&self.smallest_need) {
            return None;
        }
        let pool = self.pools.of_machine(machine)?;
        let price = pool.price();
        let pool = pool.index;
        Some(RoomGroup { pool, price, free, max_tasks, machines: 1, name: None, is_idle })
    }
}

/// Returns whether the machine accepts tasks, or is expected to once it is up.
pub(super) fn provides_supply(
    machine: &Machine,
    heartbeat_timeout: Duration,
    now: Instant,
) -> bool {
    is_up_or_booting(machine) && !is_losing_tasks(machine, heartbeat_timeout, now)
}

/// Returns whether the tasks on the machine probably have to run elsewhere, so that a replacement
/// may be rented at once. The tasks stay placed until the machine provably holds none of them (S5).
pub(super) fn is_losing_tasks(
    machine: &Machine,
    heartbeat_timeout: Duration,
    now: Instant,
) -> bool {
    let is_overdue = |at| now.saturating_duration_since(at) > heartbeat_timeout;
    machine.has_interruption_notice
        || machine.is_lease_expired()
        || machine.reachability() == Reachability::Unreachable
        || machine.last_message_at.is_some_and(is_overdue)
}

/// Returns whether the machine is up or booting and its worker's lease has not expired.
pub(super) fn is_up_or_booting(machine: &Machine) -> bool {
    matches!(machine.state(), MachineState::Up | MachineState::Booting)
        && !machine.is_lease_expired()
}
