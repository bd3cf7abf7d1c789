//! Cancellations that the leader can't read: the store refuses it alone, others confirm them, and
//! then the store is down for all for longer than a cancellation may take.

use crate::cluster::{scenario, secs, spec, task, Cluster, CANCEL_S, LEASE_S, NODES};
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
    let (job, stream) = (spec(1, gap.tasks), spec(2, 300));
    cluster.submit(&job, 400.0).await;
    // Starts go on all the time.
    cluster.submit(&stream, 0.7).await;
    secs(5.0).await;
    let scheduler = cluster.planner_node();
    if gap.parted {
        cluster.part(scheduler, true);
    }
    match gap.held {
        true => cluster.net.cut(NODES[scheduler], "state"),
        false => cluster.refused[scheduler].set(true),
    }
    secs(gap.before_s).await;
    if gap.hung_s > 0.0 {
        let worker = cluster.worker_of(&task(&job, 0));
        worker.set_hung(true);
        tokio::task::spawn_local(async move {
            secs(gap.hung_s).await;
            worker.set_hung(false);
        });
    }
    let (other, confirmed) = (cluster.others(scheduler)[0], tokio::time::Instant::now());
    for id in [&job.id, &stream.id] {
        cluster.cancel_at(other, id).await;
    }
    secs(gap.after_s).await;
    cluster.store.set_down(true);
    if !gap.parted && gap.hung_s == 0.0 {
        secs(4.0).await;
        assert_eq!(cluster.history.running(&job.id), 0, "the planner heard of it by another way");
        assert_eq!(cluster.history.late_starts(), 0, "and started nothing more");
    }
    secs(CANCEL_S - confirmed.elapsed().as_secs_f64() - 0.1).await;
    for job in [&job, &stream] {
        assert_eq!(cluster.history.running(&job.id), 0, "S6 holds with nobody to be reached");
    }
    secs(20.0).await;
    cluster.store.set_down(false);
    cluster.refused[scheduler].set(false);
    cluster.net.heal(NODES[scheduler], "state");
    cluster.part(scheduler, false);
    for id in [&job.id, &stream.id] {
        assert_eq!(cluster.status(id).await, Some(JobStatus::Cancelled));
    }
    let next = spec(3, 6);
    cluster.submit(&next, 2.0).await;
    cluster.until_done(&next.id, 90.0).await;
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
            let job = spec(1, 12);
            cluster.submit(&job, 70.0).await;
            secs(5.0).await;
            let scheduler = cluster.planner_node();
            let other = cluster.others(scheduler)[0];
            cluster.store.set_down(true);
            secs(6.0).await;
            match trouble {
                Some("restart") => cluster.restart(other, 0.1).await,
                Some("gone") => cluster.kill(other),
                Some(_) => cluster.net.cut(NODES[scheduler], NODES[other]),
                None => {}
            }
            secs(50.0).await;
            let running = cluster.history.running(&job.id);
            assert_eq!(running, if trouble.is_none() { 12 } else { 0 }, "{trouble:?}");
            cluster.net.heal(NODES[scheduler], NODES[other]);
            if trouble == Some("gone") {
                cluster.start(other);
            }
            cluster.store.set_down(false);
            cluster.until_done(&job.id, 150.0).await;
            let once = (0..12).all(|n| cluster.history.started(&task(&job, n)) == 1);
            assert_eq!(once, trouble.is_none());
        });
    }
}

