//! Leader election, and the loops that a leader runs around the scheduler.
//!
//! [`run`] keeps this controller on standby until it can claim the leader record ([`election`]).
//! The controller then leads until it loses its lease, is replaced or hands over ([`handover`]).
//! [`state`] defines the controller's states. [`shared_state`] exposes the current state to the
//! handlers of requests from users, workers and peers. The loops of a leader are methods of
//! [`active_leader::ActiveLeader`], grouped by module:
//!
//! | module | loops |
//! | --- | --- |
//! | [`claims`] | claims job records and closes finished or cancelled jobs |
//! | [`completion_commits`] | stores finished tasks and start watermarks |
//! | [`placement_passes`] | runs placement passes at a limited rate |
//! | [`actions`] | carries out the scheduler's decisions |
//! | [`machine_records`] | writes and deletes the records of machines that may hold tasks |
//! | [`scaling`] | rents and returns machines, and ticks the scheduler's timers |
//! | [`cloud_inventory`] | reads the cloud's list of machines and the machine types |
//! | [`fencing`] | fences recorded machines, and raises the term above terms that workers report |

mod actions;
mod active_leader;
mod cancelled_jobs;
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
mod shared_state;
mod state;

use crate::environment::Environment;
use active_leader::ActiveLeader;
use corkfield_state::RateBudget;
use election::WonElection;
use handover::request_transfers;
use state::{LeadershipEnd, LeadershipState};
use std::rc::Rc;
use std::time::Duration;

pub use context::LeadershipContext;
pub use overview::answer_overview_request;
pub use shared_state::Leadership;

/// The leader's share of the state service's request rate limit. The other controllers divide the
/// rest equally.
const LEADER_REQUEST_SHARE: f64 = 0.6;
/// The leader's share of the state service's write rate limit. The other controllers divide the
/// rest equally.
const LEADER_WRITE_SHARE: f64 = 0.7;
/// Burst of writes that the leader may send at once, in seconds of its write rate.
const LEADER_BURST_S: f64 = 1.0;
/// Burst of writes that a standby may send at once, in seconds of its write rate. A standby writes
/// only what users send, which is little on average but arrives in bursts.
const STANDBY_BURST_S: f64 = 5.0;

/// Interval at which a standby checks whether it can claim the leader record. A change in the
/// replica triggers the check earlier.
const STANDBY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

const LEADER_BUDGET: RateBudget = RateBudget {
    request_share: LEADER_REQUEST_SHARE,
    write_share: LEADER_WRITE_SHARE,
    write_burst_s: LEADER_BURST_S,
};

/// Returns a standby's share of the state service's rate limits.
fn standby_budget(env: &Environment) -> RateBudget {
    let standbys = f64::from(env.settings.platform.service.size.saturating_sub(1).max(1));
    RateBudget {
        request_share: (1.0 - LEADER_REQUEST_SHARE) / standbys,
        write_share: (1.0 - LEADER_WRITE_SHARE) / standbys,
        write_burst_s: STANDBY_BURST_S,
    }
}

/// Runs election and leadership in an endless loop: stays on standby until the leader record can be
/// claimed, then leads.
///
/// Requests for a transfer of leadership are sent by a loop of their own: no wait for one may keep
/// this controller from the election.
pub async fn run(context: Rc<LeadershipContext>) {
    tokio::join!(run_elections(&context), request_transfers(&context));
}

async fn run_elections(context: &Rc<LeadershipContext>) {
    enter_standby(context);
    loop {
        if let Some(won) = election::try_claim_leadership(context).await {
            lead(context, won).await;
            enter_standby(context);
        }
        let changed = context.replica.changed.notified();
        context.env.timers.wait_for_event(STANDBY_CHECK_INTERVAL, changed).await;
    }
}

/// Enters the standby state and applies the standby's rate limits.
fn enter_standby(context: &LeadershipContext) {
    context.leadership.transition_to(LeadershipState::Standby);
    context.env.state.set_budget(standby_budget(&context.env));
}

/// Leads until the lease is lost, another controller claims the leader record, or leadership is
/// handed over.
async fn lead(context: &Rc<LeadershipContext>, won: WonElection) {
    let term = won.term;
    tracing::info!(term = term.get(), "leadership acquired");
    context.env.state.set_budget(LEADER_BUDGET);
    let leader = ActiveLeader::new(context.clone(), won);
    let end = tokio::select! {
        end = leader.wait_until_leadership_lost() => end,
        () = leader.wait_until_handed_over() => LeadershipEnd::HandedOver,
        () = leader.run() => LeadershipEnd::Replaced,
    };
    tracing::info!(term = term.get(), ?end, "leadership ended");
}
