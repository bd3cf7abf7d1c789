//! Work that is stopped for other work, the cheapest loss first.

use crate::job::Job;
use crate::machine::{MachineTask, MachineTaskState, Need, TaskAttempt};
use crate::scheduler::{direct_orders, Scheduler};
use crate::team::{within_guarantee, within_limit, Usage};
use corkfield_wire::{JobId, Priority};
use rand::seq::index;
use std::cmp::Ordering;
use std::time::{Duration, Instant};

/// The part of an aim's time that passes before work is stopped for a job that waits.
const PATIENCE: f64 = 0.55;

/// Machines looked at for work to stop in one pass, in samples.
const LOOKS: usize = 8;

/// Work that is not urgent stops nothing that was placed more recently than this.
const SETTLING_IN_S: f64 = 10.0;

/// A task expected to end sooner than this is not stopped for another.
const NEARLY_DONE_S: f64 = 6.0;

impl Scheduler {
    /// How long a job waits for room to come free by itself before others are stopped for it:
    /// a part of what its class, or the guarantees, are to be served within.
    fn grace(&self, job: &Job, guaranteed: bool) -> Duration {
        let class = job.spec().class.as_str();
        let within = |kind: &str| {
            let of_kind = |o: &&corkfield_wire::settings::Objective| {
                o.kind == kind && o.class.as_deref().is_none_or(|c| c == class)
            };
            self.cluster.config.objectives.iter().find(of_kind).and_then(|o| o.within_s)
        };
        let aims = [within("wait"), within("guarantee").filter(|_| guaranteed)];
        let to_due = self
            .due(job)
            .map_or(25.0, |due| due.saturating_duration_since(job.accepted_at).as_secs_f64());
        let within = aims.into_iter().flatten().fold(to_due, f64::min);
        Duration::try_from_secs_f64(within * PATIENCE).unwrap_or_default()
    }

    /// Stops work of lower priority, or beyond its team's guarantee, for work that waits.
    pub(super) fn preempt(&mut self, usage: &mut [Usage], now: Instant) {
        let queue = self.queue(usage, now);
        if queue.is_empty() {
            return;
        }
        let silence = self.cluster.config.silence();
        // Capacity that is being freed already.
        let mut coming: f64 =
            self.cluster.machines.values().map(|m| m.tasks.totals().stopping_cpus).sum();
        let working = self.cluster.machines.values().filter(|m| m.accepts_starts(now, silence));
        let mut working: Vec<(f64, String, [f64; 4])> = working
            .map(|m| {
                let free = m.free().map_or(0.0, |free| free.cpus);
                (free, m.name.clone(), m.tasks.totals().by_priority.map(|need| need.cpus))
            })
            .collect();
        // Where most is free least has to be stopped.
        working.sort_by(|a, b| b.0.partial_cmp(&a.0).unwrap_or(Ordering::Equal));
        let mut looks = self.cluster.config.placement_sample.max(1) * LOOKS;
        for (id, startable) in queue {
            if looks == 0 {
                break;
            }
            let Some(job) = self.cluster.jobs.get(&id) else { continue };
            let one = Usage::of(job.spec(), 1);
            let guaranteed =
                within_guarantee(&self.cluster.config.teams[job.team], usage[job.team].plus(one));
            if now.saturating_duration_since(job.accepted_at) < self.grace(job, guaranteed) {
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
            let most = self.cluster.config.placement_sample.max(wanted as usize * 2).min(looks);
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
                self.steps.set(self.steps.get() + self.cluster.machines[name].tasks.len() as u64);
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
    ) -> Vec<TaskAttempt> {
        let (job, machine) = (&self.cluster.jobs[id], &self.cluster.machines[name]);
        let team = &self.cluster.config.teams[job.team];
        let (need, one) = (Need::of(job.spec()), Usage::of(job.spec(), 1));
        let mut chosen = Vec::new();
        if !machine.allows(job.spec()) || machine.has_failures() || job.has_failed_on(name) {
            return chosen;
        }
        let Some(mut free) = machine.free() else { return chosen };
        if !within_limit(team, usage[job.team].plus(one)) {
            return chosen;
        }
        let mut losses: Vec<(f64, &TaskAttempt, &Job)> = Vec::new();
        for (key, machine_task) in machine.tasks.iter() {
            let Some(other) = self.cluster.jobs.get(&key.task.job) else { continue };
            if let Some(loss) = self.loss(job, other, machine_task, now) {
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
            free.subtract(&need);
            usage.copy_from_slice(&after);
            usage[job.team] = usage[job.team].plus(one);
            *wanted -= 1;
            chosen.extend(batch);
        }
        chosen
    }

    /// What is lost if the task is stopped; `None` if it should not be.
    fn loss(
        &self,
        job: &Job,
        other: &Job,
        machine_task: &MachineTask,
        now: Instant,
    ) -> Option<f64> {
        let running = machine_task.state == MachineTaskState::Running;
        if !(running || machine_task.state == MachineTaskState::Fetching)
            || machine_task.stop.is_some()
        {
            return None;
        }
        let ran = now.saturating_duration_since(machine_task.since).as_secs_f64();
        // Starts that are soon undone help nobody.
        if !job.is_urgent() && ran < SETTLING_IN_S {
            return None;
        }
        // A task far beyond its expected time tells nothing about its end.
        let run_s = other.expected_run_s(self.cluster.run_time_correction(&other.spec().class));
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
    fn stop_tasks(&mut self, id: &JobId, name: &str, tasks: Vec<TaskAttempt>) {
        let Some(machine) = self.cluster.machines.get_mut(name).filter(|_| !tasks.is_empty())
        else {
            return;
        };
        tracing::debug!(job = %id, machine = name, stopped = tasks.len(), "preempting");
        let mut orders = Vec::new();
        for key in tasks {
            let grace =
                self.cluster.jobs.get(&key.task.job).map_or(Duration::ZERO, Job::stop_grace);
            orders.extend(machine.stop(&key, grace));
        }
        let action = direct_orders(machine, orders);
        self.actions.push(action);
    }

    /// Where a job stands in the queue, the best first. Work is only stopped for a job that
    /// stands before it: otherwise each would be placed before the other and stopped for it,
    /// again and again.
    fn standing(&self, job: &Job, usage: Usage) -> (bool, bool, Priority) {
        let urgent = job.is_urgent();
        let guaranteed = within_guarantee(&self.cluster.config.teams[job.team], usage);
        (!urgent, !guaranteed, job.spec().priority)
    }

    fn beyond_guarantee(&self, team: usize, usage: &[Usage]) -> bool {
        let team_settings = &self.cluster.config.teams[team];
        let has = team_settings.cpus > 0.0 || team_settings.gpus > 0.0;
        !has || !within_guarantee(team_settings, usage[team])
    }
}
