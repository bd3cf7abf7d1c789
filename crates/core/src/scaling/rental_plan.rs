//! Chooses the machines to rent for tasks that have no room.

use super::demand::ShapeDemand;
use super::pools::Pool;
use crate::float_order::compare_f64;
use crate::machine::Resources;

/// Minimum number of CPUs that a task counts as in price comparisons, because tasks may need 0 CPUs.
const MIN_TASK_CPUS: f64 = 0.01;

/// Prices for the same capacity that differ by less than this are equal.
const PRICE_TOLERANCE: f64 = 1e-9;

/// Maximum number of choices in one round. What is still missing is planned in the next round.
const MAX_CHOICES: usize = 64;

/// An offer that may be requested, and how many of its machines to rent.
struct Candidate<'a> {
    pool: Pool<'a>,
    /// For each missing shape, whether machines may be rented for it from this offer.
    may_serve: Vec<bool>,
    machines: u32,
}

/// What one more machine of a candidate would serve.
#[derive(Debug, Clone, PartialEq)]
struct Packing {
    /// Number of tasks of each missing shape that the machine has room for.
    tasks: Vec<u32>,
    /// Price per hour of the CPUs that those tasks use, per CPU.
    price_per_used_cpu: f64,
}

/// A plan of rentals for the missing tasks.
pub(super) struct RentalPlan<'a> {
    candidates: Vec<Candidate<'a>>,
    /// Tasks that have no room and for which no machine is planned, the largest first.
    missing: Vec<ShapeDemand>,
}

impl<'a> RentalPlan<'a> {
    /// Plans rentals from the given offers for the missing tasks. `may_serve` says whether a machine
    /// of a pool may be rented for a shape that it can run.
    ///
    /// The offer whose machine costs the least for what the missing tasks use of it comes first.
    /// The machines are divided among all offers that serve the same at the same price: only a
    /// refused request shows that an offer has no capacity, and the cloud limits the rate of
    /// requests.
    pub(super) fn new(
        offers: Vec<Pool<'a>>,
        missing: &[ShapeDemand],
        may_serve: impl Fn(&ShapeDemand, &Pool<'a>) -> bool,
    ) -> Self {
        let mut missing = missing.to_vec();
        missing.sort_by(|left, right| compare_f64(right.shape.need.cpus, left.shape.need.cpus));
        let candidates = offers.into_iter().map(|pool| Candidate {
            may_serve: missing
                .iter()
                .map(|demand| demand.pools[pool.index] && may_serve(demand, &pool))
                .collect(),
            pool,
            machines: 0,
        });
        let mut plan = Self { candidates: candidates.collect(), missing };
        for _ in 0..MAX_CHOICES {
            if !plan.choose_next() {
                break;
            }
        }
        plan
    }

    /// Returns the offers to request, and the number of machines of each.
    pub(super) fn requests(&self) -> impl Iterator<Item = (Pool<'a>, u32)> + '_ {
        let chosen = self.candidates.iter().filter(|candidate| candidate.machines > 0);
        chosen.map(|candidate| (candidate.pool, candidate.machines))
    }

    /// Returns the tasks for which the plan has no machine.
    pub(super) fn unserved(self) -> Vec<ShapeDemand> {
        self.missing.into_iter().filter(|demand| demand.tasks > 0).collect()
    }

    /// Adds machines of the cheapest offers that serve missing tasks. Returns false if there is none.
    fn choose_next(&mut self) -> bool {
        let packings: Vec<Option<Packing>> =
            self.candidates.iter().map(|candidate| self.pack(candidate)).collect();
        let price = |packing: &&Packing| packing.price_per_used_cpu;
        let cheapest =
            packings.iter().flatten().min_by(|left, right| compare_f64(price(left), price(right)));
        let Some(cheapest) = cheapest.cloned() else { return false };
        let mut equal: Vec<usize> = (0..packings.len())
            .filter(|position| {
                packings[*position].as_ref().is_some_and(|packing| packing.is_as_good_as(&cheapest))
            })
            .collect();
        equal.sort_by_key(|position| self.candidates[*position].machines);
        let counts = self.missing.iter().zip(&cheapest.tasks).filter(|(_, tasks)| **tasks > 0);
        let mut machines = counts.map(|(demand, tasks)| demand.tasks / tasks).min().unwrap_or(0);
        for (demand, tasks) in self.missing.iter_mut().zip(&cheapest.tasks) {
            demand.tasks -= tasks * machines;
        }
        for (chosen, position) in equal.iter().enumerate() {
            let share = machines.div_ceil((equal.len() - chosen) as u32);
            self.candidates[*position].machines += share;
            machines -= share;
        }
        true
    }

    /// Fills one empty machine of the candidate with missing tasks, the largest first. Returns
    /// `None` if it serves none.
    fn pack(&self, candidate: &Candidate<'_>) -> Option<Packing> {
        let mut free = Resources::capacity_of(candidate.pool.machine_type);
        let mut used_cpus = 0.0;
        let mut tasks = vec![0; self.missing.len()];
        for (position, demand) in self.missing.iter().enumerate() {
            if !candidate.may_serve[position] || demand.tasks == 0 {
                continue;
            }
            let need = &demand.shape.need;
            let count = free.fitting_tasks(need).min(demand.tasks);
            free.subtract(&need.multiplied_by(count));
            used_cpus += need.cpus.max(MIN_TASK_CPUS) * f64::from(count);
            tasks[position] = count;
        }
        let price_per_used_cpu = candidate.pool.price() / used_cpus;
        (used_cpus > 0.0).then_some(Packing { tasks, price_per_used_cpu })
    }
}

impl Packing {
    /// Returns whether the other packing serves the same at the same price.
    fn is_as_good_as(&self, other: &Self) -> bool {
        let difference = self.price_per_used_cpu - other.price_per_used_cpu;
        difference.abs() < PRICE_TOLERANCE && self.tasks == other.tasks
    }
}
