//! Claiming the leader record once its holder is gone.

use super::context::LeadershipContext;
use super::state::LeadershipState;
use crate::replica::ReplicaContents;
use crate::session_lease::CurrentLease;
use crate::store_value::store_value;
use corkfield_state::RequestClass;
use corkfield_wire::records::{controller_key, LeaderRecord, LEADER_KEY};
use corkfield_wire::store::Transaction;
use corkfield_wire::{ControllerName, Revision, Term};
use std::time::Duration;

/// Other controllers leave the named successor this long to take over.
const SUCCESSOR_HEAD_START: Duration = Duration::from_secs(2);
/// Without machine types a replica whose newest read is older than this is no reason to claim.
const MAX_PROOF_AGE_WITHOUT_TYPES: Duration = Duration::from_secs(4);

/// A claimed leader record.
pub(super) struct Elected {
    /// The membership key that the claim is conditional on.
    pub(super) membership: CurrentLease,
    /// Version of the leader record as it was claimed.
    pub(super) record_version: Revision,
    /// A term that nobody else ever holds.
    pub(super) term: Term,
}

/// What a claim of the leader record rests on.
struct Candidacy {
    membership: CurrentLease,
    /// The leader record as the replica shows it.
    previous: Option<LeaderRecord>,
    /// Holds the conditions of the claim, and no change yet.
    conditions: Transaction,
}

/// Who holds the leader record.
enum Holder {
    /// Nobody; or this controller, which does not lead: the answer to its claim was lost, or
    /// leading broke off. It claims anew, under a new term.
    NobodyElse,
    /// Another controller, which is still there.
    Present,
    /// Another controller, whose membership key has this version now: of a later incarnation, or
    /// 0 without one.
    Gone { membership_key: String, version: Revision },
}

/// Claims the leader record if its holder is gone; `None` if it is not, or the claim failed.
pub(super) async fn elect(context: &LeadershipContext) -> Option<Elected> {
    let Candidacy { membership, previous, conditions } = candidacy(context)?;
    context.leadership.enter(LeadershipState::Electing);
    give_precedence(context, previous.as_ref()).await;
    let previous_term = previous.map_or(Term::default(), |record| record.term);
    let term = previous_term.max(context.leadership.highest_seen_term()).next();
    let record = LeaderRecord {
        node: Some(context.env.name.clone()),
        incarnation: membership.incarnation.clone(),
        term,
        successor: None,
    };
    let transaction = conditions.put(LEADER_KEY, store_value(&record));
    match context.env.state.transaction(RequestClass::Claim, &transaction).await {
        Ok(record_version) => Some(Elected { membership, record_version, term }),
        Err(error) => {
            tracing::debug!(term = term.get(), %error, "claim of the leader record failed");
            context.leadership.enter(LeadershipState::Standby);
            None
        }
    }
}

/// `None` without a valid lease, without a usable replica, or while the leader is there.
fn candidacy(context: &LeadershipContext) -> Option<Candidacy> {
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
    match holder(&contents, previous.as_ref(), own_name) {
        Holder::Present => return None,
        Holder::Gone { membership_key, version } => {
            conditions = conditions.when(membership_key, version);
        }
        Holder::NobodyElse => {}
    }
    Some(Candidacy { membership, previous, conditions })
}

fn holder(
    contents: &ReplicaContents,
    record: Option<&LeaderRecord>,
    own_name: &ControllerName,
) -> Holder {
    let Some(record) = record else { return Holder::NobodyElse };
    let Some(name) = record.node.as_ref().filter(|name| *name != own_name) else {
        return Holder::NobodyElse;
    };
    if contents.is_holder_present(record) {
        return Holder::Present;
    }
    let version =
        contents.controllers.get(name).map_or(Revision::NONE, |membership| membership.version);
    Holder::Gone { membership_key: controller_key(name.as_str()), version }
}

/// Lets a named successor take over first; and not all controllers claim at once.
async fn give_precedence(context: &LeadershipContext, previous: Option<&LeaderRecord>) {
    let successor = previous.and_then(|record| record.successor.as_ref());
    if successor.is_some_and(|name| *name != context.env.name) {
        tokio::time::sleep(SUCCESSOR_HEAD_START).await;
    } else {
        context.env.sleep_random(0..60).await;
    }
}

#[cfg(test)]
mod tests;
