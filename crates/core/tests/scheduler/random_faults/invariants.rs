//! Invariants that must hold after each step.

use super::driver::{Driver, CPU_LIMIT};
use corkfield_core::{Job, JobState, MachineTaskState};
use corkfield_wire::{JobId, TaskId, TaskSet};
use std::collections::BTreeSet;
use std::fmt::Write;

/// Checks all invariants except those of [`check_store`]. Returns a description of the first one that is violated.
pub fn check(driver: &Driver) -> Result<(), String> {
    check_workers(driver)?;
    for id in driver.store.jobs.keys() {
        if let Some(job) = driver.scheduler.job(id) {
            check_record(driver, id, job)?;
            check_placements(driver, id, job)?;
        }
    }
    check_machines(driver)
}

/// Checks that no task runs on two machines and that the limited team stays within its limit.
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

/// Checks that each stored record counts exactly the finished tasks that are stored with it, that
/// these have completed on a machine, and that a job is done only if all of its tasks have.
pub fn check_store(driver: &Driver) -> Result<(), String> {
    let no_tasks = TaskSet::default();
    let completed = |id: &JobId| driver.completed.get(id).unwrap_or(&no_tasks);
    for (id, stored) in &driver.store.jobs {
        let (count, finished) = (stored.record.finished_count, driver.store.finished_tasks(id));
        if count != finished.len() {
            return Err(format!("{id}: {count} tasks counted, {} stored", finished.len()));
        }
        let mut all_completed = completed(id).clone();
        all_completed.extend(&finished);
        if all_completed.len() != completed(id).len() {
            return Err(format!("{id}: a task that has not completed is stored"));
        }
    }
    for (id, tasks) in &driver.store.done {
        let completed = completed(id).len();
        if completed < *tasks {
            return Err(format!("{id}: done with {completed} of {tasks} tasks completed"));
        }
    }
    Ok(())
}

/// Checks that the known version of a job's record never decreases.
fn check_record(driver: &Driver, id: &JobId, job: &Job) -> Result<(), String> {
    let previous = driver.known_versions.get(id).copied().unwrap_or_default();
    if job.version < previous {
        return Err(format!("{id}: version {:?} after {previous:?}", job.version));
    }
    Ok(())
}

/// Checks that every placed task of a job is on its machine.
fn check_placements(driver: &Driver, id: &JobId, job: &Job) -> Result<(), String> {
    for (index, placement) in job.placements() {
        let machine = driver.scheduler.machine(placement.machine.as_str());
        let is_on_machine = machine.is_some_and(|machine| {
            machine.tasks.iter().any(|(key, task)| {
                key.task.job == *id
                    && key.task.index == *index
                    && key.attempt == placement.attempt
                    && task.uses_resources()
            })
        });
        if !is_on_machine {
            return Err(format!("{id}/{index} is placed on {}, which lacks it", placement.machine));
        }
    }
    Ok(())
}

/// Checks that every task on a machine that is not to be stopped is placed there by its job, and
/// that tasks are assigned only for jobs that may start, under the generation of their record.
fn check_machines(driver: &Driver) -> Result<(), String> {
    let machines = driver.workers.keys().chain(driver.store.machines.keys());
    for machine in machines.filter_map(|name| driver.scheduler.machine(name.as_str())) {
        for (key, machine_task) in machine.tasks.iter().filter(|(_, task)| task.uses_resources()) {
            let Some(job) = driver.scheduler.job(&key.task.job) else { continue };
            let task = &key.task;
            let is_placed = job.placements().get(&task.index).is_some_and(|placement| {
                placement.machine == machine.name && placement.attempt == key.attempt
            });
            if !is_placed && machine_task.stop_grace.is_none() && job.is_live() {
                return Err(format!(
                    "{task} uses resources on {} without being placed there",
                    machine.name
                ));
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

/// Describes the jobs that did not complete in time.
pub fn describe_unfinished_jobs(driver: &Driver) -> String {
    let mut text = String::from("jobs that did not complete:");
    for (id, stored) in &driver.store.jobs {
        let record = &stored.record;
        let _ = write!(
            text,
            " [{id}: {} of {} done, generation {:?}, claims {}, version {:?}, in the scheduler: ",
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
            None => write!(text, "unknown]"),
        };
    }
    text
}
