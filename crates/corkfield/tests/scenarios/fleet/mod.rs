//! A fleet of 1,700 machines. The bounds are counts, so that they hold on a test machine of any
//! speed.

mod large;

use crate::cluster::{
    job_spec, scenario_with_limits, sleep_s, Cluster, PlatformLimits, StoreLoad, CONTROLLERS,
};
use corkfield_http::Network;
use corkfield_wire::user::PATH_JOBS;
use corkfield_wire::{AgentEpoch, JobSpec};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;

const MACHINES: usize = 1700;
const LIMITS: PlatformLimits =
    PlatformLimits { state_rps: 500.0, write_rps: 200.0, cloud_rps: 12.0, sockets: 3900 };

/// Counts of requests to the state service, changes in these requests, requests to the cloud, and
/// machines and tasks examined in placement passes.
#[derive(Debug, Clone, Copy)]
struct LoadCounts {
    store_requests: u32,
    changes: u32,
    cloud_requests: u32,
    steps: u64,
}

/// Counts the load of a cluster on the state service, the cloud and the leader.
struct LoadCounter {
    cluster: Rc<Cluster>,
    store_load: StoreLoad,
}

impl LoadCounter {
    fn new(cluster: &Rc<Cluster>) -> Self {
        Self { cluster: cluster.clone(), store_load: StoreLoad::start_counting(&cluster.store) }
    }

    /// Returns the counts since the last call; `steps` is counted since the leader took over.
    async fn take_counts(&self) -> LoadCounts {
        let view = self.cluster.overview(self.cluster.leader()).await;
        LoadCounts {
            store_requests: self.store_load.take_requests(),
            changes: self.store_load.take_changes(),
            cloud_requests: self.cluster.cloud.requests.take(),
            steps: view["planning"]["steps"].as_u64().expect("it is the leader"),
        }
    }
}

/// Waits until `starts` tasks were started.
async fn wait_until_started(cluster: &Cluster, starts: u32, timeout_s: f64) {
    let started = tokio::time::Instant::now();
    while cluster.history.total_starts() < starts {
        sleep_s(0.5).await;
        let waited = started.elapsed().as_secs_f64();
        assert!(waited < timeout_s, "{} of {starts} starts", cluster.history.total_starts());
    }
}

#[test]
fn a_fleet_stays_within_its_limits_during_boot_failover_and_loss_of_a_third_of_its_machines() {
    scenario_with_limits(LIMITS, 16, |cluster| async move {
        cluster.cloud.capacity.set(MACHINES);
        let counter = LoadCounter::new(&cluster);
        let jobs: Vec<_> =
            (1..=6).map(|number| JobSpec { estimate_s: 20.0, ..job_spec(number, 3000) }).collect();
        for job in &jobs {
            cluster.submit(job, 20.0).await;
        }
        wait_until_started(&cluster, 12_000, 30.0).await;
        // The bounds cover 34 rentals, a record for each machine, and a write for each raise of a
        // job's start watermark.
        let boot_load = counter.take_counts().await;
        assert!(
            boot_load.cloud_requests < 120
                && boot_load.store_requests < 500
                && boot_load.changes < 2500,
            "{boot_load:?}"
        );
        assert!(boot_load.steps < 400_000, "{boot_load:?}");
        // A sixth of the spot machines hangs when the leader is replaced.
        let spot = cluster.cloud.workers().into_iter().filter(|worker| worker.settings.spot);
        let hung: Vec<_> = spot.step_by(6).collect();
        hung.iter().for_each(|worker| worker.set_hung(true));
        let starts_before = cluster.history.total_starts();
        cluster.restart_controller(cluster.leader(), 0.3).await;
        sleep_s(6.0).await;
        let failover_load = counter.take_counts().await;
        assert!(
            failover_load.store_requests < 200 && failover_load.changes < 600,
            "{failover_load:?}"
        );
        assert!(failover_load.steps < 300_000, "{failover_load:?}");
        assert!(
            cluster.history.total_starts() > starts_before + 500,
            "tasks start on the other machines during the failover"
        );
        hung.iter().for_each(|worker| worker.set_hung(false));
        sleep_s(3.0).await;
        assert!(hung.iter().all(|worker| !worker.is_dead.get()), "no hung machine was returned");
        // A third of the machines is reclaimed without notice.
        for worker in cluster.cloud.workers().into_iter().step_by(3) {
            cluster.cloud.reclaim(worker.settings.name.as_str());
        }
        for job in &jobs {
            cluster.wait_until_done(&job.id, 100.0).await;
        }
        let recovery_load = counter.take_counts().await;
        assert!(
            recovery_load.cloud_requests < 250
                && recovery_load.store_requests < 1200
                && recovery_load.changes < 4000,
            "{recovery_load:?}"
        );
        assert!(recovery_load.steps < 1_500_000, "{recovery_load:?}");
        // The bound covers one connection for each worker, the share for direct orders, and a few
        // others.
        for controller in CONTROLLERS {
            let peak = cluster.net.peak_connections(controller);
            assert!(
                peak < MACHINES + LIMITS.sockets as usize * 24 / 100,
                "{controller}: {peak} connections"
            );
        }
    });
}

