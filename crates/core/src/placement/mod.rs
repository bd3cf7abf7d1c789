//! Placement: a machine holding the image, else the roomiest in the job's zone, if any.

mod candidates;
mod capacity;
mod preemption;
mod queue;

use crate::job::Job;
use crate::machine::{Machine, Need};
use crate::scheduler::{Action, Scheduler};
use crate::team::{is_limited, within_guarantee, within_limit, Usage};
use candidates::Candidates;
use capacity::{roomiest_zone, ClusterCapacity, MachineCapacity};
use corkfield_wire::{JobId, TaskId};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Instant;

/// How much of a job is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PlacementScope {
    /// One task, in any room.
    One,
    /// What its team's guarantee still holds; all of an urgent job.
    Guaranteed,
    All,
}

impl Scheduler {
    /// Assigns waiting tasks to machines with room.
    pub fn run_placement_pass(&mut self, now: Instant) {
        self.passes += 1;
        if self.cluster.jobs.is_empty() {
            return;
        }
        let mut usage = self.cluster.usage_by_team();
        let queue = self.queue(&usage, now);
        if queue.is_empty() {
            return;
        }
        let mut capacity = self.capacity(&queue, now);
        let unaccounted_usage = self.unaccounted_usage();
        // First what comes before the rest because it is within a guarantee, and no more of it
        // than that; then what is left, in the order that results.
        let long_waiting = self.long_waiting(&queue, now);
        let urgent = queue.partition_point(|(id, _)| self.cluster.jobs[id].is_urgent());
        for (at, (id, _)) in queue.iter().enumerate() {
            if at == urgent {
                self.place_long_waiting(
                    &long_waiting,
                    &mut capacity,
                    &mut usage,
                    unaccounted_usage,
                    now,
                );
            }
            self.place_job(
                id,
                PlacementScope::Guaranteed,
                &mut capacity,
                &mut usage,
                unaccounted_usage,
                now,
            );
            self.reserve(id, &mut capacity);
        }
        for (id, _) in self.queue(&usage, now) {
            if capacity.open.is_empty() {
                break;
            }
            self.place_job(
                &id,
                PlacementScope::All,
                &mut capacity,
                &mut usage,
                unaccounted_usage,
                now,
            );
        }
        self.preempt(&mut usage, now);
    }

    fn place_long_waiting(
        &mut self,
        jobs: &[JobId],
        capacity: &mut ClusterCapacity,
        usage: &mut [Usage],
        unaccounted_usage: Option<Usage>,
        now: Instant,
    ) {
        for id in jobs {
            self.place_job(id, PlacementScope::One, capacity, usage, unaccounted_usage, now);
        }
    }

