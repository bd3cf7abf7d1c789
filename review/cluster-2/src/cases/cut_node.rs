//! A controller is cut off from the state service and from the other controllers; the load balancer
//! and the users still reach it.

use super::{answered, longest_failure, Outcome};
use crate::cluster::{Cluster, Plan};
use crate::record::Record;
use crate::user::User;
use crate::world::Job;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the cut lasts: longer than on any day of the users' site files.
const CUT: Duration = Duration::from_secs(106);
/// The bound of the rule `forgotten`.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(90);
const USERS: u32 = 9;

pub async fn run(
    root: &Path,
    folder: &Path,
    record: Rc<Record>,
    has_trouble: bool,
) -> std::io::Result<Outcome> {
    let plan = Plan::pressure_loggers();
    let cluster = Cluster::start(&plan, root, folder, record.clone()).await?;
    if !cluster.wait_until_ready(&plan).await {
        record.say("the deployment did not come up");
        return Ok(Outcome::NotRun);
    }
    // Each user submits a job that runs through the whole case, and asks for it every 5 s.
    let mut users = Vec::new();
    for n in 0..USERS {
        let id = format!("j-{:06}", 100 + n);
        let mut user = User::new(&format!("user {n}"), &cluster.balancer, &cluster.world);
        if !user.submit(&Job::array(&id, "mains-team", 1, 1.0, 300.0)).await {
            record.say(format!("{id} was not accepted"));
            return Ok(Outcome::NotRun);
        }
        users.push((id, user));
    }
    let Some(leader) = cluster.leader() else { return Ok(Outcome::NotRun) };
    let cut_node = cluster.controllers[leader].clone();
    let on_cut_node: Vec<String> = users
        .iter()
        .filter(|(_, user)| user.node().as_deref() == Some(cut_node.name.as_str()))
        .map(|(id, _)| id.clone())
        .collect();
    record.say(format!(
        "{} leads; user connections by node: {:?}; jobs of users on it: {on_cut_node:?}",
        cut_node.name,
        cluster.balancer.open_connections()
    ));
    let ids: Vec<String> = users.iter().map(|(id, _)| id.clone()).collect();
    for (n, (id, mut user)) in users.into_iter().enumerate() {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(500 * n as u64)).await;
            user.poll_until_over(&id).await;
        });
    }
    if has_trouble {
        record.say(format!("{} is cut off from the state service and its peers", cut_node.name));
        cut_node.set_cut(true);
    }
    let cut_at = Instant::now();
    tokio::time::sleep(CUT).await;
    let mut is_forgotten = false;
    for id in &ids {
        let polls = cluster.world.polls_since(id, cut_at);
        let failed_for = longest_failure(&polls);
        let others: Vec<_> = ids
            .iter()
            .filter(|other| *other != id)
            .flat_map(|other| cluster.world.polls_since(other, cut_at))
            .collect();
        let most_answered = answered(&others) * 2 > others.len();
        record.say(format!(
            "{id}: {} of {} polls answered, every poll failed for {:.1} s; \
             of the other jobs' polls {} of {} were answered",
            answered(&polls),
            polls.len(),
            failed_for.as_secs_f64(),
            answered(&others),
            others.len()
        ));
        if failed_for >= FORGOTTEN_AFTER && most_answered {
            record.say(format!("BREACH forgotten: every poll for {id} failed for 90 s"));
            is_forgotten = true;
        }
    }
    let is_broken = is_forgotten || !cluster.world.breaches().is_empty();
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}
