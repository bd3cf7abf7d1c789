//! Jobs of a class with tiny tasks come several times as often.

use super::Outcome;
use crate::cluster::{Cluster, Plan};
use crate::record::Record;
use crate::user::User;
use crate::world::Job;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

const TEAM: &str = "hydro-lab";
const PIECES: u32 = 400;
const VCPUS: f64 = 0.02;
const RUN_S: f64 = 40.0;
const JOBS_IN_TROUBLE: u32 = 4;
const LENGTH: Duration = Duration::from_secs(112);

pub async fn run(
    root: &Path,
    folder: &Path,
    record: Rc<Record>,
    has_trouble: bool,
) -> std::io::Result<Outcome> {
    let started = Instant::now();
    let mut plan = Plan::pressure_loggers();
    plan.teams.push((TEAM, 0.0, 0.0));
    plan.machines = vec![("bhari", "lahore", false)];
    let cluster = Cluster::start(&plan, root, folder, record.clone()).await?;
    if !cluster.wait_until_ready(&plan).await {
        record.say("the deployment did not come up");
        return Ok(Outcome::NotRun);
    }
    let jobs = if has_trouble { JOBS_IN_TROUBLE } else { 1 };
    let mut ids = Vec::new();
    for n in 0..jobs {
        let id = format!("j-{:06}", 100 + n);
        let mut user = User::new(&format!("user {n}"), &cluster.balancer, &cluster.world);
        if !user.submit(&Job::array(&id, TEAM, PIECES, VCPUS, RUN_S)).await {
            return Ok(Outcome::NotRun);
        }
        ids.push(id.clone());
        tokio::task::spawn_local(async move { user.poll_until_over(&id).await });
    }
    tokio::time::sleep(LENGTH.saturating_sub(started.elapsed())).await;
    let mut unfinished = 0;
    for id in &ids {
        let status = cluster.world.last_status(id);
        record.say(format!(
            "{id}: {status:?}, {} of {PIECES} tasks done, {} starts",
            cluster.world.completed_count(id),
            cluster.world.start_count(id),
        ));
        unfinished += usize::from(status.as_deref() != Some("done"));
    }
    // The machine, the network and the controllers were sound all the time.
    let killed = cluster.world.killed_by_lease();
    record.say(format!("{killed} tasks were killed because the worker's lease ended"));
    if killed > 0 && unfinished > 0 {
        record.say(format!(
            "BREACH: a worker's reports were refused, its tasks were killed, and {unfinished} \
             accepted jobs are unfinished"
        ));
        return Ok(Outcome::Broken);
    }
    let is_broken = !cluster.world.breaches().is_empty();
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}
