//! Case: nobody takes over from a leader that stands still while users ask many times as often.

use crate::cloud::Cloud;
use crate::lab::{
    free_addr, request, submit, Controllers, Deployment, Random, Record, Submission, EXIT_BROKEN,
    EXIT_HELD, EXIT_NOT_RUN,
};
use crate::not_done::{settings_text, start_store, types, worker_settings, Site};
use crate::worker::{Ledger, Plan, Worker};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The grown deployment of the site's small days.
const SITE: Site = Site { report_s: 5.0, teams: [(80.0, 264.0), (176.0, 872.0)] };
const MACHINES: usize = 6;
/// Users poll roughly every 5 s; in a storm this many times as often.
const POLL_S: f64 = 5.0;
const STORM_FACTOR: f64 = 8.0;
const STORM_S: f64 = 60.0;
/// The storm begins this long before the leader stands still, as on the site's day.
const STORM_LEAD_S: f64 = 10.0;
const FREEZE_S: f64 = 40.0;

pub struct Options {
    pub has_storm: bool,
    pub has_freeze: bool,
    pub jobs: u32,
}

/// What the load balancer and the users share.
struct Users {
    addrs: Vec<SocketAddr>,
    healthy: Vec<Cell<bool>>,
    random: Random,
    is_storm: Cell<bool>,
    asked: Cell<u32>,
    answered: Cell<u32>,
}

/// Probes a controller once a second; two failures or time-outs (1 s) in a row mark it unhealthy,
/// two successes in a row healthy.
async fn probe(users: Rc<Users>, number: usize, record: Rc<Record>) {
    let mut in_a_row = 0;
    loop {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let answer = request(users.addrs[number], "GET", "/ready", b"");
        let answer = tokio::time::timeout(Duration::from_secs(1), answer).await;
        let is_well = matches!(answer, Ok(Some(answer)) if answer.status == 200);
        in_a_row = if is_well == users.healthy[number].get() { 0 } else { in_a_row + 1 };
        if in_a_row >= 2 {
            in_a_row = 0;
            users.healthy[number].set(is_well);
            record.say(&format!("load balancer: worker-{number} healthy: {is_well}"));
        }
    }
}

/// Polls one job as its user does.
async fn poll(users: Rc<Users>, id: String) {
    let target = format!("/submissions/{id}");
    loop {
        let factor = if users.is_storm.get() { STORM_FACTOR } else { 1.0 };
        let mut wait = POLL_S / factor * (0.75 + 0.5 * users.random.unit());
        // A storm that begins in the meantime shortens the wait.
        while wait > 0.0 {
            tokio::time::sleep(Duration::from_secs_f64(wait.min(0.25))).await;
            let is_new_storm = factor == 1.0 && users.is_storm.get();
            wait -= if is_new_storm { wait } else { 0.25 };
        }
        let nodes: Vec<usize> =
            (0..users.addrs.len()).filter(|n| users.healthy[*n].get()).collect();
        if nodes.is_empty() {
            continue;
        }
        let node = nodes[(users.random.unit() * nodes.len() as f64) as usize % nodes.len()];
        users.asked.set(users.asked.get() + 1);
        let answer = request(users.addrs[node], "GET", &target, b"").await;
        if answer.is_some_and(|answer| answer.status == 200) {
            users.answered.set(users.answered.get() + 1);
        }
    }
}

