//! Case: a large array is called done before all its tasks are.

use crate::cloud::Cloud;
use crate::lab::{
    free_addr, submit, user_request, Controllers, Deployment, Random, Record, Submission,
    EXIT_BROKEN, EXIT_HELD, EXIT_NOT_RUN,
};
use crate::worker::{Ledger, Plan, Worker, WorkerSettings};
use corkfield_fakes::{FakeStore, Fault};
use corkfield_http::{Request, Tcp};
use serde_json::{json, Value};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

const JOB: &str = "j-000412";
/// `trace-decode` has arrays of up to 3,000 tasks on the grown site.
const PIECES: u32 = 1100;
const MACHINES: usize = 20;
/// 10 of the 56 machines up at the start fail their tasks on the grown site's days, for 90 s.
const SICK_MACHINES: usize = 3;
/// How long answers to transactions are lost.
const LOSS: Duration = Duration::from_secs(6);
const LIMIT_S: f64 = 112.0;

pub struct Options {
    pub is_losing_answers: bool,
    pub has_sick_machines: bool,
    /// Share of the transactions whose answer is lost.
    pub share: f64,
}

/// The figures in which the settings of the cases' sites differ.
pub struct Site {
    pub report_s: f64,
    /// Guarantee and limit in CPUs of `mains-team` and `sukkur-crew`.
    pub teams: [(f64, f64); 2],
}

/// The grown site, with the teams of its small days.
const GROWN: Site = Site { report_s: 5.0, teams: [(80.0, 264.0), (176.0, 872.0)] };

pub fn settings_text(site: &Site) -> String {
    let mut text = "zones = [\"islamabad\", \"karachi\", \"lahore\"]\n\
         clock_error_ms = 1000.0\n"
        .to_owned();
    for (name, (cpus, cpus_max)) in ["mains-team", "sukkur-crew"].iter().zip(site.teams) {
        text += &format!(
            "[[settings.teams]]\nname = \"{name}\"\ncpus = {cpus:.1}\n\
             cpus_max = {cpus_max:.1}\ngpus = 0.0\ngpus_max = 0.0\n"
        );
    }
    text + &format!(
        "[settings.workers]\nreport_s = {:.1}\nlease_s = 26.0\ngang_wait_s = 50.0\n\
         gang_peer_s = 5.0\ncancel_s = 46.0\n\
         [settings.state]\nrps = 150.0\nwrite_rps = 60.0\nvalue_kb = 16.0\ntxn_ops = 12\n\
         [settings.cloud]\nrps = 6.0\nlist_lag_s = 4.0\n\
         [settings.limits]\ncpu_share = 0.04\nmem_mb = 72.0\nsockets = 1200\n",
        site.report_s
    )
}

pub fn types() -> Value {
    json!([
        {"label": "chhota", "vcpus": 4.0, "accelerators": 0.0, "mem_gb": 16.0, "cache_gb": 35.0,
         "pull_gb_per_s": 0.3, "rate": 0.25, "low_price": 0.07, "boot_s": 15.0,
         "sites": ["lahore", "karachi", "islamabad"]},
        {"label": "darmiyana", "vcpus": 8.0, "accelerators": 0.0, "mem_gb": 64.0, "cache_gb": 60.0,
         "pull_gb_per_s": 1.0, "rate": 0.6, "low_price": 0.18, "boot_s": 15.0,
         "sites": ["lahore", "karachi"]}
    ])
}

pub fn worker_settings(
    controllers: &Controllers,
    flavour: &'static str,
    site: &Site,
) -> WorkerSettings {
    let (cpus, mem_gb) = if flavour == "chhota" { (4.0, 16.0) } else { (8.0, 64.0) };
    WorkerSettings {
        flavour,
        site: "lahore",
        cpus,
        mem_gb,
        report: Duration::from_secs_f64(site.report_s),
        lease: Duration::from_secs(26),
        nodes: controllers.names_and_addrs(),
    }
}

/// Starts a state service and returns its address.
pub fn start_store() -> (Rc<FakeStore>, SocketAddr) {
    let store = Rc::new(FakeStore::default());
    let addr = free_addr();
    store.start_lease_expiry();
    store.start(Rc::new(Tcp), addr, Rc::new(Cell::new(false)));
    (store, addr)
}

/// Executes transactions at once and loses the answers of `share` of them until `until`.
fn lose_answers(store: &FakeStore, record: Rc<Record>, share: f64, until: Instant) {
    let random = Random::new(std::process::id().into());
    store.set_faults(move |request: &Request| {
        let is_transaction = request.method == "POST" && request.path() == "/txn";
        if is_transaction && Instant::now() < until && random.unit() < share {
            let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
            let keys: Vec<String> = body["then"]
                .as_array()
                .into_iter()
                .flatten()
                .filter_map(|change| change["put"].as_str().or(change["drop"].as_str()))
                .map(str::to_owned)
                .collect();
            record.write(&format!("state: answer lost to a transaction on {keys:?}"));
            return Fault::LoseAnswer;
        }
        Fault::None
    });
}

