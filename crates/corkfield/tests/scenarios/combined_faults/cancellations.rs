//! Cancellations while the leader changes, limits are reached and machines are silent.

use crate::cluster::{scenario, secs, spec, task, Cluster, LEASE_S, NODES};
use corkfield_fakes::FakeWorker;
use corkfield_wire::{JobSpec, JobStatus};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::rc::Rc;

/// Why a machine can't be asked.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Silence {
    /// It stands still, and goes on within its lease.
    Hung,
    /// Everything between it and the controllers is held back.
    CutOff,
    /// Its reports arrive; nothing reaches it.
    Deaf,
}

fn set_silent(cluster: &Cluster, worker: &FakeWorker, silence: Silence, on: bool) {
    let name = &worker.settings.name;
    match silence {
        Silence::Hung => worker.set_hung(on),
        Silence::Deaf => worker.deaf.set(on),
        Silence::CutOff => NODES.iter().for_each(|node| match on {
            true => cluster.net.cut(name, node),
            false => cluster.net.heal(name, node),
        }),
    }
}

/// Work of the team that may use 6 CPUs.
fn capped(number: u32, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec { team: "capped".to_owned(), cpus, ..spec(number, tasks) }
}

#[test]
fn team_limit_counts_cancelled_tasks_on_silent_machines_while_the_leader_changes() {
    for silence in [Silence::Hung, Silence::CutOff, Silence::Deaf] {
        // The leader ends before the cancellation, with it, or after it.
        for planner_ends_s in [-1.0, 0.0, 1.5, 6.0] {
            scenario(4, |cluster| async move {
                let (cancelled, next) = (capped(1, 6, 1.0), capped(2, 12, 2.0));
                let newest = capped(3, 6, 2.0);
                cluster.submit(&cancelled, 300.0).await;
                // Keeps the other machines, and leaves room on one of them.
                let filler = spec(4, 20);
                cluster.submit(&filler, 40.0).await;
                secs(4.0).await;
                assert_eq!(cluster.history.running(&cancelled.id), 6, "the team is at its limit");
                cluster.submit(&next, 3.0).await;
                secs(1.0).await;
                let silent = [0, 3].map(|index| cluster.worker_of(&task(&cancelled, index)));
                silent.iter().for_each(|worker| set_silent(&cluster, worker, silence, true));
                cluster.cloud.down.set(true);
                if planner_ends_s < 0.0 {
                    cluster.restart(cluster.planner_node(), 0.3).await;
                    secs(-planner_ends_s).await;
                }
                cluster.cancel(&cancelled.id).await;
                if planner_ends_s >= 0.0 {
                    secs(planner_ends_s).await;
                    cluster.restart(cluster.planner_node(), 0.3).await;
                }
                // Nobody can have begun this one, so only the limit holds it back.
                cluster.submit(&newest, 3.0).await;
                // What goes on within its lease still runs its cancelled tasks at first.
                secs(LEASE_S - 3.0 - f64::max(planner_ends_s, 0.0)).await;
                silent.iter().for_each(|worker| set_silent(&cluster, worker, silence, false));
                cluster.cloud.down.set(false);
                for job in [&next, &newest, &filler] {
                    cluster.until_done(&job.id, 150.0).await;
                }
                assert_eq!(cluster.history.running(&cancelled.id), 0);
            });
        }
    }
}

/// How one controller's work passes to another.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Change {
    Crash,
    HandOver,
    Refusal,
    Freeze,
}

async fn begin_change(cluster: &Rc<Cluster>, change: Change) {
    let scheduler = cluster.planner_node();
    match change {
        Change::Crash => cluster.kill(scheduler),
        Change::Refusal => cluster.refused[scheduler].set(true),
        Change::HandOver => {
            for worker in cluster.cloud.workers() {
                cluster.net.cut(NODES[scheduler], &worker.settings.name);
            }
        }
        Change::Freeze => {
            let cluster = cluster.clone();
            tokio::task::spawn_local(async move { cluster.freeze(scheduler, 14.0).await });
        }
    }
}

fn end_change(cluster: &Cluster, change: Change, scheduler: usize) {
    match change {
        Change::Crash => cluster.start(scheduler),
        Change::Refusal => cluster.refused[scheduler].set(false),
        Change::HandOver => cluster
            .cloud
            .workers()
            .iter()
            .for_each(|worker| cluster.net.heal(NODES[scheduler], &worker.settings.name)),
        Change::Freeze => {}
    }
}

#[test]
fn cancellations_in_the_seconds_of_a_leader_change_are_final_and_carried_out() {
    for change in [Change::Crash, Change::HandOver, Change::Refusal, Change::Freeze] {
        for seed in 0..3 {
            scenario(4, |cluster| async move {
                let mut rng = SmallRng::seed_from_u64(seed);
                let kept = spec(90, 12);
                cluster.submit(&kept, 60.0).await;
                let cancelled: Vec<JobSpec> = (1..=24).map(|number| spec(number, 2)).collect();
                for job in &cancelled {
                    cluster.submit(job, 300.0).await;
                }
                secs(3.0).await;
                let scheduler = cluster.planner_node();
                begin_change(&cluster, change).await;
                let others = cluster.others(scheduler);
                for job in &cancelled {
                    secs(rng.random_range(0.1..1.1)).await;
                    let asked = others[rng.random_range(0..others.len())];
                    let (cluster, id) = (cluster.clone(), job.id.clone());
                    tokio::task::spawn_local(async move { cluster.cancel_at(asked, &id).await });
                }
                secs(1.0).await;
                end_change(&cluster, change, scheduler);
                secs(LEASE_S + 8.0).await;
                for job in &cancelled {
                    assert_eq!(cluster.status(&job.id).await, Some(JobStatus::Cancelled));
                    assert_eq!(cluster.history.running(&job.id), 0, "{change:?}");
                }
                cluster.until_done(&kept.id, 200.0).await;
                let late = cluster.history.late_starts();
                assert_eq!(late, 0, "{change:?}, seed {seed}: started after the confirmation");
            });
        }
    }
}

#[test]
fn a_burst_of_cancellations_with_hung_machines_leaves_nothing_running() {
    for hung_s in [4.0, LEASE_S - 2.0, LEASE_S + 5.0] {
        scenario(4, |cluster| async move {
            let jobs: Vec<JobSpec> = (1..=10).map(|number| spec(number, 3)).collect();
            for job in &jobs {
                cluster.submit(job, 300.0).await;
            }
            secs(5.0).await;
            let hung = [0, 4].map(|job: usize| cluster.worker_of(&task(&jobs[job], 0)));
            hung.iter().for_each(|worker| worker.set_hung(true));
            for (number, job) in jobs.iter().enumerate() {
                let (cluster, id) = (cluster.clone(), job.id.clone());
                tokio::task::spawn_local(async move {
                    cluster.cancel_at(number % NODES.len(), &id).await;
                });
                secs(0.02).await;
            }
            let freed = spec(20, 8);
            cluster.submit(&freed, 2.0).await;
            cluster.until_done(&freed.id, 25.0).await;
            secs((hung_s - 8.0).max(0.0)).await;
            hung.iter().for_each(|worker| worker.set_hung(false));
            secs(5.0).await;
            for job in &jobs {
                assert_eq!(cluster.history.running(&job.id), 0);
            }
        });
    }
}
