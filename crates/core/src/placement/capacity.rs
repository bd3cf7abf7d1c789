//! Free capacity of machines during one placement pass.

use super::queue::StartableJob;
use super::PlacementScope;
use crate::cluster::Cluster;
use crate::job::Job;
use crate::machine::{Machine, Resources};
use corkfield_wire::{JobSpec, MachineName, Priority};
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

/// A machine with room, during one pass.
pub(super) struct MachineCapacity {
    pub(super) name: MachineName,
    pub(super) zone: String,
    pub(super) spot: bool,
    /// What no task takes.
    pub(super) free: Resources,
    /// Failed its last task, or is slow: gets one at a time until one completes well.
    pub(super) probing: bool,
    /// Left to jobs of which nothing runs, where there is no other room for them.
    pub(super) slow: bool,
    /// Kept for tasks of higher priority, whether it is free yet or not.
    pub(super) reserved: Resources,
    /// What the tasks there take, by priority.
    pub(super) by_priority: [Resources; 4],
}

impl MachineCapacity {
    /// The capacity of a machine that takes work; none while its free room is not known, or if it
    /// is being probed and holds a task already.
    fn new(machine: &Machine) -> Option<Self> {
        // Left out altogether, a machine that is slow no more, or was taken for slow by mistake,
        // would never show it, and tasks would wait beside it for ever. So it is left to jobs of
        // which nothing runs.
        let slow = machine.is_slow();
        let probing = machine.has_failures() || slow;
        let free = machine.free_resources()?;
        if probing && !machine.is_idle() {
            return None;
        }
        Some(Self {
            name: machine.name.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            free,
            probing,
            slow,
            reserved: Resources::default(),
            by_priority: machine.tasks.totals().by_priority,
        })
    }

    /// Whether a task of that need fits, in so much of the room as the scope allows.
    pub(super) fn has_room_for(&self, need: &Resources, scope: PlacementScope) -> bool {
        match scope {
            PlacementScope::OneTask => self.free.can_fit(need),
            PlacementScope::Guaranteed | PlacementScope::All => self.fits(need),
        }
    }

    /// Whether a task of that need fits beside what is reserved.
    pub(super) fn fits(&self, need: &Resources) -> bool {
        let mut unreserved = self.free;
        unreserved.subtract(&self.reserved);
        unreserved.can_fit(need)
    }

    /// The room there would be without what has a lower priority, beyond what is reserved.
    pub(super) fn room_above(&self, priority: Priority) -> Resources {
        let mut room = self.free;
        for lower in &self.by_priority[priority as usize + 1..] {
            room.add(lower);
        }
        room.subtract(&self.reserved);
        room
    }

    /// A task of that need and priority was placed there.
    pub(super) fn place(&mut self, need: &Resources, priority: Priority) {
        self.free.subtract(need);
        self.by_priority[priority as usize].add(need);
        if self.probing {
            self.free.cpus = -1.0;
        }
    }
}

/// How many tasks of an urgent job a machine will have room for.
pub(super) struct TaskSlots {
    /// The machine's position in the capacity.
    pub(super) position: usize,
    pub(super) tasks: u32,
    pub(super) free_cpus: f64,
}

/// The free capacity of all machines during one pass. Looking at each of them for each waiting job
/// is what a pass costs, so those that no waiting task fits into any more are left out.
pub(super) struct ClusterCapacity {
    pub(super) machines: Vec<MachineCapacity>,
    /// Positions of those into which the smallest need may still fit.
    pub(super) open: Vec<usize>,
    /// Positions of those into which it may fit now, or once lower priorities are gone.
    pub(super) reservable: Vec<usize>,
    /// The least that a waiting task takes, of each resource.
    smallest_need: Resources,
    /// The highest priority of a waiting task.
    highest_priority: Option<Priority>,
    /// Positions of the machines that hold an image that a waiting task needs, in order.
    image_holders: HashMap<String, Vec<usize>>,
}

