//! What a controller's other parts see of election and leading, and their messages to its loops.

use super::cancelled_jobs::CancelledJobs;
use super::direct_orders::DirectOrdersInFlight;
use super::held_answers::HeldAnswers;
use super::state::{LeadershipState, SharedScheduler};
use crate::clock::now;
use crate::replica::{ReplicaContents, StoreReplica};
use crate::session_lease::SessionLease;
use corkfield_wire::records::{JobRecord, TransferRequest, Versioned};
use corkfield_wire::{JobId, Term};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// A leader known for this long has heard from all workers that reach it.
const LEADER_SETTLED_AFTER: Duration = Duration::from_secs(10);
/// No heartbeat waits longer than this for a placement pass.
const MAX_PASS_WAIT: Duration = Duration::from_secs(1);

/// Election and leading as the handlers of users, workers and peers see them.
#[derive(Default)]
pub struct Leadership {
    state: RefCell<LeadershipState>,
    cancelled: RefCell<CancelledJobs>,
    /// Answers to workers that wait for orders.
    pub(super) held_answers: HeldAnswers,
    /// Direct orders that machines have not answered yet.
    pub(super) direct_orders: DirectOrdersInFlight,
    /// Preparation of the leader has ended, in leading or not.
    ready: Notify,
    /// The scheduler may have decided something to be carried out.
    pub(super) actions_pending: Notify,
    /// Finished tasks may be due to be stored.
    pub(super) commits_due: Notify,
    /// Something changed that a placement pass should see.
    pub(super) pass_requested: Notify,
    /// A placement pass has ended.
    pub(super) pass_done: Notify,
    highest_seen_term: Cell<Term>,
    /// Workers that came here although their leader was known, since the process began.
    misdirected_heartbeats: Cell<u64>,
    has_new_misdirected_heartbeats: Cell<bool>,
}

impl Leadership {
    /// Changes the state. Whoever waits for a leader that stops leading goes on at once.
    pub(super) fn enter(&self, next: LeadershipState) {
        let becomes_ready = next.scheduler().is_some();
        let stops = next.claim().is_none();
        let previous = self.state.replace(next);
        if becomes_ready {
            self.ready.notify_waiters();
        }
        if stops && previous.claim().is_some() {
            self.ready.notify_waiters();
            self.pass_done.notify_waiters();
            self.held_answers.answer_all();
        }
    }

    /// Whether this controller holds the leader record, prepared or not.
    pub fn is_leading(&self) -> bool {
        self.state.borrow().claim().is_some()
    }

