//! Workers' reports: what they prove, and what becomes of the tasks that they show.

use super::{direct_orders, Action, Scheduler, Verdict};
use crate::job::{Job, JobState};
use crate::machine::{Machine, MachineState, MachineTask, MachineTaskState, Recorded};
use corkfield_wire::records::MachineRecord;
use corkfield_wire::worker::{ExitCause, Order, TaskPhase, TaskStatus, WorkerHeartbeat};
use corkfield_wire::TaskId;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

impl Scheduler {
    /// Takes a message of a worker: one of its own reports, or its answer to direct orders.
    pub fn on_heartbeat(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        own_heartbeat: bool,
        now: Instant,
    ) -> Verdict {
        if heartbeat.term > self.term {
            return Verdict::HigherTerm(heartbeat.term);
        }
        if self.gone_names.contains(&heartbeat.machine) {
            return Verdict::Stale;
        }
        let known = self.cluster.machines.contains_key(&heartbeat.machine);
        if !known {
            tracing::debug!(machine = %heartbeat.machine, kind = %heartbeat.machine_type, "new machine");
        }
        let types = &self.cluster.machine_types;
        let machine = self.cluster.machines.entry(heartbeat.machine.clone()).or_insert_with(|| {
            Machine::new(
                heartbeat.machine.clone(),
                heartbeat.machine_type.clone(),
                heartbeat.zone.clone(),
                heartbeat.spot,
                types,
                now,
            )
        });
        // Messages that were held back: older ones never count (S10), nor do those of sessions that
        // are known to have ended (S5). If they go on coming, and only they, the worker may have
        // begun to count anew.
        let order = (heartbeat.agent_epoch, heartbeat.sequence);
        if heartbeat.agent_epoch <= machine.ended_agent_epochs
            || order <= (machine.agent_epoch, machine.sequence)
        {
            if own_heartbeat && order > machine.behind.0 {
                machine.behind = (order, machine.behind.1 + 1);
            }
            return Verdict::Stale;
        }
        // The highest term that a worker has seen never falls.
        if heartbeat.term < machine.shown_term {
            self.restarted(&heartbeat.machine);
            return Verdict::Stale;
        }
        machine.shown_term = heartbeat.term;
        machine.behind = ((0, 0), 0);
        machine.unanswered = 0;
        if own_heartbeat {
            machine.reported(heartbeat.term);
        } else {
            machine.note_delivery(true);
        }
        machine.addr.clone_from(&heartbeat.addr);
        let gap = machine.heard_at.map(|at| now.saturating_duration_since(at));
        let prompt = gap.filter(|gap| *gap <= self.cluster.config.heartbeat_interval.mul_f64(1.5));
        machine.heard_at = Some(now);
        machine.notice = heartbeat.notice_s.is_some();
        if machine.state() == MachineState::Booting {
            machine.enter(MachineState::Up);
            machine.about_to_answer(now);
        }
        machine.agent_epoch = heartbeat.agent_epoch;
        machine.sequence = heartbeat.sequence;
        let name = heartbeat.machine.clone();
        // S7: only what was sent after the worker took our term is fresh. A machine without a
        // record was never given a task by anybody.
        let unused = machine.recorded == Recorded::No && heartbeat.tasks.is_empty();
        machine.fenced = machine.fenced || unused || heartbeat.term == self.term;
        if !machine.fenced {
            return Verdict::Accept;
        }
        if machine.lease_expired {
            machine.lease_expired = false;
            machine.about_to_answer(now);
        }
        if machine.recorded == Recorded::No {
            machine.recorded = Recorded::Writing;
            let record = MachineRecord {
                addr: machine.addr.clone(),
                machine_type: machine.type_name.clone(),
                zone: machine.zone.clone(),
                spot: machine.spot,
                recorded_ms: 0,
            };
            self.actions.push(Action::Record(name.clone(), record));
        }
        self.sync_tasks(&name, heartbeat, own_heartbeat, prompt, now);
        if self.unreconciled.remove(&name) {
            self.accounted_at = Some(now);
        }
        if heartbeat.notice_s.is_some() {
            self.drain_noticed(&name);
        }
        Verdict::Accept
    }

