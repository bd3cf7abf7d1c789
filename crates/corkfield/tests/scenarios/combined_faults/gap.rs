//! Cancellations that the leader can't read: the store refuses it alone, others confirm them, and
//! then the store is down for all for longer than a cancellation may take.

use crate::cluster::{
    job_spec, scenario, sleep_s, task_id, Cluster, CANCEL_S, CONTROLLERS, LEASE_S,
};
use corkfield_fakes::Fault;
use corkfield_wire::peer::Frame;
use corkfield_wire::store::PATH_TXN;
use corkfield_wire::user::{PATH_CANCEL, PATH_JOBS};
use corkfield_wire::worker::PATH_COMMANDS;
use corkfield_wire::{JobSpec, JobStatus, Priority};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

#[derive(Clone, Copy)]
struct Gap {
    tasks: u32,
    /// The leader reaches no other controller either.
    parted: bool,
    /// The store does not refuse the leader: what is between them is held back.
    held: bool,
    /// A machine with a task of the job stands still, within its lease.
    hung_s: f64,
    /// From the refusal to the cancellation, and from there to the outage.
    before_s: f64,
    after_s: f64,
}

const PLAIN: Gap =
    Gap { tasks: 1, parted: false, held: false, hung_s: 0.0, before_s: 0.4, after_s: 1.0 };

async fn meet(cluster: Rc<Cluster>, gap: Gap) {
    let (job, stream) = (job_spec(1, gap.tasks), job_spec(2, 300));
    cluster.submit(&job, 400.0).await;
    // Starts go on all the time.
    cluster.submit(&stream, 0.7).await;
    sleep_s(5.0).await;
    let leader = cluster.leader();
    if gap.parted {
        cluster.cut_from_peers(leader);
    }
    if gap.held {
        cluster.net.cut(CONTROLLERS[leader], "state");
    } else {
        cluster.store_refuses[leader].set(true);
    }
    sleep_s(gap.before_s).await;
    if gap.hung_s > 0.0 {
        let worker = cluster.worker_of(&task_id(&job, 0));
        worker.set_hung(true);
        tokio::task::spawn_local(async move {
            sleep_s(gap.hung_s).await;
            worker.set_hung(false);
        });
    }
    let (other, confirmed) = (cluster.other_controllers(leader)[0], tokio::time::Instant::now());
    for id in [&job.id, &stream.id] {
        cluster.cancel_through(other, id).await;
    }
    sleep_s(gap.after_s).await;
    cluster.store.set_down(true);
    if !gap.parted && gap.hung_s == 0.0 {
        sleep_s(4.0).await;
        assert_eq!(
            cluster.history.running_tasks(&job.id),
            0,
            "the leader learnt of it by another way"
        );
        assert_eq!(cluster.history.starts_after_cancellation(), 0, "and started nothing more");
    }
    sleep_s(CANCEL_S - confirmed.elapsed().as_secs_f64() - 0.1).await;
    for job in [&job, &stream] {
        assert_eq!(cluster.history.running_tasks(&job.id), 0, "S6 holds with nobody to be reached");
    }
    sleep_s(20.0).await;
    cluster.store.set_down(false);
    cluster.store_refuses[leader].set(false);
    cluster.net.heal(CONTROLLERS[leader], "state");
    cluster.heal_to_peers(leader);
    for id in [&job.id, &stream.id] {
        assert_eq!(cluster.status(id).await, Some(JobStatus::Cancelled));
    }
    let next = job_spec(3, 6);
    cluster.submit(&next, 2.0).await;
    cluster.wait_until_done(&next.id, 90.0).await;
}

#[test]
fn what_was_cancelled_is_gone_in_time_though_the_leader_never_reads_of_it() {
    for parted in [false, true] {
        for held in [false, true] {
            for (tasks, before_s, after_s) in [(1, 0.4, 1.0), (2, 0.0, 0.2), (2, 3.0, 3.0)] {
                let gap = Gap { tasks, parted, held, before_s, after_s, ..PLAIN };
                scenario(3, |cluster| meet(cluster, gap));
            }
        }
    }
}

