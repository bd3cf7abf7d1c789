//! A machine fails the tasks that it starts for some seconds, and is sound again afterwards.

use super::{wait_beside_room, Outcome};
use crate::cluster::{Cluster, Plan};
use crate::record::Record;
use crate::user::User;
use crate::world::Job;
use serde_json::json;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

/// The job whose task fails once.
const JOB: &str = "j-000200";
const JOB_RUN_S: f64 = 5.0;
/// The run time of the tasks that fill the other machines.
const LONG_RUN_S: f64 = 300.0;
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
        let mut job = Job::array(&format!("j-{:06}", 100 + n), "metadatos", 8, 1.0, LONG_RUN_S);
        job.spec["site"] = json!(site);
        let mut user = User::new(&format!("user {n}"), &cluster.balancer, &cluster.world);
        if !user.submit(&job).await {
            return Ok(Outcome::NotRun);
        }
        let id = job.id().to_owned();
        ids.push(id.clone());
        tokio::task::spawn_local(async move { user.poll_until_over(&id).await });
    }
    let are_full = || ids.iter().all(|id| world.start_count(id) == 8);
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
    let job = Job::array(JOB, "indexacion", 1, 1.0, JOB_RUN_S);
    let mut user = User::new("user of the job", &cluster.balancer, &cluster.world);
    if !user.submit(&job).await {
        return Ok(Outcome::NotRun);
    }
    tokio::task::spawn_local(async move { user.poll_until_over(JOB).await });
    if !cluster.wait_until(Duration::from_secs(5), || world.start_count(JOB) > 0).await {
        record.say("the job has not started");
        return Ok(Outcome::NotRun);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    first.is_faulty.set(false);
    record.say("all machines are sound");
    let waited = wait_beside_room(&cluster, &[job], WATCH).await;
    record.say(format!(
        "{JOB}: {} starts, status {:?}; {} has {} tasks",
        world.start_count(JOB),
        world.last_status(JOB),
        first.machine.name,
        first.task_count()
    ));
    let is_broken = !waited.is_empty() || !cluster.world.breaches().is_empty();
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}
