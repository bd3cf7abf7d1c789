//! The state of election and leadership that request handlers share with the leader's loops.

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

/// A leader known for longer than this has received heartbeats from all workers that can reach it.
const LEADER_SETTLED_AFTER: Duration = Duration::from_secs(10);
/// Maximum time that a heartbeat waits for a placement pass.
const MAX_PASS_WAIT: Duration = Duration::from_secs(1);

/// State of election and leadership, shared with the handlers of requests from users, workers and
/// peers.
#[derive(Default)]
pub struct Leadership {
    state: RefCell<LeadershipState>,
    cancelled: RefCell<CancelledJobs>,
    /// Answers to heartbeats that are held until there are orders.
    pub(super) held_answers: HeldAnswers,
    /// Direct orders in flight.
    pub(super) direct_orders: DirectOrdersInFlight,
    /// Notified when preparation has ended, whether this controller then leads or not.
    preparation_ended: Notify,
    /// Notified when the scheduler may have produced actions.
    pub(super) actions_pending: Notify,
    /// Notified when completion commits may be due.
    pub(super) commits_due: Notify,
    /// Notified when a placement pass is requested.
    pub(super) pass_requested: Notify,
    /// Notified when a placement pass has ended.
    pub(super) pass_done: Notify,
    /// The highest term that a worker has reported as above this controller's.
    highest_seen_term: Cell<Term>,
    /// Number of heartbeats since the process started that workers sent to this controller although
    /// another one had led for longer than [`LEADER_SETTLED_AFTER`].
    misdirected_heartbeats: Cell<u64>,
    /// Whether there were such heartbeats since the last transfer request.
    has_new_misdirected_heartbeats: Cell<bool>,
}

impl Leadership {
    /// Changes the state. When this controller stops leading, all held answers are released and all
    /// tasks that wait for preparation or for a placement pass are woken.
    pub(super) fn transition_to(&self, next: LeadershipState) {
        let has_scheduler = next.scheduler().is_some();
        let is_without_claim = next.claim().is_none();
        let previous = self.state.replace(next);
        if has_scheduler {
            self.preparation_ended.notify_waiters();
        }
        if is_without_claim && previous.claim().is_some() {
            self.preparation_ended.notify_waiters();
            self.pass_done.notify_waiters();
            self.held_answers.release_all();
        }
    }

    /// Returns whether this controller holds the leader record, whether or not it has prepared.
    pub fn is_leading(&self) -> bool {
        self.state.borrow().claim().is_some()
    }

    /// Returns whether this controller leads and answers heartbeats.
    pub fn is_ready(&self) -> bool {
        self.state.borrow().scheduler().is_some()
    }

    /// Waits until the preparation of this leader ends, whether it then leads or not.
    pub async fn wait_for_preparation(&self) {
        self.preparation_ended.notified().await;
    }

    /// Returns the scheduler; `None` unless this controller leads and answers heartbeats.
    pub fn scheduler(&self) -> Option<SharedScheduler> {
        self.state.borrow().scheduler().cloned()
    }

    /// Returns whether the replica shows a claim of the leader record by another incarnation that
    /// is newer than this controller's claim; also true if this controller holds no claim. Checked
    /// before each answer to a heartbeat, as the loop that ends leadership may lag: fresh state
    /// that shows a successor does not entitle this controller to answer (S6).
    pub fn is_replaced(&self, contents: &ReplicaContents) -> bool {
        let state = self.state.borrow();
        state.claim().is_none_or(|claim| {
            contents.leader.as_ref().is_some_and(|leader| {
                leader.record.incarnation != claim.membership.incarnation
                    && leader.version > claim.record_version.get()
            })
        })
    }

    /// Returns the term under which this controller leads; `None` unless it answers heartbeats.
    pub fn term(&self) -> Option<Term> {
        Some(self.scheduler()?.borrow().term())
    }

    /// Returns whether this controller holds the leader record and `lease`, by the local clock, is
    /// still valid and is the one under which the record was claimed. Start orders may be sent
    /// (S4), and machines may be returned, only then. A new lease acquired after a loss does not
    /// cover earlier claims.
    pub fn has_valid_lease(&self, lease: &SessionLease) -> bool {
        let state = self.state.borrow();
        let Some(claim) = state.claim() else { return false };
        lease.is_valid()
            && lease
                .current()
                .is_some_and(|current| current.incarnation == claim.membership.incarnation)
    }

    /// Closes jobs that have finished or were cancelled. Runs synchronously, so that stopping the
    /// tasks of a cancelled job waits neither for a claim in progress nor for the retry of a read.
    pub fn close_jobs(&self, jobs: &[JobId]) {
        let Some(scheduler) = self.scheduler().filter(|_| !jobs.is_empty()) else { return };
        for id in jobs {
            scheduler.borrow_mut().close_job(id);
        }
        self.actions_pending.notify_one();
    }

