//! Cancellations while the leader changes, quotas are exhausted and machines are unresponsive.

use crate::cluster::{job_spec, scenario, sleep_s, task_id, Cluster, CONTROLLERS, LEASE_S};
use corkfield_fakes::FakeWorker;
use corkfield_wire::{JobSpec, JobStatus};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::rc::Rc;

/// A fault that makes a machine unresponsive.
#[derive(Debug, Clone, Copy, PartialEq)]
enum MachineFault {
    /// The machine's processes hang, and resume before the worker's lease expires.
    Hung,
    /// The network holds back all messages between the machine and the controllers.
    Partitioned,
    /// The machine's heartbeats arrive, but the machine receives no message.
    ReceivesNothing,
}

/// Begins or ends a fault of a machine.
fn set_machine_fault(cluster: &Cluster, worker: &FakeWorker, fault: MachineFault, is_active: bool) {
    let name = &worker.settings.name;
    match fault {
        MachineFault::Hung => worker.set_hung(is_active),
        MachineFault::ReceivesNothing => worker.is_inbound_blocked.set(is_active),
        MachineFault::Partitioned if is_active => {
            CONTROLLERS
                .iter()
                .for_each(|controller| cluster.net.partition(name.as_str(), controller));
        }
        MachineFault::Partitioned => {
            CONTROLLERS.iter().for_each(|controller| cluster.net.heal(name.as_str(), controller));
        }
    }
}

/// Returns a job of the team "capped", whose quota is 6 CPUs.
fn capped_job(number: u32, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec { team: "capped".to_owned(), cpus, ..job_spec(number, tasks) }
}

#[test]
fn a_quota_counts_cancelled_tasks_on_unresponsive_machines_while_the_leader_changes() {
    for fault in [MachineFault::Hung, MachineFault::Partitioned, MachineFault::ReceivesNothing] {
        // Seconds from the cancellation to the restart of the leader. If the value is negative, the
        // leader restarts that long before the cancellation.
        for restart_after_s in [-1.0, 0.0, 1.5, 6.0] {
            scenario(4, |cluster| async move {
                let (cancelled, next) = (capped_job(1, 6, 1.0), capped_job(2, 12, 2.0));
                let newest = capped_job(3, 6, 2.0);
                cluster.submit(&cancelled, 300.0).await;
                // Keeps the other machines in use, so that they are not returned, and leaves free
                // capacity on one of them.
                let filler = job_spec(4, 20);
                cluster.submit(&filler, 40.0).await;
                sleep_s(4.0).await;
                assert_eq!(
                    cluster.history.running_tasks(&cancelled.id),
                    6,
                    "the team has used up its quota"
                );
                cluster.submit(&next, 3.0).await;
                sleep_s(1.0).await;
                let unresponsive =
                    [0, 3].map(|index| cluster.worker_of(&task_id(&cancelled, index)));
                unresponsive
                    .iter()
                    .for_each(|worker| set_machine_fault(&cluster, worker, fault, true));
                cluster.cloud.is_down.set(true);
                if restart_after_s < 0.0 {
                    cluster.restart_controller(cluster.leader(), 0.3).await;
                    sleep_s(-restart_after_s).await;
                }
                cluster.cancel(&cancelled.id).await;
                if restart_after_s >= 0.0 {
                    sleep_s(restart_after_s).await;
                    cluster.restart_controller(cluster.leader(), 0.3).await;
                }
                // No machine can have started a task of this job, so only the quota delays it.
                cluster.submit(&newest, 3.0).await;
                // A machine that resumes within its lease still runs its cancelled tasks at first.
                sleep_s(LEASE_S - 3.0 - f64::max(restart_after_s, 0.0)).await;
                unresponsive
                    .iter()
                    .for_each(|worker| set_machine_fault(&cluster, worker, fault, false));
                cluster.cloud.is_down.set(false);
                for job in [&next, &newest, &filler] {
                    cluster.wait_until_done(&job.id, 150.0).await;
                }
                assert_eq!(cluster.history.running_tasks(&cancelled.id), 0);
            });
        }
    }
}

/// A fault that makes another controller the leader.
#[derive(Debug, Clone, Copy, PartialEq)]
enum LeaderFault {
    /// The leader's process ends.
    Crash,
    /// The leader is cut off from all workers and hands over the leadership.
    CutFromWorkers,
    /// The store refuses the leader's requests.
    RefusedByStore,
    /// The leader's process is paused while its clocks advance.
    Freeze,
}

async fn begin_leader_fault(cluster: &Rc<Cluster>, fault: LeaderFault) {
    let leader = cluster.leader();
    match fault {
        LeaderFault::Crash => cluster.kill_controller(leader),
        LeaderFault::RefusedByStore => cluster.is_refused_by_store[leader].set(true),
        LeaderFault::CutFromWorkers => {
            cluster.partition_from_workers(leader);
        }
        LeaderFault::Freeze => {
            let cluster = cluster.clone();
            tokio::task::spawn_local(async move { cluster.pause_controller(leader, 14.0).await });
        }
    }
}

fn end_leader_fault(cluster: &Cluster, fault: LeaderFault, leader: usize) {
    match fault {
        LeaderFault::Crash => cluster.start_controller(leader),
        LeaderFault::RefusedByStore => cluster.is_refused_by_store[leader].set(false),
        LeaderFault::CutFromWorkers => cluster.heal_to_workers(leader),
        // The pause ends by itself.
        LeaderFault::Freeze => {}
    }
}

#[test]
fn cancellations_confirmed_during_a_leader_change_are_final_and_stop_all_tasks() {
    for fault in [
        LeaderFault::Crash,
        LeaderFault::CutFromWorkers,
        LeaderFault::RefusedByStore,
        LeaderFault::Freeze,
    ] {
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
                begin_leader_fault(&cluster, fault).await;
                let others = cluster.other_controllers(leader);
                for job in &cancelled {
                    sleep_s(rng.random_range(0.1..1.1)).await;
                    let controller = others[rng.random_range(0..others.len())];
                    let (cluster, id) = (cluster.clone(), job.id.clone());
                    tokio::task::spawn_local(
                        async move { cluster.cancel_at(controller, &id).await },
                    );
                }
                sleep_s(1.0).await;
                end_leader_fault(&cluster, fault, leader);
                sleep_s(LEASE_S + 8.0).await;
                for job in &cancelled {
                    assert_eq!(cluster.status(&job.id).await, Some(JobStatus::Cancelled));
                    assert_eq!(cluster.history.running_tasks(&job.id), 0, "{fault:?}");
                }
                cluster.wait_until_done(&kept.id, 200.0).await;
                let starts = cluster.history.starts_after_cancellation();
                assert_eq!(starts, 0, "{fault:?}, seed {seed}: started after the confirmation");
            });
        }
    }
}

#[test]
fn a_burst_of_cancellations_with_hung_machines_leaves_no_cancelled_task_running() {
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
            let next = job_spec(20, 8);
            cluster.submit(&next, 2.0).await;
            cluster.wait_until_done(&next.id, 25.0).await;
            sleep_s((hung_s - 8.0).max(0.0)).await;
            hung.iter().for_each(|worker| worker.set_hung(false));
            sleep_s(5.0).await;
            for job in &jobs {
                assert_eq!(cluster.history.running_tasks(&job.id), 0);
            }
        });
    }
}