#[test]
fn a_leader_that_ends_around_the_end_of_an_outage_leaves_nothing_to_be_started_twice() {
    // The leader is cut off from all, or ends, at several moments around the outage's end.
    for (ends_s, cut) in [(-3.0, false), (-0.5, true), (0.0, false), (0.2, true), (1.0, true)] {
        scenario(3, |cluster| async move {
            let jobs: Vec<_> = (1..=3).map(|number| spec(number, 60)).collect();
            for job in &jobs {
                cluster.submit(job, 5.0).await;
            }
            secs(4.0).await;
            let scheduler = cluster.planner_node();
            cluster.store.set_down(true);
            secs(20.0 + f64::min(ends_s, 0.0)).await;
            let outage_ends = async {
                secs(f64::max(-ends_s, 0.0)).await;
                cluster.store.set_down(false);
            };
            let planner_ends = async {
                secs(f64::max(ends_s, 0.0)).await;
                match cut {
                    true => {
                        cluster.part(scheduler, true);
                        cluster.refused[scheduler].set(true);
                    }
                    false => cluster.restart(scheduler, 0.2).await,
                }
            };
            tokio::join!(outage_ends, planner_ends);
            secs(20.0).await;
            cluster.part(scheduler, false);
            cluster.refused[scheduler].set(false);
            for job in &jobs {
                cluster.until_done(&job.id, 150.0).await;
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
                let job = spec(1, 4);
                cluster.submit(&job, 400.0).await;
                secs(5.0).await;
                let scheduler = cluster.planner_node();
                let other = cluster.others(scheduler)[0];
                cluster.part(scheduler, true);
                cluster.refused[scheduler].set(true);
                secs(0.3).await;
                cluster.cancel_at(other, &job.id).await;
                let confirmed = tokio::time::Instant::now();
                if restarts {
                    // The next process reads the store, but not what the one before confirmed.
                    cluster.restart(other, 0.05).await;
                    secs(2.5).await;
                }
                cluster.store.set_down(true);
                cluster.refused[scheduler].set(false);
                secs(healed_s).await;
                cluster.part(scheduler, false);
                secs(CANCEL_S - confirmed.elapsed().as_secs_f64() - 0.1).await;
                assert_eq!(cluster.history.running(&job.id), 0);
                secs(20.0).await;
                cluster.store.set_down(false);
                secs(5.0).await;
                assert_eq!(cluster.status(&job.id).await, Some(JobStatus::Cancelled));
            });
        }
    }
}

#[test]
fn without_a_young_proof_nothing_is_started() {
    scenario(2, |cluster| async move {
        // Urgent, so that all of them may begin without a write of their records.
        let stream: Vec<_> =
            (1..=6).map(|n| JobSpec { priority: Priority::High, ..spec(n, 120) }).collect();
        for job in &stream {
            cluster.submit(job, 0.5).await;
        }
        secs(5.0).await;
        let scheduler = cluster.planner_node();
        cluster.part(scheduler, true);
        cluster.refused[scheduler].set(true);
        secs(1.6).await;
        let starts = cluster.history.starts_in_all();
        secs(4.0).await;
        // What was ordered by then may have been fetching.
        assert!(cluster.history.starts_in_all() <= starts + 16, "its lease goes on, but no start");
        cluster.refused[scheduler].set(false);
        cluster.part(scheduler, false);
        for job in &stream {
            cluster.until_done(&job.id, 150.0).await;
        }
    });
}

#[test]
fn closing_what_is_cancelled_waits_for_no_claim_and_no_read() {
    scenario(3, |cluster| async move {
        // One claim takes four. That of the last reads its finished tasks, which never succeeds.
        let jobs: Vec<_> = (1..=6).map(|n| spec(n, if n < 6 { 2 } else { 2000 })).collect();
        for job in &jobs {
            cluster.submit(job, if job.tasks == 2 { 200.0 } else { 1.0 }).await;
        }
        secs(9.0).await;
        cluster.store.set_faults(|request| {
            let stuck = request.target.contains("prefix=d/");
            if stuck {
                Fault::Drop
            } else {
                Fault::None
            }
        });
        let scheduler = cluster.planner_node();
        cluster.restart(scheduler, 0.2).await;
        secs(12.0).await;
        // Only its reads of the store tell it.
        let scheduler = cluster.planner_node();
        cluster.part(scheduler, true);
        for doomed in &jobs[..3] {
            assert_eq!(cluster.history.running(&doomed.id), 2);
            cluster.cancel_at(cluster.others(scheduler)[0], &doomed.id).await;
            secs(3.0).await;
            assert_eq!(cluster.history.running(&doomed.id), 0);
        }
        // Nor do other claims.
        let next = spec(7, 2);
        cluster.submit(&next, 1.0).await;
        cluster.until_done(&next.id, 20.0).await;
        cluster.part(scheduler, false);
        cluster.store.clear_faults();
        for job in &jobs[3..5] {
            cluster.cancel(&job.id).await;
        }
        cluster.until_done(&jobs[5].id, 200.0).await;
    });
}

