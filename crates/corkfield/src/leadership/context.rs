//! The components of a controller that election and leadership use.

use super::state::LeadershipClaim;
use super::Leadership;
use crate::environment::Environment;
use crate::peers::Peers;
use crate::replica::StoreReplica;
use crate::session_lease::SessionLease;
use std::rc::Rc;

/// Handles to the controller's components, shared by all loops of election and leadership.
pub struct LeadershipContext {
    /// Settings, clients of external services, timers and the random number generator.
    pub env: Rc<Environment>,
    /// The replica of the state service's records.
    pub replica: Rc<StoreReplica>,
    /// This controller's session lease and membership key.
    pub session_lease: Rc<SessionLease>,
    /// Last known state of the other controllers.
    pub peers: Rc<Peers>,
    /// State shared with the handlers of requests from users, workers and peers.
    pub leadership: Rc<Leadership>,
}

impl LeadershipContext {
    /// Returns whether this controller leads and the lease behind its claim is still valid. Start
    /// orders may be sent, and machines may be returned, only then (S4).
    pub(super) fn has_valid_lease(&self) -> bool {
        self.leadership.has_valid_lease(&self.session_lease)
    }

    /// Returns whether the lease under which `claim` was made has been lost.
    pub(super) fn has_lost_lease(&self, claim: &LeadershipClaim) -> bool {
        let current = self.session_lease.current();
        current.is_none_or(|current| current.incarnation != claim.membership.incarnation)
    }

    /// Returns the maximum number of changes in a transaction of the state service; at least one.
    pub(super) fn max_transaction_changes(&self) -> usize {
        self.env.settings.platform.service.state.txn_ops.max(1) as usize
    }
}
