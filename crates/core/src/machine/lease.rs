//! The lease of a worker, as far as this controller can know it.

use corkfield_wire::Term;
use std::time::{Duration, Instant};

/// When a worker's lease can have been renewed last, and whether it has expired since (S5, S6).
///
/// A worker's lease is renewed by each heartbeat that is answered with 200, by any controller.
#[derive(Debug)]
pub(crate) struct WorkerLease {
    /// The last moment at which a heartbeat can have been answered with 200.
    answered_at: Instant,
    /// The same before the newest answer, in case that one was not received.
    answered_before: Instant,
    /// The term of the newest answer.
    answered_term: Term,
    /// Until when an earlier leader may answer: the worker has not shown that it knows our term.
    earlier_leader_until: Option<Instant>,
    /// A heartbeat below the newest answer's term has come since, and nothing tells whether it was
    /// written after that answer: it may have renewed the lease, or not.
    is_answer_doubtful: bool,
    /// It has expired, and the worker has sent no fresh heartbeat since.
    expired: bool,
}

impl WorkerLease {
    /// A lease that may have been renewed at `now`, but not later.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            answered_at: now,
            answered_before: now,
            answered_term: Term::default(),
            earlier_leader_until: None,
            is_answer_doubtful: false,
            expired: false,
        }
    }

    /// An earlier leader may have answered heartbeats until this moment (S6).
    pub(crate) fn allow_renewal_by_earlier_leader_until(&mut self, at: Instant) {
        self.earlier_leader_until = Some(at);
    }

    /// The first heartbeat, or the first after an expiry, is going to be answered, perhaps not
    /// at once. Counted from an answer long ago, the lease would be over before that.
    pub(super) fn assume_renewed_at(&mut self, now: Instant) {
        self.answered_at = self.answered_at.max(now);
    }

    /// A heartbeat is answered with 200 under this term.
    pub(crate) fn record_answer(&mut self, term: Term, now: Instant) {
        self.answered_before = self.answered_at;
        self.answered_at = now;
        self.answered_term = term;
    }

    /// The worker's next own heartbeat has come, with the term given, and was surely written after
    /// it took the newest answer or gave it up. So a lower term than that answer's shows that it was
    /// not taken, and renewed no lease: otherwise a machine that no answer reaches would hold up a
    /// failover for as long as its heartbeats come.
    pub(super) fn record_ordered_heartbeat(&mut self, term: Term) {
        if term < self.answered_term {
            self.is_answer_doubtful = false;
            self.answered_at = self.answered_before;
        } else {
            self.confirm_answer();
        }
    }

    /// A heartbeat has come of which nothing tells whether it was written after the newest answer:
    /// one that was held back may be of a process before the one that took it.
    pub(super) fn record_unordered_heartbeat(&mut self, term: Term) {
        if term < self.answered_term {
            self.is_answer_doubtful = true;
        } else {
            self.confirm_answer();
        }
    }

    /// The worker knows our term: it drops whatever an earlier leader still answers.
    fn confirm_answer(&mut self) {
        self.is_answer_doubtful = false;
        if self.answered_term != Term::default() {
            self.earlier_leader_until = None;
        }
    }

    /// Whether another answer would only lengthen a lease that may never have been renewed. An
    /// earlier leader may have renewed it until a while ago: until then another answer costs
    /// nothing.
    pub(crate) fn should_withhold_answer(&self, now: Instant) -> bool {
        self.is_answer_doubtful && self.earlier_leader_until.is_none_or(|until| now > until)
    }

    /// Whether no controller can have renewed it for longer than it lasts (S5).
    pub(super) fn is_expiry_due(&self, now: Instant, expiry_after: Duration) -> bool {
        let until = self.earlier_leader_until;
        let renewed_at = until.map_or(self.answered_at, |until| until.max(self.answered_at));
        !self.expired && now.saturating_duration_since(renewed_at) > expiry_after
    }

    /// The lease has expired: the worker has stopped its tasks.
    pub(super) fn expire(&mut self) {
        self.expired = true;
        self.is_answer_doubtful = false;
        self.earlier_leader_until = None;
    }

    /// If the lease had expired, a fresh heartbeat begins a new one.
    pub(crate) fn restart_if_expired(&mut self, now: Instant) {
        if self.expired {
            self.expired = false;
            self.assume_renewed_at(now);
        }
    }

    /// Whether it has expired and the worker has sent no fresh heartbeat since.
    pub(super) fn is_expired(&self) -> bool {
        self.expired
    }
}