#[test]
fn status_requests_to_hung_machines_stay_within_their_share_of_the_sockets() {
    let limits = PlatformLimits { sockets: 300, ..LIMITS };
    scenario_with_limits(limits, 190, |cluster| async move {
        let job = job_spec(1, 1500);
        cluster.submit(&job, 30.0).await;
        sleep_s(8.0).await;
        cluster.cloud.workers().iter().for_each(|worker| worker.set_hung(true));
        let old_leader = cluster.leader();
        cluster.kill_controller(old_leader);
        // The number of connections that a controller has open before the failover, including those
        // from workers, depends on which controller led first.
        cluster.net.reset_peak_connections();
        let open_before = CONTROLLERS.map(|name| cluster.net.open_connections(name));
        sleep_s(14.0).await;
        let leader = cluster.leader();
        assert_ne!(leader, old_leader);
        // At most 66 status requests are in flight at a time. The connections to the store, the
        // cloud and the other controller were open before.
        let opened = cluster.net.peak_connections(CONTROLLERS[leader]) - open_before[leader];
        assert!(opened < 75, "{opened} connections");
    });
}

#[test]
fn workers_that_outnumber_the_sockets_keep_their_leases() {
    // Each of the three controllers reserves 195 of its sockets for users and workers.
    let limits = PlatformLimits { sockets: 300, ..LIMITS };
    scenario_with_limits(limits, 750, |cluster| async move {
        let job = job_spec(1, 5000);
        cluster.submit(&job, 40.0).await;
        sleep_s(30.0).await;
        let agent_epochs = cluster.cloud.workers().iter().map(|worker| worker.agent_epoch()).max();
        assert_eq!(agent_epochs, Some(AgentEpoch::new(1)), "no worker lease expired");
        cluster.wait_until_done(&job.id, 60.0).await;
        assert_eq!(cluster.history.total_starts(), job.tasks, "no task was started twice");
    });
}

#[test]
fn malformed_and_excessive_requests_during_a_failover_affect_neither_workers_nor_users() {
    let limits = PlatformLimits { sockets: 300, ..LIMITS };
    scenario_with_limits(limits, 60, |cluster| async move {
        let job = job_spec(1, 300);
        cluster.submit(&job, 20.0).await;
        sleep_s(6.0).await;
        cluster.restart_controller(cluster.leader(), 0.3).await;
        // The client opens far more connections than the users' share of the sockets, and sends
        // malformed bodies, oversized bodies and incomplete requests.
        let misbehaving = cluster.net.host_network("misbehaving");
        let mut open_streams = Vec::new();
        for round in 0..260u32 {
            for controller in 0..CONTROLLERS.len() {
                let addr = SocketAddr::from(([10, 0, 0, controller as u8 + 1], 8080));
                let Ok(mut stream) = misbehaving.connect(addr).await else { continue };
                let large = format!("POST {PATH_JOBS} HTTP/1.1\r\nContent-Length: 70000\r\n\r\n");
                let bytes: &[u8] = match round % 8 {
                    0 => b"POST /submissions HTTP/1.1\r\nContent-Length: 2\r\n\r\n{x",
                    1 => large.as_bytes(),
                    2 => b"POST /submissions HTT",
                    _ => b"GET /ready HTTP/1.1\r\n\r\n",
                };
                let _ = stream.write_all(bytes).await;
                open_streams.push(stream);
            }
        }
        sleep_s(2.0).await;
        let path = format!("{PATH_JOBS}/{}", job.id);
        for controller in 0..CONTROLLERS.len() {
            let started = tokio::time::Instant::now();
            let answer =
                cluster.request(controller, "GET", &path, b"").await.map(|(status, _)| status);
            assert!(matches!(answer, Some(200 | 503)), "controller {controller}: {answer:?}");
            assert!(
                started.elapsed().as_secs_f64() < 2.0,
                "controller {controller} answers in time"
            );
        }
        cluster.wait_until_done(&job.id, 60.0).await;
        assert_eq!(cluster.history.total_starts(), 300, "no worker lease expired");
        drop(open_streams);
    });
}
