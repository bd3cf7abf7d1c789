//! Outages of the store, lost answers, and transactions that are executed late.

use crate::cluster::{scenario, secs, spec, NODES};
use corkfield_fakes::Fault;
use corkfield_wire::store::PATH_TXN;
use corkfield_wire::user::{PATH_JOBS, PATH_READY};
use std::cell::Cell;

#[test]
fn a_short_outage_of_the_store_stops_no_task_and_a_long_one_loses_no_job() {
    scenario(2, |cluster| async move {
        let short = spec(1, 12);
        cluster.submit(&short, 20.0).await;
        secs(4.0).await;
        cluster.store.set_down(true);
        secs(9.0).await;
        cluster.store.set_down(false);
        cluster.until_done(&short.id, 60.0).await;
        cluster.assert_started_once(&short, "nothing was started again");
        let long = spec(2, 12);
        cluster.submit(&long, 60.0).await;
        secs(5.0).await;
        // One that might know of a cancellation can't be asked.
        let other = cluster.others(cluster.planner_node())[0];
        cluster.kill(other);
        cluster.store.set_down(true);
        secs(45.0).await;
        assert_eq!(
            cluster.history.running(&long.id),
            0,
            "without fresh state, leases run out (S6)"
        );
        cluster.store.set_down(false);
        cluster.start(other);
        cluster.until_done(&long.id, 150.0).await;
    });
}

#[test]
fn lost_answers_to_commits_neither_lose_nor_double_anything() {
    scenario(2, |cluster| async move {
        let count = Cell::new(0);
        cluster.store.set_faults(move |request| {
            count.set(count.get() + 1);
            let lost = request.path() == PATH_TXN && count.get() % 4 == 0;
            if lost {
                Fault::LoseAnswer
            } else {
                Fault::None
            }
        });
        let jobs: Vec<_> = (1..6).map(|n| spec(n, 6)).collect();
        for job in &jobs {
            let status = cluster.submit(job, 4.0).await;
            assert!(status == 200 || status == 201, "{status}");
        }
        for job in &jobs {
            cluster.until_done(&job.id, 150.0).await;
        }
    });
}

#[test]
fn transactions_that_are_carried_out_late_do_no_harm() {
    scenario(2, |cluster| async move {
        let count = Cell::new(0);
        cluster.store.set_faults(move |request| {
            count.set(count.get() + 1);
            let late = request.path() == PATH_TXN && count.get() % 5 == 0;
            if late {
                Fault::Late(7.0)
            } else {
                Fault::None
            }
        });
        let jobs: Vec<_> = (1..6).map(|n| spec(n, 6)).collect();
        for job in &jobs {
            cluster.submit(job, 4.0).await;
        }
        let scheduler = cluster.planner_node();
        cluster.restart(scheduler, 0.3).await;
        for job in &jobs {
            cluster.until_done(&job.id, 200.0).await;
        }
    });
}

#[test]
fn without_the_store_nothing_is_guessed() {
    scenario(1, |cluster| async move {
        let job = spec(1, 2);
        cluster.submit(&job, 2.0).await;
        cluster.until_done(&job.id, 30.0).await;
        cluster.store.set_down(true);
        secs(1.0).await;
        let body = serde_json::to_vec(&spec(2, 2)).expect("serializable");
        assert_eq!(cluster.ask(0, "POST", PATH_JOBS, &body).await.map(|r| r.0), Some(503));
        let unknown = "/submissions/j-000009";
        assert_eq!(cluster.ask(0, "GET", unknown, b"").await.map(|r| r.0), Some(503));
        // A final state may be answered from memory: it never changes.
        let path = format!("{PATH_JOBS}/{}", job.id);
        let answers =
            [cluster.ask(0, "GET", &path, b"").await, cluster.ask(1, "GET", &path, b"").await];
        assert!(answers.iter().flatten().all(|r| r.0 == 200 || r.0 == 503));
        assert_eq!(cluster.ask(0, "GET", PATH_READY, b"").await.map(|r| r.0), Some(200));
        // A controller restarted meanwhile is no worse than the others, once their last word
        // of the store is old.
        cluster.restart(2, 0.5).await;
        secs(10.0).await;
        assert_eq!(cluster.ask(2, "GET", PATH_READY, b"").await.map(|r| r.0), Some(200));
        assert_eq!(cluster.ask(2, "GET", unknown, b"").await.map(|r| r.0), Some(503));
    });
}

#[test]
fn a_quiet_deployment_stays_ready() {
    scenario(1, |cluster| async move {
        // Nothing changes in the store: proofs of fresh state come from watches that run out.
        for _ in 0..300 {
            secs(0.1).await;
            for node in 0..NODES.len() {
                let answer = cluster.ask(node, "GET", PATH_READY, b"").await;
                assert_eq!(answer.map(|(status, _)| status), Some(200), "node {node}");
            }
        }
    });
}
