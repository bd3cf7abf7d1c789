//! Machines that one job may use, in the order in which they are preferred.

use super::capacity::{roomiest, MachineCapacity};
use super::PlacementScope;
use rand::rngs::SmallRng;

/// Which machines are preferred: one holding the image, however few of them there are; else the
/// roomiest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Preference {
    HoldsImage,
    Other,
    /// Only for a job of which nothing runs, where there is no other.
    Slow,
}

/// Positions of machines in the capacity of the pass.
pub(super) struct Candidates {
    holding: Vec<usize>,
    others: Vec<usize>,
    slow: Vec<usize>,
}

impl Candidates {
    /// Which of them hold the image is looked up once: a job may place thousands of tasks.
    pub(super) fn new(
        candidates: Vec<usize>,
        machines: &[MachineCapacity],
        with_image: &[usize],
        scope: PlacementScope,
    ) -> Self {
        let is_slow = |n: &usize| machines[*n].slow;
        let (mut slow, mut others): (Vec<usize>, Vec<usize>) =
            candidates.into_iter().partition(is_slow);
        if scope != PlacementScope::One {
            slow.clear();
        }
        let mut holding = Vec::new();
        if !with_image.is_empty() {
            let holds = |n: &usize| with_image.binary_search(n).is_ok();
            (holding, others) = others.into_iter().partition(holds);
        }
        Self { holding, others, slow }
    }

    pub(super) fn all(&self) -> impl Iterator<Item = &usize> {
        self.holding.iter().chain(&self.others).chain(&self.slow)
    }

    pub(super) fn retain(&mut self, fits: impl Fn(&usize) -> bool) {
        self.holding.retain(&fits);
        self.others.retain(&fits);
        self.slow.retain(&fits);
    }

    /// Where the preferred machine stands: in which list, and at which place of it.
    pub(super) fn choose(
        &self,
        machines: &[MachineCapacity],
        sample: usize,
        rng: &mut SmallRng,
    ) -> Option<(Preference, usize)> {
        let (preference, list) = match (self.holding.is_empty(), self.others.is_empty()) {
            (false, _) => (Preference::HoldsImage, &self.holding),
            (true, false) => (Preference::Other, &self.others),
            (true, true) => (Preference::Slow, &self.slow),
        };
        roomiest(machines, list, sample, rng).map(|at| (preference, at))
    }

    /// The machine that was chosen gets a task, and so the image.
    pub(super) fn take(
        &mut self,
        preference: Preference,
        at: usize,
        with_image: &mut Vec<usize>,
    ) -> usize {
        match preference {
            Preference::HoldsImage => self.holding[at],
            Preference::Slow => self.slow[at],
            Preference::Other => {
                let n = self.others.swap_remove(at);
                self.holding.push(n);
                if let Err(at) = with_image.binary_search(&n) {
                    with_image.insert(at, n);
                }
                n
            }
        }
    }
}
