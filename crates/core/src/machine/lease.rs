//! Tracks, for the controller, when a worker's lease may last have been renewed.

use corkfield_wire::Term;
use std::time::{Duration, Instant};

/// Upper bound for the last renewal of a worker's lease, and whether the lease has expired. The
/// worker's tasks count as stopped only once no controller can have renewed the lease for the lease
/// expiry timeout (S5). An earlier leader may renew it for a limited time (S6).
///
/// A worker renews its lease when a heartbeat is answered with status 200, by any controller. The
/// controller can't see whether an answer arrived, so it tracks the latest possible renewal.
#[derive(Debug)]
pub(crate) struct WorkerLease {
    /// Latest time at which a heartbeat can have been answered with status 200.
    last_renewal_at: Instant,
    /// Value of `last_renewal_at` before the newest answer; it applies if the worker did not
    /// receive that answer.
    previous_renewal_at: Instant,
    /// Term of the newest answer.
    answered_term: Term,
    /// Time until which an earlier leader may answer heartbeats; `None` once the worker has
    /// reported our term.
    earlier_leader_until: Option<Instant>,
    /// Whether it is unknown if the worker received the newest answer: a heartbeat with a lower
    /// term has arrived, and nothing tells whether it was written after that answer.
    is_renewal_uncertain: bool,
    /// Whether the lease has expired and no fresh heartbeat has arrived since.
    is_expired: bool,
}

impl WorkerLease {
    /// Creates a lease that was last renewed at `now` or earlier.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            last_renewal_at: now,
            previous_renewal_at: now,
            answered_term: Term::default(),
            earlier_leader_until: None,
            is_renewal_uncertain: false,
            is_expired: false,
        }
    }

    /// Sets the time until which an earlier leader may answer heartbeats and thereby renew the lease
    /// (S6).
    pub(crate) fn allow_renewal_by_earlier_leader_until(&mut self, at: Instant) {
        self.earlier_leader_until = Some(at);
    }

    /// Treats the lease as renewed at `now`, because the first heartbeat, or the first one after an
    /// expiry, is about to be answered. The answer may be delayed, and the lease would end
    /// before it is sent if its end were computed from a much earlier answer.
    pub(super) fn assume_renewed_at(&mut self, now: Instant) {
        self.last_renewal_at = self.last_renewal_at.max(now);
    }

    /// Records that a heartbeat is answered with status 200 under `term`.
    pub(crate) fn record_answer(&mut self, term: Term, now: Instant) {
        self.previous_renewal_at = self.last_renewal_at;
        self.last_renewal_at = now;
        self.answered_term = term;
    }

    /// Records a heartbeat that was provably written after the worker had received the newest
    /// answer, or had stopped waiting for it.
    ///
    /// If the heartbeat reports a lower term than that answer carried, the answer was not received
    /// and renewed no lease. Otherwise a machine that receives no answers would delay a failover
    /// for as long as its heartbeats arrive.
    pub(super) fn record_ordered_heartbeat(&mut self, term: Term) {
        if term < self.answered_term {
            self.is_renewal_uncertain = false;
            self.last_renewal_at = self.previous_renewal_at;
        } else {
            self.confirm_answer();
        }
    }

    /// Records a heartbeat that may have been written before the newest answer was received. For
    /// example, a delayed heartbeat may come from an earlier process than the one that received the
    /// answer.
    pub(super) fn record_unordered_heartbeat(&mut self, term: Term) {
        if term < self.answered_term {
            self.is_renewal_uncertain = true;
        } else {
            self.confirm_answer();
        }
    }

    /// Records that the worker knows the term of the newest answer, so that it ignores answers of
    /// earlier leaders.
    fn confirm_answer(&mut self) {
        self.is_renewal_uncertain = false;
        if self.answered_term != Term::default() {
            self.earlier_leader_until = None;
        }
    }

    /// Returns whether the next heartbeat should not be answered with status 200. Another answer
    /// would only raise the controller's upper bound for the last renewal of a lease that the worker
    /// may never have renewed.
    ///
    /// While an earlier leader may still answer, the bound is the end of that time anyway, so
    /// an answer does not raise it.
    pub(crate) fn should_withhold_answer(&self, now: Instant) -> bool {
        self.is_renewal_uncertain && self.earlier_leader_until.is_none_or(|until| now > until)
    }

    /// Returns whether no controller can have renewed the lease within the last `expiry_timeout`
    /// (S5). Returns false for a lease that is marked as expired already.
    pub(super) fn is_expiry_due(&self, now: Instant, expiry_timeout: Duration) -> bool {
        let until = self.earlier_leader_until;
        let renewed_at =
            until.map_or(self.last_renewal_at, |until| until.max(self.last_renewal_at));
        !self.is_expired && now.saturating_duration_since(renewed_at) > expiry_timeout
    }

    /// Marks the lease as expired: the worker has stopped its tasks.
    pub(super) fn expire(&mut self) {
        self.is_expired = true;
        self.is_renewal_uncertain = false;
        self.earlier_leader_until = None;
    }

    /// Starts a new lease on a fresh heartbeat if the previous lease has expired.
    pub(crate) fn restart_if_expired(&mut self, now: Instant) {
        if self.is_expired {
            self.is_expired = false;
            self.assume_renewed_at(now);
        }
    }

    /// Returns whether the lease has expired and no fresh heartbeat has arrived since.
    pub(super) fn is_expired(&self) -> bool {
        self.is_expired
    }
}