    fn sync_tasks(
        &mut self,
        name: &str,
        heartbeat: &WorkerHeartbeat,
        own_heartbeat: bool,
        prompt: Option<Duration>,
        now: Instant,
    ) {
        let mut reported: BTreeSet<(TaskId, u64)> = BTreeSet::new();
        let mut taken = false;
        for task in &heartbeat.tasks {
            reported.insert((task.task.clone(), task.attempt));
            taken |= self.sync_task(name, task, prompt, now);
        }
        let (agent_epoch, sequence) = (heartbeat.agent_epoch, heartbeat.sequence);
        let missing = |key: &(TaskId, u64), machine_task: &MachineTask| {
            let completion_committed = match machine_task.state {
                MachineTaskState::Assigned => false,
                // A start travels only in the answer to a report, and the worker drops it after
                // a while (S3). Only a later report of its own shows that it was not carried
                // out; an answer to direct orders may have been made while it was under way.
                MachineTaskState::Ordered { agent_epoch: s, sequence: n } => {
                    own_heartbeat && (agent_epoch, sequence) > (s, n)
                }
                _ => true,
            };
            completion_committed && !reported.contains(key)
        };
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        let lost: Vec<((TaskId, u64), bool)> = machine
            .tasks
            .iter()
            .filter(|(k, h)| missing(k, h))
            .map(|(k, h)| (k.clone(), matches!(h.state, MachineTaskState::Ordered { .. })))
            .collect();
        if taken || lost.iter().any(|(_, ordered)| *ordered) {
            machine.note_delivery(taken);
        }
        for (key, _) in lost {
            self.release(name, &key);
        }
    }

