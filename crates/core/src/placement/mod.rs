//! Placement: a machine holding the image, else the roomiest in the job's zone, if any.

mod capacity;
mod preemption;
mod queue;

use crate::machine::{MachineTask, MachineTaskState, Need};
use crate::planner::{Action, Planner};
use crate::team::{is_limited, within_guarantee, within_limit, Usage};
use capacity::roomiest;
use capacity::roomiest_zone;
use capacity::ClusterCapacity;
use capacity::MachineCapacity;
use corkfield_wire::{JobId, TaskId};
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
        rooms: &mut ClusterCapacity,
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
        let ClusterCapacity { all: rooms, open, least, holding: by_image, .. } = rooms;
        let spec = &job.record.spec;
        // Which hold the image is looked up once: a job may place thousands of tasks.
        let mut others: Vec<usize> = Vec::new();
        let holds = |room: &MachineCapacity| match reach {
            Reach::One => room.free.holds(&need),
            Reach::Guaranteed | Reach::All => room.fits(&need),
        };
        let suits = |room: &MachineCapacity| {
            holds(room)
                && (spec.spot || !room.spot)
                && spec.zone.as_ref().is_none_or(|zone| *zone == room.zone)
                && (spec.types.is_none() || self.machines[&room.name].allows(spec))
                && !job.failed_on.contains(&room.name)
        };
        let looked_at = if reach == Reach::One { rooms.len() } else { open.len() };
        if reach == Reach::One {
            others.extend((0..rooms.len()).filter(|n| suits(&rooms[*n])));
        } else {
            open.retain(|n| {
                let room = &rooms[*n];
                if !room.fits(least) {
                    return false;
                }
                if suits(room) {
                    others.push(*n);
                }
                true
            });
        }
        self.steps.set(self.steps.get() + looked_at as u64);
        if others.is_empty() {
            return;
        }
        // There is room, so its record is to allow first starts. Not before: what a record allows
        // counts as begun after a take-over, and then has to wait until all machines have shown
        // what they hold, which takes long if a part of them is silent.
        if job.waits_unannounced() {
            job.unannounced = true;
            return;
        }
        let (mut slow, mut others): (Vec<usize>, Vec<usize>) =
            others.into_iter().partition(|n| rooms[*n].slow);
        if reach != Reach::One {
            slow.clear();
        }
        let mut holding: Vec<usize> = Vec::new();
        let with_image = by_image.entry(spec.image.clone()).or_default();
        if !with_image.is_empty() {
            (holding, others) =
                others.into_iter().partition(|n| with_image.binary_search(n).is_ok());
        }
        let mut zones: BTreeMap<String, u32> = BTreeMap::new();
        if together {
            for placed in job.active().values() {
                if let Some(machine) = self.machines.get(&placed.machine) {
                    *zones.entry(machine.zone.clone()).or_default() += 1;
                }
            }
        }
        let same_zone = job.record.spec.one_zone.then(|| match zones.keys().next() {
            Some(zone) => zone.clone(),
            None => roomiest_zone(rooms, holding.iter().chain(&others).chain(&slow), &need),
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
                    holds(room)
                        && same_zone.as_ref().is_none_or(|zone| *zone == room.zone)
                        && zones.get(&room.zone).copied().unwrap_or(0) < cap
                };
                holding.retain(fits);
                others.retain(fits);
                slow.retain(fits);
            }
            // A machine holding the image, however few of them there are; else the roomiest.
            let (list, is_new) = match (holding.is_empty(), others.is_empty()) {
                (false, _) => (&mut holding, false),
                (true, false) => (&mut others, true),
                (true, true) => (&mut slow, false),
            };
            let Some(at) = roomiest(rooms, list, self.config.placement_sample, &mut self.rng)
            else {
                return;
            };
            let Some(index) = job.take_waiting(fencing) else {
                return;
            };
            let n = list[at];
            if is_new {
                others.swap_remove(at);
                holding.push(n);
                if let Err(at) = with_image.binary_search(&n) {
                    with_image.insert(at, n);
                }
            }
            let room = &mut rooms[n];
            let Some(machine) = self.machines.get_mut(&room.name) else {
                return;
            };
            let attempt = job.next_attempt();
            let task = TaskId { job: id.clone(), index };
            let held = MachineTask {
                state: MachineTaskState::Assigned,
                since: now,
                spec: Some(need),
                team: Some(job.team),
                priority: Some(job.record.spec.priority),
                ours: true,
                stop: None,
            };
            if machine.held.is_empty() {
                self.actions.push(Action::Answer(room.name.clone()));
            }
            machine.held.insert((task, attempt), held);
            machine.touch_image(&job.record.spec.image, job.record.spec.image_gb);
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
