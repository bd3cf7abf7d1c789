//! States of a controller in election and leadership.

use crate::clock::now;
use crate::session_lease::CurrentLease;
use corkfield_core::Scheduler;
use corkfield_wire::Revision;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// The leader's scheduler, shared by the leader's loops and the request handlers.
pub type SharedScheduler = Rc<RefCell<Scheduler>>;

/// The claim of the leader record under which this controller leads.
pub(super) struct LeadershipClaim {
    /// This controller's lease and membership key, which the claim was conditional on.
    pub(super) membership: CurrentLease,
    /// Version of the leader record as this controller last wrote it. Raising the term writes a
    /// new version.
    pub(super) record_version: Cell<Revision>,
}

/// State of a controller in election and leadership.
///
/// | from | to | when |
/// | --- | --- | --- |
/// | `Standby` | `Electing` | the leader record has no holder, or its holder is gone |
/// | `Electing` | `Standby` | the claim of the leader record was refused or not answered |
/// | `Electing` | `Preparing` | the leader record was claimed under a new term |
/// | `Preparing` | `Leading` | machine records are loaded and a first batch of jobs is claimed |
/// | `Preparing`, `Leading` | `Standby` | [`LeadershipEnd`], or a loop of the leader panics |
#[derive(Default)]
pub(super) enum LeadershipState {
    /// This controller neither leads nor claims the leader record.
    #[default]
    Standby,
    /// This controller is claiming the leader record.
    Electing,
    /// This controller holds the leader record but does not answer heartbeats yet.
    Preparing(Rc<LeadershipClaim>),
    /// This controller holds the leader record and answers heartbeats.
    Leading {
        /// The claim of the leader record.
        claim: Rc<LeadershipClaim>,
        /// The leader's scheduler.
        scheduler: SharedScheduler,
        /// When a worker's heartbeat was last accepted; initially, when this state was entered.
        last_heartbeat: Instant,
    },
}

impl LeadershipState {
    /// Returns the state of a leader that starts to answer heartbeats now.
    pub(super) fn leading(claim: Rc<LeadershipClaim>, scheduler: SharedScheduler) -> Self {
        Self::Leading { claim, scheduler, last_heartbeat: now() }
    }

    /// Returns the claim of the leader record; `None` while this controller does not hold it.
    pub(super) fn claim(&self) -> Option<&Rc<LeadershipClaim>> {
        match self {
            Self::Standby | Self::Electing => None,
            Self::Preparing(claim) | Self::Leading { claim, .. } => Some(claim),
        }
    }

    /// Returns the scheduler; `None` while this controller does not answer heartbeats.
    pub(super) fn scheduler(&self) -> Option<&SharedScheduler> {
        match self {
            Self::Leading { scheduler, .. } => Some(scheduler),
            Self::Standby | Self::Electing | Self::Preparing(_) => None,
        }
    }
}

/// Why a leader stops leading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LeadershipEnd {
    /// The lease under which the leader record was claimed has been lost.
    LeaseLost,
    /// Another controller claimed the leader record.
    Replaced,
    /// The leader released the record to a controller that workers can reach.
    HandedOver,
}
