//! Heartbeats of a worker's previous process that are delivered after its restart, while the new
//! process has a started task that no heartbeat has reported yet.

use crate::cluster::{job_spec, scenario, sleep_s, Cluster, CONTROLLERS};
use corkfield_fakes::FakeWorker;
use corkfield_wire::worker::{WorkerHeartbeat, PATH_HEARTBEAT};
use corkfield_wire::{AgentEpoch, JobSpec, Term};
use std::rc::Rc;
use std::time::Duration;

/// The interval at which a scenario checks a condition that it waits for, in seconds.
const POLL_INTERVAL_S: f64 = 0.01;
/// The maximum number of checks of a condition.
const MAX_POLLS: u32 = 4000;
/// The CPUs of each machine.
const MACHINE_CPUS: u32 = 8;
/// The amount by which the delayed heartbeat's sequence number is raised, so that it exceeds every
/// number that the worker has used.
const SEQUENCE_INCREASE: u64 = 10;
/// The time until the machine's termination in the delayed heartbeat, in seconds.
const NOTICE_S: f64 = 60.0;
/// The time for which a worker's heartbeats are held back before its restart, in seconds. This is
/// shorter than a lease.
const HOLD_S: f64 = 7.0;

/// The route on which the delayed heartbeat reaches the leader.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Route {
    /// The worker sent the heartbeat to the leader.
    Direct,
    /// The worker sent the heartbeat to another controller, which relays it.
    Relayed,
}

/// The time at which the leader is killed.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Failover {
    /// The leader is not killed.
    None,
    /// Just before the delayed heartbeat arrives at the leader's successor.
    Before,
    /// Just after the delayed heartbeat has arrived.
    After,
}

/// Waits until a condition holds.
async fn wait_until(description: &str, is_fulfilled: impl Fn() -> bool) {
    for _ in 0..MAX_POLLS {
        if is_fulfilled() {
            return;
        }
        sleep_s(POLL_INTERVAL_S).await;
    }
    panic!("{description}: not within {} s", f64::from(MAX_POLLS) * POLL_INTERVAL_S);
}

/// Adds a machine whose worker has learned the term of the leader from a reply and whose heartbeats
/// are held back since then.
async fn add_machine_with_held_heartbeats(cluster: &Cluster) -> Rc<FakeWorker> {
    let name = cluster.cloud.add_machine("z1", false, 0.5);
    wait_until("the machine has booted", || cluster.cloud.worker(name.as_str()).is_some()).await;
    let worker = cluster.cloud.worker(name.as_str()).expect("the machine has booted");
    wait_until("the worker knows the term", || worker.term() != Term::default()).await;
    worker.is_holding_heartbeats.set(true);
    sleep_s(HOLD_S).await;
    worker
}

/// Restarts the worker while a job is queued; returns the job once the worker has tasks that no
/// heartbeat has reported.
async fn restart_with_unreported_start(cluster: &Cluster, worker: &FakeWorker) -> JobSpec {
    let job = job_spec(1, 2 * MACHINE_CPUS);
    cluster.submit(&job, 20.0).await;
    worker.restart();
    worker.is_holding_heartbeats.set(false);
    wait_until("the worker has accepted the start", || worker.has_tasks()).await;
    job
}

/// Returns the newest heartbeat of the previous process, in `agent_epoch` and with a sequence
/// number above all others. The heartbeat has an interruption notice, so that the leader starts tasks
/// that it considers lost on other machines.
fn delayed_heartbeat(held_heartbeats: &[Vec<u8>], agent_epoch: AgentEpoch) -> WorkerHeartbeat {
    let newest = held_heartbeats.last().expect("the worker sent heartbeats");
    let newest: WorkerHeartbeat = serde_json::from_slice(newest).expect("a heartbeat");
    assert!(newest.tasks.is_empty() && newest.term != Term::default());
    let (sequence, interruption_notice_s) = (newest.sequence + SEQUENCE_INCREASE, Some(NOTICE_S));
    WorkerHeartbeat { sequence, agent_epoch, interruption_notice_s, ..newest }
}

async fn deliver_heartbeat(cluster: &Cluster, heartbeat: &WorkerHeartbeat, route: Route) {
    let body = serde_json::to_vec(heartbeat).expect("serializable");
    let leader = cluster.leader();
    let standby = (leader + 1) % CONTROLLERS.len();
    // The heartbeat is sent to the standby twice: a standby relays the heartbeat of a worker that
    // returns to the standby, because the worker apparently cannot reach the leader.
    let controllers = if route == Route::Direct { vec![leader] } else { vec![standby, standby] };
    for controller in controllers {
        cluster.request(controller, "POST", PATH_HEARTBEAT, &body).await;
    }
}

async fn replace_leader(cluster: &Cluster) {
    let previous = cluster.leader();
    cluster.kill_controller(previous);
    wait_until("another controller leads", || cluster.leader() != previous).await;
    cluster.start_controller(previous);
}

/// Delivers a heartbeat of the previous process after the worker's restart; the job must complete
/// without running twice.
async fn deliver_after_restart(
    cluster: &Cluster,
    route: Route,
    agent_epoch: u64,
    failover: Failover,
    fetch_s: f64,
) {
    let worker = add_machine_with_held_heartbeats(cluster).await;
    let held_heartbeats = worker.sent_heartbeats();
    worker.image_fetch_duration.set(Duration::from_secs_f64(fetch_s));
    let job = restart_with_unreported_start(cluster, &worker).await;
    let delayed = delayed_heartbeat(&held_heartbeats, AgentEpoch::new(agent_epoch));
    if failover == Failover::Before {
        replace_leader(cluster).await;
    }
    deliver_heartbeat(cluster, &delayed, route).await;
    if failover == Failover::After {
        replace_leader(cluster).await;
    }
    cluster.wait_until_done(&job.id, 120.0).await;
}

/// Guards against a task that runs on two machines. A delayed heartbeat of the previous process
/// does not report a task that the new process is fetching or running; the leader considered
/// the task lost and started it on another machine.
#[test]
fn a_delayed_heartbeat_with_a_higher_sequence_number_starts_no_task_twice() {
    for route in [Route::Direct, Route::Relayed] {
        for fetch_s in [0.2, 6.0] {
            scenario(2, |cluster| async move {
                deliver_after_restart(&cluster, route, 1, Failover::None, fetch_s).await;
            });
        }
    }
}

/// Guards against a task that runs on two machines, for a delayed heartbeat whose process was in a
/// later agent epoch than the new process.
#[test]
fn a_delayed_heartbeat_of_a_later_agent_epoch_starts_no_task_twice() {
    for route in [Route::Direct, Route::Relayed] {
        for fetch_s in [0.2, 6.0] {
            scenario(2, |cluster| async move {
                deliver_after_restart(&cluster, route, 2, Failover::None, fetch_s).await;
            });
        }
    }
}

/// Guards against a task that runs on two machines, for a delayed heartbeat that arrives just
/// before or just after a failover.
#[test]
fn a_delayed_heartbeat_around_a_failover_starts_no_task_twice() {
    for failover in [Failover::Before, Failover::After] {
        for agent_epoch in [1, 2] {
            scenario(2, |cluster| async move {
                deliver_after_restart(&cluster, Route::Direct, agent_epoch, failover, 6.0).await;
            });
        }
    }
}
