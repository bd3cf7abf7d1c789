//! The deployment, and the jobs that come.

use corkfield_core::Config;
use corkfield_wire::cloud::MachineType;
use corkfield_wire::records::JobRecord;
use corkfield_wire::settings::{Objective, Team};
use corkfield_wire::{Generation, JobId, JobSpec};
use rand::rngs::SmallRng;
use rand::Rng;
use std::time::Duration;

/// A size of machines.
pub struct MachineSize {
    pub name: &'static str,
    pub cpus: f64,
}

pub const SIZES: [MachineSize; 3] = [
    MachineSize { name: "small", cpus: 4.0 },
    MachineSize { name: "middle", cpus: 8.0 },
    MachineSize { name: "large", cpus: 32.0 },
];

/// Jobs of one kind.
pub struct JobClass {
    name: &'static str,
    priority: &'static str,
    /// Tasks of a job in the mean.
    tasks: f64,
    /// CPUs of a task.
    pub cpus: f64,
    /// How long a task runs in the mean, in seconds.
    pub run_s: f64,
    /// Part of all the work.
    pub share: f64,
    /// Seconds between two checkpoints of a task; 0: none.
    checkpoint_s: f64,
}

/// A job's class is its index here, and the last digit of the job's number.
pub const CLASSES: [JobClass; 3] = [
    JobClass {
        name: "sums",
        priority: "normal",
        tasks: 500.0,
        cpus: 1.0,
        run_s: 30.0,
        share: 0.45,
        checkpoint_s: 0.0,
    },
    JobClass {
        name: "alarms",
        priority: "urgent",
        tasks: 30.0,
        cpus: 4.0,
        run_s: 16.0,
        share: 0.25,
        checkpoint_s: 0.0,
    },
    JobClass {
        name: "archive",
        priority: "idle",
        tasks: 30.0,
        cpus: 4.0,
        run_s: 100.0,
        share: 0.3,
        checkpoint_s: 15.0,
    },
];

const URGENT_CLASS: usize = 1;
/// How many images each class has.
const IMAGES: u32 = 8;

/// How long a task of a job runs in the mean, in seconds.
pub fn mean_run_s(id: &JobId) -> f64 {
    let class = id.to_string().bytes().next_back().unwrap_or(b'0') - b'0';
    CLASSES[usize::from(class)].run_s
}

/// The next job of a class; `None` once the numbers are used up.
pub fn job_spec(number: u32, class: usize, rng: &mut SmallRng) -> Option<JobSpec> {
    let JobClass { name, priority, tasks, cpus, run_s, checkpoint_s, .. } = CLASSES[class];
    let tasks = (tasks * rng.random_range(0.2..1.8)).max(1.0) as u32;
    let team = if rng.random_bool(0.3) && class == URGENT_CLASS { "a" } else { "b" };
    let image = rng.random_range(0..IMAGES);
    let text = format!(
        "{{\"name_id\":\"j-{number:05}{class}\",\"pool\":\"{name}\",\"owner\":\"{team}\",\"shape\":\"sweep\",\"rank\":\"{priority}\",\
         \"pieces\":{tasks},\"vcpus\":{cpus:.1},\"accelerators\":0.0,\"mem_gb\":1.0,\"bundle\":\"{name}-{image}\",\"image_gb\":1.5,\
         \"same_place\":false,\"apart\":false,\"loaners\":true,\"guess_s\":{run_s:.1},\"snapshot_s\":{checkpoint_s:.1},\"flush_s\":2.0}}"
    );
    JobSpec::parse(text.as_bytes()).ok()
}

/// A claimed record whose tasks may all be started.
pub fn claimed_record(spec: JobSpec) -> JobRecord {
    JobRecord {
        generation: Generation::new(1),
        start_watermark: u32::MAX,
        previous_start_watermark: 0,
        ..JobRecord::new(spec, 0)
    }
}

/// Two teams with quotas and four objectives, for a fleet of so many CPUs.
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

/// A machine type for each size.
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
