//! Placement: a machine holding the image, else the roomiest in the job's zone, if any.

use crate::job::Job;
use crate::machine::{Held, HeldState, Need};
use crate::planner::{direct, Action, Planner};
use crate::team::{is_limited, within_guarantee, within_limit, Usage};
use corkfield_wire::{JobId, JobSpec, Priority, TaskId};
use rand::rngs::SmallRng;
use rand::seq::index;
use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// A task expected to end sooner than this is not stopped for another.
const NEARLY_DONE_S: f64 = 6.0;

/// Work that is not urgent stops nothing that was placed more recently than this.
const SETTLING_IN_S: f64 = 10.0;
/// A job of which nothing has begun for this long gets what comes free next: under lasting
/// overload the largest, the latest and idle ones would otherwise wait for its end. Once
/// something of it has begun it stands in line as before.
const STARVED_AFTER: Duration = Duration::from_secs(120);
/// A job of which nothing runs for this long gets the next room that one of its tasks fits into,
/// also if that is kept for an urgent job that needs more: such room is not free for long, but
/// under lasting overload some machine always has some.
const PASSED_OVER: Duration = Duration::from_secs(60);
/// So many of these in one pass.
const PASSED_OVER_JOBS: usize = 8;
/// Machines looked at for work to stop in one pass, in samples.
const LOOKS: usize = 8;
/// The part of an aim's time that passes before work is stopped for a job that waits.
const PATIENCE: f64 = 0.55;

/// How much of a job is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reach {
    /// One task, in any room.
    One,
    /// What its team's guarantee still holds; all of an urgent job.
    Guaranteed,
    All,
}

/// A machine with room, during one pass.
struct Room {
    name: String,
    free: Need,
    zone: String,
    spot: bool,
    /// Failed its last task, or is slow: gets one at a time until one completes well.
    probing: bool,
    /// Left to jobs of which nothing runs, where there is no other room for them.
    slow: bool,
    /// Kept for work of higher priority, whether it is free yet or not.
    reserved: Need,
    /// What the tasks there take, by priority.
    by_priority: [Need; 4],
}

impl Room {
    fn fits(&self, need: &Need) -> bool {
        let mut left = self.free;
        left.take(&self.reserved);
        left.holds(need)
    }

    /// The room there would be without what has a lower priority, beyond what is reserved.
    fn above(&self, priority: Priority) -> Need {
        let mut may = self.free;
        for lower in &self.by_priority[priority as usize + 1..] {
            may.add(lower);
        }
        may.take(&self.reserved);
        may
    }
}

/// The rooms of one pass. Looking at each of them for each waiting job is what a pass costs, so
/// those that no waiting task fits into any more are left out.
#[derive(Default)]
struct Rooms {
    all: Vec<Room>,
    /// Those into which the least that waits may fit, now or once lower priorities are gone.
    open: Vec<usize>,
    keepable: Vec<usize>,
    /// The least that a waiting task takes, and the highest priority of one.
    least: Need,
    top: Option<Priority>,
    /// Which of them hold an image that a waiting task needs.
    holding: HashMap<String, Vec<usize>>,
}

struct Rank {
    urgent: bool,
    starved: bool,
    guaranteed: bool,
    priority: Priority,
    late: bool,
    run_s: f64,
    work_s: f64,
    accepted: Instant,
}

impl Planner {
    pub(crate) fn correction(&self, class: &str) -> f64 {
        match self.corrections.get(class) {
            Some((n, sum)) if *n >= 3 => (sum / f64::from(*n)).clamp(0.1, 10.0),
            _ => 1.0,
        }
    }

    /// When the job should be complete, by its own deadline or its class's objective.
    pub(crate) fn due(&self, job: &Job) -> Option<Instant> {
        job.due_at.or_else(|| {
            let finished = |o: &&corkfield_wire::settings::Objective| {
                o.kind == "finished" && o.class.as_deref() == Some(job.spec().class.as_str())
            };
            let within = self.config.objectives.iter().find(finished)?.within_s?;
            Some(job.accepted_at + Duration::try_from_secs_f64(within).ok()?)
        })
    }

