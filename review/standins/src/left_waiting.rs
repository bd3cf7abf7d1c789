//! Case: a job is left waiting beside a machine that fits and has room.

use crate::cloud::Cloud;
use crate::lab::{
    free_addr, submit, user_request, Controllers, Deployment, Record, Submission, EXIT_BROKEN,
    EXIT_HELD, EXIT_NOT_RUN,
};
use crate::not_done::{settings_text, start_store, types, worker_settings, Site};
use crate::worker::{Ledger, Plan};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The first site.
const SITE: Site = Site { report_s: 3.0, teams: [(72.0, 232.0), (152.0, 536.0)] };
const FILLING_JOB: &str = "j-000398";
const WAITING_JOB: &str = "j-000412";
const SMALL_MACHINES: u32 = 3;
/// The bound of the rule.
const MAX_WAIT_S: f64 = 90.0;
const VCPUS: f64 = 4.0;
const MEM_GB: f64 = 7.2;

fn backfill(id: &str, pieces: u32, flavours: Option<Vec<&'static str>>) -> Submission {
    Submission {
        id: id.to_owned(),
        pool: "backfill",
        owner: "mains-team",
        rank: "idle",
        pieces,
        vcpus: VCPUS,
        mem_gb: MEM_GB,
        flavours,
        guess_s: 90.0,
    }
}

pub async fn run(folder: &Path, record: Rc<Record>, has_trouble: bool) -> i32 {
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
    for _ in 0..SMALL_MACHINES {
        cloud.add(worker_settings(&controllers, "chhota", &SITE), &ledger);
    }
    let roomy = cloud.add(worker_settings(&controllers, "darmiyana", &SITE), &ledger);
    controllers.start_all();
    let machines = u64::from(SMALL_MACHINES) + 1;
    if controllers.wait_for_leader(machines, Duration::from_secs(15)).await.is_none() {
        record.say("no leader with all machines");
        return EXIT_NOT_RUN;
    }
    let addrs: Vec<SocketAddr> = controllers.all.iter().map(|c| c.client_addr).collect();
    let plan = |pieces: u32, run_s: u64| Plan {
        pieces,
        vcpus: VCPUS,
        mem_gb: MEM_GB,
        ends_at: Rc::new(move |_, started: Instant| started + Duration::from_secs(run_s)),
    };
    ledger.plans.borrow_mut().insert(FILLING_JOB.to_owned(), plan(SMALL_MACHINES, 200));
    ledger.plans.borrow_mut().insert(WAITING_JOB.to_owned(), plan(1, 5));
    // The small machines are full of work of the same rank.
    let filling = backfill(FILLING_JOB, SMALL_MACHINES, Some(vec!["chhota"]));
    if !submit(&record, &addrs, &filling).await {
        return EXIT_NOT_RUN;
    }
    while ledger.start_count(FILLING_JOB) < SMALL_MACHINES {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if record.elapsed_s() > 18.0 {
            record.say("the small machines did not fill in time");
            return EXIT_NOT_RUN;
        }
    }
    if has_trouble {
        roomy.is_sick.set(true);
        record.say(&format!("{} fails every task that it starts", roomy.host));
    }
    if !submit(&record, &addrs, &backfill(WAITING_JOB, 1, None)).await {
        return EXIT_NOT_RUN;
    }
    while has_trouble && ledger.failed_machines(WAITING_JOB) == 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if record.elapsed_s() > 24.0 {
            record.say("no task failed in time");
            return EXIT_NOT_RUN;
        }
    }
    roomy.is_sick.set(false);
    let recovered_at = record.elapsed_s();
    record.say(&format!("{} is well; it is the only machine with room", roomy.host));
    let target = format!("/submissions/{WAITING_JOB}");
    let mut polls = 0;
    // The wait begins again whenever there is no room.
    let mut waiting_since = recovered_at;
    while record.elapsed_s() < recovered_at + MAX_WAIT_S + 3.0 {
        tokio::time::sleep(Duration::from_millis(250)).await;
        polls += 1;
        if polls % 20 == 0 {
            let addr = addrs[polls / 20 % addrs.len()];
            let answer = user_request(&record, addr, "GET", &target, b"").await;
            if answer.is_some_and(|answer| answer.job_status == "done") {
                record.say("held: the job is done");
                return EXIT_HELD;
            }
            record.write(&format!(
                "{} has {} CPUs and {} GB free",
                roomy.host,
                roomy.free_cpus(),
                roomy.free_mem_gb()
            ));
        }
        let is_on_machine = ledger.on_machine.borrow().keys().any(|(job, _)| job == WAITING_JOB);
        let has_room = roomy.free_cpus() >= VCPUS && roomy.free_mem_gb() >= MEM_GB;
        if is_on_machine || !has_room || roomy.is_gone() {
            waiting_since = record.elapsed_s();
        }
        if record.elapsed_s() - waiting_since > MAX_WAIT_S {
            record.say(&format!(
                "left waiting: {WAITING_JOB} has waited {:.1} s while {} fits and has room",
                record.elapsed_s() - waiting_since,
                roomy.host
            ));
            return EXIT_BROKEN;
        }
    }
    record.say("held: the job did not wait that long while there was room");
    EXIT_HELD
}