    /// Places waiting tasks of a job.
    fn place_job(
        &mut self,
        id: &JobId,
        scope: PlacementScope,
        capacity: &mut ClusterCapacity,
        usage: &mut [Usage],
        unaccounted_usage: Option<Usage>,
        now: Instant,
    ) {
        let fencing = !self.is_reconciled();
        let Some(job) = self.cluster.jobs.get_mut(id) else {
            return;
        };
        let need = Need::of(&job.record.spec);
        let one = Usage::of(&job.record.spec, 1);
        let team = &self.cluster.config.teams[job.team];
        let unaccounted_usage = match unaccounted_usage {
            Some(unaccounted_usage) => unaccounted_usage,
            None if is_limited(team) => return,
            None => Usage::default(),
        };
        let capped = scope == PlacementScope::Guaranteed && !job.is_urgent();
        let allowed = |next: Usage| {
            within_limit(team, next.plus(unaccounted_usage))
                && (!capped || within_guarantee(team, next))
        };
        if !allowed(usage[job.team].plus(one)) {
            return;
        }
        // S8: where those tasks are that earlier owners may have started is not known yet.
        let together = job.record.spec.one_zone || job.record.spec.spread;
        if fencing && together && job.record.previous_start_watermark > 0 {
            return;
        }
        let candidates = matches(&self.cluster.machines, job, scope, capacity, &self.steps);
        if candidates.is_empty() {
            return;
        }
        // There is room, so its record is to allow first starts. Not before: what a record allows
        // counts as begun after a failover, and then has to wait until all machines have shown
        // what they hold, which takes long if a part of them is silent.
        if job.needs_first_watermark() {
            job.raise_start_watermark();
            return;
        }
        let ClusterCapacity { all: capacity, holding: by_image, .. } = capacity;
        let spec = &job.record.spec;
        let with_image = by_image.entry(spec.image.clone()).or_default();
        let mut candidates = Candidates::new(candidates, capacity, with_image, scope);
        let mut zones = match together {
            true => zones_in_use(&self.cluster.machines, job),
            false => BTreeMap::new(),
        };
        let same_zone = job.record.spec.one_zone.then(|| match zones.keys().next() {
            Some(zone) => zone.clone(),
            None => roomiest_zone(capacity, candidates.all(), &need),
        });
        let cap = job.record.spec.zone_cap();
        let mut recheck = true;
        loop {
            if !allowed(usage[job.team].plus(one)) {
                return;
            }
            if recheck {
                let fits = |n: &usize| {
                    let room = &capacity[*n];
                    room.has_room_for(&need, scope)
                        && same_zone.as_ref().is_none_or(|zone| *zone == room.zone)
                        && zones.get(&room.zone).copied().unwrap_or(0) < cap
                };
                candidates.retain(fits);
            }
            let chosen =
                candidates.choose(capacity, self.cluster.config.placement_sample, &mut self.rng);
            let Some((list, at)) = chosen else {
                return;
            };
            let Some(index) = job.take_waiting(fencing) else {
                return;
            };
            let n = candidates.take(list, at, with_image);
            let room = &mut capacity[n];
            let Some(machine) = self.cluster.machines.get_mut(&room.name) else {
                return;
            };
            let attempt = job.next_attempt();
            if machine.tasks.is_empty() {
                self.actions.push(Action::Answer(room.name.clone()));
            }
            machine.assign(TaskId { job: id.clone(), index }, attempt, job, now);
            job.place(index, &room.name, attempt);
            *zones.entry(room.zone.clone()).or_default() += 1;
            usage[job.team] = usage[job.team].plus(one);
            room.free.subtract(&need);
            room.by_priority[job.record.spec.priority as usize].add(&need);
            if room.probing {
                room.free.cpus = -1.0;
            }
            if scope == PlacementScope::One {
                return;
            }
            recheck = !room.fits(&need) || zones[&room.zone] >= cap;
        }
    }
}

/// Machines that the job may use, and that have room for one of its tasks. Those that no waiting
/// task fits into any more are left out of the pass for good.
fn matches(
    machines: &BTreeMap<String, Machine>,
    job: &Job,
    scope: PlacementScope,
    capacity: &mut ClusterCapacity,
    steps: &Cell<u64>,
) -> Vec<usize> {
    let spec = &job.record.spec;
    let need = Need::of(spec);
    let ClusterCapacity { all, open, least, .. } = capacity;
    let rental_allows = |machine: &MachineCapacity| {
        machine.has_room_for(&need, scope)
            && (spec.spot || !machine.spot)
            && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
            && (spec.types.is_none() || machines[&machine.name].allows(spec))
            && !job.has_failed_on(&machine.name)
    };
    if scope == PlacementScope::One {
        steps.set(steps.get() + all.len() as u64);
        return (0..all.len()).filter(|n| rental_allows(&all[*n])).collect();
    }
    steps.set(steps.get() + open.len() as u64);
    open.retain(|n| all[*n].fits(least));
    open.iter().copied().filter(|n| rental_allows(&all[*n])).collect()
}

/// How many placed tasks of the job each zone holds.
fn zones_in_use(machines: &BTreeMap<String, Machine>, job: &Job) -> BTreeMap<String, u32> {
    let mut zones = BTreeMap::new();
    for placed in job.active().values() {
        if let Some(machine) = machines.get(&placed.machine) {
            *zones.entry(machine.zone.clone()).or_default() += 1;
        }
    }
    zones
}