pub async fn run(folder: &Path, record: Rc<Record>, options: Options) -> i32 {
    let (store, state) = start_store();
    let cloud_addr = free_addr();
    let cloud = Cloud::start(cloud_addr, types(), record.clone());
    let deployment = Deployment {
        settings: settings_text(&GROWN),
        domains: vec!["lahore", "karachi", "lahore"],
        cloud: cloud_addr,
        state: vec![state; 3],
    };
    let controllers = Controllers::new(&deployment, folder, record.clone());
    let ledger = Rc::new(Ledger::default());
    let workers: Vec<Rc<Worker>> = (0..MACHINES)
        .map(|_| cloud.add(worker_settings(&controllers, "darmiyana", &GROWN), &ledger))
        .collect();
    controllers.start_all();
    if controllers.wait_for_leader(MACHINES as u64, Duration::from_secs(30)).await.is_none() {
        record.say("no leader with all machines");
        return EXIT_NOT_RUN;
    }
    // Held answers to idle machines are sent as soon as there is work.
    tokio::time::sleep(Duration::from_secs(3)).await;
    for worker in workers.iter().take(SICK_MACHINES).filter(|_| options.has_sick_machines) {
        worker.is_sick.set(true);
        record.say(&format!("{} fails every task that it starts", worker.host));
    }
    // The first tasks run until the sick machines have failed theirs, the others for some seconds.
    let release: Rc<Cell<Option<Instant>>> = Rc::default();
    let random = Random::new(7);
    let units: Vec<f64> = (0..PIECES).map(|_| random.unit()).collect();
    let released = release.clone();
    let ends_at = move |piece: u32, started: Instant| {
        let unit = units[piece as usize];
        match released.get() {
            None => started + Duration::from_secs(3600),
            Some(at) if started < at => at + Duration::from_secs_f64(3.0 * unit),
            Some(_) => started + Duration::from_secs_f64(1.5 + 6.0 * unit),
        }
    };
    let plan = Plan { pieces: PIECES, vcpus: 1.0, mem_gb: 3.5, ends_at: Rc::new(ends_at) };
    ledger.plans.borrow_mut().insert(JOB.to_owned(), plan);
    let submission = Submission {
        id: JOB.to_owned(),
        pool: "trace-decode",
        owner: "sukkur-crew",
        rank: "normal",
        pieces: PIECES,
        vcpus: 1.0,
        mem_gb: 3.5,
        flavours: None,
        guess_s: 5.0,
    };
    let addrs: Vec<SocketAddr> = controllers.all.iter().map(|c| c.client_addr).collect();
    if !submit(&record, &addrs, &submission).await {
        return EXIT_NOT_RUN;
    }
    let is_underway = || {
        if options.has_sick_machines {
            ledger.failed_machines(JOB) >= SICK_MACHINES
        } else {
            ledger.start_count(JOB) >= 100
        }
    };
    while !is_underway() {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if record.elapsed_s() > 40.0 {
            record.say("the first tasks did not start in time");
            return EXIT_NOT_RUN;
        }
    }
    record.say("the first tasks run; they end from 1 s on");
    release.set(Some(Instant::now() + Duration::from_secs(1)));
    if options.is_losing_answers {
        record.say(&format!(
            "state: for {LOSS:?}, {} of the transactions are carried out and not answered",
            options.share
        ));
        lose_answers(&store, record.clone(), options.share, Instant::now() + LOSS);
    }
    let target = format!("/submissions/{JOB}");
    let mut polls = 0;
    while record.elapsed_s() < LIMIT_S {
        tokio::time::sleep(Duration::from_millis(1500)).await;
        polls += 1;
        let addr = addrs[polls % addrs.len()];
        let Some(answer) = user_request(&record, addr, "GET", &target, b"").await else { continue };
        if answer.status == 200 && answer.job_status == "done" {
            // Counted after the answer: a task that completes meanwhile counts as done.
            let completed = ledger.completed_count(JOB);
            record.say(&format!(
                "answered: {}; completed on the machines: {completed} of {PIECES}",
                answer.body
            ));
            if completed < PIECES as usize {
                tokio::time::sleep(Duration::from_secs(6)).await;
                let later = ledger.completed_count(JOB);
                record.say(&format!("6 s later: completed {later} of {PIECES}"));
                record.say("not_done: the job is called done before all of its tasks are");
                return EXIT_BROKEN;
            }
            record.say("held: the job is done, and all of its tasks are");
            return EXIT_HELD;
        }
    }
    let completed = ledger.completed_count(JOB);
    record.say(&format!("the job did not end in time; completed {completed} of {PIECES}"));
    EXIT_NOT_RUN
}