#[test]
fn a_machine_that_hangs_in_the_gap_drops_what_was_cancelled_when_it_goes_on() {
    for parted in [false, true] {
        for hung_s in [3.0, LEASE_S - 2.5, LEASE_S + 4.0] {
            let gap = Gap { tasks: 2, parted, hung_s, ..PLAIN };
            scenario(3, |cluster| meet(cluster, gap));
        }
    }
}

#[test]
fn in_an_outage_for_all_work_goes_on_as_long_as_all_controllers_attest() {
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
                Some("restart") => cluster.restart(other, 0.1).await,
                Some("gone") => cluster.kill(other),
                Some(_) => cluster.net.cut(CONTROLLERS[leader], CONTROLLERS[other]),
                None => {}
            }
            sleep_s(50.0).await;
            let running = cluster.history.running_tasks(&job.id);
            assert_eq!(running, if trouble.is_none() { 12 } else { 0 }, "{trouble:?}");
            cluster.net.heal(CONTROLLERS[leader], CONTROLLERS[other]);
            if trouble == Some("gone") {
                cluster.start(other);
            }
            cluster.store.set_down(false);
            cluster.wait_until_done(&job.id, 150.0).await;
            let once = (0..12).all(|index| cluster.history.starts_of(&task_id(&job, index)) == 1);
            assert_eq!(once, trouble.is_none());
        });
    }
}

#[test]
fn a_leader_that_ends_around_the_end_of_an_outage_leaves_nothing_to_be_started_twice() {
    // The leader is cut off from all, or ends, at several moments around the outage's end.
    for (ends_s, cut) in [(-3.0, false), (-0.5, true), (0.0, false), (0.2, true), (1.0, true)] {
        scenario(3, |cluster| async move {
            let jobs: Vec<_> = (1..=3).map(|number| job_spec(number, 60)).collect();
            for job in &jobs {
                cluster.submit(job, 5.0).await;
            }
            sleep_s(4.0).await;
            let leader = cluster.leader();
            cluster.store.set_down(true);
            sleep_s(20.0 + f64::min(ends_s, 0.0)).await;
            let outage_ends = async {
                sleep_s(f64::max(-ends_s, 0.0)).await;
                cluster.store.set_down(false);
            };
            let leader_ends = async {
                sleep_s(f64::max(ends_s, 0.0)).await;
                if cut {
                    cluster.cut_from_peers(leader);
                    cluster.store_refuses[leader].set(true);
                } else {
                    cluster.restart(leader, 0.2).await;
                }
            };
            tokio::join!(outage_ends, leader_ends);
            sleep_s(20.0).await;
            cluster.heal_to_peers(leader);
            cluster.store_refuses[leader].set(false);
            for job in &jobs {
                cluster.wait_until_done(&job.id, 150.0).await;
            }
        });
    }
}

