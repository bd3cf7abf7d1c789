//! Placement: a machine holding the image, else the roomiest in the job's zone, if any.

mod candidates;
mod capacity;
mod preemption;
mod queue;

use crate::job::Job;
use crate::machine::{Machine, Need};
use crate::planner::{Action, Planner};
use crate::team::{is_limited, within_guarantee, within_limit, Usage};
use candidates::Candidates;
use capacity::{roomiest_zone, ClusterCapacity, MachineCapacity};
use corkfield_wire::{JobId, TaskId};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Instant;

/// How much of a job is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// One task, in any room.
    One,
    /// What its team's guarantee still holds; all of an urgent job.
    Guaranteed,
    All,
}

impl Planner {
    /// Assigns waiting tasks to machines with room.
    pub fn plan(&mut self, now: Instant) {
        self.passes += 1;
        if self.jobs.is_empty() {
            return;
        }
        let mut usage = self.usage();
        let queue = self.queue(&usage, now);
        if queue.is_empty() {
            return;
        }
        let mut rooms = self.rooms(&queue, now);
        let hidden = self.hidden_usage();
        // First what comes before the rest because it is within a guarantee, and no more of it
        // than that; then what is left, in the order that results.
        let passed_over = self.passed_over(&queue, now);
        let urgent = queue.partition_point(|(id, _)| self.jobs[id].is_urgent());
        for (at, (id, _)) in queue.iter().enumerate() {
            if at == urgent {
                self.place_passed_over(&passed_over, &mut rooms, &mut usage, hidden, now);
            }
            self.place_job(id, Reach::Guaranteed, &mut rooms, &mut usage, hidden, now);
            self.reserve(id, &mut rooms);
        }
        for (id, _) in self.queue(&usage, now) {
            if rooms.open.is_empty() {
                break;
            }
            self.place_job(&id, Reach::All, &mut rooms, &mut usage, hidden, now);
        }
        self.preempt(&mut usage, now);
    }

    fn place_passed_over(
        &mut self,
        jobs: &[JobId],
        rooms: &mut ClusterCapacity,
        usage: &mut [Usage],
        hidden: Option<Usage>,
        now: Instant,
    ) {
        for id in jobs {
            self.place_job(id, Reach::One, rooms, usage, hidden, now);
        }
    }

    /// Places waiting tasks of a job.
    fn place_job(
        &mut self,
        id: &JobId,
        reach: Reach,
        capacity: &mut ClusterCapacity,
        usage: &mut [Usage],
        hidden: Option<Usage>,
        now: Instant,
    ) {
        let fencing = !self.is_complete();
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let need = Need::of(&job.record.spec);
        let one = Usage::of(&job.record.spec, 1);
        let team = &self.config.teams[job.team];
        let hidden = match hidden {
            Some(hidden) => hidden,
            None if is_limited(team) => return,
            None => Usage::default(),
        };
        let capped = reach == Reach::Guaranteed && !job.is_urgent();
        let allowed = |next: Usage| {
            within_limit(team, next.plus(hidden)) && (!capped || within_guarantee(team, next))
        };
        if !allowed(usage[job.team].plus(one)) {
            return;
        }
        // S8: where those tasks are that earlier owners may have started is not known yet.
        let together = job.record.spec.one_zone || job.record.spec.spread;
        if fencing && together && job.record.begun_before > 0 {
            return;
        }
        let candidates = suiting(&self.machines, job, reach, capacity, &self.steps);
        if candidates.is_empty() {
            return;
        }
        // There is room, so its record is to allow first starts. Not before: what a record allows
        // counts as begun after a take-over, and then has to wait until all machines have shown
        // what they hold, which takes long if a part of them is silent.
        if job.waits_unannounced() {
            job.unannounced = true;
            return;
        }
        let ClusterCapacity { all: rooms, holding: by_image, .. } = capacity;
        let spec = &job.record.spec;
        let with_image = by_image.entry(spec.image.clone()).or_default();
        let mut candidates = Candidates::new(candidates, rooms, with_image, reach);
        let mut zones = match together {
            true => zones_in_use(&self.machines, job),
            false => BTreeMap::new(),
        };
        let same_zone = job.record.spec.one_zone.then(|| match zones.keys().next() {
            Some(zone) => zone.clone(),
            None => roomiest_zone(rooms, candidates.all(), &need),
        });
        let cap = job.record.spec.zone_cap();
        let mut recheck = true;
        loop {
            if !allowed(usage[job.team].plus(one)) {
                return;
            }
            if recheck {
                let fits = |n: &usize| {
                    let room = &rooms[*n];
                    room.has_room_for(&need, reach)
                        && same_zone.as_ref().is_none_or(|zone| *zone == room.zone)
                        && zones.get(&room.zone).copied().unwrap_or(0) < cap
                };
                candidates.retain(fits);
            }
            let chosen = candidates.choose(rooms, self.config.placement_sample, &mut self.rng);
            let Some((list, at)) = chosen else {
                return;
            };
            let Some(index) = job.take_waiting(fencing) else {
                return;
            };
            let n = candidates.take(list, at, with_image);
            let room = &mut rooms[n];
            let Some(machine) = self.machines.get_mut(&room.name) else {
                return;
            };
            let attempt = job.next_attempt();
            if machine.held.is_empty() {
                self.actions.push(Action::Answer(room.name.clone()));
            }
            machine.assign(TaskId { job: id.clone(), index }, attempt, job, now);
            job.place(index, &room.name, attempt);
            *zones.entry(room.zone.clone()).or_default() += 1;
            usage[job.team] = usage[job.team].plus(one);
            room.free.take(&need);
            room.by_priority[job.record.spec.priority as usize].add(&need);
            if room.probing {
                room.free.cpus = -1.0;
            }
            if reach == Reach::One {
                return;
            }
            recheck = !room.fits(&need) || zones[&room.zone] >= cap;
        }
    }
}

/// Machines that the job may use, and that have room for one of its tasks. Those that no waiting
/// task fits into any more are left out of the pass for good.
fn suiting(
    machines: &BTreeMap<String, Machine>,
    job: &Job,
    reach: Reach,
    capacity: &mut ClusterCapacity,
    steps: &Cell<u64>,
) -> Vec<usize> {
    let spec = &job.record.spec;
    let need = Need::of(spec);
    let ClusterCapacity { all, open, least, .. } = capacity;
    let suits = |machine: &MachineCapacity| {
        machine.has_room_for(&need, reach)
            && (spec.spot || !machine.spot)
            && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
            && (spec.types.is_none() || machines[&machine.name].allows(spec))
            && !job.failed_on.contains(&machine.name)
    };
    if reach == Reach::One {
        steps.set(steps.get() + all.len() as u64);
        return (0..all.len()).filter(|n| suits(&all[*n])).collect();
    }
    steps.set(steps.get() + open.len() as u64);
    open.retain(|n| all[*n].fits(least));
    open.iter().copied().filter(|n| suits(&all[*n])).collect()
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