impl ClusterCapacity {
    /// What there is room in for the jobs that wait.
    pub(super) fn new(cluster: &Cluster, queue: &[StartableJob], now: Instant) -> Self {
        let mut capacity = Self {
            machines: Vec::new(),
            open: Vec::new(),
            reservable: Vec::new(),
            smallest_need: Resources { cpus: f64::MAX, gpus: f64::MAX, memory_gb: f64::MAX },
            highest_priority: None,
            image_holders: HashMap::new(),
        };
        for startable in queue {
            capacity.expect_job(cluster.jobs[&startable.id].spec());
        }
        let overdue_after = cluster.config.heartbeat_overdue_after();
        for machine in cluster.machines.values().filter(|m| m.can_accept_starts(now, overdue_after))
        {
            capacity.add_machine(machine);
        }
        capacity
    }

    /// Takes a job into account that is to be placed in this pass.
    fn expect_job(&mut self, spec: &JobSpec) {
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
        self.open.push(position);
        self.reservable.push(position);
        for image in machine.image_cache.names() {
            if let Some(holders) = self.image_holders.get_mut(image) {
                holders.push(position);
            }
        }
    }

    /// Positions of the machines that hold an image, in order.
    pub(super) fn image_holders(&self, image: &str) -> &[usize] {
        self.image_holders.get(image).map_or(&[], Vec::as_slice)
    }

    /// Notes that a machine is going to hold an image.
    pub(super) fn add_image_holder(&mut self, image: &str, position: usize) {
        let holders = self.image_holders.entry(image.to_owned()).or_default();
        if let Err(entry) = holders.binary_search(&position) {
            holders.insert(entry, position);
        }
    }

    /// Positions of the machines that the job may use, and that have room for one of its tasks.
    /// Those that no waiting task fits into any more are left out of the pass for good.
    pub(super) fn eligible(
        &mut self,
        job: &Job,
        scope: PlacementScope,
        machines: &BTreeMap<MachineName, Machine>,
    ) -> Vec<usize> {
        let Self { machines: capacity, open, smallest_need, .. } = self;
        let need = Resources::per_task(job.spec());
        let eligible = |position: &usize| {
            let machine = &capacity[*position];
            machine.has_room_for(&need, scope) && allows(job, machine, machines)
        };
        if scope == PlacementScope::OneTask {
            return (0..capacity.len()).filter(eligible).collect();
        }
        open.retain(|position| capacity[*position].fits(smallest_need));
        open.iter().copied().filter(eligible).collect()
    }

    /// Machines on which room for tasks of the job is free or will come free by itself. Those that
    /// nothing can be reserved on are left out of the pass for good.
    pub(super) fn task_slots(
        &mut self,
        spec: &JobSpec,
        machines: &BTreeMap<MachineName, Machine>,
    ) -> Vec<TaskSlots> {
        let Self { machines: capacity, reservable, smallest_need, highest_priority, .. } = self;
        let highest_priority = highest_priority.unwrap_or(spec.priority);
        reservable.retain(|position| {
            let machine = &capacity[*position];
            !machine.probing && machine.room_above(highest_priority).can_fit(smallest_need)
        });
        let need = Resources::per_task(spec);
        let slots = reservable.iter().filter_map(|&position| {
            let machine = &capacity[position];
            let count = tasks_that_fit(&machine.room_above(spec.priority), &need);
            let suits = count >= 1.0
                && (spec.spot || !machine.spot)
                && machines[&machine.name].may_run(spec);
            let free_cpus = machine.free.cpus;
            suits.then_some(TaskSlots { position, tasks: count as u32, free_cpus })
        });
        slots.collect()
    }
}

/// Whether the job may use the machine, and has not failed there.
fn allows(job: &Job, machine: &MachineCapacity, machines: &BTreeMap<MachineName, Machine>) -> bool {
    let spec = job.spec();
    (spec.spot || !machine.spot)
        && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
        && (spec.types.is_none() || machines[&machine.name].may_run(spec))
        && !job.has_failed_on(machine.name.as_str())
}

/// How many tasks of that need, which takes CPUs, have room, as a whole number.
fn tasks_that_fit(room: &Resources, need: &Resources) -> f64 {
    let by_cpus = room.cpus / need.cpus;
    let by_memory = if need.memory_gb > 0.0 { room.memory_gb / need.memory_gb } else { by_cpus };
    by_cpus.min(by_memory).floor()
}
