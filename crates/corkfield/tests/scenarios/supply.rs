//! Jobs whose tasks fit only on some machine types, while other machines are up.

use crate::cluster::{
    job_spec, large_machine_type, machine_type, scenario_with_types, sleep_s, task_id, Cluster,
};
use corkfield_wire::cloud::MachineType;
use corkfield_wire::JobSpec;

/// The time within which a job without room runs, in seconds: the protocol asks that an accepted
/// job runs, and the users that no job waits for 90 s beside a machine that fits.
const MAX_WAIT_S: f64 = 90.0;

/// Returns a small machine type, whose on-demand machines are not much more expensive than its spot
/// machines, and a large one.
fn small_and_large() -> Vec<MachineType> {
    vec![MachineType { spot_price: 0.6, ..machine_type() }, large_machine_type()]
}

/// Returns a job of one task that fits only on a large machine.
fn large_job(number: u32) -> JobSpec {
    JobSpec { cpus: 12.0, estimate_s: 30.0, ..job_spec(number, 1) }
}

/// Occupies five of the eight CPUs of each of six small machines for the rest of the scenario.
async fn occupy_small_machines(cluster: &Cluster) {
    let job = JobSpec { cpus: 5.0, estimate_s: 300.0, ..job_spec(90, 6) };
    cluster.submit(&job, 300.0).await;
    sleep_s(2.0).await;
}

/// Waits until the job's only task runs on a large machine; the rest of the cluster goes on.
async fn wait_until_on_large_machine(cluster: &Cluster, job: &JobSpec) {
    let task = task_id(job, 0);
    let mut waited_s = 0.0;
    while cluster.history.machine_of(&task).is_none() {
        assert!(waited_s < MAX_WAIT_S, "{} has waited for {waited_s} s", job.id);
        sleep_s(1.0).await;
        waited_s += 1.0;
    }
    let worker = cluster.worker_of(&task);
    assert_eq!(worker.settings.machine_type, large_machine_type().name);
}

/// Guards against an accepted job that never runs again after the only machine on which its task
/// fits was reclaimed, while smaller machines with enough CPUs together are up and idle.
#[test]
fn a_large_task_runs_again_after_the_only_machine_it_fits_on_is_reclaimed() {
    scenario_with_types(small_and_large(), 6, |cluster| async move {
        cluster.cloud.capacity.set(12);
        occupy_small_machines(&cluster).await;
        let large = cluster.cloud.add_machine_of_type(&large_machine_type(), "z1", true, 0.5);
        sleep_s(2.0).await;
        let job = large_job(1);
        cluster.submit(&job, 30.0).await;
        wait_until_on_large_machine(&cluster, &job).await;
        cluster.cloud.reclaim(large.as_str());
        // The leader learns of the loss from the cloud's list, or by the end of the worker's lease.
        wait_until_on_large_machine(&cluster, &job).await;
        cluster.wait_until_done(&job.id, 60.0).await;
        let large_machines = cluster.cloud.rented_machines(&large_machine_type().name);
        assert_eq!(large_machines, 1, "no more is rented than waits");
    });
}

/// Guards against the same for a task that needs more memory than small machines have, with a
/// change of leader while the machine for it boots.
#[test]
fn a_task_that_needs_much_memory_runs_although_the_leader_changes() {
    scenario_with_types(small_and_large(), 6, |cluster| async move {
        cluster.cloud.capacity.set(12);
        let job = JobSpec { memory_gb: 100.0, estimate_s: 30.0, ..job_spec(1, 1) };
        cluster.submit(&job, 5.0).await;
        sleep_s(2.0).await;
        cluster.restart_controller(cluster.leader(), 0.5).await;
        wait_until_on_large_machine(&cluster, &job).await;
        cluster.wait_until_done(&job.id, 60.0).await;
    });
}

/// Guards against a job that waits behind a stream of small jobs which take each free CPU and whose
/// machines count as its room.
#[test]
fn a_large_task_runs_beside_a_stream_of_small_jobs() {
    scenario_with_types(small_and_large(), 6, |cluster| async move {
        cluster.cloud.capacity.set(12);
        occupy_small_machines(&cluster).await;
        let large = large_job(1);
        for number in 2..20 {
            let small = JobSpec { estimate_s: 4.0, ..job_spec(number, 4) };
            cluster.submit(&small, 4.0).await;
            if number == 6 {
                cluster.submit(&large, 60.0).await;
            }
            sleep_s(2.0).await;
        }
        wait_until_on_large_machine(&cluster, &large).await;
    });
}
