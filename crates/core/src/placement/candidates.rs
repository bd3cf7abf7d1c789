//! Machines that one job may use, in the order in which they are preferred.

use super::capacity::MachineCapacity;
use super::PlacementScope;
use crate::float_order::compare;
use rand::rngs::SmallRng;
use rand::seq::index;

/// Which machines are preferred: one holding the image, however few of them there are; else the
/// roomiest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Preference {
    /// Holds the image of the job.
    HoldsImage,
    /// Has to fetch the image.
    LacksImage,
    /// Only for a job of which nothing runs, where there is no other.
    Slow,
}

/// The candidate that was chosen: an entry of the list of that preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Choice {
    pub(super) preference: Preference,
    entry: usize,
}

/// Positions of machines in the capacity of the pass.
pub(super) struct Candidates {
    holding_image: Vec<usize>,
    lacking_image: Vec<usize>,
    slow: Vec<usize>,
}

impl Candidates {
    /// Sorts machines by preference. Which of them hold the image is looked up once: a job may
    /// place thousands of tasks. `image_holders` is sorted.
    pub(super) fn new(
        candidates: Vec<usize>,
        machines: &[MachineCapacity],
        image_holders: &[usize],
        scope: PlacementScope,
    ) -> Self {
        let (mut slow, others): (Vec<usize>, Vec<usize>) =
            candidates.into_iter().partition(|position| machines[*position].slow);
        if scope != PlacementScope::OneTask {
            slow.clear();
        }
        let (holding_image, lacking_image) =
            others.into_iter().partition(|position| image_holders.binary_search(position).is_ok());
        Self { holding_image, lacking_image, slow }
    }

    /// All of them, preferred ones first.
    pub(super) fn all(&self) -> impl Iterator<Item = &usize> {
        self.holding_image.iter().chain(&self.lacking_image).chain(&self.slow)
    }

    /// Leaves out those that do not fit any more.
    pub(super) fn retain(&mut self, fits: impl Fn(&usize) -> bool) {
        self.holding_image.retain(&fits);
        self.lacking_image.retain(&fits);
        self.slow.retain(&fits);
    }

    /// The preferred machine: the roomiest among a sample of those of the highest preference.
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
        let entry = roomiest(machines, self.list(preference), sample, rng)?;
        Some(Choice { preference, entry })
    }

    /// The machine that was chosen gets a task, and so the image. Its position in the capacity.
    pub(super) fn take(&mut self, choice: Choice) -> usize {
        if choice.preference != Preference::LacksImage {
            return self.list(choice.preference)[choice.entry];
        }
        let position = self.lacking_image.swap_remove(choice.entry);
        self.holding_image.push(position);
        position
    }

    fn list(&self, preference: Preference) -> &[usize] {
        match preference {
            Preference::HoldsImage => &self.holding_image,
            Preference::LacksImage => &self.lacking_image,
            Preference::Slow => &self.slow,
        }
    }
}

/// Which entry of the list is the roomiest machine, among a sample if they are many.
fn roomiest(
    machines: &[MachineCapacity],
    list: &[usize],
    sample: usize,
    rng: &mut SmallRng,
) -> Option<usize> {
    let free_cpus = |entry: &usize| machines[list[*entry]].free.cpus;
    let by_free_cpus = |left: &usize, right: &usize| compare(free_cpus(left), free_cpus(right));
    let sample = sample.max(1);
    if list.len() > sample {
        index::sample(rng, list.len(), sample).into_iter().max_by(by_free_cpus)
    } else {
        (0..list.len()).max_by(by_free_cpus)
    }
}
