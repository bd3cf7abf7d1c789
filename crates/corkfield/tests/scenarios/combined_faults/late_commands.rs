//! Direct commands that are held up and carried out after newer ones, and copies of heartbeats that
//! reach a leader as it begins.

use crate::cluster::{job_spec, scenario, sleep_s, Cluster, CONTROLLERS, LEASE_S};
use corkfield_wire::worker::PATH_HEARTBEAT;
use corkfield_wire::{JobSpec, Term};
use std::rc::Rc;

#[test]
fn delayed_commands_of_a_replaced_leader_stop_nothing_that_its_successor_started() {
    for delay_s in [2.0, 5.0, 9.0, 16.0] {
        for restart_s in [0.1, 2.5, 4.0] {
            scenario(3, |cluster| async move {
                let kept = job_spec(1, 60);
                cluster.submit(&kept, 6.0).await;
                let cancelled: Vec<JobSpec> = (2..6).map(|number| job_spec(number, 3)).collect();
                for job in &cancelled {
                    cluster.submit(job, 200.0).await;
                }
                sleep_s(4.0).await;
                let workers = cluster.cloud.workers();
                workers.iter().for_each(|worker| worker.command_delay_s.set(Some(delay_s)));
                for job in &cancelled {
                    cluster.cancel(&job.id).await;
                    cluster.restart_controller(cluster.leader(), restart_s).await;
                    sleep_s(1.5).await;
                }
                sleep_s(delay_s).await;
                workers.iter().for_each(|worker| worker.command_delay_s.set(None));
                cluster.wait_until_done(&kept.id, 120.0).await;
                sleep_s(LEASE_S).await;
                for job in &cancelled {
                    assert_eq!(cluster.history.running_tasks(&job.id), 0);
                }
                let late: u32 = workers.iter().map(|worker| worker.delayed_commands()).sum();
                assert!(late > 0, "no command was carried out late");
                cluster.assert_started_once(&kept, "late stops name attempts that are gone");
            });
        }
    }
}

/// Sends copies of the heartbeats that workers sent before to every controller.
async fn send_copies(cluster: &Rc<Cluster>, copies: &[Vec<u8>]) {
    for copy in copies {
        for controller in 0..CONTROLLERS.len() {
            let (sender, copy) = (cluster.clone(), copy.clone());
            tokio::task::spawn_local(async move {
                sender.request(controller, "POST", PATH_HEARTBEAT, &copy).await;
            });
        }
    }
}

#[test]
fn copies_of_heartbeats_that_meet_a_new_leader_prove_nothing() {
    for wait_s in [0.0, 0.4, 1.5, 4.0] {
        for kept_heartbeats in [1, 6, 40] {
            scenario(3, |cluster| async move {
                let (short, long) = (job_spec(1, 40), job_spec(2, 8));
                cluster.submit(&short, 2.5).await;
                cluster.submit(&long, 25.0).await;
                sleep_s(6.0).await;
                for _ in 0..2 {
                    let workers = cluster.cloud.workers();
                    // One of them hangs, so that only copies speak for it.
                    workers[0].set_hung(true);
                    let copies: Vec<Vec<u8>> = workers
                        .iter()
                        .flat_map(|worker| {
                            let sent = worker.sent_heartbeats();
                            let first = sent.len().saturating_sub(kept_heartbeats);
                            sent[first..].to_vec()
                        })
                        .collect();
                    let term =
                        cluster.elected_leader().map_or(Term::default(), |leader| leader.term);
                    cluster.restart_controller(cluster.leader(), 0.1).await;
                    while cluster.elected_leader().is_none_or(|leader| leader.term == term) {
                        sleep_s(0.05).await;
                    }
                    sleep_s(wait_s).await;
                    send_copies(&cluster, &copies).await;
                    sleep_s(5.0).await;
                    workers[0].set_hung(false);
                    sleep_s(4.0).await;
                }
                for job in [&short, &long] {
                    cluster.wait_until_done(&job.id, 120.0).await;
                }
            });
        }
    }
}
