//! The parts of a controller that election and leading work with.

use super::state::LeadershipClaim;
use super::Leadership;
use crate::environment::Environment;
use crate::peers::Peers;
use crate::replica::StoreReplica;
use crate::session_lease::SessionLease;
use std::rc::Rc;

/// Handles of the controller's parts, shared by all loops of election and leading.
pub struct LeadershipContext {
    /// Settings, clients of outside services, timers and random numbers.
    pub env: Rc<Environment>,
    /// The local copy of the store's keys.
    pub replica: Rc<StoreReplica>,
    /// This controller's lease and membership key.
    pub session_lease: Rc<SessionLease>,
    /// The other controllers.
    pub peers: Rc<Peers>,
    /// State that is shared with the handlers of users, workers and peers.
    pub leadership: Rc<Leadership>,
}

impl LeadershipContext {
    /// Whether starts may leave, and machines be rented or returned (S4).
    pub(super) fn may_start(&self) -> bool {
        self.leadership.may_start(&self.session_lease)
    }

    /// Whether the lease that the claim rests on has ended.
    pub(super) fn lost_lease_of(&self, claim: &LeadershipClaim) -> bool {
        let current = self.session_lease.current();
        current.is_none_or(|current| current.incarnation != claim.membership.incarnation)
    }

    /// How many changes a transaction of the state service may have; one at least.
    pub(super) fn max_transaction_changes(&self) -> usize {
        self.env.settings.platform.service.state.txn_ops.max(1) as usize
    }
}
