//! How many processes of a worker may know our term.
//!
//! A worker that is back within an instant counts its messages anew, and has forgotten the term. As
//! long as only one of its processes can ever have known our term, each message that shows it is of
//! that process, and its numbers tell which of two was written later (S5a, S10).

use super::MessageNumber;
use corkfield_wire::Term;

/// Which of a worker's processes may know a term.
///
/// | from | event | to |
/// | --- | --- | --- |
/// | `NotSent` | an answer or direct orders leave under the term | `SentOnce` |
/// | `NotSent` | a message shows the term | `MaybeSeveral` |
/// | `SentOnce` | another answer, or other direct orders, leave under it | `MaybeSeveral` |
/// | `SentOnce` | a message shows it | `OneProcess` |
/// | `OneProcess` | an answer to a heartbeat that did not show the term | `MaybeSeveral` |
/// | `OneProcess` | direct orders leave; the process that is known has answered them | `OneProcess` |
/// | `OneProcess` | direct orders are not answered, or perhaps by another process | `MaybeSeveral` |
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum TermKnowledge {
    /// Nothing under the term has left for the worker.
    #[default]
    NotSent,
    /// One answer, or one set of direct orders, has left under it.
    SentOnce,
    /// Only one process can know it, as what shows it came after a single offer.
    OneProcess {
        /// The first message that showed it.
        first: MessageNumber,
        /// Direct orders on their way: whoever takes them knows the term as well.
        direct_orders: u32,
    },
    /// More than one process may know it.
    MaybeSeveral,
}

/// Which of a worker's processes may know the leader's present term.
#[derive(Debug, Default)]
pub(crate) struct TermExposure {
    term: Term,
    knowledge: TermKnowledge,
}

impl TermExposure {
    /// Whether only one process of the worker can know the term.
    pub(crate) fn is_known_to_one_process(&self, term: Term) -> bool {
        let single = matches!(self.knowledge, TermKnowledge::OneProcess { direct_orders: 0, .. });
        self.term == term && single
    }

    /// The answer to that heartbeat leaves under the term.
    pub(crate) fn record_answer(&mut self, term: Term, answered: MessageNumber) {
        self.reset_if_new_term(term);
        let next = match self.knowledge {
            TermKnowledge::OneProcess { first, .. } if answered >= first => return,
            TermKnowledge::NotSent => TermKnowledge::SentOnce,
            _ => TermKnowledge::MaybeSeveral,
        };
        self.enter(next);
    }

    /// Direct orders leave under the term. Returns whether their end has to be noted with
    /// [`Self::end_direct_orders`].
    pub(crate) fn record_direct_orders(&mut self, term: Term) -> bool {
        self.reset_if_new_term(term);
        let next = match self.knowledge {
            TermKnowledge::OneProcess { first, direct_orders } => {
                TermKnowledge::OneProcess { first, direct_orders: direct_orders + 1 }
            }
            TermKnowledge::NotSent => TermKnowledge::SentOnce,
            _ => TermKnowledge::MaybeSeveral,
        };
        self.enter(next);
        matches!(next, TermKnowledge::OneProcess { .. })
    }

    /// Direct orders came to an end: answered by the process that is known, or else not at all or
    /// by one that may be another.
    pub(crate) fn end_direct_orders(&mut self, by_known_process: bool) {
        let TermKnowledge::OneProcess { first, direct_orders } = self.knowledge else {
            return;
        };
        self.enter(if by_known_process && direct_orders > 0 {
            TermKnowledge::OneProcess { first, direct_orders: direct_orders - 1 }
        } else {
            TermKnowledge::MaybeSeveral
        });
    }

    /// A message that is not outdated shows the term.
    pub(crate) fn record_reported(&mut self, term: Term, number: MessageNumber) {
        self.reset_if_new_term(term);
        let next = match self.knowledge {
            TermKnowledge::OneProcess { .. } => return,
            TermKnowledge::SentOnce => {
                TermKnowledge::OneProcess { first: number, direct_orders: 0 }
            }
            TermKnowledge::NotSent | TermKnowledge::MaybeSeveral => TermKnowledge::MaybeSeveral,
        };
        self.enter(next);
    }

    /// A term that is not the one before is known to nobody yet.
    fn reset_if_new_term(&mut self, term: Term) {
        if self.term != term {
            *self = Self { term, knowledge: TermKnowledge::NotSent };
        }
    }

    /// The one place where the state changes.
    fn enter(&mut self, knowledge: TermKnowledge) {
        self.knowledge = knowledge;
    }
}
