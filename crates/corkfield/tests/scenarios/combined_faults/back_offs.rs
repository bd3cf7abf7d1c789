//! Jobs that back off and are claimed again while starts, heartbeats or answers of the store are
//! still in flight.

use crate::cluster::{
    is_job_claim, job_spec, scenario, scenario_with_operator, sleep_s, Cluster, CONTROLLERS,
};
use corkfield::settings::Operator;
use corkfield_fakes::{FakeWorker, Fault, JobPlan};
use corkfield_http::Request;
use corkfield_wire::records::{CHUNK_TASKS, JOBS_PREFIX};
use corkfield_wire::store::{Change, Condition, Transaction, PATH_TXN};
use corkfield_wire::{Generation, JobSpec};
use std::cell::Cell;
use std::rc::Rc;

/// Time in seconds after which the other controllers relay the heartbeats of a worker that does not
/// reach the leader.
const RELAY_DELAY_S: f64 = 16.0;

/// Counts the starts that reach a worker under a generation that differs from the generation in the
/// job's record in the store.
fn count_starts_of_other_generations(cluster: &Rc<Cluster>) -> Rc<Cell<u32>> {
    let count = Rc::new(Cell::new(0));
    let (counter, observed) = (count.clone(), Rc::downgrade(cluster));
    cluster.history.observe_start_orders(move |task, attempt| {
        let record = observed.upgrade().and_then(|cluster| cluster.job_record(&task.job));
        if record.is_some_and(|record| record.generation != attempt.generation()) {
            counter.set(counter.get() + 1);
        }
    });
    count
}

/// The route on which the second machine's heartbeats reach the leader.
#[derive(Debug, Clone, Copy, PartialEq)]
enum HeartbeatRoute {
    Direct,
    Relayed,
}

/// Guards against starts that are sent under an outdated generation. The first worker refuses the
/// job's starts, because the plan of the job is added late, and the job backs off. Other tasks of
/// the job were assigned to a machine that hangs and sends its next heartbeat during the back-off
/// or after the next claim. Before the fix, a release build sent their starts under the previous
/// generation ("start ordered ... generation=1 record_generation=2"), and a relaying controller
/// dropped them ("relayed start dropped"). In a debug build, an assertion of the leader failed, and
/// the machine got no answers until its lease expired.
#[test]
fn starts_assigned_before_a_back_off_are_not_sent_after_the_next_claim() {
    for route in [HeartbeatRoute::Direct, HeartbeatRoute::Relayed] {
        for hung_s in [1.5, 3.4] {
            // Idle machines are not returned, and heartbeat answers are not held back for work.
            let operator = Operator { idle_keep_s: 600.0, hold_s: 0.0, ..Operator::default() };
            scenario_with_operator(operator, 2, |cluster| async move {
                cluster.cloud.capacity.set(2);
                let second = cluster.cloud.workers().pop().expect("two machines");
                if route == HeartbeatRoute::Relayed {
                    let leader = CONTROLLERS[cluster.leader()];
                    cluster.net.partition(leader, second.settings.name.as_str());
                    sleep_s(RELAY_DELAY_S).await;
                }
                let other_generations = count_starts_of_other_generations(&cluster);
                let job = job_spec(1, 16);
                let agent_epoch = second.agent_epoch();
                second.set_hung(true);
                assert_eq!(cluster.submit_to(cluster.leader(), &job).await, Some(201));
                sleep_s(hung_s).await;
                second.set_hung(false);
                cluster.history.add_plan(JobPlan {
                    spec: job.clone(),
                    run_s: 2.0,
                    is_failing: false,
                });
                cluster.wait_until_done(&job.id, 30.0).await;
                assert_eq!(other_generations.get(), 0, "{route:?}, hung for {hung_s} s");
                assert_eq!(
                    second.agent_epoch(),
                    agent_epoch,
                    "the lease of the hung machine did not expire"
                );
                assert_eq!(second.undelivered_starts(), 0);
            });
        }
    }
}

