//! Free capacity of the machines during one placement pass.

use super::queue::StartableJob;
use super::PlacementScope;
use crate::cluster::Cluster;
use crate::job::Job;
use crate::machine::{Machine, Resources, TaskLimit};
use corkfield_wire::{JobSpec, MachineName, Priority};
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// Capacity of one machine that accepts starts, during one placement pass.
pub(super) struct MachineCapacity {
    pub(super) name: MachineName,
    pub(super) zone: String,
    pub(super) spot: bool,
    /// Resources that no task uses.
    pub(super) free: Resources,
    /// Whether the machine gets only one task at a time, because a task has failed there and none
    /// has completed there since, or because it is slow.
    pub(super) is_limited_to_one_task: bool,
    /// Whether the machine is slow. A slow machine is used only for long-waiting jobs without a
    /// placed task ([`PlacementScope::OneTask`]), and only if no other machine has room.
    pub(super) is_slow: bool,
    /// Resources reserved for urgent tasks. They may still be in use by tasks of lower priority.
    pub(super) reserved: Resources,
    /// Resources used by the machine's tasks, by priority.
    pub(super) used_by_priority: [Resources; 4],
}

impl MachineCapacity {
    /// Returns the capacity of a machine that accepts starts. Returns `None` if its free resources
    /// are unknown, or if it gets only one task at a time and already has one.
    fn new(machine: &Machine) -> Option<Self> {
        let room = machine.task_room()?;
        Some(Self {
            name: machine.name.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            free: room.free,
            is_limited_to_one_task: room.limit != TaskLimit::Unlimited,
            is_slow: room.limit == TaskLimit::OneLongWaitingTask,
            reserved: Resources::default(),
            used_by_priority: machine.tasks.totals().by_priority,
        })
    }

    /// Returns whether a task with this need fits. [`PlacementScope::OneTask`] may use reserved
    /// resources.
    pub(super) fn has_room_for(&self, need: &Resources, scope: PlacementScope) -> bool {
        match scope {
            PlacementScope::OneTask => self.free.can_fit(need),
            PlacementScope::Guaranteed | PlacementScope::All => self.fits_unreserved(need),
        }
    }

    /// Returns whether a task with this need fits into the resources that are free and not
    /// reserved.
    pub(super) fn fits_unreserved(&self, need: &Resources) -> bool {
        let mut unreserved = self.free;
        unreserved.subtract(&self.reserved);
        unreserved.can_fit(need)
    }

    /// Returns the unreserved resources that would be free if no task of a lower priority than
    /// `priority` ran on the machine.
    pub(super) fn room_for_priority(&self, priority: Priority) -> Resources {
        let mut room = self.free;
        for lower in &self.used_by_priority[priority as usize + 1..] {
            room.add(lower);
        }
        room.subtract(&self.reserved);
        room
    }

    /// Accounts for a task with this need and priority that was placed on the machine.
    pub(super) fn allocate(&mut self, need: &Resources, priority: Priority) {
        self.free.subtract(need);
        self.used_by_priority[priority as usize].add(need);
        if self.is_limited_to_one_task {
            // No further task fits, not even one that needs 0 CPUs.
            self.free.cpus = -1.0;
        }
    }
}

/// Number of tasks of an urgent job that a machine can hold once its tasks of lower priority have
/// ended.
pub(super) struct TaskSlots {
    /// Position of the machine in [`ClusterCapacity::machines`].
    pub(super) position: usize,
    pub(super) tasks: u32,
    pub(super) free_cpus: f64,
}

/// Free capacity of all machines during one placement pass. Examining every machine for every
/// waiting job dominates the cost of a pass, so a machine that fits no waiting task any more is
/// excluded.
pub(super) struct ClusterCapacity {
    pub(super) machines: Vec<MachineCapacity>,
    /// Positions of the machines that may still fit the smallest need.
    pub(super) with_room: Vec<usize>,
    /// Positions of the machines that may fit the smallest need now or after their tasks of lower
    /// priority have ended.
    pub(super) reservable: Vec<usize>,
    /// Smallest amount of each resource that any waiting task needs.
    smallest_need: Resources,
    /// Highest priority of any waiting task.
    highest_priority: Option<Priority>,
    /// For each image that a waiting task needs, the sorted positions of the machines that hold it.
    image_holders: HashMap<String, Vec<usize>>,
}

