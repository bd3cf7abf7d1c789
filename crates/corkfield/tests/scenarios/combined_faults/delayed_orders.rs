//! Direct orders that are delayed and executed after newer ones, and replayed heartbeats that reach
//! a new leader.

use crate::cluster::{job_spec, scenario, sleep_s, Cluster, CONTROLLERS, LEASE_S};
use corkfield_wire::worker::PATH_HEARTBEAT;
use corkfield_wire::{JobSpec, Term};
use std::rc::Rc;

#[test]
fn delayed_direct_orders_of_a_replaced_leader_stop_no_task_that_its_successor_started() {
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
                let delayed: u32 = workers.iter().map(|worker| worker.delayed_commands()).sum();
                assert!(delayed > 0, "no direct order was delayed");
                cluster.assert_started_once(&kept, "delayed stops name attempts that have ended");
            });
        }
    }
}

/// Sends every controller the given copies of earlier heartbeats.
async fn replay_heartbeats(cluster: &Rc<Cluster>, copies: &[Vec<u8>]) {
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
fn a_new_leader_does_not_treat_replayed_heartbeats_as_current() {
    for replay_delay_s in [0.0, 0.4, 1.5, 4.0] {
        for max_copies in [1, 6, 40] {
            scenario(3, |cluster| async move {
                let (short, long) = (job_spec(1, 40), job_spec(2, 8));
                cluster.submit(&short, 2.5).await;
                cluster.submit(&long, 25.0).await;
                sleep_s(6.0).await;
                for _ in 0..2 {
                    let workers = cluster.cloud.workers();
                    // One machine hangs, so that the controllers receive only copies of its
                    // heartbeats.
                    workers[0].set_hung(true);
                    let copies: Vec<Vec<u8>> = workers
                        .iter()
                        .flat_map(|worker| {
                            let sent = worker.sent_heartbeats();
                            let first = sent.len().saturating_sub(max_copies);
                            sent[first..].to_vec()
                        })
                        .collect();
                    let term =
                        cluster.elected_leader().map_or(Term::default(), |leader| leader.term);
                    cluster.restart_controller(cluster.leader(), 0.1).await;
                    while cluster.elected_leader().is_none_or(|leader| leader.term == term) {
                        sleep_s(0.05).await;
                    }
                    sleep_s(replay_delay_s).await;
                    replay_heartbeats(&cluster, &copies).await;
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
