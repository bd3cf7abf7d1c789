//! Election of the leader, and all that a leader does outside the scheduler.
//!
//! [`run`] stands by until this controller can claim the leader record ([`election`]), and then
//! leads until its lease or its place is lost ([`handover`]). [`state`] is the state
//! machine of that, [`shared`] what handlers of users, workers and peers see of it. The loops of a leader are methods of
//! [`active_leader::ActiveLeader`], by concern:
//!
//! | module | loops |
//! | --- | --- |
//! | [`claims`] | claims job records, closes jobs that are over |
//! | [`completion_commits`] | stores finished tasks and first starts |
//! | [`placement_passes`] | runs placement passes, as often as they may take time |
//! | [`actions`] | carries out what the scheduler decided |
//! | [`machine_records`] | writes and erases the records of machines that may hold tasks |
//! | [`scaling`] | rents and returns machines, and lets the scheduler see time pass |
//! | [`cloud_inventory`] | reads the cloud's list of machines, and the machine types |
//! | [`fencing`] | fences recorded machines, raises the term where a worker has seen a higher one |

mod actions;
mod active_leader;
mod cancelled;
mod claims;
mod cloud_inventory;
mod completion_commits;
mod context;
mod direct_orders;
mod election;
mod fencing;
mod handover;
mod held_answers;
mod in_flight;
mod machine_records;
mod overview;
mod placement_passes;
mod scaling;
mod shared;
mod state;

use crate::environment::Environment;
use active_leader::ActiveLeader;
use corkfield_state::RateBudget;
use election::Elected;
use handover::request_transfer;
use state::{LeadershipEnd, LeadershipState};
use std::rc::Rc;
use std::time::Duration;

pub use context::LeadershipContext;
pub use overview::overview;
pub use shared::Leadership;

/// The leader's part of the state service's limits; the others share the rest.
const LEADER_REQUESTS: f64 = 0.6;
const LEADER_WRITES: f64 = 0.7;
/// Seconds' worth of the leader's writes that may come at once.
const LEADER_BURST_S: f64 = 1.0;
/// The others write nothing but what users send, little on average and much at once: so many
/// seconds' worth may come together.
const STANDBY_BURST_S: f64 = 5.0;

/// A standby controller looks this often whether it may lead, if it sees no change before.
const STANDBY_INTERVAL: Duration = Duration::from_millis(500);

const LEADER_BUDGET: RateBudget =
    RateBudget { requests: LEADER_REQUESTS, writes: LEADER_WRITES, burst_s: LEADER_BURST_S };

fn standby_budget(env: &Environment) -> RateBudget {
    let others = f64::from(env.settings.platform.service.size.saturating_sub(1).max(1));
    RateBudget {
        requests: (1.0 - LEADER_REQUESTS) / others,
        writes: (1.0 - LEADER_WRITES) / others,
        burst_s: STANDBY_BURST_S,
    }
}

/// Stands by, and leads whenever the leader record can be claimed.
pub async fn run(context: Rc<LeadershipContext>) {
    stand_by(&context);
    loop {
        if let Some(elected) = election::elect(&context).await {
            lead(&context, elected).await;
            stand_by(&context);
        }
        let changed = context.replica.changed.notified();
        context.env.timers.within(STANDBY_INTERVAL, changed).await;
        request_transfer(&context).await;
    }
}

fn stand_by(context: &LeadershipContext) {
    context.leadership.enter(LeadershipState::Standby);
    context.env.state.set_budget(standby_budget(&context.env));
}

/// Leads until the lease or the place is lost.
async fn lead(context: &Rc<LeadershipContext>, elected: Elected) {
    let term = elected.term;
    tracing::info!(term = term.get(), "leadership acquired");
    context.env.state.set_budget(LEADER_BUDGET);
    let leader = ActiveLeader::new(context.clone(), elected);
    let end = tokio::select! {
        end = leader.until_leadership_lost() => end,
        () = leader.until_handed_over() => LeadershipEnd::HandedOver,
        () = leader.run() => LeadershipEnd::Replaced,
    };
    tracing::info!(term = term.get(), ?end, "leadership ended");
}
