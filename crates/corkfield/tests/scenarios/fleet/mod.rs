//! A fleet of 1,700 machines. Bounds are counts, so that they hold on any machine.

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

/// Requests to the state service and changes in them, calls of the cloud, machines and tasks
/// looked at in placement passes.
#[derive(Debug, Clone, Copy)]
struct LoadCounts {
    requests: u32,
    changes: u32,
    calls: u32,
    steps: u64,
}

struct LoadCounter {
    cluster: Rc<Cluster>,
    store_load: StoreLoad,
}

impl LoadCounter {
    fn new(cluster: &Rc<Cluster>) -> Self {
        Self { cluster: cluster.clone(), store_load: StoreLoad::start_counting(&cluster.store) }
    }

    /// Counts since the last call; steps since the leader took over.
    async fn take(&self) -> LoadCounts {
        let view = self.cluster.overview(self.cluster.leader()).await;
        LoadCounts {
            requests: self.store_load.take_requests(),
            changes: self.store_load.take_changes(),
            calls: self.cluster.cloud.requests.take(),
            steps: view["planning"]["steps"].as_u64().expect("it is the leader"),
        }
    }
}

/// Waits until so many tasks were started.
async fn wait_until_started(cluster: &Cluster, starts: u32, limit_s: f64) {
    let began = tokio::time::Instant::now();
    while cluster.history.total_starts() < starts {
        sleep_s(0.5).await;
        let waited = began.elapsed().as_secs_f64();
        assert!(waited < limit_s, "{} of {starts} starts", cluster.history.total_starts());
    }
}

#[test]
fn a_fleet_comes_up_fails_over_and_loses_a_third_of_its_machines_within_its_limits() {
    scenario_with_limits(LIMITS, 16, |cluster| async move {
        cluster.cloud.capacity.set(MACHINES);
        let counter = LoadCounter::new(&cluster);
        let jobs: Vec<_> =
            (1..=6).map(|number| JobSpec { estimate_s: 20.0, ..job_spec(number, 3000) }).collect();
        for job in &jobs {
            cluster.submit(job, 20.0).await;
        }
        wait_until_started(&cluster, 12_000, 30.0).await;
        // 34 rentals, a record for each machine, a write for each job's next first starts.
        let ramp = counter.take().await;
        assert!(ramp.calls < 120 && ramp.requests < 500 && ramp.changes < 2500, "{ramp:?}");
        assert!(ramp.steps < 400_000, "{ramp:?}");
        // A part of the machines is silent when the leader is replaced.
        let spot = cluster.cloud.workers().into_iter().filter(|worker| worker.settings.spot);
        let hung: Vec<_> = spot.step_by(6).collect();
        hung.iter().for_each(|worker| worker.set_hung(true));
        let before = cluster.history.total_starts();
        cluster.restart_controller(cluster.leader(), 0.3).await;
        sleep_s(6.0).await;
        let taken = counter.take().await;
        assert!(taken.requests < 200 && taken.changes < 600, "{taken:?}");
        assert!(taken.steps < 300_000, "{taken:?}");
        assert!(cluster.history.total_starts() > before + 500, "the others are not waited for");
        hung.iter().for_each(|worker| worker.set_hung(false));
        sleep_s(3.0).await;
        assert!(hung.iter().all(|worker| !worker.is_dead.get()), "too many to be given up");
        // A wave without notice.
        for worker in cluster.cloud.workers().into_iter().step_by(3) {
            cluster.cloud.reclaim(worker.settings.name.as_str());
        }
        for job in &jobs {
            cluster.wait_until_done(&job.id, 100.0).await;
        }
        let wave = counter.take().await;
        assert!(wave.calls < 250 && wave.requests < 1200 && wave.changes < 4000, "{wave:?}");
        assert!(wave.steps < 1_500_000, "{wave:?}");
        // Every worker's, a share for direct orders, and few besides.
        for controller in CONTROLLERS {
            let most = cluster.net.peak_connections(controller);
            assert!(most < MACHINES + LIMITS.sockets as usize * 24 / 100, "{controller}: {most}");
        }
    });
}

#[test]
fn questions_to_silent_machines_keep_to_their_share_of_the_sockets() {
    let limits = PlatformLimits { sockets: 300, ..LIMITS };
    scenario_with_limits(limits, 190, |cluster| async move {
        let job = job_spec(1, 1500);
        cluster.submit(&job, 30.0).await;
        sleep_s(8.0).await;
        cluster.cloud.workers().iter().for_each(|worker| worker.set_hung(true));
        let old = cluster.leader();
        cluster.kill_controller(old);
        // What the controllers had open before, to workers too, depends on which led first.
        cluster.net.reset_peak_connections();
        let open_before = CONTROLLERS.map(|name| cluster.net.open_connections(name));
        sleep_s(14.0).await;
        let leader = cluster.leader();
        assert_ne!(leader, old);
        // 66 questions at a time; the store, the cloud and the other controller were open before.
        let most = cluster.net.peak_connections(CONTROLLERS[leader]) - open_before[leader];
        assert!(most < 75, "{most}");
    });
}

#[test]
fn workers_that_outnumber_the_sockets_keep_their_leases() {
    // 195 of the sockets of each of the three controllers are for users and workers.
    let limits = PlatformLimits { sockets: 300, ..LIMITS };
    scenario_with_limits(limits, 750, |cluster| async move {
        let job = job_spec(1, 5000);
        cluster.submit(&job, 40.0).await;
        sleep_s(30.0).await;
        let agent_epochs = cluster.cloud.workers().iter().map(|worker| worker.agent_epoch()).max();
        assert_eq!(agent_epochs, Some(AgentEpoch::new(1)), "no lease expired");
        cluster.wait_until_done(&job.id, 60.0).await;
        assert_eq!(cluster.history.total_starts(), job.tasks, "nothing is started again");
    });
}

#[test]
fn bad_and_excessive_requests_in_a_failover_harm_neither_workers_nor_users() {
    let limits = PlatformLimits { sockets: 300, ..LIMITS };
    scenario_with_limits(limits, 60, |cluster| async move {
        let job = job_spec(1, 300);
        cluster.submit(&job, 20.0).await;
        sleep_s(6.0).await;
        cluster.restart_controller(cluster.leader(), 0.3).await;
        // Far more connections of users than their share, malformed and oversized bodies, halves.
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
            assert!(started.elapsed().as_secs_f64() < 2.0, "never held back");
        }
        cluster.wait_until_done(&job.id, 60.0).await;
        assert_eq!(cluster.history.total_starts(), 300, "no worker lost its lease");
        drop(open_streams);
    });
}
