//! Random fault injection with a seed: the schedulers of successive leaders work with workers and a
//! store, which fail in any order. After each step the invariants of [`invariants`] must hold. At
//! the end, when no more faults occur, every job that was not cancelled must complete.
//!
//! A failure prints its seed. `CONTRIBUTING.md` has the command for a longer range of seeds.

mod driver;
mod invariants;
mod jobs;
mod lost_commits;
mod machines;
mod restarts;
mod store;
mod workers;
mod writes;

use driver::Driver;

/// Number of steps of one run before the faults end.
const STEPS: u32 = 1500;
/// Seeds of the test that runs by default.
const CI_SEEDS: std::ops::Range<u64> = 0..600;
/// Seeds of the ignored test, unless [`SEEDS_VARIABLE`] sets others.
const MANY_SEEDS: std::ops::Range<u64> = 1_000..5_000;
/// Environment variable that sets the seeds of the ignored test: the first seed and the one after
/// the last, for example `17..18`.
const SEEDS_VARIABLE: &str = "CORKFIELD_SEEDS";

fn run_seeds(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let mut driver = Driver::new(seed);
        for _ in 0..STEPS {
            driver.step();
        }
        driver.complete_all_jobs();
    }
}

pub(crate) fn seeds_from_environment() -> Option<std::ops::Range<u64>> {
    let text = std::env::var(SEEDS_VARIABLE).ok()?;
    let (first, end) = text.split_once("..").expect("seeds as in 17..18");
    Some(first.parse().expect("the first seed")..end.parse().expect("the seed after the last"))
}

#[test]
fn invariants_hold_under_random_faults() {
    run_seeds(CI_SEEDS);
}

#[test]
#[ignore = "runs thousands of seeds, which takes minutes"]
fn invariants_hold_over_many_seeds() {
    run_seeds(seeds_from_environment().unwrap_or(MANY_SEEDS));
}