    fn rank(&self, job: &Job, usage: &[Usage], now: Instant) -> Rank {
        let run_s = job.expected_run_s(self.correction(&job.spec().class));
        let late = self.due(job).is_some_and(|due| {
            now + Duration::try_from_secs_f64(run_s * 0.5).unwrap_or_default() > due
        });
        let one = usage[job.team].plus(Usage::of(job.spec(), 1));
        Rank {
            urgent: job.is_urgent(),
            starved: job.has_not_begun()
                && now.saturating_duration_since(job.accepted_at) > STARVED_AFTER,
            guaranteed: within_guarantee(&self.config.teams[job.team], one),
            priority: job.spec().priority,
            late,
            run_s,
            work_s: job.demand().cpus * run_s,
            accepted: job.accepted_at,
        }
    }

    /// Jobs with tasks that may be started now, and how many at the most, in order (S7: while
    /// machines have not shown what they hold, only tasks that no earlier owner can have started).
    fn queue(&mut self, usage: &[Usage], now: Instant) -> Vec<(JobId, u32)> {
        let fencing = !self.is_complete();
        // Those that need not wait for room have their first starts announced at once.
        let takes_room = |job: &Job| self.takes_room(job.spec(), usage);
        let unannounced = self.jobs.iter().filter(|(_, job)| job.waits_unannounced());
        let unannounced = unannounced.filter(|(_, job)| takes_room(job));
        for id in unannounced.map(|(id, _)| id.clone()).collect::<Vec<JobId>>() {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.unannounced = true;
            }
        }
        let startable = self.jobs.iter_mut().filter(|(_, job)| job.may_start()).map(|(id, job)| {
            let count = match job.waiting() {
                0 => 0,
                waiting if job.waits_unannounced() => waiting,
                _ => job.startable(fencing),
            };
            (id.clone(), count)
        });
        let startable: Vec<(JobId, u32)> = startable.filter(|(_, count)| *count > 0).collect();
        let ranked =
            startable.into_iter().map(|job| (self.rank(&self.jobs[&job.0], usage, now), job));
        let mut ranked: Vec<(Rank, (JobId, u32))> = ranked.collect();
        ranked.sort_by(|(a, _), (b, _)| {
            b.urgent
                .cmp(&a.urgent)
                .then(b.starved.cmp(&a.starved))
                .then(b.guaranteed.cmp(&a.guaranteed))
                .then(a.priority.cmp(&b.priority))
                .then(a.late.cmp(&b.late))
                // What is late anyway should at least not end last of all: longest tasks first.
                .then(match a.late {
                    true => b.run_s.partial_cmp(&a.run_s).unwrap_or(Ordering::Equal),
                    false => Ordering::Equal,
                })
                .then(a.work_s.partial_cmp(&b.work_s).unwrap_or(Ordering::Equal))
                .then(a.accepted.cmp(&b.accepted))
        });
        ranked.into_iter().map(|(_, job)| job).collect()
    }

    /// The most that tasks not known yet can use (S8): all of each machine that has not shown
    /// what it holds, or holds tasks of jobs that are not known. A worker starts nothing beyond
    /// its machine's size, and any team may be the one that uses it. `None` while a size is not
    /// known.
    fn hidden_usage(&self) -> Option<Usage> {
        let mut hidden = Usage::default();
        for machine in self.machines.values() {
            if self.is_unfenced(&machine.name) || machine.held.totals().uncounted {
                let size = machine.size.as_ref()?;
                hidden = hidden.plus(Usage { cpus: size.cpus, gpus: size.gpus });
            }
        }
        Some(hidden)
    }

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

    fn free_cpus(&self, now: Instant) -> f64 {
        let silence = self.config.silence();
        let working = self.machines.values().filter(|m| m.takes_work(now, silence));
        working.filter_map(|m| m.free()).map(|free| free.cpus.max(0.0)).sum()
    }

    /// CPUs that are free beyond what waits for them and may be started.
    fn spare_cpus(&self, now: Instant) -> f64 {
        let waiting = self.jobs.values().filter(|job| job.may_start());
        let waiting = waiting.map(|job| f64::from(job.announced_waiting()) * job.spec().cpus);
        self.free_cpus(now) - waiting.sum::<f64>()
    }

    /// Whether others may be stopped for the job, so that it need not wait for room.
    fn takes_room(&self, spec: &JobSpec, usage: &[Usage]) -> bool {
        let team = self.config.teams.iter().position(|team| team.name == spec.team);
        let guaranteed = |team: usize| {
            let one = usage[team].plus(Usage::of(spec, 1));
            within_guarantee(&self.config.teams[team], one)
        };
        spec.priority <= Priority::High || team.is_some_and(guaranteed)
    }

    /// Whether a job that is claimed now may be expected to begin soon.
    pub fn may_begin_soon(&self, spec: &JobSpec, now: Instant) -> bool {
        self.takes_room(spec, &self.usage())
            || !self.jobs.values().any(|job| job.waits_unannounced()) && self.spare_cpus(now) > 0.0
    }

    /// Jobs that are not urgent and of which nothing ran for long, the longest first.
    fn passed_over(&self, queue: &[(JobId, u32)], now: Instant) -> Vec<JobId> {
        let waiting = queue.iter().filter_map(|(id, _)| {
            let job = &self.jobs[id];
            let since = job.nothing_since.filter(|_| !job.is_urgent())?;
            (now.saturating_duration_since(since) > PASSED_OVER).then_some((since, id))
        });
        let mut waiting: Vec<(Instant, &JobId)> = waiting.collect();
        waiting.sort();
        waiting.into_iter().take(PASSED_OVER_JOBS).map(|(_, id)| id.clone()).collect()
    }

    fn place_passed_over(
        &mut self,
        jobs: &[JobId],
        rooms: &mut Rooms,
        usage: &mut [Usage],
        hidden: Option<Usage>,
        now: Instant,
    ) {
        for id in jobs {
            self.place_job(id, Reach::One, rooms, usage, hidden, now);
        }
    }

    /// What there is room in for the jobs that wait.
    fn rooms(&mut self, queue: &[(JobId, u32)], now: Instant) -> Rooms {
        let silence = self.config.silence();
        let least = Need { cpus: f64::MAX, gpus: f64::MAX, memory_gb: f64::MAX };
        let mut rooms = Rooms { least, ..Rooms::default() };
        for (id, _) in queue {
            let spec = self.jobs[id].spec();
            rooms.least = rooms.least.least(&Need::of(spec));
            rooms.top = Some(rooms.top.map_or(spec.priority, |top| top.min(spec.priority)));
            if !rooms.holding.contains_key(&spec.image) {
                rooms.holding.insert(spec.image.clone(), Vec::new());
            }
        }
        for machine in self.machines.values() {
            self.steps.set(self.steps.get() + 1);
            if !machine.takes_work(now, silence) {
                continue;
            }
            // Left out altogether, a machine that is slow no more, or was taken for slow by
            // mistake, would never show it, and work would wait beside it for ever. So it is left
            // to jobs of which nothing runs.
            let slow = machine.is_slow();
            let probing = machine.failures > 0 || slow;
            let Some(free) = machine.free().filter(|_| !probing || machine.is_empty()) else {
                continue;
            };
            let n = rooms.all.len();
            let (name, zone) = (machine.name.clone(), machine.zone.clone());
            let reserved = Need::default();
            let by_priority = machine.held.totals().by_priority;
            let spot = machine.spot;
            rooms.all.push(Room { name, free, zone, spot, probing, slow, reserved, by_priority });
            rooms.open.push(n);
            rooms.keepable.push(n);
            for (image, _) in &machine.images {
                if let Some(holding) = rooms.holding.get_mut(image) {
                    holding.push(n);
                }
            }
        }
        rooms
    }

    /// Places waiting tasks of a job.
    fn place_job(
        &mut self,
        id: &JobId,
        reach: Reach,
        rooms: &mut Rooms,
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
        let Rooms { all: rooms, open, least, holding: by_image, .. } = rooms;
        let spec = &job.record.spec;
        // Which hold the image is looked up once: a job may place thousands of tasks.
        let mut others: Vec<usize> = Vec::new();
        let holds = |room: &Room| match reach {
            Reach::One => room.free.holds(&need),
            Reach::Guaranteed | Reach::All => room.fits(&need),
        };
        let suits = |room: &Room| {
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
            let held = Held {
                state: HeldState::Assigned,
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

    /// Keeps room for the waiting tasks of an urgent job, on machines where it will come free
    /// by itself: otherwise smaller tasks of less important jobs would fill each gap first.
    fn reserve(&self, id: &JobId, rooms: &mut Rooms) {
        let Some(job) = self.jobs.get(id) else { return };
        let spec = job.spec();
        if spec.priority > Priority::High || spec.cpus <= 0.0 {
            return;
        }
        let mut left = job.waiting();
        if left == 0 {
            return;
        }
        let need = Need::of(spec);
        let Rooms { all: rooms, keepable, least, top, .. } = rooms;
        let top = top.unwrap_or(spec.priority);
        self.steps.set(self.steps.get() + keepable.len() as u64);
        let mut slots: Vec<(u32, f64, usize)> = Vec::new();
        keepable.retain(|n| {
            let room = &rooms[*n];
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
            if count >= 1.0 && (spec.spot || !room.spot) && self.machines[&room.name].allows(spec) {
                slots.push((count as u32, room.free.cpus, *n));
            }
            true
        });
        slots.sort_by(|a, b| b.1.partial_cmp(&a.1).unwrap_or(Ordering::Equal));
        for (count, _, n) in slots {
            let count = count.min(left);
            left -= count;
            rooms[n].reserved.add(&need.times(count));
            if left == 0 {
                return;
            }
        }
    }

    /// How long a job waits for room to come free by itself before others are stopped for it:
    /// a part of what its class, or the guarantees, are to be served within.
    fn patience(&self, job: &Job, guaranteed: bool) -> Duration {
        let class = job.spec().class.as_str();
        let within = |kind: &str| {
            let of_kind = |o: &&corkfield_wire::settings::Objective| {
                o.kind == kind && o.class.as_deref().is_none_or(|c| c == class)
            };
            self.config.objectives.iter().find(of_kind).and_then(|o| o.within_s)
        };
        let aims = [within("wait"), within("guarantee").filter(|_| guaranteed)];
        let to_due = self
            .due(job)
            .map_or(25.0, |due| due.saturating_duration_since(job.accepted_at).as_secs_f64());
        let within = aims.into_iter().flatten().fold(to_due, f64::min);
        Duration::try_from_secs_f64(within * PATIENCE).unwrap_or_default()
    }

    /// Stops work of lower priority, or beyond its team's guarantee, for work that waits.
    fn preempt(&mut self, usage: &mut [Usage], now: Instant) {
        let queue = self.queue(usage, now);
        if queue.is_empty() {
            return;
        }
        let silence = self.config.silence();
        // Room that is being made already.
        let mut coming: f64 = self.machines.values().map(|m| m.held.totals().stopping_cpus).sum();
        let working = self.machines.values().filter(|m| m.takes_work(now, silence));
        let mut working: Vec<(f64, String, [f64; 4])> = working
            .map(|m| {
                let free = m.free().map_or(0.0, |free| free.cpus);
                (free, m.name.clone(), m.held.totals().by_priority.map(|need| need.cpus))
            })
            .collect();
        // Where most is free least has to be stopped.
        working.sort_by(|a, b| b.0.partial_cmp(&a.0).unwrap_or(Ordering::Equal));
        let mut looks = self.config.placement_sample.max(1) * LOOKS;
        for (id, startable) in queue {
            if looks == 0 {
                break;
            }
            let Some(job) = self.jobs.get(&id) else { continue };
            let one = Usage::of(job.spec(), 1);
            let guaranteed =
                within_guarantee(&self.config.teams[job.team], usage[job.team].plus(one));
            if now.saturating_duration_since(job.accepted_at) < self.patience(job, guaranteed) {
                continue;
            }
            let covered = (coming / one.cpus.max(0.01)).floor().min(f64::from(startable));
            coming -= covered * one.cpus;
            let mut wanted = startable - covered as u32;
            if wanted == 0 {
                continue;
            }
            // Most machines hold nothing that may be stopped for this job.
            let above = job.spec().priority as usize + 1;
            let owed = guaranteed
                && (0..usage.len())
                    .any(|team| team != job.team && self.beyond_guarantee(team, usage));
            let may = |n: &usize| owed || working[*n].2[above..].iter().any(|cpus| *cpus > 0.0);
            let mut candidates: Vec<usize> = (0..working.len()).filter(may).collect();
            // A look at all that run there costs too much to be taken at hundreds of machines for
            // hundreds of jobs: a sample each, another one in the next pass.
            let most = self.config.placement_sample.max(wanted as usize * 2).min(looks);
            if candidates.len() > most {
                let sample = index::sample(&mut self.rng, candidates.len(), most);
                let mut sample: Vec<usize> = sample.into_iter().map(|at| candidates[at]).collect();
                sample.sort_unstable();
                candidates = sample;
            }
            for n in candidates {
                if wanted == 0 {
                    break;
                }
                looks -= 1;
                let name = &working[n].1;
                self.steps.set(self.steps.get() + self.machines[name].held.len() as u64);
                let victims = self.victims(&id, name, &mut wanted, usage, now);
                self.stop_tasks(&id, name, victims);
            }
        }
    }

    /// Tasks on a machine that go for up to `wanted` tasks of a job, the cheapest loss first.
    fn victims(
        &self,
        id: &JobId,
        name: &str,
        wanted: &mut u32,
        usage: &mut [Usage],
        now: Instant,
    ) -> Vec<(TaskId, u64)> {
        let (job, machine) = (&self.jobs[id], &self.machines[name]);
        let team = &self.config.teams[job.team];
        let (need, one) = (Need::of(job.spec()), Usage::of(job.spec(), 1));
        let mut chosen = Vec::new();
        if !machine.allows(job.spec())
            || machine.failures > 0
            || job.failed_on.iter().any(|failed| failed == name)
        {
            return chosen;
        }
        let Some(mut free) = machine.free() else { return chosen };
        if !within_limit(team, usage[job.team].plus(one)) {
            return chosen;
        }
        let mut losses: Vec<(f64, &(TaskId, u64), &Job)> = Vec::new();
        for (key, held) in machine.held.iter() {
            let Some(other) = self.jobs.get(&key.0.job) else { continue };
            if let Some(loss) = self.loss(job, other, held, now) {
                losses.push((loss, key, other));
            }
        }
        losses.sort_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(Ordering::Equal));
        let mut losses = losses.into_iter();
        while *wanted > 0 && within_limit(team, usage[job.team].plus(one)) {
            let mine = self.standing(job, usage[job.team].plus(one));
            let mut room = free;
            let mut batch = Vec::new();
            let mut after = usage.to_vec();
            while !room.holds(&need) {
                let Some((_, key, other)) = losses.next() else { return chosen };
                let lower = other.spec().priority > job.spec().priority;
                let owed =
                    other.team != job.team && !mine.1 && self.beyond_guarantee(other.team, &after);
                if !(lower || owed) || mine >= self.standing(other, after[other.team]) {
                    continue;
                }
                let taken = Usage::of(other.spec(), 1);
                after[other.team].cpus -= taken.cpus;
                after[other.team].gpus -= taken.gpus;
                room.cpus += taken.cpus;
                room.gpus += taken.gpus;
                room.memory_gb += other.spec().memory_gb;
                batch.push(key.clone());
            }
            if batch.is_empty() {
                // It fits as it is, and is held up by something else.
                return chosen;
            }
            free = room;
            free.take(&need);
            usage.copy_from_slice(&after);
            usage[job.team] = usage[job.team].plus(one);
            *wanted -= 1;
            chosen.extend(batch);
        }
        chosen
    }

    /// What is lost if the task is stopped; `None` if it should not be.
    fn loss(&self, job: &Job, other: &Job, held: &Held, now: Instant) -> Option<f64> {
        let running = held.state == HeldState::Running;
        if !(running || held.state == HeldState::Fetching) || held.stop.is_some() {
            return None;
        }
        let ran = now.saturating_duration_since(held.since).as_secs_f64();
        // Starts that are soon undone help nobody.
        if !job.is_urgent() && ran < SETTLING_IN_S {
            return None;
        }
        // A task far beyond its expected time tells nothing about its end.
        let run_s = other.expected_run_s(self.correction(&other.spec().class));
        let overdue = ran > run_s * 1.3;
        if running && run_s - ran < NEARLY_DONE_S && !overdue {
            return None;
        }
        let lost = match running {
            true if other.spec().checkpoint_s > 0.0 => other.spec().save_s,
            true => ran,
            false => 0.0,
        };
        Some(lost * other.spec().cpus)
    }

    /// Orders tasks to stop, with time to save for those that can.
    fn stop_tasks(&mut self, id: &JobId, name: &str, tasks: Vec<(TaskId, u64)>) {
        let Some(machine) = self.machines.get_mut(name).filter(|_| !tasks.is_empty()) else {
            return;
        };
        tracing::debug!(job = %id, machine = name, stopped = tasks.len(), "preempting");
        let mut orders = Vec::new();
        for key in tasks {
            let grace = self.jobs.get(&key.0.job).map_or(Duration::ZERO, Job::stop_grace);
            orders.extend(machine.stop(&key, grace));
        }
        let action = direct(machine, orders);
        self.actions.push(action);
    }

    /// Where a job stands in the queue, the best first. Work is only stopped for a job that
    /// stands before it: otherwise each would be placed before the other and stopped for it,
    /// again and again.
    fn standing(&self, job: &Job, usage: Usage) -> (bool, bool, Priority) {
        let urgent = job.is_urgent();
        let guaranteed = within_guarantee(&self.config.teams[job.team], usage);
        (!urgent, !guaranteed, job.spec().priority)
    }

    fn beyond_guarantee(&self, team: usize, usage: &[Usage]) -> bool {
        let team_settings = &self.config.teams[team];
        let has = team_settings.cpus > 0.0 || team_settings.gpus > 0.0;
        !has || !within_guarantee(team_settings, usage[team])
    }
}

/// Where in the list the roomiest machine is, among a sample if they are many.
fn roomiest(rooms: &[Room], list: &[usize], sample: usize, rng: &mut SmallRng) -> Option<usize> {
    let roomier = |a: &usize, b: &usize| {
        let free = |at: usize| rooms[list[at]].free.cpus;
        free(*a).partial_cmp(&free(*b)).unwrap_or(Ordering::Equal)
    };
    match list.len() > sample.max(1) {
        true => index::sample(rng, list.len(), sample.max(1)).into_iter().max_by(roomier),
        false => (0..list.len()).max_by(roomier),
    }
}

fn roomiest_zone<'a>(
    rooms: &[Room],
    candidates: impl Iterator<Item = &'a usize>,
    need: &Need,
) -> String {
    let mut by_zone: BTreeMap<&str, f64> = BTreeMap::new();
    for &n in candidates {
        let slots = (rooms[n].free.cpus / need.cpus.max(0.01)).floor();
        *by_zone.entry(&rooms[n].zone).or_default() += slots;
    }
    let best = by_zone.into_iter().max_by(|a, b| a.1.partial_cmp(&b.1).unwrap_or(Ordering::Equal));
    best.map(|(zone, _)| zone.to_owned()).unwrap_or_default()
}