    /// Closes all jobs that have finished or were cancelled, which are those that are not in
    /// `unfinished`; see [`Self::close_jobs`].
    pub fn close_ended_jobs(&self, unfinished: &BTreeMap<JobId, Versioned<JobRecord>>) {
        let Some(scheduler) = self.scheduler() else { return };
        scheduler.borrow_mut().close_ended_jobs(|id| unfinished.contains_key(id));
        self.actions_pending.notify_one();
    }

    /// Records that the state service holds the job as cancelled, and closes the job. This
    /// controller committed or read the cancellation itself, or was notified by another controller
    /// that did. The replica may not show it yet, as it may lag or the state service may refuse
    /// this controller.
    pub fn record_cancelled(&self, id: &JobId) {
        self.cancelled.borrow_mut().insert(id, now());
        self.close_jobs(std::slice::from_ref(id));
    }

    /// Returns whether the job is known to be cancelled, even if the replica still shows it.
    pub(super) fn is_cancelled(&self, id: &JobId) -> bool {
        self.cancelled.borrow().contains(id)
    }

    /// Removes cancelled jobs that became known before the newest read of the state service was
    /// started, as that read contains their cancellation. If the replica still shows such a job as
    /// unfinished, a faulty controller reported it as cancelled: its tasks were stopped for no
    /// reason, and it is claimed again.
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

    /// Records that a worker's heartbeat was accepted, and wakes the loop that carries out the
    /// scheduler's actions, as the heartbeat may have led to some.
    pub fn record_heartbeat(&self) {
        if let LeadershipState::Leading { last_heartbeat, .. } = &mut *self.state.borrow_mut() {
            *last_heartbeat = now();
        }
        self.actions_pending.notify_one();
    }

    /// Returns the time since a worker's heartbeat was last accepted; `None` unless this controller
    /// answers heartbeats.
    pub(super) fn time_since_heartbeat(&self) -> Option<Duration> {
        match &*self.state.borrow() {
            LeadershipState::Leading { last_heartbeat, .. } => {
                Some(now().saturating_duration_since(*last_heartbeat))
            }
            _ => None,
        }
    }

    /// Requests a placement pass.
    pub fn request_pass(&self) {
        self.pass_requested.notify_one();
    }

    /// Requests a placement pass and waits until one ends, for [`MAX_PASS_WAIT`] at most. One pass
    /// serves all waiting heartbeats: a pass per heartbeat would cost a leader with hundreds of
    /// machines more than its CPU share.
    pub async fn wait_for_pass(&self) {
        let pass_done = self.pass_done.notified();
        self.request_pass();
        let _ = tokio::time::timeout(MAX_PASS_WAIT, pass_done).await;
    }

    /// Records a term reported by a worker that is higher than this leader's. The next term must be
    /// higher still.
    pub fn record_higher_term(&self, term: Term) {
        self.highest_seen_term.set(self.highest_seen_term.get().max(term));
    }

    /// Returns the highest recorded term since the process started; the default term if there is
    /// none.
    pub(super) fn highest_seen_term(&self) -> Term {
        self.highest_seen_term.get()
    }

    /// Holds the answer to the machine's heartbeat; the returned signal is notified when the answer
    /// should be sent.
    pub fn hold_answer(&self, machine: &str) -> Rc<Notify> {
        self.held_answers.hold(machine)
    }

    /// Removes a held answer that was sent, unless a later answer to the machine has replaced it.
    pub fn remove_held_answer(&self, machine: &str, release_signal: &Rc<Notify>) {
        self.held_answers.remove(machine, release_signal);
    }

    /// Records that a worker sent its heartbeat to this controller although another one leads. If
    /// the leader has been known for longer than [`LEADER_SETTLED_AFTER`], workers may be unable to
    /// reach it. Earlier heartbeats are ignored, as workers are still looking for the new leader.
    pub fn record_misdirected_heartbeat(&self, leader_known_for: Duration) {
        if leader_known_for > LEADER_SETTLED_AFTER {
            self.misdirected_heartbeats.set(self.misdirected_heartbeats.get() + 1);
            self.has_new_misdirected_heartbeats.set(true);
        }
    }

    /// Returns the transfer request to store for the leader, one for all misdirected heartbeats
    /// since the last call; `None` if there were none.
    pub(super) fn take_transfer_request(&self) -> Option<TransferRequest> {
        let is_needed = self.has_new_misdirected_heartbeats.take();
        is_needed.then(|| TransferRequest { count: self.misdirected_heartbeats.get() })
    }
}

#[cfg(test)]
mod tests;
