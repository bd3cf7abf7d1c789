//! A seeded random driver: one scheduler after another among workers and a store that fail in any
//! order. After each step the invariants of [`invariants`] must hold; at the end, once all
//! troubles are over, every job that can complete must be done.
//!
//! A failure prints its seed. `CONTRIBUTING.md` has the command for a longer range of seeds.

mod driver;
mod invariants;
mod machines;
mod restarts;
mod store;
mod workers;
mod writes;

use driver::Driver;

/// Steps of one run before the troubles end.
const STEPS: u32 = 1500;
/// Seeds that CI runs.
const CI_SEEDS: std::ops::Range<u64> = 0..400;
/// Seeds of the longer range, unless [`SEEDS_VARIABLE`] names others.
const MANY_SEEDS: std::ops::Range<u64> = 1_000..5_000;
/// Environment variable with other seeds for the longer range: the first, and the one after the
/// last, as in `17..18`.
const SEEDS_VARIABLE: &str = "CORKFIELD_SEEDS";

fn run_seeds(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut driver = Driver::new(seed);
        for _ in 0..STEPS {
            driver.step();
        }
        driver.end_troubles();
    }
}

fn chosen_seeds() -> Option<std::ops::Range<u64>> {
    let text = std::env::var(SEEDS_VARIABLE).ok()?;
    let (first, end) = text.split_once("..").expect("seeds as in 17..18");
    Some(first.parse().expect("the first seed")..end.parse().expect("the seed after the last"))
}

#[test]
fn invariants_hold_whatever_fails_in_whatever_order() {
    run_seeds(CI_SEEDS);
}

#[test]
#[ignore = "thousands of seeds, for minutes"]
fn invariants_hold_over_many_seeds() {
    run_seeds(chosen_seeds().unwrap_or(MANY_SEEDS));
}