#[test]
fn a_cancellation_whose_commit_has_no_answer_is_told_to_nobody() {
    scenario(2, |cluster| async move {
        let job = spec(1, 4);
        cluster.submit(&job, 25.0).await;
        secs(5.0).await;
        cluster.store.set_faults(|request| {
            let ends = request.path() == PATH_TXN
                && String::from_utf8_lossy(&request.body).contains("aborted");
            if ends {
                Fault::Drop
            } else {
                Fault::None
            }
        });
        let other = cluster.others(cluster.planner_node())[0];
        let path = format!("{PATH_JOBS}/{}/{PATH_CANCEL}", job.id);
        let (status, _) = cluster.ask(other, "POST", &path, b"").await.expect("an answer");
        assert_eq!(status, 503);
        secs(3.0).await;
        assert_eq!(cluster.history.running(&job.id), 4, "nothing was stopped for it");
        cluster.store.clear_faults();
        cluster.until_done(&job.id, 60.0).await;
        assert_eq!(cluster.history.starts_in_all(), 4);
    });
}

/// Speaks to the peer port of a controller as another one would.
async fn say(cluster: &Cluster, n: usize, bytes: &[u8]) -> Option<Frame> {
    let addr = SocketAddr::from(([10, 0, 0, n as u8 + 1], 8081));
    let host: Rc<dyn corkfield_http::Network> = cluster.net.host("stranger");
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
        let job = spec(1, 6);
        cluster.submit(&job, 6.0).await;
        secs(4.0).await;
        let scheduler = cluster.planner_node();
        for nonsense in [&[1, 0, 0, 0, 9][..], &[3, 0, 0, 0, 2, 200, 1], &[255; 64], &[0; 4]] {
            assert_eq!(say(&cluster, scheduler, nonsense).await, None);
        }
        let odd = ["", "nonsense", "j-424242", "c/planner"].map(str::to_owned).to_vec();
        let frame = Frame::Cancelled { jobs: odd.clone() };
        let answer = say(&cluster, scheduler, &frame.encode()).await;
        assert_eq!(answer, Some(Frame::Acknowledged { jobs: odd }));
        assert_eq!(cluster.history.running(&job.id), 6, "nothing came of it");
        // A notification of a job that the store has as unfinished: a fault elsewhere. It is run again.
        let frame = Frame::Cancelled { jobs: vec![job.id.to_string()] };
        for n in 0..NODES.len() {
            assert!(say(&cluster, n, &frame.encode()).await.is_some());
            assert_ne!(cluster.ask_about(n, &job.id, None).await, Some(JobStatus::Cancelled));
        }
        let unknown = cluster.ask(scheduler, "GET", "/submissions/j-424242", b"").await;
        assert_eq!(unknown.map(|r| r.0), Some(404));
        cluster.until_done(&job.id, 60.0).await;
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
            cluster.store.set_faults(move |request| match claims(request) {
                true => Fault::AnswerLate(0.6),
                false => Fault::None,
            });
            let scheduler = cluster.planner_node();
            let other = cluster.others(scheduler)[0];
            for number in 1..6 {
                let job = spec(number, 4);
                cluster.submit(&job, 30.0).await;
                secs(0.2).await;
                match refused {
                    true => cluster.refused[scheduler].set(true),
                    false => cluster.part(scheduler, true),
                }
                cluster.cancel_at(other, &job.id).await;
                secs(2.5).await;
                assert_eq!(cluster.history.running(&job.id), 0);
                cluster.refused[scheduler].set(false);
                cluster.part(scheduler, false);
                secs(1.0).await;
            }
            assert_eq!(cluster.history.late_starts(), 0);
        });
    }
}

#[test]
fn stops_that_are_held_up_on_the_way_are_repeated_until_the_tasks_are_gone() {
    scenario(2, |cluster| async move {
        let job = spec(1, 8);
        cluster.submit(&job, 300.0).await;
        secs(5.0).await;
        let scheduler = cluster.planner_node();
        let worker = cluster.worker_of(&task(&job, 0));
        // Direct orders to it are lost with the connection; its reports go by another controller.
        let name = worker.settings.name.clone();
        cluster.net.cut(NODES[scheduler], &name);
        secs(1.0).await;
        cluster.cancel_at(cluster.others(scheduler)[0], &job.id).await;
        secs(LEASE_S + 2.0).await;
        assert_eq!(cluster.history.running(&job.id), 0, "{PATH_COMMANDS} is not the only way");
        cluster.net.heal(NODES[scheduler], &name);
        secs(5.0).await;
    });
}
