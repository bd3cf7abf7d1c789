//! The state service answers slowly, but well within the time that users wait for a poll.

use super::{answered, longest_failure, Outcome};
use crate::cluster::{Cluster, Plan};
use crate::record::Record;
use crate::user::User;
use crate::world::Job;
use corkfield_fakes::Fault;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time that each answer of the state service takes: longer than on any day of the users' site
/// files, and for a longer time.
const ANSWER_S: f64 = 0.9;
const SLOW_FOR: Duration = Duration::from_secs(108);
/// The bound of the rule `forgotten`.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(90);
const SHORT_JOB: &str = "j-000001";
const SHORT_RUN_S: f64 = 3.0;
const OTHER_USERS: u32 = 6;

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
    let mut ids = Vec::new();
    let mut users = Vec::new();
    for n in 0..OTHER_USERS {
        let id = format!("j-{:06}", 100 + n);
        let mut user = User::new(&format!("user {n}"), &cluster.balancer, &cluster.world);
        if !user.submit(&Job::array(&id, "metadatos", 1, 1.0, 300.0)).await {
            return Ok(Outcome::NotRun);
        }
        ids.push(id.clone());
        users.push((id, user));
    }
    let mut user = User::new("user of the short job", &cluster.balancer, &cluster.world);
    if !user.submit(&Job::array(SHORT_JOB, "metadatos", 1, 1.0, SHORT_RUN_S)).await {
        return Ok(Outcome::NotRun);
    }
    users.push((SHORT_JOB.to_owned(), user));
    let world = cluster.world.clone();
    let has_started =
        || world.start_count(SHORT_JOB) > 0 && ids.iter().all(|id| world.start_count(id) > 0);
    if !cluster.wait_until(Duration::from_secs(8), has_started).await {
        record.say("not all tasks have started");
        return Ok(Outcome::NotRun);
    }
    if has_trouble {
        record.say(format!("the state service takes {ANSWER_S} s for each answer"));
        cluster.store.set_faults(|_| Fault::DelayAnswer(ANSWER_S));
    }
    let slow_at = Instant::now();
    for (n, (id, mut user)) in users.into_iter().enumerate() {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(700 * n as u64)).await;
            user.poll_until_over(&id).await;
        });
    }
    tokio::time::sleep(SLOW_FOR).await;
    let stored = cluster.store.value(&format!("f/{SHORT_JOB}"));
    record.say(format!("the state service holds, for {SHORT_JOB}: {stored:?}"));
    let polls = world.polls_since(SHORT_JOB, slow_at);
    let failed_for = longest_failure(&polls);
    let others: Vec<_> = ids.iter().flat_map(|id| world.polls_since(id, slow_at)).collect();
    let most_answered = answered(&others) * 2 > others.len();
    record.say(format!(
        "{SHORT_JOB}: {} of {} polls answered, last status {:?}, every poll failed for {:.1} s; \
         of the other jobs' polls {} of {} were answered",
        answered(&polls),
        polls.len(),
        world.last_status(SHORT_JOB),
        failed_for.as_secs_f64(),
        answered(&others),
        others.len()
    ));
    let is_forgotten = failed_for >= FORGOTTEN_AFTER && most_answered;
    if is_forgotten {
        record.say(format!("BREACH forgotten: every poll for {SHORT_JOB} failed for 90 s"));
    }
    let is_broken = is_forgotten || !world.breaches().is_empty();
    Ok(if is_broken { Outcome::Broken } else { Outcome::Held })
}
