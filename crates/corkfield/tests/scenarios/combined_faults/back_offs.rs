//! Jobs that back off and are claimed once more while starts, heartbeats or answers of the store
//! are still under way.

use crate::cluster::{
    is_job_claim, job_spec, scenario, scenario_with_operator, sleep_s, Cluster, CONTROLLERS,
};
use corkfield::settings::Operator;
use corkfield_fakes::{FakeWorker, Fault, JobPlan};
use corkfield_http::Request;
use corkfield_wire::records::JOBS_PREFIX;
use corkfield_wire::store::{Change, Condition, Transaction, PATH_TXN};
use corkfield_wire::JobSpec;
use std::cell::Cell;
use std::rc::Rc;

/// After this a worker that was cut from the leader has its heartbeats relayed, in seconds.
const UNTIL_RELAYED_S: f64 = 16.0;

/// Counts the starts that reach a worker under another generation than that of the job's record
/// in the store.
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

/// How the second machine's heartbeats reach the leader.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Path {
    Direct,
    Relayed,
}

/// A job's description is uploaded late, so that the first worker refuses its starts and the job
/// backs off. Others of its tasks were assigned to a machine that hung for a moment and asks for
/// its orders during the back-off, or only after the job is claimed anew. In a release build these
/// left under the generation before ("start ordered ... generation=1 record_generation=2"), and a
/// relaying controller dropped them ("relayed start dropped"); in a debug build the leader's
/// assertion left the machine without answers until its lease expired.
#[test]
fn starts_assigned_before_a_back_off_don_t_outlive_it() {
    for path in [Path::Direct, Path::Relayed] {
        for hung_s in [1.5, 3.4] {
            // Machines are not returned meanwhile, and no answer waits for work.
            let operator = Operator { idle_keep_s: 600.0, hold_s: 0.0, ..Operator::default() };
            scenario_with_operator(operator, 2, |cluster| async move {
                cluster.cloud.capacity.set(2);
                let second = cluster.cloud.workers().pop().expect("two machines");
                if path == Path::Relayed {
                    let leader = CONTROLLERS[cluster.leader()];
                    cluster.net.partition(leader, second.settings.name.as_str());
                    sleep_s(UNTIL_RELAYED_S).await;
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
                assert_eq!(other_generations.get(), 0, "{path:?}, hung for {hung_s} s");
                assert_eq!(second.agent_epoch(), agent_epoch, "no lease expired");
                assert_eq!(second.undelivered_starts(), 0);
            });
        }
    }
}

/// Whether a request is a completion commit, which rests on the job's record alone; claims are
/// conditional on the leader record as well, acceptances on the job's final record.
fn is_completion_commit(request: &Request) -> bool {
    let transaction: Transaction = serde_json::from_slice(&request.body).unwrap_or_default();
    let is_job = |condition: &Condition| condition.key.starts_with(JOBS_PREFIX);
    let claimed = |change: &Change| match change {
        Change::Put { value, .. } => value["owner"].is_string(),
        Change::Delete { .. } => true,
    };
    request.path() == PATH_TXN
        && transaction.conditions.iter().all(is_job)
        && transaction.changes.iter().any(claimed)
}

/// A job fails on three machines and backs off while one of its tasks completes on a fourth. The
/// store carries out the commit of that task at once, and answers late: the leader has claimed the
/// job anew by then, on the record that it watches. Taken as the newest, the record of the commit
/// brought back the generation and the version before the claim; every later commit rested on that
/// version and was refused ("completion commit failed" with a conflict, for ever), so the job was
/// never done while that leader led.
#[test]
fn a_commit_answered_after_a_later_claim_does_not_hold_up_its_job() {
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

/// The first machine runs a job's long tasks, the others fail them, until the job is dead-lettered.
/// Returns the job and the machines that fail it.
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

/// An operator releases the job, and the machines are mended.
async fn release_job(cluster: &Cluster, job: &JobSpec, faulty: &[Rc<FakeWorker>]) {
    let release = format!("/operator/release/{}", job.id);
    let answer = cluster.request(cluster.leader(), "POST", &release, b"").await;
    assert_eq!(answer.map(|(status, _)| status), Some(200));
    for worker in faulty {
        worker.is_faulty.set(false);
    }
}

/// A job is dead-lettered while one of its tasks runs: the task is stopped, and the record that
/// shows it is written late. Meanwhile an operator releases the job, and the first claim after that
/// goes unanswered. The write is refused, and the record read after it is of the same generation.
/// Taken as the leader's own, it was not claimed once more, as its version was known: the overview
/// listed no dead-lettered job, but nothing of the job ran any more while that leader led.
#[test]
fn a_job_released_while_its_record_is_written_runs_again() {
    for release_after_s in [0.0, 0.2, 0.4, 0.6, 0.8, 1.0, 1.2, 1.4] {
        let operator = Operator { claim_limit: 1, ..Operator::default() };
        scenario_with_operator(operator, 4, |cluster| async move {
            let (job, faulty) = dead_letter_job(&cluster).await;
            // What is claimed next is claimed in vain.
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

/// The claim of a released job is carried out late, after its sender has looked for it in vain, and
/// the next claim meets it and is refused. The record is the leader's own then, at a generation that
/// it does not know. As its own it was not claimed once more: the job stayed dead-lettered in the
/// leader's memory.
#[test]
fn a_released_job_whose_claim_is_carried_out_late_runs_again() {
    // The claim that is carried out late counts as one.
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
