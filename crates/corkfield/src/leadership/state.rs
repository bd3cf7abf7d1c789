//! The state machine of election and leading.

use crate::clock::now;
use crate::session_lease::CurrentLease;
use corkfield_core::Scheduler;
use corkfield_wire::Revision;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// The scheduler of the leader, shared by all loops and handlers that serve it.
pub type SharedScheduler = Rc<RefCell<Scheduler>>;

/// The claim of the leader record that this controller leads under.
pub(super) struct LeadershipClaim {
    /// The membership key that the claim is conditional on.
    pub(super) membership: CurrentLease,
    /// Version of the leader record that the claim rests on; a raised term is a new version.
    pub(super) record_version: Cell<Revision>,
}

/// A controller's part in election and leading.
///
/// | from | to | when |
/// | --- | --- | --- |
/// | `Standby` | `Electing` | the leader record is nobody's, or its holder is gone |
/// | `Electing` | `Standby` | the claim of the leader record was refused, or had no answer |
/// | `Electing` | `Preparing` | the leader record was claimed, under a new term |
/// | `Preparing` | `Leading` | recorded machines are loaded and a first batch of jobs is claimed |
/// | `Preparing`, `Leading` | `Standby` | a [`LeadershipEnd`], or the loops of the leader broke off |
#[derive(Default)]
pub(super) enum LeadershipState {
    /// Another controller leads, or none can.
    #[default]
    Standby,
    /// Claiming the leader record.
    Electing,
    /// The leader record is claimed; no heartbeat is answered yet.
    Preparing(Rc<LeadershipClaim>),
    /// Serving workers.
    Leading {
        /// What it leads under.
        claim: Rc<LeadershipClaim>,
        /// What decides for it.
        scheduler: SharedScheduler,
        /// When a worker's heartbeat was accepted last; at first, when leading began.
        last_heartbeat: Instant,
    },
}

impl LeadershipState {
    /// The state of a leader that begins to answer workers now.
    pub(super) fn leading(claim: Rc<LeadershipClaim>, scheduler: SharedScheduler) -> Self {
        Self::Leading { claim, scheduler, last_heartbeat: now() }
    }

    /// The claim of the leader record, while this controller holds it.
    pub(super) fn claim(&self) -> Option<&Rc<LeadershipClaim>> {
        match self {
            Self::Standby | Self::Electing => None,
            Self::Preparing(claim) | Self::Leading { claim, .. } => Some(claim),
        }
    }

    /// The scheduler, while this controller answers workers.
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
    /// The lease that the claim rests on has ended.
    LeaseLost,
    /// Another controller claimed the leader record.
    Replaced,
    /// It left its place to a controller that its workers reach.
    HandedOver,
}
