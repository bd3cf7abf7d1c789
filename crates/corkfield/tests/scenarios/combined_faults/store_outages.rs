//! Outages of the store. Tasks keep running while all other controllers attest that the leader has
//! acknowledged every cancellation that they confirmed to users. No task is started without a
//! recent proof of fresh state.

use crate::cluster::{job_spec, scenario, sleep_s, task_id, CANCEL_S, CONTROLLERS};
use corkfield_wire::{JobSpec, JobStatus, Priority};

/// Time in seconds for which a machine hangs during the leader change; shorter than its lease.
const HUNG_S: f64 = 9.0;
/// Time in seconds for which a machine reaches only the leader that is cut off.
const ONLY_LEADER_REACHABLE_S: f64 = 28.0;

#[test]
fn tasks_keep_running_in_a_store_outage_only_while_all_controllers_attest() {
    // A controller that has restarted, has crashed or is cut off from the leader does not attest,
    // and all tasks end.
    for fault in [None, Some("restart"), Some("crash"), Some("cut")] {
        scenario(2, |cluster| async move {
            let job = job_spec(1, 12);
            cluster.submit(&job, 70.0).await;
            sleep_s(5.0).await;
            let leader = cluster.leader();
            let other = cluster.other_controllers(leader)[0];
            cluster.store.set_down(true);
            sleep_s(6.0).await;
            match fault {
                Some("restart") => cluster.restart_controller(other, 0.1).await,
                Some("crash") => cluster.kill_controller(other),
                Some(_) => cluster.net.partition(CONTROLLERS[leader], CONTROLLERS[other]),
                None => {}
            }
            sleep_s(50.0).await;
            let running = cluster.history.running_tasks(&job.id);
            assert_eq!(running, if fault.is_none() { 12 } else { 0 }, "{fault:?}");
            cluster.net.heal(CONTROLLERS[leader], CONTROLLERS[other]);
            if fault == Some("crash") {
                cluster.start_controller(other);
            }
            cluster.store.set_down(false);
            cluster.wait_until_done(&job.id, 150.0).await;
            let started_once =
                (0..12).all(|index| cluster.history.start_count(&task_id(&job, index)) == 1);
            assert_eq!(started_once, fault.is_none());
        });
    }
}

#[test]
fn a_leader_change_around_the_end_of_a_store_outage_runs_no_task_twice_at_once() {
    // Seconds from the end of the outage to the loss of the leader, and whether the leader is cut
    // off instead of restarted.
    for (leader_ends_s, is_cut_off) in
        [(-3.0, false), (-0.5, true), (0.0, false), (0.2, true), (1.0, true)]
    {
        scenario(3, |cluster| async move {
            let long = job_spec(4, 3);
            cluster.submit(&long, 90.0).await;
            let jobs: Vec<_> = (1..=3).map(|number| job_spec(number, 60)).collect();
            for job in &jobs {
                cluster.submit(job, 5.0).await;
            }
            sleep_s(4.0).await;
            // A machine with a long task hangs during the leader change, or reaches only the leader
            // that is cut off, which answers its heartbeats for as long as S6 permits.
            let isolated = cluster.worker_of(&task_id(&long, 0));
            let leader = cluster.leader();
            cluster.store.set_down(true);
            sleep_s(20.0 + f64::min(leader_ends_s, 0.0)).await;
            let outage_ends = async {
                sleep_s(f64::max(-leader_ends_s, 0.0)).await;
                cluster.store.set_down(false);
                if !is_cut_off {
                    isolated.set_hung(true);
                }
            };
            let leader_ends = async {
                sleep_s(f64::max(leader_ends_s, 0.0)).await;
                if is_cut_off {
                    for other in cluster.other_controllers(leader) {
                        cluster.net.partition(CONTROLLERS[other], isolated.settings.name.as_str());
                    }
                    cluster.partition_from_peers(leader);
                    cluster.is_refused_by_store[leader].set(true);
                } else {
                    cluster.restart_controller(leader, 0.2).await;
                }
            };
            tokio::join!(outage_ends, leader_ends);
            sleep_s(HUNG_S).await;
            isolated.set_hung(false);
            sleep_s(ONLY_LEADER_REACHABLE_S - HUNG_S).await;
            for other in cluster.other_controllers(leader) {
                cluster.net.heal(CONTROLLERS[other], isolated.settings.name.as_str());
            }
            cluster.heal_to_peers(leader);
            cluster.is_refused_by_store[leader].set(false);
            for job in jobs.iter().chain([&long]) {
                cluster.wait_until_done(&job.id, 150.0).await;
            }
        });
    }
}

#[test]
fn a_controller_with_a_cancellation_unknown_to_the_leader_does_not_attest() {
    // The controller's notification of the leader is late, or is lost when its process restarts.
    // The links are restored during the outage.
    for has_restart in [false, true] {
        for heal_after_s in [0.5, 8.0, 20.0] {
            scenario(3, |cluster| async move {
                let job = job_spec(1, 4);
                cluster.submit(&job, 400.0).await;
                sleep_s(5.0).await;
                let leader = cluster.leader();
                let other = cluster.other_controllers(leader)[0];
                cluster.partition_from_peers(leader);
                cluster.is_refused_by_store[leader].set(true);
                sleep_s(0.3).await;
                cluster.cancel_at(other, &job.id).await;
                let confirmed_at = tokio::time::Instant::now();
                if has_restart {
                    // The new process reads the store, but does not know which cancellations the
                    // previous process confirmed.
                    cluster.restart_controller(other, 0.05).await;
                    sleep_s(2.5).await;
                }
                cluster.store.set_down(true);
                cluster.is_refused_by_store[leader].set(false);
                sleep_s(heal_after_s).await;
                cluster.heal_to_peers(leader);
                sleep_s(CANCEL_S - confirmed_at.elapsed().as_secs_f64() - 0.1).await;
                assert_eq!(cluster.history.running_tasks(&job.id), 0);
                sleep_s(20.0).await;
                cluster.store.set_down(false);
                sleep_s(5.0).await;
                assert_eq!(cluster.status(&job.id).await, Some(JobStatus::Cancelled));
            });
        }
    }
}

#[test]
fn no_task_is_started_without_a_recent_proof_of_fresh_state() {
    scenario(2, |cluster| async move {
        // Urgent jobs, so that all tasks may start without a prior write of their job records.
        let jobs: Vec<_> = (1..=6)
            .map(|number| JobSpec { priority: Priority::High, ..job_spec(number, 120) })
            .collect();
        for job in &jobs {
            cluster.submit(job, 0.5).await;
        }
        sleep_s(5.0).await;
        let leader = cluster.leader();
        cluster.partition_from_peers(leader);
        cluster.is_refused_by_store[leader].set(true);
        sleep_s(1.6).await;
        let starts = cluster.history.total_starts();
        sleep_s(4.0).await;
        // Up to 16 tasks may still have been fetching at the first count.
        assert!(
            cluster.history.total_starts() <= starts + 16,
            "the leader keeps its lease but starts no task"
        );
        cluster.is_refused_by_store[leader].set(false);
        cluster.heal_to_peers(leader);
        for job in &jobs {
            cluster.wait_until_done(&job.id, 150.0).await;
        }
    });
}
