//! How many processes of a worker may know the leader's term.
//!
//! A worker that restarts at once numbers its messages from the beginning and forgets the term that
//! it knew. While only one of its processes can ever have known our term, every message that
//! reports the term comes from that process, so the message numbers tell which of two such messages
//! was written later (S5a, S10).

use super::MessageNumber;
use corkfield_wire::Term;

/// How many of a worker's processes may know a term.
///
/// | from | event | to |
/// | --- | --- | --- |
/// | `NotSent` | an answer or direct orders are sent under the term | `SentOnce` |
/// | `NotSent` | a message reports the term | `MaybeSeveral` |
/// | `SentOnce` | another answer, or other direct orders, are sent under the term | `MaybeSeveral` |
/// | `SentOnce` | a message reports the term | `OneProcess` |
/// | `OneProcess` | an answer is sent to a heartbeat older than the first that reported the term | `MaybeSeveral` |
/// | `OneProcess` | direct orders are sent, and the known process answers them | `OneProcess` |
/// | `OneProcess` | direct orders stay unanswered, or another process may have answered | `MaybeSeveral` |
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum TermKnowledge {
    /// Nothing was sent to the worker under the term.
    #[default]
    NotSent,
    /// One answer, or one set of direct orders, was sent under the term.
    SentOnce,
    /// Only one process can know the term: it was sent once before a message reported it.
    OneProcess {
        /// Number of the first message that reported the term.
        first: MessageNumber,
        /// Number of direct orders that await their answer. Any process that receives them learns
        /// the term.
        direct_orders: u32,
    },
    /// More than one process may know the term.
    MaybeSeveral,
}

/// How many of a worker's processes may know the leader's current term.
#[derive(Debug, Default)]
pub(crate) struct TermExposure {
    term: Term,
    knowledge: TermKnowledge,
}

impl TermExposure {
    /// Returns whether exactly one process of the worker can know the term. Returns false while
    /// direct orders await their answer.
    pub(crate) fn is_known_to_one_process(&self, term: Term) -> bool {
        let is_known_to_one =
            matches!(self.knowledge, TermKnowledge::OneProcess { direct_orders: 0, .. });
        self.term == term && is_known_to_one
    }

    /// Records that the heartbeat `answered` is answered under the term.
    pub(crate) fn record_answer(&mut self, term: Term, answered: MessageNumber) {
        self.reset_if_new_term(term);
        let next = match self.knowledge {
            TermKnowledge::OneProcess { first, .. } if answered >= first => return,
            TermKnowledge::NotSent => TermKnowledge::SentOnce,
            _ => TermKnowledge::MaybeSeveral,
        };
        self.transition_to(next);
    }

    /// Records that direct orders are sent under the term. Returns whether their result has to be
    /// passed to [`Self::end_direct_orders`].
    pub(crate) fn record_direct_orders(&mut self, term: Term) -> bool {
        self.reset_if_new_term(term);
        let next = match self.knowledge {
            TermKnowledge::OneProcess { first, direct_orders } => {
                TermKnowledge::OneProcess { first, direct_orders: direct_orders + 1 }
            }
            TermKnowledge::NotSent => TermKnowledge::SentOnce,
            _ => TermKnowledge::MaybeSeveral,
        };
        self.transition_to(next);
        matches!(next, TermKnowledge::OneProcess { .. })
    }

    /// Records the result of direct orders. `by_known_process` is true if the known process
    /// answered them; it is false if they stayed unanswered or another process may have answered.
    pub(crate) fn end_direct_orders(&mut self, by_known_process: bool) {
        let TermKnowledge::OneProcess { first, direct_orders } = self.knowledge else {
            return;
        };
        self.transition_to(if by_known_process && direct_orders > 0 {
            TermKnowledge::OneProcess { first, direct_orders: direct_orders - 1 }
        } else {
            TermKnowledge::MaybeSeveral
        });
    }

    /// Records that a message which is not outdated reports the term.
    pub(crate) fn record_reported(&mut self, term: Term, number: MessageNumber) {
        self.reset_if_new_term(term);
        let next = match self.knowledge {
            TermKnowledge::OneProcess { .. } => return,
            TermKnowledge::SentOnce => {
                TermKnowledge::OneProcess { first: number, direct_orders: 0 }
            }
            TermKnowledge::NotSent | TermKnowledge::MaybeSeveral => TermKnowledge::MaybeSeveral,
        };
        self.transition_to(next);
    }

    /// Starts again from `NotSent` if `term` differs from the current term.
    fn reset_if_new_term(&mut self, term: Term) {
        if self.term != term {
            *self = Self { term, knowledge: TermKnowledge::NotSent };
        }
    }

    /// Changes how many processes may know the current term. All changes except the reset for a new
    /// term go through this method.
    fn transition_to(&mut self, knowledge: TermKnowledge) {
        self.knowledge = knowledge;
    }
}
