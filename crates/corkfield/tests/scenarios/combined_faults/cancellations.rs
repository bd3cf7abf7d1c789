//! Cancellations while the leader changes, limits are reached and machines are silent.

use crate::cluster::{job_spec, scenario, sleep_s, task_id, Cluster, CONTROLLERS, LEASE_S};
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
    /// Its heartbeats arrive; nothing reaches it.
    ReceivesNothing,
}

fn set_silent(cluster: &Cluster, worker: &FakeWorker, silence: Silence, on: bool) {
    let name = &worker.settings.name;
    match silence {
        Silence::Hung => worker.set_hung(on),
        Silence::ReceivesNothing => worker.is_inbound_blocked.set(on),
        Silence::CutOff if on => {
            CONTROLLERS
                .iter()
                .for_each(|controller| cluster.net.partition(name.as_str(), controller));
        }
        Silence::CutOff => {
            CONTROLLERS.iter().for_each(|controller| cluster.net.heal(name.as_str(), controller));
        }
    }
}

/// Work of the team that may use 6 CPUs.
fn capped(number: u32, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec { team: "capped".to_owned(), cpus, ..job_spec(number, tasks) }
}

#[test]
fn a_quota_counts_cancelled_tasks_on_silent_machines_while_the_leader_changes() {
    for silence in [Silence::Hung, Silence::CutOff, Silence::ReceivesNothing] {
        // The leader ends before the cancellation, with it, or after it.
        for leader_ends_s in [-1.0, 0.0, 1.5, 6.0] {
            scenario(4, |cluster| async move {
                let (cancelled, next) = (capped(1, 6, 1.0), capped(2, 12, 2.0));
                let newest = capped(3, 6, 2.0);
                cluster.submit(&cancelled, 300.0).await;
                // Keeps the other machines, and leaves room on one of them.
                let filler = job_spec(4, 20);
                cluster.submit(&filler, 40.0).await;
                sleep_s(4.0).await;
                assert_eq!(
                    cluster.history.running_tasks(&cancelled.id),
                    6,
                    "the team is at its limit"
                );
                cluster.submit(&next, 3.0).await;
                sleep_s(1.0).await;
                let silent = [0, 3].map(|index| cluster.worker_of(&task_id(&cancelled, index)));
                silent.iter().for_each(|worker| set_silent(&cluster, worker, silence, true));
                cluster.cloud.is_down.set(true);
                if leader_ends_s < 0.0 {
                    cluster.restart_controller(cluster.leader(), 0.3).await;
                    sleep_s(-leader_ends_s).await;
                }
                cluster.cancel(&cancelled.id).await;
                if leader_ends_s >= 0.0 {
                    sleep_s(leader_ends_s).await;
                    cluster.restart_controller(cluster.leader(), 0.3).await;
                }
                // Nobody can have begun this one, so only the limit holds it back.
                cluster.submit(&newest, 3.0).await;
                // What goes on within its lease still runs its cancelled tasks at first.
                sleep_s(LEASE_S - 3.0 - f64::max(leader_ends_s, 0.0)).await;
                silent.iter().for_each(|worker| set_silent(&cluster, worker, silence, false));
                cluster.cloud.is_down.set(false);
                for job in [&next, &newest, &filler] {
                    cluster.wait_until_done(&job.id, 150.0).await;
                }
                assert_eq!(cluster.history.running_tasks(&cancelled.id), 0);
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
    let leader = cluster.leader();
    match change {
        Change::Crash => cluster.kill_controller(leader),
        Change::Refusal => cluster.is_refused_by_store[leader].set(true),
        Change::HandOver => {
            cluster.partition_from_workers(leader);
        }
        Change::Freeze => {
            let cluster = cluster.clone();
            tokio::task::spawn_local(async move { cluster.pause_controller(leader, 14.0).await });
        }
    }
}

fn end_change(cluster: &Cluster, change: Change, leader: usize) {
    match change {
        Change::Crash => cluster.start_controller(leader),
        Change::Refusal => cluster.is_refused_by_store[leader].set(false),
        Change::HandOver => cluster.heal_to_workers(leader),

        Change::Freeze => {}
    }
}

#[test]
fn cancellations_in_the_seconds_of_a_leader_change_are_final_and_carried_out() {
    for change in [Change::Crash, Change::HandOver, Change::Refusal, Change::Freeze] {
        for seed in 0..3 {
            scenario(4, |cluster| async move {
                let mut rng = SmallRng::seed_from_u64(seed);
                let kept = job_spec(90, 12);
                cluster.submit(&kept, 60.0).await;
                let cancelled: Vec<JobSpec> = (1..=24).map(|number| job_spec(number, 2)).collect();
                for job in &cancelled {
                    cluster.submit(job, 300.0).await;
                }
                sleep_s(3.0).await;
                let leader = cluster.leader();
                begin_change(&cluster, change).await;
                let others = cluster.other_controllers(leader);
                for job in &cancelled {
                    sleep_s(rng.random_range(0.1..1.1)).await;
                    let asked = others[rng.random_range(0..others.len())];
                    let (cluster, id) = (cluster.clone(), job.id.clone());
                    tokio::task::spawn_local(async move { cluster.cancel_at(asked, &id).await });
                }
                sleep_s(1.0).await;
                end_change(&cluster, change, leader);
                sleep_s(LEASE_S + 8.0).await;
                for job in &cancelled {
                    assert_eq!(cluster.status(&job.id).await, Some(JobStatus::Cancelled));
                    assert_eq!(cluster.history.running_tasks(&job.id), 0, "{change:?}");
                }
                cluster.wait_until_done(&kept.id, 200.0).await;
                let late = cluster.history.starts_after_cancellation();
                assert_eq!(late, 0, "{change:?}, seed {seed}: started after the confirmation");
            });
        }
    }
}

#[test]
fn a_burst_of_cancellations_with_hung_machines_leaves_nothing_running() {
    for hung_s in [4.0, LEASE_S - 2.0, LEASE_S + 5.0] {
        scenario(4, |cluster| async move {
            let jobs: Vec<JobSpec> = (1..=10).map(|number| job_spec(number, 3)).collect();
            for job in &jobs {
                cluster.submit(job, 300.0).await;
            }
            sleep_s(5.0).await;
            let hung = [0, 4].map(|job: usize| cluster.worker_of(&task_id(&jobs[job], 0)));
            hung.iter().for_each(|worker| worker.set_hung(true));
            for (number, job) in jobs.iter().enumerate() {
                let (cluster, id) = (cluster.clone(), job.id.clone());
                tokio::task::spawn_local(async move {
                    cluster.cancel_at(number % CONTROLLERS.len(), &id).await;
                });
                sleep_s(0.02).await;
            }
            let freed = job_spec(20, 8);
            cluster.submit(&freed, 2.0).await;
            cluster.wait_until_done(&freed.id, 25.0).await;
            sleep_s((hung_s - 8.0).max(0.0)).await;
            hung.iter().for_each(|worker| worker.set_hung(false));
            sleep_s(5.0).await;
            for job in &jobs {
                assert_eq!(cluster.history.running_tasks(&job.id), 0);
            }
        });
    }
}
