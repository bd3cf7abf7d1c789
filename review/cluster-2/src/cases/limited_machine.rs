//! A machine fails the tasks that it starts for some seconds, and is sound again afterwards. Then
//! jobs come that it has room for.

use super::{wait_beside_room, Outcome};
use crate::cluster::{Cluster, Plan};
use crate::record::Record;
use crate::user::User;
use crate::world::Job;
use serde_json::json;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// The job whose task fails once. Its user cancels it.
const FAILED_JOB: &str = "j-000200";
/// The jobs that come when all machines are sound.
const JOBS: u32 = 6;
const LONG_RUN_S: f64 = 300.0;
const TASKS_PER_MACHINE: u32 = 8;
const WATCH: Duration = Duration::from_secs(96);

pub async fn run(
    root: &Path,
    folder: &Path,
    record: Rc<Record>,
    has_trouble: bool,
) -> std::io::Result<Outcome> {
    let plan = Plan::union_catalogue();
    let cluster = Cluster::start(&plan, root, folder, record.clone()).await?;
    if !cluster.wait_until_ready(&plan).await {
        record.say("the deployment did not come up");
        return Ok(Outcome::NotRun);
    }
    // One array for each machine but the first fills it. It is bound to the machine's zone.
    let world = cluster.world.clone();
    let mut ids = Vec::new();
    for (n, site) in plan.sites.iter().enumerate().skip(1) {
        let id = format!("j-{:06}", 100 + n);
        let mut job = Job::array(&id, "metadatos", TASKS_PER_MACHINE, 1.0, LONG_RUN_S);
        job.spec["site"] = json!(site);
        let mut user = User::new(&format!("user {n}"), &cluster.balancer, &cluster.world);
        if !user.submit(&job).await {
            return Ok(Outcome::NotRun);
        }
        ids.push(id.clone());
        tokio::task::spawn_local(async move { user.poll_until_over(&id).await });
    }
    let are_full = || ids.iter().all(|id| world.start_count(id) == TASKS_PER_MACHINE);
    if !cluster.wait_until(Duration::from_secs(8), are_full).await {
        record.say("the other machines are not full");
        return Ok(Outcome::NotRun);
    }
    let workers = cluster.cloud.workers();
    let Some(first) = workers.iter().find(|worker| worker.machine.site == plan.sites[0]) else {
        return Ok(Outcome::NotRun);
    };
    if has_trouble {
        record.say(format!("{} fails every task that it starts", first.machine.name));
        first.is_faulty.set(true);
    }
    let failed = Job::array(FAILED_JOB, "indexacion", 1, 1.0, LONG_RUN_S);
    let mut user = User::new("user of the first job", &cluster.balancer, &cluster.world);
    if !user.submit(&failed).await {
        return Ok(Outcome::NotRun);
    }
    if !cluster.wait_until(Duration::from_secs(5), || world.start_count(FAILED_JOB) > 0).await {
        record.say("the job has not started");
        return Ok(Outcome::NotRun);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    first.is_faulty.set(false);
    record.say("all machines are sound");
    if user.withdraw(FAILED_JOB).await.is_none() {
        return Ok(Outcome::NotRun);
    }
    let mut jobs = Vec::new();
    for n in 0..JOBS {
        let id = format!("j-{:06}", 300 + n);
        let job = Job::array(&id, "prestamos", 1, 1.0, LONG_RUN_S);
        let mut user = User::new(&format!("later user {n}"), &cluster.balancer, &cluster.world);
        if !user.submit(&job).await {
            return Ok(Outcome::NotRun);
        }
        tokio::task::spawn_local(async move { user.poll_until_over(&id).await });
        jobs.push(job);
    }
    let waited = wait_beside_room(&cluster, &jobs, WATCH).await;
    record.say(format!(
        "{} of {JOBS} jobs have started; {} has {} tasks",
        jobs.iter().filter(|job| world.start_count(job.id()) > 0).count(),
        first.machine.name,
        first.task_count()
    ));
    let is_broken = !waited.is_empty() || !cluster.world.breaches().is_empty();
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}
