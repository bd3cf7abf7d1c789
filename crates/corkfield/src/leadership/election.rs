//! Leader election: a conditional claim of the leader record once its holder is gone.

use super::context::LeadershipContext;
use super::state::LeadershipState;
use crate::replica::ReplicaContents;
use crate::session_lease::CurrentLease;
use crate::store_value::store_value;
use corkfield_state::RequestClass;
use corkfield_wire::records::{controller_key, LeaderRecord, LEADER_KEY};
use corkfield_wire::store::Transaction;
use corkfield_wire::{ControllerName, Revision, Term};
use std::ops::Range;
use std::time::Duration;

/// Time for which other controllers delay their claim after a handover, so that the named
/// successor claims first.
const SUCCESSOR_HEAD_START: Duration = Duration::from_secs(2);
/// Random delay of a claim without a named successor, in milliseconds.
const CLAIM_JITTER_MS: Range<u64> = 0..60;
/// While the replica contains no machine types, the leader record is claimed only if the last
/// successful read of the state service started at most this long ago.
const MAX_PROOF_AGE_WITHOUT_TYPES: Duration = Duration::from_secs(4);

/// A successful claim of the leader record.
pub(super) struct WonElection {
    /// This controller's lease and membership key, which the claim was conditional on.
    pub(super) membership: CurrentLease,
    /// Version of the leader record that the claim wrote.
    pub(super) record_version: Revision,
    /// The term of the claim. No other leader ever uses it.
    pub(super) term: Term,
}

/// Preconditions of a claim of the leader record.
struct Candidacy {
    membership: CurrentLease,
    /// The leader record in the replica.
    previous: Option<LeaderRecord>,
    /// Transaction with the conditions of the claim, but without changes.
    conditions: Transaction,
}

/// Who holds the leader record, and whether that controller still has its membership key.
enum HolderStatus {
    /// The record names no controller, or names this one although it is not leading, because the
    /// answer to its claim was lost or a loop of the leader panicked. This controller may claim
    /// the record again, under a new term.
    NoOtherHolder,
    /// Another controller holds the record and still has the membership key of that incarnation.
    Present,
    /// Another controller holds the record, but its membership key was deleted or rewritten by a
    /// later incarnation. `version` is the key's current version, 0 if the key does not exist.
    Gone { membership_key: String, version: Revision },
}

/// Claims the leader record if its holder is gone. Returns `None` if this controller may not claim
/// it now, or if the claim failed.
pub(super) async fn try_claim_leadership(context: &LeadershipContext) -> Option<WonElection> {
    let Candidacy { membership, previous, conditions } = prepare_candidacy(context)?;
    context.leadership.transition_to(LeadershipState::Electing);
    wait_before_claim(context, previous.as_ref()).await;
    let previous_term = previous.map_or(Term::default(), |record| record.term);
    let term = previous_term.max(context.leadership.highest_seen_term()).next();
    let record = LeaderRecord {
        node: Some(context.env.name.clone()),
        incarnation: membership.incarnation.clone(),
        term,
        successor: None,
    };
    let transaction = conditions.put(LEADER_KEY, store_value(&record));
    match context.env.state.commit(RequestClass::Claim, &transaction).await {
        Ok(record_version) => Some(WonElection { membership, record_version, term }),
        Err(error) => {
            tracing::debug!(term = term.get(), %error, "claim of the leader record failed");
            context.leadership.transition_to(LeadershipState::Standby);
            None
        }
    }
}

/// Collects the preconditions of a claim. Returns `None` if this controller has no valid lease, if
/// its replica is not usable, or if another controller holds the leader record and is present.
fn prepare_candidacy(context: &LeadershipContext) -> Option<Candidacy> {
    let lease = &context.session_lease;
    let membership = lease.current().filter(|_| lease.is_valid())?;
    let replica = &context.replica;
    let contents = replica.contents.borrow();
    if !replica.is_synced()
        || contents.machine_types.is_none() && replica.proof_age() > MAX_PROOF_AGE_WITHOUT_TYPES
    {
        return None;
    }
    let (previous, version) = match &contents.leader {
        Some(leader) => (Some(leader.record.clone()), leader.version),
        None => (None, Revision::NONE),
    };
    let own_name = &context.env.name;
    let mut conditions = Transaction::default()
        .when(LEADER_KEY, version)
        .when(controller_key(own_name.as_str()), membership.membership_version);
    match holder_status(&contents, previous.as_ref(), own_name) {
        HolderStatus::Present => return None,
        HolderStatus::Gone { membership_key, version } => {
            conditions = conditions.when(membership_key, version);
        }
        HolderStatus::NoOtherHolder => {}
    }
    Some(Candidacy { membership, previous, conditions })
}

/// Determines from the replica whether another controller holds the leader record.
fn holder_status(
    contents: &ReplicaContents,
    record: Option<&LeaderRecord>,
    own_name: &ControllerName,
) -> HolderStatus {
    let Some(record) = record else { return HolderStatus::NoOtherHolder };
    let Some(name) = record.node.as_ref().filter(|name| *name != own_name) else {
        return HolderStatus::NoOtherHolder;
    };
    if contents.is_holder_present(record) {
        return HolderStatus::Present;
    }
    let version =
        contents.controllers.get(name).map_or(Revision::NONE, |membership| membership.version);
    HolderStatus::Gone { membership_key: controller_key(name.as_str()), version }
}

/// Delays the claim: until the named successor had time to claim first, or else for a short random
/// time, so that not all controllers claim at once.
async fn wait_before_claim(context: &LeadershipContext, previous: Option<&LeaderRecord>) {
    let successor = previous.and_then(|record| record.successor.as_ref());
    if successor.is_some_and(|name| *name != context.env.name) {
        tokio::time::sleep(SUCCESSOR_HEAD_START).await;
    } else {
        context.env.sleep_random(CLAIM_JITTER_MS).await;
    }
}

#[cfg(test)]
mod tests;
