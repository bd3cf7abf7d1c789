//! Heartbeats of a worker's former process that are held back until after its restart, and meet a
//! start that no heartbeat has shown yet.

use crate::cluster::{job_spec, scenario, sleep_s, Cluster, CONTROLLERS};
use corkfield_fakes::FakeWorker;
use corkfield_wire::worker::{WorkerHeartbeat, PATH_HEARTBEAT};
use corkfield_wire::{AgentEpoch, JobSpec, Term};
use std::rc::Rc;
use std::time::Duration;

/// How often a scenario looks whether what it waits for has come, in seconds.
const POLL_S: f64 = 0.01;
/// So often at the most.
const POLLS: u32 = 4000;
/// CPUs of each machine.
const MACHINE_CPUS: u32 = 8;
/// Above all numbers that the worker has used.
const HIGHER_BY: u64 = 10;
/// Until the machine is taken, as its former process said.
const NOTICE_S: f64 = 60.0;
/// How long a worker's heartbeats are held back before its restart: less than a lease.
const HELD_BACK_S: f64 = 7.0;

/// How the heartbeat that was held back reaches the leader.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Way {
    /// The worker sent it to the leader.
    Direct,
    /// The worker sent it to another controller, which relays it.
    Relayed,
}

/// When the leader ends.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Failover {
    None,
    /// Just before the heartbeat arrives, at its successor.
    Before,
    /// Just after it.
    After,
}

/// Waits until something has come about.
async fn until(what: &str, has_come: impl Fn() -> bool) {
    for _ in 0..POLLS {
        if has_come() {
            return;
        }
        sleep_s(POLL_S).await;
    }
    panic!("{what}: not within {} s", f64::from(POLLS) * POLL_S);
}

/// A machine that is new: it has our term from one answer, and its heartbeats since are held back.
async fn new_machine_with_held_heartbeats(cluster: &Cluster) -> Rc<FakeWorker> {
    let name = cluster.cloud.add_machine("z1", false, 0.5);
    until("the machine is up", || cluster.cloud.worker(name.as_str()).is_some()).await;
    let worker = cluster.cloud.worker(name.as_str()).expect("it is up");
    until("it knows our term", || worker.term() != Term::default()).await;
    worker.is_holding_heartbeats.set(true);
    sleep_s(HELD_BACK_S).await;
    worker
}

/// Restarts the worker while a job waits for it, and returns once it holds tasks that no heartbeat
/// has shown.
async fn restart_into_unshown_start(cluster: &Cluster, worker: &FakeWorker) -> JobSpec {
    let job = job_spec(1, 2 * MACHINE_CPUS);
    cluster.submit(&job, 20.0).await;
    worker.restart();
    worker.is_holding_heartbeats.set(false);
    until("the start was taken", || worker.has_tasks()).await;
    job
}

/// The newest heartbeat of the former process, with a number above all, in that agent epoch. The
/// machine is about to be taken, so what counts as lost is started elsewhere.
fn newest_of_former_process(held: &[Vec<u8>], agent_epoch: AgentEpoch) -> WorkerHeartbeat {
    let newest = held.last().expect("some were held back");
    let newest: WorkerHeartbeat = serde_json::from_slice(newest).expect("a heartbeat");
    assert!(newest.tasks.is_empty() && newest.term != Term::default());
    let (sequence, notice_s) = (newest.sequence + HIGHER_BY, Some(NOTICE_S));
    WorkerHeartbeat { sequence, agent_epoch, notice_s, ..newest }
}

async fn deliver(cluster: &Cluster, heartbeat: &WorkerHeartbeat, way: Way) {
    let body = serde_json::to_vec(heartbeat).expect("serializable");
    let leader = cluster.leader();
    let standby = (leader + 1) % CONTROLLERS.len();
    // A worker that comes twice did not reach the leader: its heartbeat is relayed.
    let controllers = if way == Way::Direct { vec![leader] } else { vec![standby, standby] };
    for controller in controllers {
        cluster.request(controller, "POST", PATH_HEARTBEAT, &body).await;
    }
}

async fn end_leader(cluster: &Cluster) {
    let ended = cluster.leader();
    cluster.kill_controller(ended);
    until("another one leads", || cluster.leader() != ended).await;
    cluster.start_controller(ended);
}

async fn play(cluster: &Cluster, way: Way, agent_epoch: u64, failover: Failover, fetch_s: f64) {
    let worker = new_machine_with_held_heartbeats(cluster).await;
    let held = worker.sent_heartbeats();
    worker.image_fetch_duration.set(Duration::from_secs_f64(fetch_s));
    let job = restart_into_unshown_start(cluster, &worker).await;
    let held_back = newest_of_former_process(&held, AgentEpoch::new(agent_epoch));
    if failover == Failover::Before {
        end_leader(cluster).await;
    }
    deliver(cluster, &held_back, way).await;
    if failover == Failover::After {
        end_leader(cluster).await;
    }
    cluster.wait_until_done(&job.id, 120.0).await;
}

/// The task was placed anew while the machine fetched its image or ran it: it ran on two machines.
#[test]
fn a_held_back_heartbeat_with_a_higher_number_settles_no_start() {
    for way in [Way::Direct, Way::Relayed] {
        for fetch_s in [0.2, 6.0] {
            scenario(2, |cluster| async move {
                play(&cluster, way, 1, Failover::None, fetch_s).await;
            });
        }
    }
}

/// The same if the former process was in a later agent epoch than the present one.
#[test]
fn a_held_back_heartbeat_of_a_later_agent_epoch_settles_no_start() {
    for way in [Way::Direct, Way::Relayed] {
        for fetch_s in [0.2, 6.0] {
            scenario(2, |cluster| async move {
                play(&cluster, way, 2, Failover::None, fetch_s).await;
            });
        }
    }
}

/// The same just before and just after another leader takes over.
#[test]
fn a_held_back_heartbeat_around_a_failover_settles_no_start() {
    for failover in [Failover::Before, Failover::After] {
        for agent_epoch in [1, 2] {
            scenario(2, |cluster| async move {
                play(&cluster, Way::Direct, agent_epoch, failover, 6.0).await;
            });
        }
    }
}
