//! What must hold after each step.

use super::driver::{Driver, CPU_LIMIT};
use corkfield_core::{Job, JobState, MachineTaskState};
use corkfield_wire::{JobId, TaskId};
use std::collections::BTreeSet;
use std::fmt::Write;

/// The first invariant that does not hold.
pub fn check(driver: &Driver) -> Result<(), String> {
    check_workers(driver)?;
    for id in driver.store.jobs.keys() {
        if let Some(job) = driver.scheduler.job(id) {
            check_record(driver, id, job)?;
            check_places(driver, id, job)?;
        }
    }
    check_machines(driver)
}

/// No task runs on two machines, and the limited team keeps its limit.
fn check_workers(driver: &Driver) -> Result<(), String> {
    let mut running: BTreeSet<&TaskId> = BTreeSet::new();
    let mut limited_cpus = 0.0;
    for (name, worker) in &driver.workers {
        for task in worker.running_tasks() {
            if !running.insert(task) {
                return Err(format!("S5: {task} runs twice, on {name} as well"));
            }
            let stored = driver.store.jobs.get(&task.job);
            limited_cpus += stored
                .filter(|stored| stored.record.spec.team == "limited")
                .map_or(0.0, |stored| stored.record.spec.cpus);
        }
    }
    if limited_cpus > CPU_LIMIT {
        return Err(format!("S8: a team uses {limited_cpus} CPUs"));
    }
    Ok(())
}

/// What is known of a job's record never goes back.
fn check_record(driver: &Driver, id: &JobId, job: &Job) -> Result<(), String> {
    let before = driver.known_versions.get(id).copied().unwrap_or_default();
    if job.version < before {
        return Err(format!("{id}: version {:?} after {before:?}", job.version));
    }
    Ok(())
}

/// Each place of a task is on a machine.
fn check_places(driver: &Driver, id: &JobId, job: &Job) -> Result<(), String> {
    for (index, placed) in job.placements() {
        let machine = driver.scheduler.machine(placed.machine.as_str());
        let is_there = machine.is_some_and(|machine| {
            machine.tasks.iter().any(|(key, task)| {
                key.task.job == *id
                    && key.task.index == *index
                    && key.attempt == placed.attempt
                    && task.uses_resources()
            })
        });
        if !is_there {
            return Err(format!("{id}/{index} is placed on {}, which lacks it", placed.machine));
        }
    }
    Ok(())
}

/// Each task on a machine that is not to be stopped is where its job knows it, and starts are
/// assigned only for jobs that may start, under the generation of their record.
fn check_machines(driver: &Driver) -> Result<(), String> {
    let machines = driver.workers.keys().chain(driver.store.machines.keys());
    for machine in machines.filter_map(|name| driver.scheduler.machine(name.as_str())) {
        for (key, machine_task) in machine.tasks.iter().filter(|(_, task)| task.uses_resources()) {
            let Some(job) = driver.scheduler.job(&key.task.job) else { continue };
            let task = &key.task;
            let placed = job.placements().get(&task.index).is_some_and(|placed| {
                placed.machine == machine.name && placed.attempt == key.attempt
            });
            if !placed && machine_task.stop_grace.is_none() && job.is_live() {
                return Err(format!("{task} takes room on {} without a place", machine.name));
            }
            if machine_task.state != MachineTaskState::Assigned {
                continue;
            }
            if job.state() != JobState::Active {
                return Err(format!("{task} is assigned though its job is {:?}", job.state()));
            }
            if key.attempt.generation() != job.record.generation {
                let (attempt, record) = (key.attempt.generation(), job.record.generation);
                return Err(format!(
                    "{task} is assigned under {attempt:?}, its job is at {record:?}"
                ));
            }
        }
    }
    Ok(())
}

/// What is not done, for a run that did not end.
pub fn describe_stuck(driver: &Driver) -> String {
    let mut text = String::from("not done in the end:");
    for (id, stored) in &driver.store.jobs {
        let record = &stored.record;
        let _ = write!(
            text,
            " [{id}: {} of {} done, generation {:?}, claims {}, version {:?}, known as ",
            record.finished_count,
            record.spec.tasks,
            record.generation,
            record.claims,
            stored.version
        );
        let _ = match driver.scheduler.job(id) {
            Some(job) => write!(
                text,
                "{:?}, version {:?}, {} placed]",
                job.state(),
                job.version,
                job.placements().len()
            ),
            None => write!(text, "nothing]"),
        };
    }
    text
}
