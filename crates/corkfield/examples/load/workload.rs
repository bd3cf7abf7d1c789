//! The simulated deployment and the submitted jobs.

use corkfield_core::Config;
use corkfield_wire::cloud::MachineType;
use corkfield_wire::records::JobRecord;
use corkfield_wire::settings::{Objective, Team};
use corkfield_wire::{Generation, JobId, JobSpec};
use rand::rngs::SmallRng;
use rand::Rng;
use std::time::Duration;

/// A machine size.
pub struct MachineSize {
    pub name: &'static str,
    pub cpus: f64,
}

pub const SIZES: [MachineSize; 3] = [
    MachineSize { name: "small", cpus: 4.0 },
    MachineSize { name: "middle", cpus: 8.0 },
    MachineSize { name: "large", cpus: 32.0 },
];

/// A class of jobs with equal properties.
pub struct JobClass {
    name: &'static str,
    priority: &'static str,
    /// Mean number of tasks per job.
    mean_tasks: f64,
    /// CPUs per task.
    pub cpus: f64,
    /// Mean run time of a task in seconds.
    pub mean_run_s: f64,
    /// Share of the submitted work.
    pub share: f64,
    /// Seconds between two checkpoints of a task; 0: no checkpoints.
    checkpoint_s: f64,
}

/// The job classes. The class of a job is its index in this array and the last digit of the job id.
pub const CLASSES: [JobClass; 3] = [
    JobClass {
        name: "sums",
        priority: "normal",
        mean_tasks: 500.0,
        cpus: 1.0,
        mean_run_s: 30.0,
        share: 0.45,
        checkpoint_s: 0.0,
    },
    JobClass {
        name: "alarms",
        priority: "urgent",
        mean_tasks: 30.0,
        cpus: 4.0,
        mean_run_s: 16.0,
        share: 0.25,
        checkpoint_s: 0.0,
    },
    JobClass {
        name: "archive",
        priority: "idle",
        mean_tasks: 30.0,
        cpus: 4.0,
        mean_run_s: 100.0,
        share: 0.3,
        checkpoint_s: 15.0,
    },
];

const URGENT_CLASS: usize = 1;
/// Number of images per class.
const IMAGES_PER_CLASS: u32 = 8;

/// Returns the mean run time of a job's tasks in seconds.
pub fn mean_run_s(id: &JobId) -> f64 {
    let class = id.to_string().bytes().next_back().unwrap_or(b'0') - b'0';
    CLASSES[usize::from(class)].mean_run_s
}

/// Returns a job of a class with a random size, or `None` if the number no longer fits in a job id.
pub fn job_spec(number: u32, class: usize, rng: &mut SmallRng) -> Option<JobSpec> {
    let JobClass { name, priority, mean_tasks, cpus, mean_run_s, checkpoint_s, .. } =
        CLASSES[class];
    let tasks = (mean_tasks * rng.random_range(0.2..1.8)).max(1.0) as u32;
    let team = if rng.random_bool(0.3) && class == URGENT_CLASS { "a" } else { "b" };
    let image = rng.random_range(0..IMAGES_PER_CLASS);
    let text = format!(
        "{{\"name_id\":\"j-{number:05}{class}\",\"pool\":\"{name}\",\"owner\":\"{team}\",\"shape\":\"sweep\",\"rank\":\"{priority}\",\
         \"pieces\":{tasks},\"vcpus\":{cpus:.1},\"accelerators\":0.0,\"mem_gb\":1.0,\"bundle\":\"{name}-{image}\",\"image_gb\":1.5,\
         \"same_place\":false,\"apart\":false,\"loaners\":true,\"guess_s\":{mean_run_s:.1},\"snapshot_s\":{checkpoint_s:.1},\"flush_s\":2.0}}"
    );
    JobSpec::parse(text.as_bytes()).ok()
}

/// Returns the record of a claimed job. Its start watermark permits the start of all tasks.
pub fn claimed_record(spec: JobSpec) -> JobRecord {
    JobRecord {
        generation: Generation::new(1),
        start_watermark: u32::MAX,
        previous_start_watermark: 0,
        ..JobRecord::new(spec, 0)
    }
}

/// Returns the configuration for a fleet of `cpus` CPUs: two teams with quotas, four objectives.
pub fn config(cpus: f64) -> Config {
    let team = |name: &str, share: f64| Team {
        name: name.to_owned(),
        cpus: cpus * share,
        cpus_max: cpus * share * 3.0,
        gpus: 0.0,
        gpus_max: 0.0,
    };
    let objective = |kind: &str, class: Option<&str>, within_s: f64| Objective {
        kind: kind.to_owned(),
        class: class.map(str::to_owned),
        within_s: Some(within_s),
        share: Some(0.9),
    };
    Config {
        teams: vec![team("a", 0.25), team("b", 0.6)],
        objectives: vec![
            objective("finished", Some("sums"), 120.0),
            objective("wait", Some("alarms"), 15.0),
            objective("wait", Some("archive"), 180.0),
            objective("guarantee", None, 20.0),
        ],
        worker_lease: Duration::from_secs(26),
        heartbeat_interval: Duration::from_secs(5),
        answer_limit: Duration::from_secs(15),
        list_lag: Duration::from_secs(4),
        placement_sample: 64,
        idle_keep: Duration::from_secs(60),
    }
}

/// Returns one machine type per machine size.
pub fn machine_types() -> Vec<MachineType> {
    SIZES.iter().map(machine_type).collect()
}

fn machine_type(size: &MachineSize) -> MachineType {
    MachineType {
        name: size.name.to_owned(),
        cpus: size.cpus,
        gpus: 0.0,
        memory_gb: size.cpus * 4.0,
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: 0.06 * size.cpus,
        spot_price: 0.02 * size.cpus,
        boot_s: 30.0,
        zones: vec!["north".to_owned(), "south".to_owned()],
    }
}
