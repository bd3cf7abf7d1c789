//! Cancellations that the leader can't read from the store: the store refuses only the leader,
//! another controller confirms the cancellation, and then the store is down for all controllers for
//! longer than the cancellation limit.

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

/// A case in which the leader can't read a cancellation.
#[derive(Clone, Copy)]
struct UnreadCancellation {
    tasks: u32,
    /// Whether the leader is also cut off from the other controllers.
    is_cut_from_peers: bool,
    /// Whether the link between leader and store is cut, instead of the store refusing the leader.
    is_cut_from_store: bool,
    /// Time in seconds for which a machine with a task of the job hangs; 0: no machine hangs.
    hung_s: f64,
    /// Seconds from the loss of the store to the cancellation.
    cancel_after_s: f64,
    /// Seconds from the cancellation to the outage.
    outage_after_s: f64,
}

const BASE_CASE: UnreadCancellation = UnreadCancellation {
    tasks: 1,
    is_cut_from_peers: false,
    is_cut_from_store: false,
    hung_s: 0.0,
    cancel_after_s: 0.4,
    outage_after_s: 1.0,
};

/// Hangs a worker's machine, which resumes after some seconds.
fn hang_for(worker: Rc<FakeWorker>, seconds: f64) {
    worker.set_hung(true);
    tokio::task::spawn_local(async move {
        sleep_s(seconds).await;
        worker.set_hung(false);
    });
}