impl ClusterCapacity {
    /// Collects the capacity of all machines that accept starts, for the jobs in `queue`.
    pub(super) fn new(cluster: &Cluster, queue: &[StartableJob], now: Instant) -> Self {
        let mut capacity = Self {
            machines: Vec::new(),
            with_room: Vec::new(),
            reservable: Vec::new(),
            smallest_need: Resources { cpus: f64::MAX, gpus: f64::MAX, memory_gb: f64::MAX },
            highest_priority: None,
            image_holders: HashMap::new(),
        };
        for startable in queue {
            capacity.add_waiting_job(cluster.jobs[&startable.id].spec());
        }
        let heartbeat_timeout = cluster.config.heartbeat_timeout();
        for machine in
            cluster.machines.values().filter(|m| m.can_accept_starts(now, heartbeat_timeout))
        {
            capacity.add_machine(machine);
        }
        capacity
    }

    /// Accounts for a job of the queue in the smallest need, the highest priority and the needed
    /// images.
    fn add_waiting_job(&mut self, spec: &JobSpec) {
        self.smallest_need = self.smallest_need.minimum(&Resources::per_task(spec));
        let highest = self.highest_priority.map_or(spec.priority, |p| p.min(spec.priority));
        self.highest_priority = Some(highest);
        if !self.image_holders.contains_key(&spec.image) {
            self.image_holders.insert(spec.image.clone(), Vec::new());
        }
    }

    fn add_machine(&mut self, machine: &Machine) {
        let Some(capacity) = MachineCapacity::new(machine) else { return };
        let position = self.machines.len();
        self.machines.push(capacity);
        self.with_room.push(position);
        self.reservable.push(position);
        for image in machine.image_cache.names() {
            if let Some(holders) = self.image_holders.get_mut(image) {
                holders.push(position);
            }
        }
    }

    /// Returns the sorted positions of the machines that hold the image.
    pub(super) fn image_holders(&self, image: &str) -> &[usize] {
        self.image_holders.get(image).map_or(&[], Vec::as_slice)
    }

    /// Records that the machine will hold the image.
    pub(super) fn add_image_holder(&mut self, image: &str, position: usize) {
        let holders = self.image_holders.entry(image.to_owned()).or_default();
        if let Err(entry) = holders.binary_search(&position) {
            holders.insert(entry, position);
        }
    }

    /// Returns the positions of the machines that the job may use and that have room for one of its
    /// tasks. Machines that fit no waiting task any more are excluded for the rest of the pass.
    pub(super) fn eligible_machines(
        &mut self,
        job: &Job,
        scope: PlacementScope,
        machines: &BTreeMap<MachineName, Machine>,
    ) -> Vec<usize> {
        let Self { machines: capacity, with_room, smallest_need, .. } = self;
        let need = Resources::per_task(job.spec());
        let eligible = |position: &usize| {
            let machine = &capacity[*position];
            machine.has_room_for(&need, scope) && may_use_machine(job, machine, machines)
        };
        if scope == PlacementScope::OneTask {
            return (0..capacity.len()).filter(eligible).collect();
        }
        with_room.retain(|position| capacity[*position].fits_unreserved(smallest_need));
        with_room.iter().copied().filter(eligible).collect()
    }

    /// Returns the machines that have room for tasks of the job, now or after their tasks of lower
    /// priority have ended. Machines on which nothing can be reserved any more are excluded for the
    /// rest of the pass.
    pub(super) fn task_slots(
        &mut self,
        spec: &JobSpec,
        machines: &BTreeMap<MachineName, Machine>,
    ) -> Vec<TaskSlots> {
        let Self { machines: capacity, reservable, smallest_need, highest_priority, .. } = self;
        let highest_priority = highest_priority.unwrap_or(spec.priority);
        reservable.retain(|position| {
            let machine = &capacity[*position];
            !machine.is_limited_to_one_task
                && machine.room_for_priority(highest_priority).can_fit(smallest_need)
        });
        let need = Resources::per_task(spec);
        let slots = reservable.iter().filter_map(|&position| {
            let machine = &capacity[position];
            let tasks = machine.room_for_priority(spec.priority).fitting_tasks(&need);
            let is_suitable =
                tasks >= 1 && (spec.spot || !machine.spot) && machines[&machine.name].may_run(spec);
            let free_cpus = machine.free.cpus;
            is_suitable.then_some(TaskSlots { position, tasks, free_cpus })
        });
        slots.collect()
    }
}

/// Returns whether the job may use the machine and has not failed there.
fn may_use_machine(
    job: &Job,
    machine: &MachineCapacity,
    machines: &BTreeMap<MachineName, Machine>,
) -> bool {
    let spec = job.spec();
    (spec.spot || !machine.spot)
        && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
        && (spec.types.is_none() || machines[&machine.name].may_run(spec))
        && !job.has_failed_on(machine.name.as_str())
}