/// Returns whether a request is a completion commit. The conditions of a completion commit name
/// only the job's record. Those of a claim also name the leader record, and those of an acceptance
/// name the job's final record.
fn is_completion_commit(request: &Request) -> bool {
    let transaction: Transaction = serde_json::from_slice(&request.body).unwrap_or_default();
    let is_on_job_record = |condition: &Condition| condition.key.starts_with(JOBS_PREFIX);
    let changes_claimed_job = |change: &Change| match change {
        Change::Put { value, .. } => value["owner"].is_string(),
        Change::Delete { .. } => true,
    };
    request.path() == PATH_TXN
        && transaction.conditions.iter().all(is_on_job_record)
        && transaction.changes.iter().any(changes_claimed_job)
}

/// Guards against a late answer that overwrites newer state. A job fails on three machines and
/// backs off while one of its tasks completes on a fourth. The store executes the completion commit
/// immediately and answers late, after the leader has claimed the job again, based on the watched
/// record. Before the fix, the leader treated the record of the commit as the newest one and
/// returned to the generation and version before the claim. Every later commit was conditional on
/// that version and was refused ("completion commit failed" with a conflict), so the job never
/// completed under that leader.
#[test]
fn a_job_completes_when_a_commit_is_answered_after_the_next_claim() {
    for run_s in [1.0, 1.4, 1.8, 2.2, 2.6, 3.0] {
        scenario(4, |cluster| async move {
            cluster.cloud.capacity.set(4);
            let faulty: Vec<_> = cluster.cloud.workers().into_iter().skip(1).collect();
            for worker in &faulty {
                worker.is_faulty.set(true);
            }
            cluster.store.set_fault_where(Fault::DelayAnswer(1.2), is_completion_commit);
            let mut job = job_spec(1, 6);
            job.cpus = 8.0;
            cluster.submit(&job, run_s).await;
            sleep_s(1.6).await;
            for worker in &faulty {
                worker.is_faulty.set(false);
            }
            sleep_s(5.0).await;
            cluster.store.clear_faults();
            cluster.wait_until_done(&job.id, 60.0).await;
        });
    }
}

/// Runs a job whose tasks take 20 s on the first machine and fail on the others until the job is
/// dead-lettered. Returns the job and the workers on which its tasks fail.
async fn dead_letter_job(cluster: &Cluster) -> (JobSpec, Vec<Rc<FakeWorker>>) {
    cluster.cloud.capacity.set(4);
    let faulty: Vec<_> = cluster.cloud.workers().into_iter().skip(1).collect();
    for worker in &faulty {
        worker.is_faulty.set(true);
    }
    let job = JobSpec { cpus: 8.0, ..job_spec(1, 4) };
    cluster.submit(&job, 20.0).await;
    while !cluster.job_record(&job.id).is_some_and(|record| record.dead_lettered) {
        sleep_s(0.05).await;
    }
    (job, faulty)
}

/// Releases a dead-lettered job as an operator does, and lets its tasks succeed on all machines.
async fn release_job(cluster: &Cluster, job: &JobSpec, faulty: &[Rc<FakeWorker>]) {
    let release = format!("/operator/release/{}", job.id);
    let answer = cluster.request(cluster.leader(), "POST", &release, b"").await;
    assert_eq!(answer.map(|(status, _)| status), Some(200));
    for worker in faulty {
        worker.is_faulty.set(false);
    }
}

