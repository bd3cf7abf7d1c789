//! Outages of the store: tasks go on while all controllers attest that they confirmed no
//! cancellation, and nothing is started without a proof of fresh state.

use crate::cluster::{job_spec, scenario, sleep_s, task_id, CANCEL_S, CONTROLLERS};
use corkfield_wire::{JobSpec, JobStatus, Priority};

/// How long a machine hangs while the leader changes, in seconds; less than its lease.
const HUNG_S: f64 = 9.0;
/// How long a machine reaches only the leader that is cut off, in seconds.
const ALONE_WITH_LEADER_S: f64 = 28.0;

#[test]
fn in_an_outage_of_the_store_tasks_go_on_as_long_as_all_controllers_attest() {
    // One restarts, is gone, or is cut off from the leader: then none may go on.
    for trouble in [None, Some("restart"), Some("gone"), Some("cut")] {
        scenario(2, |cluster| async move {
            let job = job_spec(1, 12);
            cluster.submit(&job, 70.0).await;
            sleep_s(5.0).await;
            let leader = cluster.leader();
            let other = cluster.other_controllers(leader)[0];
            cluster.store.set_down(true);
            sleep_s(6.0).await;
            match trouble {
                Some("restart") => cluster.restart_controller(other, 0.1).await,
                Some("gone") => cluster.kill_controller(other),
                Some(_) => cluster.net.partition(CONTROLLERS[leader], CONTROLLERS[other]),
                None => {}
            }
            sleep_s(50.0).await;
            let running = cluster.history.running_tasks(&job.id);
            assert_eq!(running, if trouble.is_none() { 12 } else { 0 }, "{trouble:?}");
            cluster.net.heal(CONTROLLERS[leader], CONTROLLERS[other]);
            if trouble == Some("gone") {
                cluster.start_controller(other);
            }
            cluster.store.set_down(false);
            cluster.wait_until_done(&job.id, 150.0).await;
            let once = (0..12).all(|index| cluster.history.start_count(&task_id(&job, index)) == 1);
            assert_eq!(once, trouble.is_none());
        });
    }
}

#[test]
fn a_leader_that_ends_around_the_end_of_an_outage_leaves_nothing_to_be_started_twice() {
    // The leader is cut off from all, or ends, at several moments around the outage's end.
    for (ends_s, cut) in [(-3.0, false), (-0.5, true), (0.0, false), (0.2, true), (1.0, true)] {
        scenario(3, |cluster| async move {
            let long = job_spec(4, 3);
            cluster.submit(&long, 90.0).await;
            let jobs: Vec<_> = (1..=3).map(|number| job_spec(number, 60)).collect();
            for job in &jobs {
                cluster.submit(job, 5.0).await;
            }
            sleep_s(4.0).await;
            // A machine with a long task hangs while the leader changes, or reaches only the one
            // that is cut off, which answers it for as long as it may (S6).
            let apart = cluster.worker_of(&task_id(&long, 0));
            let leader = cluster.leader();
            cluster.store.set_down(true);
            sleep_s(20.0 + f64::min(ends_s, 0.0)).await;
            let outage_ends = async {
                sleep_s(f64::max(-ends_s, 0.0)).await;
                cluster.store.set_down(false);
                if !cut {
                    apart.set_hung(true);
                }
            };
            let leader_ends = async {
                sleep_s(f64::max(ends_s, 0.0)).await;
                if cut {
                    for other in cluster.other_controllers(leader) {
                        cluster.net.partition(CONTROLLERS[other], apart.settings.name.as_str());
                    }
                    cluster.partition_from_peers(leader);
                    cluster.is_refused_by_store[leader].set(true);
                } else {
                    cluster.restart_controller(leader, 0.2).await;
                }
            };
            tokio::join!(outage_ends, leader_ends);
            sleep_s(HUNG_S).await;
            apart.set_hung(false);
            sleep_s(ALONE_WITH_LEADER_S - HUNG_S).await;
            for other in cluster.other_controllers(leader) {
                cluster.net.heal(CONTROLLERS[other], apart.settings.name.as_str());
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
    // Its notice comes late, or is lost with its process; the links are whole again meanwhile.
    for restarts in [false, true] {
        for healed_s in [0.5, 8.0, 20.0] {
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
                let confirmed = tokio::time::Instant::now();
                if restarts {
                    // The next process reads the store, but not what the one before confirmed.
                    cluster.restart_controller(other, 0.05).await;
                    sleep_s(2.5).await;
                }
                cluster.store.set_down(true);
                cluster.is_refused_by_store[leader].set(false);
                sleep_s(healed_s).await;
                cluster.heal_to_peers(leader);
                sleep_s(CANCEL_S - confirmed.elapsed().as_secs_f64() - 0.1).await;
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
fn without_a_recent_proof_of_fresh_state_nothing_is_started() {
    scenario(2, |cluster| async move {
        // Urgent, so that all of them may begin without a write of their records.
        let stream: Vec<_> = (1..=6)
            .map(|number| JobSpec { priority: Priority::High, ..job_spec(number, 120) })
            .collect();
        for job in &stream {
            cluster.submit(job, 0.5).await;
        }
        sleep_s(5.0).await;
        let leader = cluster.leader();
        cluster.partition_from_peers(leader);
        cluster.is_refused_by_store[leader].set(true);
        sleep_s(1.6).await;
        let starts = cluster.history.total_starts();
        sleep_s(4.0).await;
        // What was ordered by then may have been fetching.
        assert!(cluster.history.total_starts() <= starts + 16, "its lease goes on, but no start");
        cluster.is_refused_by_store[leader].set(false);
        cluster.heal_to_peers(leader);
        for job in &stream {
            cluster.wait_until_done(&job.id, 150.0).await;
        }
    });
}
