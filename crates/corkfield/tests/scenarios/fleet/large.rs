//! Fleets larger than the size that the service was first designed for. The bounds are counts or
//! simulated time, so that they hold on a test machine of any speed.

use super::wait_until_started;
use crate::cluster::{
    is_transaction_with, job_spec, scenario_with_limits, sleep_s, PlatformLimits, CANCEL_S,
};
use corkfield_fakes::Fault;
use corkfield_wire::{AgentEpoch, JobSpec};
use std::cell::Cell;
use std::rc::Rc;

/// Returns the platform limits for a number of machines.
fn limits_for(machines: usize) -> PlatformLimits {
    let scale = machines as f64 / 1700.0;
    PlatformLimits {
        state_rps: 500.0 * scale,
        write_rps: 200.0 * scale,
        cloud_rps: 12.0 * scale,
        sockets: u32::try_from(machines * 23 / 10).expect("the number of sockets fits"),
    }
}

/// Asserts that no worker lease expires and no task is started twice while machines boot, jobs are
/// cancelled, and the leader is replaced while a sixth of the machines hangs.
fn boot_and_fail_over(machines: usize) {
    scenario_with_limits(limits_for(machines), 16, |cluster| async move {
        cluster.cloud.capacity.set(machines);
        let count = u32::try_from(machines * 8 / 2500).expect("the number of jobs fits");
        let jobs: Vec<_> = (0..count)
            .map(|number| JobSpec { estimate_s: 20.0, ..job_spec(number, 2500) })
            .collect();
        for job in &jobs {
            cluster.submit(job, 22.0).await;
        }
        let (cancelled, kept) = jobs.split_at(2);
        wait_until_started(&cluster, count * 2500 * 9 / 10, 40.0).await;
        let hung: Vec<_> = cluster.cloud.workers().into_iter().step_by(6).collect();
        hung.iter().for_each(|worker| worker.set_hung(true));
        cluster.restart_controller(cluster.leader(), 0.3).await;
        for job in cancelled {
            cluster.cancel(&job.id).await;
        }
        sleep_s(6.0).await;
        hung.iter().for_each(|worker| worker.set_hung(false));
        for job in kept {
            cluster.wait_until_done(&job.id, 60.0).await;
            cluster.assert_started_once(job, "no worker lease expired");
        }
        let agent_epochs = cluster.cloud.workers().iter().map(|worker| worker.agent_epoch()).max();
        assert_eq!(agent_epochs, Some(AgentEpoch::new(1)), "no worker lease expired");
        sleep_s(CANCEL_S).await;
    });
}

#[test]
fn four_thousand_machines_come_up_and_survive_a_failover() {
    boot_and_fail_over(4000);
}

#[test]
fn six_thousand_machines_come_up_and_survive_a_failover() {
    boot_and_fail_over(6000);
}

#[test]
fn hundreds_of_jobs_are_claimed_in_few_transactions_after_a_failover() {
    let limits = PlatformLimits { state_rps: 300.0, write_rps: 120.0, ..limits_for(1700) };
    scenario_with_limits(limits, 20, |cluster| async move {
        // The jobs exceed the capacity of the machines, so nearly all of them are queued.
        let jobs: Vec<_> = (0..800).map(|number| job_spec(number, 2)).collect();
        for job in &jobs {
            cluster.submit(job, 60.0).await;
        }
        let term_before = cluster.elected_leader().expect("there is a leader").term;
        cluster.restart_controller(cluster.leader(), 0.3).await;
        while cluster.elected_leader().is_none_or(|leader| leader.term == term_before) {
            sleep_s(0.1).await;
        }
        let started = tokio::time::Instant::now();
        let claims = Rc::new(Cell::new(0));
        let counter = claims.clone();
        cluster.store.set_faults(move |request| {
            let is_claim = is_transaction_with(request, "\"c/planner\"")
                && is_transaction_with(request, "\"put\":\"c/jobs/");
            counter.set(counter.get() + u32::from(is_claim));
            Fault::None
        });
        let leader = cluster.leader();
        loop {
            let view = cluster.overview(leader).await;
            let claimed = view["planning"]["jobs"].as_u64();
            if claimed.is_some() && claimed == view["unfinished_jobs"].as_u64() {
                break;
            }
            sleep_s(0.1).await;
        }
        // The limit of changes per second determines the time. With four records per transaction,
        // the claims would also need 200 transactions.
        let elapsed_s = started.elapsed().as_secs_f64();
        assert!(elapsed_s < 12.0, "{elapsed_s} s");
        assert!(claims.get() < 120, "{} claim transactions", claims.get());
    });
}