#[test]
fn who_confirmed_a_cancellation_that_the_leader_did_not_hear_of_does_not_attest() {
    // Its notice comes late, or is lost with its process; the links are whole again meanwhile.
    for restarts in [false, true] {
        for healed_s in [0.5, 8.0, 20.0] {
            scenario(3, |cluster| async move {
                let job = job_spec(1, 4);
                cluster.submit(&job, 400.0).await;
                sleep_s(5.0).await;
                let leader = cluster.leader();
                let other = cluster.other_controllers(leader)[0];
                cluster.cut_from_peers(leader);
                cluster.store_refuses[leader].set(true);
                sleep_s(0.3).await;
                cluster.cancel_through(other, &job.id).await;
                let confirmed = tokio::time::Instant::now();
                if restarts {
                    // The next process reads the store, but not what the one before confirmed.
                    cluster.restart(other, 0.05).await;
                    sleep_s(2.5).await;
                }
                cluster.store.set_down(true);
                cluster.store_refuses[leader].set(false);
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
fn without_a_young_proof_nothing_is_started() {
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
        cluster.cut_from_peers(leader);
        cluster.store_refuses[leader].set(true);
        sleep_s(1.6).await;
        let starts = cluster.history.total_starts();
        sleep_s(4.0).await;
        // What was ordered by then may have been fetching.
        assert!(cluster.history.total_starts() <= starts + 16, "its lease goes on, but no start");
        cluster.store_refuses[leader].set(false);
        cluster.heal_to_peers(leader);
        for job in &stream {
            cluster.wait_until_done(&job.id, 150.0).await;
        }
    });
}

#[test]
fn closing_what_is_cancelled_waits_for_no_claim_and_no_read() {
    scenario(3, |cluster| async move {
        // One claim takes four. That of the last reads its finished tasks, which never succeeds.
        let jobs: Vec<_> =
            (1..=6).map(|number| job_spec(number, if number < 6 { 2 } else { 2000 })).collect();
        for job in &jobs {
            cluster.submit(job, if job.tasks == 2 { 200.0 } else { 1.0 }).await;
        }
        sleep_s(9.0).await;
        cluster.store.set_faults(|request| {
            let stuck = request.target.contains("prefix=d/");
            if stuck {
                Fault::Drop
            } else {
                Fault::None
            }
        });
        let leader = cluster.leader();
        cluster.restart(leader, 0.2).await;
        sleep_s(12.0).await;
        // Only its reads of the store tell it.
        let leader = cluster.leader();
        cluster.cut_from_peers(leader);
        for to_cancel in &jobs[..3] {
            assert_eq!(cluster.history.running_tasks(&to_cancel.id), 2);
            cluster.cancel_through(cluster.other_controllers(leader)[0], &to_cancel.id).await;
            sleep_s(3.0).await;
            assert_eq!(cluster.history.running_tasks(&to_cancel.id), 0);
        }
        // Nor do other claims.
        let next = job_spec(7, 2);
        cluster.submit(&next, 1.0).await;
        cluster.wait_until_done(&next.id, 20.0).await;
        cluster.heal_to_peers(leader);
        cluster.store.clear_faults();
        for job in &jobs[3..5] {
            cluster.cancel(&job.id).await;
        }
        cluster.wait_until_done(&jobs[5].id, 200.0).await;
    });
}

#[test]
fn a_cancellation_whose_commit_has_no_answer_is_told_to_nobody() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 4);
        cluster.submit(&job, 25.0).await;
        sleep_s(5.0).await;
        cluster.store.set_faults(|request| {
            let ends = request.path() == PATH_TXN
                && String::from_utf8_lossy(&request.body).contains("aborted");
            if ends {
                Fault::Drop
            } else {
                Fault::None
            }
        });
        let other = cluster.other_controllers(cluster.leader())[0];
        let path = format!("{PATH_JOBS}/{}/{PATH_CANCEL}", job.id);
        let (status, _) = cluster.request(other, "POST", &path, b"").await.expect("an answer");
        assert_eq!(status, 503);
        sleep_s(3.0).await;
        assert_eq!(cluster.history.running_tasks(&job.id), 4, "nothing was stopped for it");
        cluster.store.clear_faults();
        cluster.wait_until_done(&job.id, 60.0).await;
        assert_eq!(cluster.history.total_starts(), 4);
    });
}

/// Speaks to the peer port of a controller as another one would.
async fn send_to_peer_port(cluster: &Cluster, controller: usize, bytes: &[u8]) -> Option<Frame> {
    let addr = SocketAddr::from(([10, 0, 0, controller as u8 + 1], 8081));
    let host: Rc<dyn corkfield_http::Network> = cluster.net.host("unknown");
    let mut stream = host.connect(addr).await.ok()?;
    stream.write_all(bytes).await.ok()?;
    let answer = async {
        let length = stream.read_u32_le().await.ok()?;
        let mut bytes = vec![0; length as usize];
        stream.read_exact(&mut bytes).await.ok()?;
        Frame::decode(&bytes).ok()
    };
    tokio::time::timeout(std::time::Duration::from_secs(2), answer).await.ok()?
}