/// Guards against a released job that is never claimed. A job is dead-lettered while one of its
/// tasks runs; the task is stopped, and the write of the job's record is delayed. Meanwhile an
/// operator releases the job, and the first claim after the release is lost. The delayed write is
/// refused, and the record read afterwards has the same generation. Before the fix, the leader
/// treated that record as its own write and did not claim the job again, because it knew the
/// version: the overview listed no dead-lettered job, but no task of the job ran under that leader.
#[test]
fn a_job_released_while_its_record_is_written_runs_again() {
    for release_after_s in [0.0, 0.2, 0.4, 0.6, 0.8, 1.0, 1.2, 1.4] {
        let operator = Operator { claim_limit: 1, ..Operator::default() };
        scenario_with_operator(operator, 4, |cluster| async move {
            let (job, faulty) = dead_letter_job(&cluster).await;
            // Delays completion commits and drops all claims until the faults are cleared.
            cluster.store.set_faults(|request| {
                if is_completion_commit(request) {
                    Fault::Delay(1.0)
                } else if is_job_claim(request) {
                    Fault::Drop
                } else {
                    Fault::None
                }
            });
            sleep_s(release_after_s).await;
            release_job(&cluster, &job, &faulty).await;
            sleep_s(3.0).await;
            cluster.store.clear_faults();
            cluster.wait_until_done(&job.id, 90.0).await;
        });
    }
}

/// Guards against a released job that stays dead-lettered in the leader's memory. The store
/// executes the claim of the released job late, after the leader has read the record and not found
/// the claim, and refuses the next claim as a conflict. The record then names the leader as owner,
/// at a generation that the leader does not know. Before the fix, the leader considered the
/// job claimed and did not claim it again.
#[test]
fn a_released_job_whose_claim_is_executed_late_runs_again() {
    // The claim that is executed late counts towards the limit.
    let operator = Operator { claim_limit: 2, ..Operator::default() };
    scenario_with_operator(operator, 4, |cluster| async move {
        let (job, faulty) = dead_letter_job(&cluster).await;
        sleep_s(3.0).await;
        let claims = Cell::new(0);
        cluster.store.set_faults(move |request| {
            if !is_job_claim(request) || is_completion_commit(request) {
                return Fault::None;
            }
            claims.set(claims.get() + 1);
            match claims.get() {
                1 => Fault::DelayAndLoseAnswer(2.0),
                2 => Fault::Delay(1.0),
                _ => Fault::None,
            }
        });
        release_job(&cluster, &job, &faulty).await;
        cluster.wait_until_done(&job.id, 90.0).await;
    });
}

/// Guards against a job that is answered as done while its tasks still run. A job with more than
/// 1,024 tasks, which counts its finished tasks apart from their set, backs off while tasks of it
/// complete. The store executes the completion commits and loses the answers. The leader claims the
/// job again before it gives up the lost answer. Before the fix, the leader then counted the tasks
/// of that commit a second time, and wrote the job as done when the count reached its tasks.
#[test]
fn a_large_job_that_is_claimed_again_amid_lost_answers_is_not_done_early() {
    const MACHINES: u32 = 10;
    const FAULTY_MACHINES: usize = 3;
    const LOSS_S: f64 = 8.0;
    for run_s in [2.0, 3.0, 4.0, 5.0] {
        scenario(MACHINES, |cluster| async move {
            cluster.cloud.capacity.set(MACHINES as usize);
            let faulty: Vec<_> =
                cluster.cloud.workers().into_iter().take(FAULTY_MACHINES).collect();
            for worker in &faulty {
                worker.is_faulty.set(true);
            }
            let lost = Rc::new(Cell::new(0));
            let counter = lost.clone();
            cluster.store.set_faults(move |request| {
                if !is_completion_commit(request) {
                    return Fault::None;
                }
                counter.set(counter.get() + 1);
                Fault::LoseAnswer
            });
            let job = job_spec(1, CHUNK_TASKS + 76);
            cluster.submit(&job, run_s).await;
            sleep_s(LOSS_S).await;
            cluster.store.clear_faults();
            assert!(lost.get() > 0, "no answer was lost");
            let generation = cluster.job_record(&job.id).expect("an unfinished job").generation;
            assert!(generation > Generation::new(1), "the job was not claimed again");
            for worker in &faulty {
                worker.is_faulty.set(false);
            }
            cluster.wait_until_done(&job.id, 120.0).await;
        });
    }
}
