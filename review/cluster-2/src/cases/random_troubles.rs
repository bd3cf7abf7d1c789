//! Random troubles on small deployments, to look for broken rules: `SEED=7` chooses them. This is no
//! case of the review. The troubles are those that the users' pages name; a run lasts 106 s, and the
//! last 44 s are free of new troubles.

use super::{wait_beside_room_for, Outcome};
use crate::cluster::{Cluster, Plan};
use crate::http1::exchange;
use crate::proxy::Mode;
use crate::record::Record;
use crate::user::User;
use crate::world::{Job, World};
use corkfield_fakes::Fault;
use serde_json::json;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// A generator of random numbers (xorshift).
#[derive(Clone)]
struct Random(Rc<Cell<u64>>);

impl Random {
    fn next(&self) -> u64 {
        let mut x = self.0.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.0.set(x);
        x.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 11
    }
    fn below(&self, n: u64) -> u64 {
        self.next() % n
    }
    fn between(&self, low: f64, high: f64) -> f64 {
        low + (high - low) * (self.next() % 100_000) as f64 / 100_000.0
    }
    fn chance(&self, share: f64) -> bool {
        self.between(0.0, 1.0) < share
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Asks one controller for a job, on a connection of its own.
async fn look(world: Rc<World>, addr: SocketAddr, id: String) {
    let sent_at = Instant::now();
    let asking = async {
        let mut stream = TcpStream::connect(addr).await?;
        exchange(&mut stream, "GET", &format!("/submissions/{id}"), b"").await
    };
    let answer = tokio::time::timeout(seconds(2.0), asking).await;
    let Ok(Ok(answer)) = answer else { return };
    let status = match answer.status {
        200 => answer.json()["status"].as_str().map(str::to_owned),
        404 => Some("404".to_owned()),
        _ => None,
    };
    if let Some(status) = status {
        world.record.note(format!("look {addr} {id}: {status}"));
        world.on_answer(&id, sent_at, Some(&status));
    }
}

/// Asks all controllers for a job, again within milliseconds.
fn look_everywhere(cluster: &Rc<Cluster>, id: &str) {
    for controller in &cluster.controllers {
        for n in 0..2 {
            let (world, addr, id) = (cluster.world.clone(), controller.client_addr, id.to_owned());
            tokio::task::spawn_local(async move {
                tokio::time::sleep(Duration::from_millis(3 * n)).await;
                look(world, addr, id).await;
            });
        }
    }
}

/// Submits jobs one after the other, asks for them, and cancels some.
async fn use_service(cluster: Rc<Cluster>, n: u64, random: Random, until: Instant) {
    let mut count = 0;
    let mut user = User::new(&format!("user {n}"), &cluster.balancer, &cluster.world);
    while Instant::now() < until {
        tokio::time::sleep(seconds(random.between(0.0, 4.0))).await;
        count += 1;
        let id = format!("j-{:06}", n * 1000 + count);
        let large = random.chance(0.05);
        let pieces = if large { 1500 } else { 1 + random.below(8) as u32 };
        let vcpus = if large { 0.25 } else { [1.0, 2.0, 4.0][random.below(3) as usize] };
        let run_s = if large { 1.5 } else { random.between(0.5, 12.0) };
        let mut job = Job::array(&id, "mains-team", pieces, vcpus, run_s);
        job.spec["mem_gb"] = json!(0.05);
        job.spec["owner"] = json!(["mains-team", "sukkur-crew"][random.below(2) as usize]);
        job.spec["rank"] =
            json!(["production", "urgent", "normal", "idle"][random.below(4) as usize]);
        match random.below(6) {
            0 => job.spec["same_place"] = json!(true),
            1 => job.spec["apart"] = json!(true),
            2 => job.spec["site"] = json!("karachi"),
            _ => {}
        }
        if random.chance(0.3) {
            job.spec["snapshot_s"] = json!(2.0);
            job.spec["flush_s"] = json!(1.0);
        }
        job.spec["loaners"] = json!(random.chance(0.7));
        if !user.submit(&job).await {
            continue;
        }
        if random.chance(0.5) {
            look_everywhere(&cluster, &id);
        }
        let cancel_at = random.chance(0.35).then(|| random.between(0.0, 15.0));
        let started = Instant::now();
        loop {
            if cancel_at.is_some_and(|at| started.elapsed() >= seconds(at)) {
                user.withdraw(&id).await;
                look_everywhere(&cluster, &id);
                break;
            }
            if matches!(user.poll(&id).await.as_deref(), Some("done" | "aborted")) {
                look_everywhere(&cluster, &id);
                break;
            }
            if Instant::now() > until {
                break;
            }
            tokio::time::sleep(seconds(random.between(0.5, 3.0))).await;
        }
    }
}

/// Brings one trouble about, and ends it.
async fn trouble(cluster: Rc<Cluster>, random: Random) {
    let n = match cluster.leader().filter(|_| random.chance(0.6)) {
        Some(n) => n,
        None => random.below(cluster.controllers.len() as u64) as usize,
    };
    let controller = cluster.controllers[n].clone();
    let kind = random.below(31);
    let for_s = random.between(1.0, 25.0);
    cluster.record.note(format!("TROUBLE {kind} on {} for {for_s:.1} s", controller.name));
    match kind {
        0 | 1 => {
            cluster.kill_controller(n);
            let pause = if random.chance(0.5) { random.between(0.05, 0.5) } else { 3.0 };
            tokio::time::sleep(seconds(pause)).await;
            let _ = cluster.start_controller(n);
        }
        2 | 3 => {
            cluster.signal_controller(n, "STOP");
            tokio::time::sleep(seconds(random.between(1.0, 14.0))).await;
            cluster.signal_controller(n, "CONT");
        }
        4 => {
            controller.set_cut(true);
            tokio::time::sleep(seconds(for_s)).await;
            controller.set_cut(false);
        }
        5 => {
            controller.to_state.set_mode(if random.chance(0.5) {
                Mode::Silent
            } else {
                Mode::Refuse
            });
            tokio::time::sleep(seconds(for_s)).await;
            controller.to_state.set_mode(Mode::Pass);
        }
        6 => {
            controller.set_peers_cut(if random.chance(0.5) { Mode::Silent } else { Mode::Refuse });
            tokio::time::sleep(seconds(for_s)).await;
            controller.set_peers_cut(Mode::Pass);
        }
        7 => {
            controller.is_refused.set(true);
            tokio::time::sleep(seconds(for_s)).await;
            controller.is_refused.set(false);
        }
        8 => {
            let down_s = if random.chance(0.3) { random.between(20.0, 40.0) } else { for_s / 3.0 };
            cluster.store.set_down(true);
            tokio::time::sleep(seconds(down_s)).await;
            cluster.store.set_down(false);
        }
        9 | 10 => {
            let share = random.between(0.1, 0.7);
            let at_once = random.chance(0.5);
            let chooser = random.clone();
            cluster.store.set_faults(move |request| {
                if request.path() != "/txn" || !chooser.chance(share) {
                    Fault::None
                } else if at_once {
                    Fault::LoseAnswer
                } else {
                    Fault::DelayAndLoseAnswer(chooser.between(2.0, 12.0))
                }
            });
            tokio::time::sleep(seconds(for_s)).await;
            cluster.store.clear_faults();
        }
        20 => {
            let all: Vec<usize> = (0..cluster.controllers.len()).collect();
            all.iter().for_each(|n| cluster.kill_controller(*n));
            let away = if random.chance(0.5) {
                random.between(0.1, 4.0)
            } else {
                random.between(8.0, 20.0)
            };
            tokio::time::sleep(seconds(away)).await;
            for n in all {
                tokio::time::sleep(seconds(random.between(0.0, 1.5))).await;
                let _ = cluster.start_controller(n);
            }
        }
        21 => {
            for _ in 0..8 {
                if let Some(leader) = cluster.leader() {
                    cluster.kill_controller(leader);
                    tokio::time::sleep(seconds(random.between(0.05, 3.0))).await;
                    let _ = cluster.start_controller(leader);
                }
                tokio::time::sleep(seconds(random.between(0.3, 4.0))).await;
            }
        }
        22 => {
            cluster.signal_controller(n, "STOP");
            tokio::time::sleep(seconds(random.between(15.0, 40.0))).await;
            cluster.signal_controller(n, "CONT");
        }
        25 | 26 => {
            // A controller loses the workers, and only them.
            let others: Vec<SocketAddr> = cluster
                .controllers
                .iter()
                .filter(|other| other.name != controller.name)
                .map(|other| other.client_addr)
                .collect();
            let workers = cluster.cloud.workers();
            workers.iter().for_each(|worker| worker.set_reachable(Some(others.clone())));
            tokio::time::sleep(seconds(for_s * 2.0)).await;
            workers.iter().for_each(|worker| worker.set_reachable(None));
        }
        23 | 24 => {
            // A zone is cut off: its workers reach only the controllers of the zone.
            let site = ["lahore", "karachi"][random.below(2) as usize];
            let inside: Vec<_> = cluster
                .controllers
                .iter()
                .enumerate()
                .filter(|(n, _)| (n % 2 == 0) == (site == "lahore"))
                .map(|(_, controller)| controller.clone())
                .collect();
            inside.iter().for_each(|controller| controller.set_cut(true));
            let workers: Vec<_> = cluster
                .cloud
                .workers()
                .into_iter()
                .filter(|worker| worker.machine.site == site)
                .collect();
            for worker in &workers {
                worker.set_reachable(Some(inside.iter().map(|c| c.client_addr).collect()));
            }
            tokio::time::sleep(seconds(for_s)).await;
            inside.iter().for_each(|controller| controller.set_cut(false));
            workers.iter().for_each(|worker| worker.set_reachable(None));
        }
        _ => {
            let workers = cluster.cloud.workers();
            if workers.is_empty() {
                return;
            }
            let chosen: Vec<_> = workers
                .into_iter()
                .filter(|_| random.chance(if kind > 16 { 0.15 } else { 0.4 }))
                .collect();
            for worker in &chosen {
                match kind {
                    11 => worker.set_hung(true),
                    12 => worker.is_deaf.set(true),
                    13 => worker.is_mute.set(true),
                    16 => {
                        worker.keeps_reports.set(true);
                        if random.chance(0.3) {
                            worker.restart();
                        }
                    }
                    17 => worker.restart(),
                    27 => worker.slowdown.set(random.between(2.0, 10.0)),
                    28 | 29 => worker.is_faulty.set(true),
                    30 => cluster.cloud.take_back(&worker.machine.name),
                    18 => cluster.cloud.kill_host(&worker.machine.name),
                    14 => worker.command_delay.set(Some(seconds(random.between(2.0, 16.0)))),
                    _ => worker.copy_delay.set(Some(seconds(random.between(2.0, 30.0)))),
                }
            }
            if kind == 16 {
                tokio::time::sleep(seconds(random.between(1.0, 6.0))).await;
                let leader = cluster.leader();
                if let Some(leader) = leader.filter(|_| random.chance(0.7)) {
                    cluster.kill_controller(leader);
                    tokio::time::sleep(seconds(random.between(0.05, 3.0))).await;
                    let _ = cluster.start_controller(leader);
                }
                tokio::time::sleep(seconds(random.between(0.0, 2.0))).await;
            } else {
                tokio::time::sleep(seconds(for_s)).await;
            }
            for worker in &chosen {
                match kind {
                    11 => worker.set_hung(false),
                    12 => worker.is_deaf.set(false),
                    13 => worker.is_mute.set(false),
                    14 => worker.command_delay.set(None),
                    16 => {
                        worker.deliver_kept_reports();
                        worker.keeps_reports.set(false);
                    }
                    27 => worker.slowdown.set(1.0),
                    28 | 29 => worker.is_faulty.set(false),
                    17 | 18 | 30 => {}
                    _ => worker.copy_delay.set(None),
                }
            }
        }
    }
}

pub async fn run(
    root: &Path,
    folder: &Path,
    record: Rc<Record>,
    has_trouble: bool,
) -> std::io::Result<Outcome> {
    let seed: u64 = std::env::var("SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let random = Random(Rc::new(Cell::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)));
    for _ in 0..20 {
        random.next();
    }
    let mut plan = Plan::pressure_loggers();
    plan.lease_s = 14.0;
    plan.cancel_s = 34.0;
    if seed % 3 == 0 {
        plan.controllers = 5;
    }
    plan.teams = vec![("mains-team", 24.0, 40.0), ("sukkur-crew", 16.0, 36.0)];
    if seed % 2 == 0 {
        plan.teams = vec![("mains-team", 0.0, 0.0), ("sukkur-crew", 0.0, 0.0)];
    }
    let cluster = Rc::new(Cluster::start(&plan, root, folder, record.clone()).await?);
    if !cluster.wait_until_ready(&plan).await {
        record.say("the deployment did not come up");
        return Ok(Outcome::NotRun);
    }
    let until = Instant::now() + seconds(105.0);
    let calm = Instant::now() + seconds(62.0);
    for n in 0..4 {
        tokio::task::spawn_local(use_service(cluster.clone(), n + 1, random.clone(), until));
    }
    while has_trouble && Instant::now() < calm {
        tokio::time::sleep(seconds(random.between(0.5, 5.0))).await;
        tokio::task::spawn_local(trouble(cluster.clone(), random.clone()));
    }
    if seed % 2 == 0 {
        // The teams have no limit. Jobs without constraints must not wait beside room for long.
        let is_free = |job: &Job| {
            let spec = &job.spec;
            spec["same_place"] == false
                && spec["apart"] == false
                && spec["site"].is_null()
                && spec["loaners"] == true
        };
        tokio::time::sleep(seconds(4.0)).await;
        let jobs: Vec<Job> = cluster.world.jobs().into_iter().map(|(_, job)| job).collect();
        let jobs: Vec<Job> = jobs
            .into_iter()
            .filter(|job| is_free(job) && cluster.world.last_status(job.id()).is_some())
            .collect();
        let watch = until.saturating_duration_since(Instant::now());
        let waited = wait_beside_room_for(&cluster, &jobs, watch, seconds(30.0)).await;
        record.say(format!("HINT jobs waited for 30 s beside room: {waited:?}"));
    }
    tokio::time::sleep(until.saturating_duration_since(Instant::now())).await;
    for (id, job) in cluster.world.jobs() {
        let status = cluster.world.last_status(&id);
        if matches!(status.as_deref(), Some("pending" | "running")) {
            let (starts, done) =
                (cluster.world.start_count(&id), cluster.world.completed_count(&id));
            let age = cluster.world.accepted_age(&id).as_secs_f64();
            if age > 30.0 && (starts == 0 || cluster.world.running_count(&id) == 0) {
                record.say(format!(
                    "LIVENESS {id}: {status:?} age {age:.0} starts {starts} done {done} of {}",
                    job.spec["pieces"]
                ));
            }
        }
    }
    let ended = cluster.ended_controllers();
    if !ended.is_empty() {
        record.say(format!("BREACH processes ended: {ended:?}"));
    }
    cluster.controllers.iter().enumerate().for_each(|(n, _)| {
        cluster.signal_controller(n, "CONT");
        cluster.kill_controller(n);
    });
    let is_broken = !cluster.world.breaches().is_empty() || !ended.is_empty();
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}