pub async fn run(folder: &Path, record: Rc<Record>, options: Options) -> i32 {
    let (_store, state) = start_store();
    let cloud_addr = free_addr();
    let cloud = Cloud::start(cloud_addr, types(), record.clone());
    let deployment = Deployment {
        settings: settings_text(&SITE),
        domains: vec!["lahore", "karachi", "lahore"],
        cloud: cloud_addr,
        state: vec![state; 3],
    };
    let controllers = Controllers::new(&deployment, folder, record.clone());
    let ledger = Rc::new(Ledger::default());
    let mut workers: Vec<Rc<Worker>> = Vec::new();
    for number in 0..MACHINES {
        // Each worker goes through the controllers in an order of its own.
        let mut settings = worker_settings(&controllers, "darmiyana", &SITE);
        settings.nodes.rotate_left(number % 3);
        if number % 2 == 1 {
            settings.nodes.reverse();
        }
        workers.push(cloud.add(settings, &ledger));
    }
    controllers.start_all();
    let limit = Duration::from_secs(15);
    let Some(leader) = controllers.wait_for_leader(MACHINES as u64, limit).await else {
        record.say("no leader with all machines");
        return EXIT_NOT_RUN;
    };
    let addrs: Vec<SocketAddr> = controllers.all.iter().map(|c| c.client_addr).collect();
    let users = Rc::new(Users {
        addrs: addrs.clone(),
        healthy: addrs.iter().map(|_| Cell::new(true)).collect(),
        random: Random::new(11),
        is_storm: Cell::new(false),
        asked: Cell::new(0),
        answered: Cell::new(0),
    });
    for number in 0..addrs.len() {
        tokio::task::spawn_local(probe(users.clone(), number, record.clone()));
    }
    for number in 0..options.jobs {
        let id = format!("j-{number:06}");
        let ends_at = |_, started: Instant| started + Duration::from_secs(300);
        let plan = Plan { pieces: 1, vcpus: 1.0, mem_gb: 3.5, ends_at: Rc::new(ends_at) };
        ledger.plans.borrow_mut().insert(id.clone(), plan);
        let submission = Submission {
            id: id.clone(),
            pool: "trace-decode",
            owner: "sukkur-crew",
            rank: "normal",
            pieces: 1,
            vcpus: 1.0,
            mem_gb: 3.5,
            flavours: None,
            guess_s: 100.0,
        };
        if !submit(&record, &addrs, &submission).await {
            return EXIT_NOT_RUN;
        }
        tokio::task::spawn_local(poll(users.clone(), id));
    }
    let started_at = record.elapsed_s();
    while ledger.on_machine.borrow().len() < MACHINES * 8 || record.elapsed_s() < 14.0 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        if record.elapsed_s() > started_at + 20.0 {
            record.say("the machines did not fill in time");
            return EXIT_NOT_RUN;
        }
    }
    let running = ledger.on_machine.borrow().len();
    record.say(&format!("{running} tasks run, of {} jobs that users poll", options.jobs));
    let storm_from = record.elapsed_s();
    let freeze_from = storm_from + STORM_LEAD_S;
    let freeze_to = freeze_from + FREEZE_S;
    let storm_to = storm_from + STORM_S;
    if options.has_storm {
        users.is_storm.set(true);
        record.say(&format!("for {STORM_S} s users ask {STORM_FACTOR} times as often"));
    }
    let mut is_frozen = false;
    let mut taken_over_at = None;
    let mut counted_at = record.elapsed_s();
    while record.elapsed_s() < storm_to {
        tokio::time::sleep(Duration::from_millis(250)).await;
        let now_s = record.elapsed_s();
        if !is_frozen && now_s >= freeze_from && now_s < freeze_to {
            is_frozen = true;
            if options.has_freeze {
                controllers.signal(leader, "-STOP");
                record.say(&format!("worker-{leader} stands still for {FREEZE_S} s"));
            }
        }
        if is_frozen && now_s >= freeze_to {
            break;
        }
        if now_s - counted_at >= 5.0 {
            record.say(&format!(
                "questions {:.0}/s, answered {:.0}/s; tasks on machines {}; leases ended {}",
                f64::from(users.asked.take()) / (now_s - counted_at),
                f64::from(users.answered.take()) / (now_s - counted_at),
                ledger.on_machine.borrow().len(),
                workers.iter().filter(|worker| worker.tenure() > 1).count()
            ));
            counted_at = now_s;
        }
        if is_frozen && options.has_freeze && taken_over_at.is_none() {
            let answered = workers.iter().filter_map(|worker| worker.last_answer());
            let is_of_successor = |(node, at_s): &(String, f64)| {
                *node != controllers.all[leader].name && *at_s > freeze_from
            };
            if let Some((node, at_s)) = answered.into_iter().find(is_of_successor) {
                record.say(&format!("{node} answers workers {:.1} s later", at_s - freeze_from));
                taken_over_at = Some(at_s);
            }
        }
    }
    if options.has_freeze {
        controllers.signal(leader, "-CONT");
    }
    let ended = workers.iter().filter(|worker| worker.tenure() > 1).count();
    record.say(&format!(
        "leases ended on {ended} of {MACHINES} machines; taken over: {taken_over_at:?}"
    ));
    if ended == MACHINES && taken_over_at.is_none() {
        record.say("no take-over: two sound controllers let every worker's lease end");
        return EXIT_BROKEN;
    }
    record.say("held: workers were answered");
    EXIT_HELD
}
