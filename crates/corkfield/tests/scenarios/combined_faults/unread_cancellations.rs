//! Cancellations that the leader can't read: the store refuses it alone, others confirm them, and
//! then the store is down for all for longer than a cancellation may take.

use crate::cluster::{
    is_job_cancellation, is_job_claim, job_spec, scenario, sleep_s, task_id, Cluster, CANCEL_S,
    CONTROLLERS, LEASE_S,
};
use corkfield_fakes::{FakeWorker, Fault};
use corkfield_wire::peer::Frame;
use corkfield_wire::user::{PATH_CANCEL, PATH_JOBS};
use corkfield_wire::worker::PATH_COMMANDS;
use corkfield_wire::JobStatus;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// A case of a cancellation that the leader can't read.
#[derive(Clone, Copy)]
struct UnreadCancellation {
    tasks: u32,
    /// The leader reaches no other controller either.
    cut_from_peers: bool,
    /// The store does not refuse the leader: the link between them is cut.
    cut_from_store: bool,
    /// A machine with a task of the job stands still, within its lease.
    hung_s: f64,
    /// From the refusal to the cancellation.
    before_s: f64,
    /// From the cancellation to the outage.
    after_s: f64,
}

const BASE_CASE: UnreadCancellation = UnreadCancellation {
    tasks: 1,
    cut_from_peers: false,
    cut_from_store: false,
    hung_s: 0.0,
    before_s: 0.4,
    after_s: 1.0,
};

/// Lets a machine hang, and go on after some seconds.
fn hang_for(worker: Rc<FakeWorker>, seconds: f64) {
    worker.set_hung(true);
    tokio::task::spawn_local(async move {
        sleep_s(seconds).await;
        worker.set_hung(false);
    });
}

/// Plays a case up to the end of the outage, and a job after it.
async fn cancel_unread(cluster: Rc<Cluster>, case: UnreadCancellation) {
    let (job, stream) = (job_spec(1, case.tasks), job_spec(2, 300));
    cluster.submit(&job, 400.0).await;
    // Starts go on all the time.
    cluster.submit(&stream, 0.7).await;
    sleep_s(5.0).await;
    let leader = cluster.leader();
    if case.cut_from_peers {
        cluster.partition_from_peers(leader);
    }
    if case.cut_from_store {
        cluster.net.partition(CONTROLLERS[leader], "state");
    } else {
        cluster.is_refused_by_store[leader].set(true);
    }
    sleep_s(case.before_s).await;
    if case.hung_s > 0.0 {
        hang_for(cluster.worker_of(&task_id(&job, 0)), case.hung_s);
    }
    let (other, confirmed) = (cluster.other_controllers(leader)[0], tokio::time::Instant::now());
    for id in [&job.id, &stream.id] {
        cluster.cancel_at(other, id).await;
    }
    sleep_s(case.after_s).await;
    cluster.store.set_down(true);
    if !case.cut_from_peers && case.hung_s == 0.0 {
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
    cluster.is_refused_by_store[leader].set(false);
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
fn a_cancellation_is_carried_out_in_time_though_the_leader_never_reads_it() {
    for cut_from_peers in [false, true] {
        for cut_from_store in [false, true] {
            for (tasks, before_s, after_s) in [(1, 0.4, 1.0), (2, 0.0, 0.2), (2, 3.0, 3.0)] {
                let case = UnreadCancellation {
                    tasks,
                    cut_from_peers,
                    cut_from_store,
                    before_s,
                    after_s,
                    ..BASE_CASE
                };
                scenario(3, |cluster| cancel_unread(cluster, case));
            }
        }
    }
}

#[test]
fn a_hung_machine_drops_cancelled_tasks_when_it_goes_on_though_the_leader_never_reads_of_them() {
    for cut_from_peers in [false, true] {
        for hung_s in [3.0, LEASE_S - 2.5, LEASE_S + 4.0] {
            let case = UnreadCancellation { tasks: 2, cut_from_peers, hung_s, ..BASE_CASE };
            scenario(3, |cluster| cancel_unread(cluster, case));
        }
    }
}

#[test]
fn closing_a_cancelled_job_waits_for_no_claim_and_no_read() {
    scenario(3, |cluster| async move {
        // One claim takes four. That of the last reads its finished tasks, which never succeeds.
        let jobs: Vec<_> =
            (1..=6).map(|number| job_spec(number, if number < 6 { 2 } else { 2000 })).collect();
        for job in &jobs {
            cluster.submit(job, if job.tasks == 2 { 200.0 } else { 1.0 }).await;
        }
        sleep_s(9.0).await;
        cluster.store.set_fault_where(Fault::Drop, |request| request.target.contains("prefix=d/"));
        let leader = cluster.leader();
        cluster.restart_controller(leader, 0.2).await;
        sleep_s(12.0).await;
        // Only its reads of the store tell it.
        let leader = cluster.leader();
        cluster.partition_from_peers(leader);
        for to_cancel in &jobs[..3] {
            assert_eq!(cluster.history.running_tasks(&to_cancel.id), 2);
            cluster.cancel_at(cluster.other_controllers(leader)[0], &to_cancel.id).await;
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
fn a_cancellation_whose_commit_has_no_answer_is_announced_to_nobody() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 4);
        cluster.submit(&job, 25.0).await;
        sleep_s(5.0).await;
        cluster.store.set_fault_where(Fault::Drop, is_job_cancellation);
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
    let host: Rc<dyn corkfield_http::Network> = cluster.net.host_network("unknown");
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
fn wrong_or_malformed_notifications_change_no_answer_and_lose_no_job() {
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
            cluster.store.set_fault_where(Fault::DelayAnswer(0.6), is_job_claim);
            let leader = cluster.leader();
            let other = cluster.other_controllers(leader)[0];
            for number in 1..6 {
                let job = job_spec(number, 4);
                cluster.submit(&job, 30.0).await;
                sleep_s(0.2).await;
                if refused {
                    cluster.is_refused_by_store[leader].set(true);
                } else {
                    cluster.partition_from_peers(leader);
                }
                cluster.cancel_at(other, &job.id).await;
                sleep_s(2.5).await;
                assert_eq!(cluster.history.running_tasks(&job.id), 0);
                cluster.is_refused_by_store[leader].set(false);
                cluster.heal_to_peers(leader);
                sleep_s(1.0).await;
            }
            assert_eq!(cluster.history.starts_after_cancellation(), 0);
        });
    }
}

#[test]
fn delayed_stops_are_repeated_until_the_tasks_are_gone() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 8);
        cluster.submit(&job, 300.0).await;
        sleep_s(5.0).await;
        let leader = cluster.leader();
        let worker = cluster.worker_of(&task_id(&job, 0));
        // Direct orders to it are lost with the connection; its heartbeats go by another controller.
        let name = worker.settings.name.to_string();
        cluster.net.partition(CONTROLLERS[leader], &name);
        sleep_s(1.0).await;
        cluster.cancel_at(cluster.other_controllers(leader)[0], &job.id).await;
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