#[test]
fn notices_that_are_wrong_or_nonsense_change_no_answer_and_no_job_is_lost_by_them() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 6);
        cluster.submit(&job, 6.0).await;
        sleep_s(4.0).await;
        let leader = cluster.leader();
        for nonsense in [&[1, 0, 0, 0, 9][..], &[3, 0, 0, 0, 2, 200, 1], &[255; 64], &[0; 4]] {
            assert_eq!(send_to_peer_port(&cluster, leader, nonsense).await, None);
        }
        let odd = ["", "nonsense", "j-424242", "c/planner"].map(str::to_owned).to_vec();
        let frame = Frame::Cancelled { jobs: odd.clone() };
        let answer = send_to_peer_port(&cluster, leader, &frame.encode()).await;
        assert_eq!(answer, Some(Frame::Acknowledged { jobs: odd }));
        assert_eq!(cluster.history.running_tasks(&job.id), 6, "nothing came of it");
        // A notification of a job that the store has as unfinished: a fault elsewhere. It is run again.
        let frame = Frame::Cancelled { jobs: vec![job.id.to_string()] };
        for controller in 0..CONTROLLERS.len() {
            assert!(send_to_peer_port(&cluster, controller, &frame.encode()).await.is_some());
            assert_ne!(
                cluster.request_about_job(controller, &job.id, None).await,
                Some(JobStatus::Cancelled)
            );
        }
        let unknown = cluster.request(leader, "GET", "/submissions/j-424242", b"").await;
        assert_eq!(unknown.map(|(status, _)| status), Some(404));
        cluster.wait_until_done(&job.id, 60.0).await;
    });
}

#[test]
fn a_cancellation_that_comes_before_the_claims_answer_is_kept() {
    // Learnt from a notification while the store refuses the leader, or read while it has no peers.
    for refused in [true, false] {
        scenario(2, |cluster| async move {
            let claims = |request: &corkfield_http::Request| {
                let body = String::from_utf8_lossy(&request.body);
                request.path() == PATH_TXN && body.contains("\"owner\":\"n")
            };
            cluster.store.set_faults(move |request| {
                if claims(request) {
                    Fault::DelayAnswer(0.6)
                } else {
                    Fault::None
                }
            });
            let leader = cluster.leader();
            let other = cluster.other_controllers(leader)[0];
            for number in 1..6 {
                let job = job_spec(number, 4);
                cluster.submit(&job, 30.0).await;
                sleep_s(0.2).await;
                if refused {
                    cluster.store_refuses[leader].set(true);
                } else {
                    cluster.cut_from_peers(leader);
                }
                cluster.cancel_through(other, &job.id).await;
                sleep_s(2.5).await;
                assert_eq!(cluster.history.running_tasks(&job.id), 0);
                cluster.store_refuses[leader].set(false);
                cluster.heal_to_peers(leader);
                sleep_s(1.0).await;
            }
            assert_eq!(cluster.history.starts_after_cancellation(), 0);
        });
    }
}

#[test]
fn stops_that_are_held_up_on_the_way_are_repeated_until_the_tasks_are_gone() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 8);
        cluster.submit(&job, 300.0).await;
        sleep_s(5.0).await;
        let leader = cluster.leader();
        let worker = cluster.worker_of(&task_id(&job, 0));
        // Direct orders to it are lost with the connection; its reports go by another controller.
        let name = worker.settings.name.clone();
        cluster.net.cut(CONTROLLERS[leader], &name);
        sleep_s(1.0).await;
        cluster.cancel_through(cluster.other_controllers(leader)[0], &job.id).await;
        sleep_s(LEASE_S + 2.0).await;
        assert_eq!(
            cluster.history.running_tasks(&job.id),
            0,
            "{PATH_COMMANDS} is not the only way"
        );
        cluster.net.heal(CONTROLLERS[leader], &name);
        sleep_s(5.0).await;
    });
}