    /// Whether this controller leads and answers workers.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().scheduler().is_some()
    }

    /// Waits until preparation of the leader ends, in leading or not.
    pub async fn wait_for_preparation(&self) {
        self.ready.notified().await;
    }

    /// The scheduler, while this controller leads and answers workers.
    pub fn scheduler(&self) -> Option<SharedScheduler> {
        self.state.borrow().scheduler().cloned()
    }

    /// Whether the replica shows that another controller claimed the leader record since. Asked
    /// before each answer to a heartbeat, as the loop that ends the leader may lag: fresh
    /// state that shows a successor is no proof to answer from (S6).
    pub fn is_replaced(&self, contents: &ReplicaContents) -> bool {
        let state = self.state.borrow();
        state.claim().is_none_or(|claim| {
            contents.leader.as_ref().is_some_and(|leader| {
                leader.record.incarnation != claim.membership.incarnation
                    && leader.version > claim.record_version.get()
            })
        })
    }

    /// The term under which this controller leads.
    pub fn term(&self) -> Option<Term> {
        Some(self.scheduler()?.borrow().term())
    }

    /// Whether starts may leave (S4), and machines be returned: the lease that the claim rests on
    /// surely goes on. One that was lost and taken anew doesn't count for what was claimed before.
    pub fn has_valid_lease(&self, lease: &SessionLease) -> bool {
        let state = self.state.borrow();
        let Some(claim) = state.claim() else { return false };
        lease.is_valid()
            && lease
                .current()
                .is_some_and(|current| current.incarnation == claim.membership.incarnation)
    }

    /// These jobs are no longer unfinished. Stopping what was cancelled waits for nothing: not
    /// for a claim under way, nor for a read that is repeated.
    pub fn close_jobs(&self, jobs: &[JobId]) {
        let Some(scheduler) = self.scheduler().filter(|_| !jobs.is_empty()) else { return };
        for id in jobs {
            scheduler.borrow_mut().close_job(id);
        }
        self.actions_pending.notify_one();
    }

    /// The same for all that are not among the unfinished.
    pub fn close_all_but(&self, unfinished: &BTreeMap<JobId, Versioned<JobRecord>>) {
        let Some(scheduler) = self.scheduler() else { return };
        scheduler.borrow_mut().close_all_but(|id| unfinished.contains_key(id));
        self.actions_pending.notify_one();
    }

    /// The state service holds the job as cancelled: this controller committed that, or another
    /// one that did, or read it, said so. The replica may lag, or the service may refuse this
    /// controller.
    pub fn record_cancelled(&self, id: &JobId) {
        self.cancelled.borrow_mut().insert(id, now());
        self.close_jobs(std::slice::from_ref(id));
    }

    /// Whether the job is known to be cancelled, whatever the replica still shows.
    pub(super) fn is_cancelled(&self, id: &JobId) -> bool {
        self.cancelled.borrow().contains(id)
    }

    /// Drops what a read begun later shows: as a rule the job is no longer unfinished. If it still
    /// is, there is a fault in another controller; its tasks were stopped for nothing, and it is
    /// claimed anew.
    pub(super) fn prune_cancelled(&self, replica: &StoreReplica) {
        let Some(proven) = replica.proven_at() else { return };
        let mut cancelled = self.cancelled.borrow_mut();
        for id in cancelled.known_before(proven) {
            if replica.contents.borrow().jobs.contains_key(&id) {
                tracing::error!(job = %id, "job reported as cancelled is unfinished in the store");
            }
            cancelled.remove(&id);
        }
    }

    /// A worker's heartbeat was accepted; the scheduler may have decided something upon it.
    pub fn record_heartbeat(&self) {
        if let LeadershipState::Leading { last_heartbeat, .. } = &mut *self.state.borrow_mut() {
            *last_heartbeat = now();
        }
        self.actions_pending.notify_one();
    }

    /// How long no worker's heartbeat was accepted; `None` unless this controller answers workers.
    pub(super) fn time_since_heartbeat(&self) -> Option<Duration> {
        match &*self.state.borrow() {
            LeadershipState::Leading { last_heartbeat, .. } => {
                Some(now().saturating_duration_since(*last_heartbeat))
            }
            _ => None,
        }
    }

    /// Asks for a placement pass.
    pub fn request_pass(&self) {
        self.pass_requested.notify_one();
    }

    /// Asks for a placement pass, and waits for its end. One pass serves all that wait: a pass
    /// for each heartbeat costs a leader with hundreds of machines more than its processor share.
    pub async fn wait_for_pass(&self) {
        let pass_done = self.pass_done.notified();
        self.request_pass();
        let _ = tokio::time::timeout(MAX_PASS_WAIT, pass_done).await;
    }

    /// A worker has seen a term above ours: the next one has to lie above it.
    pub fn record_higher_term(&self, term: Term) {
        self.highest_seen_term.set(self.highest_seen_term.get().max(term));
    }

    /// The highest term that a worker has shown, since the process began.
    pub(super) fn highest_seen_term(&self) -> Term {
        self.highest_seen_term.get()
    }

    /// Notified when the machine's held answer should go.
    pub fn hold_answer(&self, machine: &str) -> Rc<Notify> {
        self.held_answers.hold(machine)
    }

    /// Forgets a held answer that went, unless a later one of the machine took its place.
    pub fn remove_held_answer(&self, machine: &str, answer_due: &Rc<Notify>) {
        self.held_answers.release(machine, answer_due);
    }

    /// A worker came here although the leader has been known for a while: it may be that the
    /// leader can't be reached. Workers that only look for a new leader are no such sign.
    pub fn record_misdirected_heartbeat(&self, leader_known_for: Duration) {
        if leader_known_for > LEADER_SETTLED_AFTER {
            self.misdirected_heartbeats.set(self.misdirected_heartbeats.get() + 1);
            self.has_new_misdirected_heartbeats.set(true);
        }
    }

    /// What is to be stored for the leader to see, once for all stray workers since the last call.
    pub(super) fn take_transfer_request(&self) -> Option<TransferRequest> {
        let wanted = self.has_new_misdirected_heartbeats.take();
        wanted.then(|| TransferRequest { count: self.misdirected_heartbeats.get() })
    }
}

#[cfg(test)]
mod tests;
