//! Case: a task starts on one machine while it is on another.

use crate::cloud::Cloud;
use crate::lab::{
    free_addr, submit, user_request, Controllers, Deployment, Record, Submission, EXIT_BROKEN,
    EXIT_HELD, EXIT_NOT_RUN,
};
use crate::not_done::{settings_text, start_store, types, worker_settings, Site};
use crate::worker::{Ledger, Plan, Worker};
use corkfield_fakes::{FakeStore, Fault};
use corkfield_http::Request;
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

const SITE: Site = Site { report_s: 5.0, teams: [(80.0, 264.0), (176.0, 872.0)] };
const MACHINES: usize = 6;
const FIRST_JOB: &str = "j-000398";
const SECOND_JOB: &str = "j-000412";
const TASK_RUN: Duration = Duration::from_secs(60);
/// A transaction without an answer is carried out 2 to 12 s later.
const FIRST_LATE_S: f64 = 2.5;
const SECOND_LATE_S: f64 = 9.0;
/// Machines hang for 30 s on the site's days; here within the worker's lease of 26 s.
const HANG: Duration = Duration::from_secs(22);
/// A process that has ended is back about 3 s later.
const RESTART: Duration = Duration::from_secs(3);

#[derive(Clone, Copy)]
pub struct Options {
    pub has_late_writes: bool,
    pub has_hang_and_crash: bool,
}

/// Carries out late, and doesn't answer, the first claim of the first job, and the next one that
/// claims the second job too.
fn delay_claims(store: &FakeStore, record: Rc<Record>, delayed: Rc<Cell<u32>>) {
    store.set_faults(move |request: &Request| {
        if request.method != "POST" || request.path() != "/txn" {
            return Fault::None;
        }
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let changes = body["then"].as_array().cloned().unwrap_or_default();
        let claimed: Vec<&str> = changes
            .iter()
            .filter(|change| change["v"]["owner"].is_string())
            .filter_map(|change| change["put"].as_str()?.strip_prefix("c/jobs/"))
            .collect();
        let late_s = match delayed.get() {
            0 if claimed.contains(&FIRST_JOB) => FIRST_LATE_S,
            1 if claimed.contains(&FIRST_JOB) && claimed.contains(&SECOND_JOB) => SECOND_LATE_S,
            _ => return Fault::None,
        };
        delayed.set(delayed.get() + 1);
        record.say(&format!("state: {claimed:?}: not answered, carried out {late_s} s late"));
        Fault::DelayAndLoseAnswer(late_s)
    });
}

fn submission(id: &str) -> Submission {
    Submission {
        id: id.to_owned(),
        pool: "trace-decode",
        owner: "sukkur-crew",
        rank: "normal",
        pieces: 1,
        vcpus: 1.0,
        mem_gb: 3.5,
        flavours: None,
        guess_s: 60.0,
    }
}

pub async fn run(folder: &Path, record: Rc<Record>, options: Options) -> i32 {
    let (store, state) = start_store();
    let cloud_addr = free_addr();
    let cloud = Cloud::start(cloud_addr, types(), record.clone());
    let deployment = Deployment {
        settings: settings_text(&SITE),
        domains: vec!["lahore", "karachi", "lahore"],
        cloud: cloud_addr,
        state: vec![state; 3],
    };
    let controllers = Rc::new(Controllers::new(&deployment, folder, record.clone()));
    let code = run_with(&controllers, &store, &cloud, record, options).await;
    // A task that restarts a controller may still hold the controllers, so that nothing drops them.
    (0..controllers.all.len()).for_each(|number| controllers.kill(number));
    code
}

async fn run_with(
    controllers: &Rc<Controllers>,
    store: &FakeStore,
    cloud: &Cloud,
    record: Rc<Record>,
    options: Options,
) -> i32 {
    let ledger = Rc::new(Ledger::default());
    let workers: Vec<Rc<Worker>> = (0..MACHINES)
        .map(|_| cloud.add(worker_settings(controllers, "darmiyana", &SITE), &ledger))
        .collect();
    controllers.start_all();
    let limit = Duration::from_secs(15);
    let Some(leader) = controllers.wait_for_leader(MACHINES as u64, limit).await else {
        record.say("no leader with all machines");
        return EXIT_NOT_RUN;
    };
    tokio::time::sleep(Duration::from_secs(1)).await;
    for id in [FIRST_JOB, SECOND_JOB] {
        let ends_at = |_, started: Instant| started + TASK_RUN;
        let plan = Plan { pieces: 1, vcpus: 1.0, mem_gb: 3.5, ends_at: Rc::new(ends_at) };
        ledger.plans.borrow_mut().insert(id.to_owned(), plan);
    }
    let delayed: Rc<Cell<u32>> = Rc::default();
    if options.has_late_writes {
        delay_claims(store, record.clone(), delayed.clone());
    }
    // Users reach the controllers in turn.
    let mut addrs: Vec<SocketAddr> = controllers.all.iter().map(|c| c.client_addr).collect();
    let count = addrs.len();
    addrs.rotate_left((leader + 1) % count);
    if !submit(&record, &addrs, &submission(FIRST_JOB)).await {
        return EXIT_NOT_RUN;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    if !submit(&record, &addrs, &submission(SECOND_JOB)).await {
        return EXIT_NOT_RUN;
    }
    let place = (SECOND_JOB.to_owned(), 0);
    let machine = loop {
        tokio::time::sleep(Duration::from_millis(10)).await;
        if let Some(host) = ledger.on_machine.borrow().get(&place) {
            break workers.iter().find(|worker| worker.host == *host).cloned();
        }
        if record.elapsed_s() > 30.0 {
            break None;
        }
    };
    let Some(machine) = machine else {
        record.say("the second job did not start in time");
        return EXIT_NOT_RUN;
    };
    record.say(&format!("{SECOND_JOB}/0 runs on {}", machine.host));
    if options.has_late_writes && delayed.get() < 2 {
        record.say("the two claims did not come as needed");
        return EXIT_NOT_RUN;
    }
    if options.has_hang_and_crash {
        machine.is_hung.set(true);
        record.say(&format!("{} hangs for {HANG:?}", machine.host));
        controllers.kill(leader);
        record.say(&format!("worker-{leader} crashes; it is back {RESTART:?} later"));
        let (controllers, machine, record) = (controllers.clone(), machine.clone(), record.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(RESTART).await;
            controllers.start(leader);
            tokio::time::sleep(HANG.saturating_sub(RESTART)).await;
            machine.is_hung.set(false);
            record.say(&format!("{} goes on", machine.host));
        });
    }
    let until_s = record.elapsed_s() + 75.0;
    let target = format!("/submissions/{SECOND_JOB}");
    let mut polls = 0;
    while record.elapsed_s() < until_s {
        tokio::time::sleep(Duration::from_millis(250)).await;
        if !ledger.ran_twice.borrow().is_empty() {
            record.say("ran_twice: a task starts on one machine while it is on another");
            return EXIT_BROKEN;
        }
        polls += 1;
        if polls % 16 == 0 {
            let addr = addrs[polls / 16 % addrs.len()];
            user_request(&record, addr, "GET", &target, b"").await;
        }
        let count = |job: &str| ledger.completed_count(job);
        if count(FIRST_JOB) + count(SECOND_JOB) == 2 {
            break;
        }
    }
    record.say("held: no task started on one machine while it was on another");
    EXIT_HELD
}
