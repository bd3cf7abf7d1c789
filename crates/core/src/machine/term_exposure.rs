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
/// | `Unseen` | an answer or direct orders leave under the term | `Offered` |
/// | `Unseen` | a message shows the term | `Several` |
/// | `Offered` | another answer, or other direct orders, leave under it | `Several` |
/// | `Offered` | a message shows it | `Single` |
/// | `Single` | an answer to a heartbeat that did not show the term | `Several` |
/// | `Single` | direct orders leave; the process that is known has answered them | `Single` |
/// | `Single` | direct orders are not answered, or perhaps by another process | `Several` |
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Knowledge {
    /// Nothing under the term has left for the worker.
    #[default]
    Unseen,
    /// One answer, or one set of direct orders, has left under it.
    Offered,
    /// Only one process can know it, as what shows it came after a single offer.
    Single {
        /// The first message that showed it.
        first: MessageNumber,
        /// Direct orders on their way: whoever takes them knows the term as well.
        direct_orders: u32,
    },
    /// More than one process may know it.
    Several,
}

/// Which of a worker's processes may know the leader's present term.
#[derive(Debug, Default)]
pub(crate) struct TermExposure {
    term: Term,
    knowledge: Knowledge,
}

impl TermExposure {
    /// Whether only one process of the worker can know the term.
    pub(crate) fn is_single(&self, term: Term) -> bool {
        let single = matches!(self.knowledge, Knowledge::Single { direct_orders: 0, .. });
        self.term == term && single
    }

    /// The answer to that heartbeat leaves under the term.
    pub(crate) fn note_answer(&mut self, term: Term, answered: MessageNumber) {
        self.begin(term);
        let next = match self.knowledge {
            Knowledge::Single { first, .. } if answered >= first => return,
            Knowledge::Unseen => Knowledge::Offered,
            _ => Knowledge::Several,
        };
        self.enter(next);
    }

    /// Direct orders leave under the term. Returns whether their end has to be noted with
    /// [`Self::end_direct_orders`].
    pub(crate) fn note_direct_orders(&mut self, term: Term) -> bool {
        self.begin(term);
        let next = match self.knowledge {
            Knowledge::Single { first, direct_orders } => {
                Knowledge::Single { first, direct_orders: direct_orders + 1 }
            }
            Knowledge::Unseen => Knowledge::Offered,
            _ => Knowledge::Several,
        };
        self.enter(next);
        matches!(next, Knowledge::Single { .. })
    }

    /// Direct orders came to an end: answered by the process that is known, or else not at all or
    /// by one that may be another.
    pub(crate) fn end_direct_orders(&mut self, by_known_process: bool) {
        let Knowledge::Single { first, direct_orders } = self.knowledge else {
            return;
        };
        self.enter(if by_known_process && direct_orders > 0 {
            Knowledge::Single { first, direct_orders: direct_orders - 1 }
        } else {
            Knowledge::Several
        });
    }

    /// A message that is not outdated shows the term.
    pub(crate) fn note_shown(&mut self, term: Term, number: MessageNumber) {
        self.begin(term);
        let next = match self.knowledge {
            Knowledge::Single { .. } => return,
            Knowledge::Offered => Knowledge::Single { first: number, direct_orders: 0 },
            Knowledge::Unseen | Knowledge::Several => Knowledge::Several,
        };
        self.enter(next);
    }

    /// A term that is not the one before is known to nobody yet.
    fn begin(&mut self, term: Term) {
        if self.term != term {
            *self = Self { term, knowledge: Knowledge::Unseen };
        }
    }

    /// The one place where the state changes.
    fn enter(&mut self, knowledge: Knowledge) {
        self.knowledge = knowledge;
    }
}
