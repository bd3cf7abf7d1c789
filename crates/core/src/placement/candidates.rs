//! Candidate machines for the tasks of one job, in order of preference.

use super::capacity::MachineCapacity;
use super::PlacementScope;
use crate::float_order::compare_f64;
use rand::rngs::SmallRng;
use rand::seq::index;

/// Preference among candidates. Machines that hold the image are preferred, even if there are only
/// few of them. Among machines of the same preference, those with more free CPUs are preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Preference {
    /// The machine holds the job's image.
    HoldsImage,
    /// The machine has to fetch the job's image.
    LacksImage,
    /// The machine is slow. It is used only for a long-waiting job without a placed task
    /// ([`PlacementScope::OneTask`]), and only if there is no other candidate.
    Slow,
}

/// A chosen candidate: its preference, and its index in the list of that preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Choice {
    pub(super) preference: Preference,
    entry: usize,
}

/// Candidates by preference, as positions in the list of machines of the pass's
/// [`ClusterCapacity`](super::capacity::ClusterCapacity).
pub(super) struct Candidates {
    holding_image: Vec<usize>,
    lacking_image: Vec<usize>,
    slow: Vec<usize>,
}

impl Candidates {
    /// Groups the candidates by preference; slow machines are kept only for
    /// [`PlacementScope::OneTask`]. `image_holders` has to be sorted. The image is looked up only
    /// once for each machine, not for each task, because a job may place thousands of tasks.
    pub(super) fn new(
        candidates: Vec<usize>,
        machines: &[MachineCapacity],
        image_holders: &[usize],
        scope: PlacementScope,
    ) -> Self {
        let (mut slow, others): (Vec<usize>, Vec<usize>) =
            candidates.into_iter().partition(|position| machines[*position].is_slow);
        if scope != PlacementScope::OneTask {
            slow.clear();
        }
        let (holding_image, lacking_image) =
            others.into_iter().partition(|position| image_holders.binary_search(position).is_ok());
        Self { holding_image, lacking_image, slow }
    }

    /// Returns the positions of all candidates, the preferred ones first.
    pub(super) fn all(&self) -> impl Iterator<Item = &usize> {
        self.holding_image.iter().chain(&self.lacking_image).chain(&self.slow)
    }

    /// Removes the candidates that do not satisfy `fits`.
    pub(super) fn retain(&mut self, fits: impl Fn(&usize) -> bool) {
        self.holding_image.retain(&fits);
        self.lacking_image.retain(&fits);
        self.slow.retain(&fits);
    }

    /// Chooses the machine with the most free CPUs from a sample of those candidates that have the
    /// highest preference. Returns `None` if there is no candidate.
    pub(super) fn choose(
        &self,
        machines: &[MachineCapacity],
        sample: usize,
        rng: &mut SmallRng,
    ) -> Option<Choice> {
        let preference = if !self.holding_image.is_empty() {
            Preference::HoldsImage
        } else if !self.lacking_image.is_empty() {
            Preference::LacksImage
        } else {
            Preference::Slow
        };
        let entry = entry_with_most_free_cpus(machines, self.positions(preference), sample, rng)?;
        Some(Choice { preference, entry })
    }

    /// Records that the chosen machine gets a task and therefore fetches the image if it lacks it.
    /// Returns the position of the machine.
    pub(super) fn record_choice(&mut self, choice: Choice) -> usize {
        if choice.preference != Preference::LacksImage {
            return self.positions(choice.preference)[choice.entry];
        }
        let position = self.lacking_image.swap_remove(choice.entry);
        self.holding_image.push(position);
        position
    }

    fn positions(&self, preference: Preference) -> &[usize] {
        match preference {
            Preference::HoldsImage => &self.holding_image,
            Preference::LacksImage => &self.lacking_image,
            Preference::Slow => &self.slow,
        }
    }
}

/// Returns the index in `list` of the machine with the most free CPUs. If the list is longer than
/// `sample`, only a random sample of that size is examined.
fn entry_with_most_free_cpus(
    machines: &[MachineCapacity],
    list: &[usize],
    sample: usize,
    rng: &mut SmallRng,
) -> Option<usize> {
    let free_cpus = |entry: &usize| machines[list[*entry]].free.cpus;
    let by_free_cpus = |left: &usize, right: &usize| compare_f64(free_cpus(left), free_cpus(right));
    let sample = sample.max(1);
    if list.len() > sample {
        index::sample(rng, list.len(), sample).into_iter().max_by(by_free_cpus)
    } else {
        (0..list.len()).max_by(by_free_cpus)
    }
}