/// Runs a case up to the end of the outage, and then a new job.
async fn run_unread_cancellation(cluster: Rc<Cluster>, case: UnreadCancellation) {
    let (job, stream) = (job_spec(1, case.tasks), job_spec(2, 300));
    cluster.submit(&job, 400.0).await;
    // Short tasks, so that the leader orders starts all the time.
    cluster.submit(&stream, 0.7).await;
    sleep_s(5.0).await;
    let leader = cluster.leader();
    if case.is_cut_from_peers {
        cluster.partition_from_peers(leader);
    }
    if case.is_cut_from_store {
        cluster.net.partition(CONTROLLERS[leader], "state");
    } else {
        cluster.is_refused_by_store[leader].set(true);
    }
    sleep_s(case.cancel_after_s).await;
    if case.hung_s > 0.0 {
        hang_for(cluster.worker_of(&task_id(&job, 0)), case.hung_s);
    }
    let (other, confirmed_at) = (cluster.other_controllers(leader)[0], tokio::time::Instant::now());
    for id in [&job.id, &stream.id] {
        cluster.cancel_at(other, id).await;
    }
    sleep_s(case.outage_after_s).await;
    cluster.store.set_down(true);
    if !case.is_cut_from_peers && case.hung_s == 0.0 {
        sleep_s(4.0).await;
        assert_eq!(
            cluster.history.running_tasks(&job.id),
            0,
            "the leader learned of the cancellation from another controller"
        );
        assert_eq!(
            cluster.history.starts_after_cancellation(),
            0,
            "the leader started no further task"
        );
    }
    sleep_s(CANCEL_S - confirmed_at.elapsed().as_secs_f64() - 0.1).await;
    for job in [&job, &stream] {
        assert_eq!(
            cluster.history.running_tasks(&job.id),
            0,
            "S6 holds while no controller reaches the store"
        );
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
fn a_cancellation_that_the_leader_cannot_read_stops_the_job_within_the_limit() {
    for is_cut_from_peers in [false, true] {
        for is_cut_from_store in [false, true] {
            for (tasks, cancel_after_s, outage_after_s) in
                [(1, 0.4, 1.0), (2, 0.0, 0.2), (2, 3.0, 3.0)]
            {
                let case = UnreadCancellation {
                    tasks,
                    is_cut_from_peers,
                    is_cut_from_store,
                    cancel_after_s,
                    outage_after_s,
                    ..BASE_CASE
                };
                scenario(3, |cluster| run_unread_cancellation(cluster, case));
            }
        }
    }
}

#[test]
fn a_machine_that_hung_stops_tasks_whose_cancellation_the_leader_cannot_read() {
    for is_cut_from_peers in [false, true] {
        for hung_s in [3.0, LEASE_S - 2.5, LEASE_S + 4.0] {
            let case = UnreadCancellation { tasks: 2, is_cut_from_peers, hung_s, ..BASE_CASE };
            scenario(3, |cluster| run_unread_cancellation(cluster, case));
        }
    }
}

#[test]
fn closing_a_cancelled_job_does_not_wait_for_claims_or_reads() {
    scenario(3, |cluster| async move {
        // One claim transaction covers four jobs. The claim of the last job reads the job's
        // finished tasks, and these reads are dropped.
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
        // The leader learns of cancellations only from its reads of the store.
        let leader = cluster.leader();
        cluster.partition_from_peers(leader);
        for to_cancel in &jobs[..3] {
            assert_eq!(cluster.history.running_tasks(&to_cancel.id), 2);
            cluster.cancel_at(cluster.other_controllers(leader)[0], &to_cancel.id).await;
            sleep_s(3.0).await;
            assert_eq!(cluster.history.running_tasks(&to_cancel.id), 0);
        }
        // Other claims do not wait either.
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
fn a_cancellation_whose_commit_has_no_answer_stops_no_task() {
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
        assert_eq!(cluster.history.running_tasks(&job.id), 4, "no task was stopped");
        cluster.store.clear_faults();
        cluster.wait_until_done(&job.id, 60.0).await;
        assert_eq!(cluster.history.total_starts(), 4);
    });
}

/// Sends bytes to the peer port of a controller, as another controller does. Returns the frame that
/// the controller answers, or `None` without an answer within 2 s.
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
        for malformed in [&[1, 0, 0, 0, 9][..], &[3, 0, 0, 0, 2, 200, 1], &[255; 64], &[0; 4]] {
            assert_eq!(send_to_peer_port(&cluster, leader, malformed).await, None);
        }
        let unknown_ids = ["", "nonsense", "j-424242", "c/planner"].map(str::to_owned).to_vec();
        let frame = Frame::Cancelled { jobs: unknown_ids.clone() };
        let answer = send_to_peer_port(&cluster, leader, &frame.encode()).await;
        assert_eq!(answer, Some(Frame::Acknowledged { jobs: unknown_ids }));
        assert_eq!(cluster.history.running_tasks(&job.id), 6, "no task was stopped");
        // A wrong notification, for a job that is unfinished in the store. The job runs again.
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
fn a_cancellation_that_arrives_before_the_answer_to_the_claim_is_kept() {
    // The leader learns of the cancellation from a notification while the store refuses the leader,
    // or from the store while the leader is cut off from the other controllers.
    for is_refused_by_store in [true, false] {
        scenario(2, |cluster| async move {
            cluster.store.set_fault_where(Fault::DelayAnswer(0.6), is_job_claim);
            let leader = cluster.leader();
            let other = cluster.other_controllers(leader)[0];
            for number in 1..6 {
                let job = job_spec(number, 4);
                cluster.submit(&job, 30.0).await;
                sleep_s(0.2).await;
                if is_refused_by_store {
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
fn cancelled_tasks_stop_when_direct_orders_to_their_machine_are_lost() {
    scenario(2, |cluster| async move {
        let job = job_spec(1, 8);
        cluster.submit(&job, 300.0).await;
        sleep_s(5.0).await;
        let leader = cluster.leader();
        let worker = cluster.worker_of(&task_id(&job, 0));
        // Direct orders to the worker are lost with the connection. Another controller relays the
        // worker's heartbeats.
        let name = worker.settings.name.to_string();
        cluster.net.partition(CONTROLLERS[leader], &name);
        sleep_s(1.0).await;
        cluster.cancel_at(cluster.other_controllers(leader)[0], &job.id).await;
        sleep_s(LEASE_S + 2.0).await;
        assert_eq!(
            cluster.history.running_tasks(&job.id),
            0,
            "stop orders reach the worker without {PATH_COMMANDS}"
        );
        cluster.net.heal(CONTROLLERS[leader], &name);
        sleep_s(5.0).await;
    });
}
