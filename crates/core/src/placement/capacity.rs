//! Free capacity of machines during one placement pass.

use super::PlacementScope;
use crate::machine::Need;
use crate::scheduler::Scheduler;
use corkfield_wire::{JobId, Priority};
use rand::rngs::SmallRng;
use rand::seq::index;
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

impl Scheduler {
    /// What there is room in for the jobs that wait.
    pub(super) fn capacity(&mut self, queue: &[(JobId, u32)], now: Instant) -> ClusterCapacity {
        let silence = self.cluster.config.silence();
        let least = Need { cpus: f64::MAX, gpus: f64::MAX, memory_gb: f64::MAX };
        let mut capacity = ClusterCapacity { least, ..ClusterCapacity::default() };
        for (id, _) in queue {
            let spec = self.cluster.jobs[id].spec();
            capacity.least = capacity.least.minimum(&Need::of(spec));
            capacity.top = Some(capacity.top.map_or(spec.priority, |top| top.min(spec.priority)));
            if !capacity.holding.contains_key(&spec.image) {
                capacity.holding.insert(spec.image.clone(), Vec::new());
            }
        }
        for machine in self.cluster.machines.values() {
            self.steps.set(self.steps.get() + 1);
            if !machine.accepts_starts(now, silence) {
                continue;
            }
            // Left out altogether, a machine that is slow no more, or was taken for slow by
            // mistake, would never show it, and work would wait beside it for ever. So it is left
            // to jobs of which nothing runs.
            let slow = machine.is_slow();
            let probing = machine.has_failures() || slow;
            let Some(free) = machine.free().filter(|_| !probing || machine.is_empty()) else {
                continue;
            };
            let n = capacity.all.len();
            let (name, zone) = (machine.name.clone(), machine.zone.clone());
            let reserved = Need::default();
            let by_priority = machine.tasks.totals().by_priority;
            let spot = machine.spot;
            capacity.all.push(MachineCapacity {
                name,
                free,
                zone,
                spot,
                probing,
                slow,
                reserved,
                by_priority,
            });
            capacity.open.push(n);
            capacity.keepable.push(n);
            for image in machine.images.names() {
                if let Some(holding) = capacity.holding.get_mut(image) {
                    holding.push(n);
                }
            }
        }
        capacity
    }

    /// Keeps room for the waiting tasks of an urgent job, on machines where it will come free
    /// by itself: otherwise smaller tasks of less important jobs would fill each gap first.
    pub(super) fn reserve(&self, id: &JobId, capacity: &mut ClusterCapacity) {
        let Some(job) = self.cluster.jobs.get(id) else { return };
        let spec = job.spec();
        if spec.priority > Priority::High || spec.cpus <= 0.0 {
            return;
        }
        let mut left = job.waiting();
        if left == 0 {
            return;
        }
        let need = Need::of(spec);
        let ClusterCapacity { all: capacity, keepable, least, top, .. } = capacity;
        let top = top.unwrap_or(spec.priority);
        self.steps.set(self.steps.get() + keepable.len() as u64);
        let mut slots: Vec<(u32, f64, usize)> = Vec::new();
        keepable.retain(|n| {
            let room = &capacity[*n];
            if room.probing || !room.above(top).holds(least) {
                return false;
            }
            let may = room.above(spec.priority);
            let cpus = may.cpus / need.cpus;
            let memory = match need.memory_gb > 0.0 {
                true => may.memory_gb / need.memory_gb,
                false => cpus,
            };
            let count = cpus.min(memory).floor();
            if count >= 1.0
                && (spec.spot || !room.spot)
                && self.cluster.machines[&room.name].allows(spec)
            {
                slots.push((count as u32, room.free.cpus, *n));
            }
            true
        });
        slots.sort_by(|a, b| b.1.partial_cmp(&a.1).unwrap_or(Ordering::Equal));
        for (count, _, n) in slots {
            let count = count.min(left);
            left -= count;
            capacity[n].reserved.add(&need.times(count));
            if left == 0 {
                return;
            }
        }
    }
}

/// A machine with room, during one pass.
pub(super) struct MachineCapacity {
    pub(super) name: String,
    pub(super) free: Need,
    pub(super) zone: String,
    pub(super) spot: bool,
    /// Failed its last task, or is slow: gets one at a time until one completes well.
    pub(super) probing: bool,
    /// Left to jobs of which nothing runs, where there is no other room for them.
    pub(super) slow: bool,
    /// Kept for work of higher priority, whether it is free yet or not.
    pub(super) reserved: Need,
    /// What the tasks there take, by priority.
    pub(super) by_priority: [Need; 4],
}

impl MachineCapacity {
    /// Whether a task that takes so much fits, as far as the job may reach.
    pub(super) fn has_room_for(&self, need: &Need, scope: PlacementScope) -> bool {
        match scope {
            PlacementScope::One => self.free.holds(need),
            PlacementScope::Guaranteed | PlacementScope::All => self.fits(need),
        }
    }

    pub(super) fn fits(&self, need: &Need) -> bool {
        let mut left = self.free;
        left.subtract(&self.reserved);
        left.holds(need)
    }

    /// The room there would be without what has a lower priority, beyond what is reserved.
    pub(super) fn above(&self, priority: Priority) -> Need {
        let mut may = self.free;
        for lower in &self.by_priority[priority as usize + 1..] {
            may.add(lower);
        }
        may.subtract(&self.reserved);
        may
    }
}

/// The rooms of one pass. Looking at each of them for each waiting job is what a pass costs, so
/// those that no waiting task fits into any more are left out.
#[derive(Default)]
pub(super) struct ClusterCapacity {
    pub(super) all: Vec<MachineCapacity>,
    /// Those into which the least that waits may fit, now or once lower priorities are gone.
    pub(super) open: Vec<usize>,
    pub(super) keepable: Vec<usize>,
    /// The least that a waiting task takes, and the highest priority of one.
    pub(super) least: Need,
    pub(super) top: Option<Priority>,
    /// Which of them hold an image that a waiting task needs.
    pub(super) holding: HashMap<String, Vec<usize>>,
}

/// Where in the list the roomiest machine is, among a sample if they are many.
pub(super) fn roomiest(
    capacity: &[MachineCapacity],
    list: &[usize],
    sample: usize,
    rng: &mut SmallRng,
) -> Option<usize> {
    let roomier = |a: &usize, b: &usize| {
        let free = |at: usize| capacity[list[at]].free.cpus;
        free(*a).partial_cmp(&free(*b)).unwrap_or(Ordering::Equal)
    };
    match list.len() > sample.max(1) {
        true => index::sample(rng, list.len(), sample.max(1)).into_iter().max_by(roomier),
        false => (0..list.len()).max_by(roomier),
    }
}

pub(super) fn roomiest_zone<'a>(
    capacity: &[MachineCapacity],
    candidates: impl Iterator<Item = &'a usize>,
    need: &Need,
) -> String {
    let mut by_zone: BTreeMap<&str, f64> = BTreeMap::new();
    for &n in candidates {
        let slots = (capacity[n].free.cpus / need.cpus.max(0.01)).floor();
        *by_zone.entry(&capacity[n].zone).or_default() += slots;
    }
    let best = by_zone.into_iter().max_by(|a, b| a.1.partial_cmp(&b.1).unwrap_or(Ordering::Equal));
    best.map(|(zone, _)| zone.to_owned()).unwrap_or_default()
}