    /// Takes what a report says of a task; true if that shows that a start was taken.
    fn sync_task(
        &mut self,
        name: &str,
        task: &TaskStatus,
        prompt: Option<Duration>,
        now: Instant,
    ) -> bool {
        let key = (task.task.clone(), task.attempt);
        let job = self.cluster.jobs.get_mut(&task.task.job);
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return false;
        };
        let state = match (task.phase, task.cause) {
            (TaskPhase::Fetching, _) => MachineTaskState::Fetching,
            (TaskPhase::Running | TaskPhase::Other, _) => MachineTaskState::Running,
            (TaskPhase::Saving, _) => MachineTaskState::Saving,
            (TaskPhase::Exited, Some(ExitCause::Done)) => MachineTaskState::Done,
            (TaskPhase::Exited, _) => MachineTaskState::Exited,
        };
        let before = machine.tasks.get(&key).map(|h| (h.state, h.since));
        let taken = matches!(before, Some((MachineTaskState::Ordered { .. }, _)));
        let machine_task = machine.tasks.entry(key.clone()).or_insert_with(|| MachineTask {
            state,
            since: now,
            spec: None,
            team: None,
            priority: None,
            ours: false,
            stop: None,
        });
        if before.is_none_or(|(known, _)| known != state) {
            tracing::debug!(task = %task.task, machine = name, attempt = task.attempt, ?state, "task");
        }
        machine_task.enter(state, now);
        let Some(job) = job else {
            // Cancelled, done, or not claimed yet; stopped once all jobs are claimed.
            return taken;
        };
        machine_task.belongs_to(job.spec(), job.team);
        let index = task.task.index;
        match state {
            MachineTaskState::Done => {
                if job.finish(index) {
                    machine.failures = 0;
                    machine.failed_jobs.clear();
                    // A run time is known only if its beginning and its end were reported at
                    // once: a machine that couldn't report for a while is not a slow one.
                    let before = before.filter(|_| machine_task.ours);
                    if let (Some((MachineTaskState::Running, since)), Some(gap)) = (before, prompt)
                    {
                        let ran = now.duration_since(since);
                        Self::note_run(
                            &mut self.cluster.run_time_corrections,
                            job,
                            machine,
                            ran,
                            gap,
                        );
                    }
                }
            }
            MachineTaskState::Exited => {
                if !matches!(before, Some((MachineTaskState::Exited, _))) {
                    job.release(index, name, task.attempt);
                    self.note_exit(name, task, now);
                }
            }
            _ if !job.is_live()
                || job.state() == JobState::DeadLettered
                || job.finished().contains(index) =>
            {
                machine_task.stop = Some(Duration::ZERO);
            }
            _ => match job.active().get(&index) {
                None => {
                    // Started by an earlier leader, or found again: it goes on.
                    job.place(index, name, task.attempt);
                    machine.touch_image(&job.record.spec.image, job.record.spec.image_gb);
                }
                Some(placed) if placed.machine == name && placed.attempt == task.attempt => {}
                Some(placed) => {
                    let other = &placed.machine;
                    tracing::warn!(task = %task.task, machine = name, other, "task reported twice");
                    machine_task.stop = Some(Duration::ZERO);
                }
            },
        }
        self.sweep_job(&task.task.job);
        taken
    }

    fn note_run(
        corrections: &mut HashMap<String, (u32, f64)>,
        job: &mut Job,
        machine: &mut Machine,
        ran: Duration,
        gap: Duration,
    ) {
        if job.runs.0 >= 2 {
            let mean = job.runs.1 / f64::from(job.runs.0);
            // It may have ended at any moment since the report before: a machine whose reports
            // are held up for seconds is not a slow one.
            let least = ran.saturating_sub(gap).as_secs_f64();
            let ratio = (least / mean.max(0.5)).clamp(0.2, 10.0);
            machine.slowness = machine.slowness * 0.7 + ratio * 0.3;
            machine.slowness_samples += 1;
        }
        let ran = ran.as_secs_f64();
        job.runs.0 += 1;
        job.runs.1 += ran;
        let guess = job.record.spec.estimate_s;
        if guess > 0.0 {
            let class = corrections.entry(job.record.spec.class.clone()).or_insert((0, 0.0));
            if class.0 >= 200 {
                *class = (class.0 / 2, class.1 / 2.0);
            }
            class.0 += 1;
            class.1 += (ran / guess).clamp(0.05, 20.0);
        }
    }

    fn note_exit(&mut self, name: &str, task: &TaskStatus, now: Instant) {
        let Some(job) = self.cluster.jobs.get_mut(&task.task.job) else {
            return;
        };
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        match task.cause {
            Some(ExitCause::Error) => {
                tracing::debug!(task = %task.task, machine = name, "task failed");
                job.failures += 1;
                if !job.failed_on.iter().any(|m| m == name) {
                    job.failed_on.push(name.to_owned());
                }
                // A job that fails everywhere says nothing about the machines it fails on.
                if job.failed_on.len() <= 2 || job.runs.0 > 0 {
                    machine.failures += 1;
                    if !machine.failed_jobs.contains(&task.task.job) {
                        machine.failed_jobs.push(task.task.job.clone());
                    }
                }
                if job.failed_on.len() >= 3 {
                    job.back_off(now);
                }
                let proven =
                    machine.failed_jobs.len() >= 2 || (machine.failures >= 2 && job.runs.0 > 0);
                if proven && machine.state() == MachineState::Up {
                    machine.enter(MachineState::Draining);
                    self.note(name, "machine fails its tasks; returned");
                }
            }
            Some(ExitCause::NoRoom | ExitCause::Busy) => {
                machine.shunned_until = Some(now + Duration::from_secs(2));
            }
            Some(ExitCause::Unknown) => {
                job.enter(JobState::BackingOff(now + Duration::from_secs(3)));
            }
            _ => {}
        }
    }

    fn drain_noticed(&mut self, name: &str) {
        let Some(machine) = self.cluster.machines.get_mut(name) else {
            return;
        };
        let mut saving: Vec<((TaskId, u64), Duration)> = Vec::new();
        for (key, machine_task) in machine.tasks.iter() {
            let Some(job) = self.cluster.jobs.get(&key.0.job) else {
                continue;
            };
            let saves = job.spec().checkpoint_s > 0.0;
            if machine_task.state == MachineTaskState::Running
                && saves
                && machine_task.stop.is_none()
            {
                saving.push((key.clone(), job.stop_grace()));
            }
        }
        let stops: Vec<Order> =
            saving.iter().filter_map(|(key, grace)| machine.stop(key, *grace)).collect();
        if !stops.is_empty() {
            let action = direct_orders(machine, stops);
            self.actions.push(action);
        }
    }
}
