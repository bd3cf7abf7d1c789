//! Answers workers' heartbeats.

mod redirects;

pub use redirects::RedirectedWorkers;

use crate::clock::now;
use crate::environment::Environment;
use crate::leadership::Leadership;
use crate::peer_links::PeerLinks;
use crate::peers::Peers;
use crate::replica::StoreReplica;
use crate::responses::{error, json, retry_later};
use crate::session_lease::SessionLease;
use corkfield_core::{MessageOrigin, Scheduler, Verdict};
use corkfield_http::{Connections, Response};
use corkfield_wire::records::JobRecord;
use corkfield_wire::worker::{
    ConnectionId, HeartbeatReply, Order, Redirect, RelayedHeartbeat, TaskId, WorkerHeartbeat,
};
use corkfield_wire::{Attempt, ControllerName, Generation};
use redirects::HeartbeatRoute;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// How long a heartbeat that arrives during a failover waits for the failover to end.
const FAILOVER_WAIT: Duration = Duration::from_millis(1500);
/// How long the answer to a heartbeat with pending starts waits for a proof of fresh state.
const START_PROOF_WAIT: Duration = Duration::from_millis(600);
/// If the proof of fresh state is older than this, the state service counts as unreachable, and no
/// heartbeat waits for a new proof.
const STORE_UNREACHABLE_AGE: Duration = Duration::from_secs(4);

/// Answers workers' heartbeats: as the leader, or by redirecting or relaying them to the leader.
pub struct WorkerHeartbeats {
    /// Settings, and the name and process of this controller.
    pub env: Rc<Environment>,
    /// The local copy of the state service; its freshness limits the possible answers (S4, S6).
    pub replica: Rc<StoreReplica>,
    /// The state of leadership, with the scheduler if this controller leads.
    pub leadership: Rc<Leadership>,
    /// This controller's lease, under which a leader may start tasks (S4).
    pub session_lease: Rc<SessionLease>,
    /// The latest heartbeats and attestations of the other controllers.
    pub peers: Rc<Peers>,
    /// The links over which heartbeats are relayed to the leader.
    pub links: Rc<PeerLinks>,
    /// Workers that were recently redirected to the leader.
    pub redirected_workers: Rc<RedirectedWorkers>,
    /// The connections of users and workers.
    pub connections: Rc<Connections>,
}

impl WorkerHeartbeats {
    /// Answers a heartbeat that a worker sent to this controller over the connection with this
    /// number.
    pub async fn answer_heartbeat(&self, body: &[u8], connection: u64) -> Response {
        let heartbeat: WorkerHeartbeat = match serde_json::from_slice(body) {
            Ok(heartbeat) => heartbeat,
            Err(reason) => return error(400, &reason.to_string()),
        };
        let connection = Some(ConnectionId { process: self.env.process, number: connection });
        let received = RelayedHeartbeat { heartbeat, connection };
        if self.leadership.is_leading() && !self.leadership.is_ready() {
            let _ =
                tokio::time::timeout(FAILOVER_WAIT, self.leadership.wait_for_preparation()).await;
        }
        if self.leadership.is_ready() {
            self.answer_as_leader(&received).await
        } else {
            self.answer_as_standby(&received).await
        }
    }

    /// Answers a heartbeat that another controller relayed to this one, as the leader.
    pub async fn answer_relayed(&self, body: &[u8]) -> Response {
        match serde_json::from_slice(body) {
            Ok(received) if self.leadership.is_ready() => self.answer_as_leader(&received).await,
            _ => retry_later("not the planner"),
        }
    }

    /// Redirects the worker to the leader, or relays the heartbeat if the worker couldn't reach the
    /// leader.
    async fn answer_as_standby(&self, received: &RelayedHeartbeat) -> Response {
        let heartbeat = &received.heartbeat;
        let leader = self.other_leader();
        if let Some(leader) = &leader {
            if self.redirected_workers.route_heartbeat(heartbeat.machine.as_str())
                == HeartbeatRoute::Relay
            {
                let body = serde_json::to_vec(received).expect("plain structs with string keys");
                if let Some(response) = self.links.relay_heartbeat(leader.as_str(), &body).await {
                    return self.filter_relayed_answer(response);
                }
            }
            self.leadership.record_misdirected_heartbeat(self.replica.leader_known_for());
        }
        let (machine, sequence) = (&heartbeat.machine, heartbeat.sequence);
        tracing::debug!(%machine, sequence, controller = ?leader, "worker redirected");
        json(421, &Redirect { report_to: leader })
    }

    /// Returns the leader's answer for the worker, without the starts whose generation differs from
    /// the job's record in the local copy.
    fn filter_relayed_answer(&self, response: Response) -> Response {
        if response.status != 200 {
            return retry_later("the planner has no answer");
        }
        let Ok(mut reply) = serde_json::from_slice::<HeartbeatReply>(&response.body) else {
            return retry_later("the planner's answer is unreadable");
        };
        let contents = self.replica.contents.borrow();
        reply.orders.retain(|order| match order {
            Order::Start { task, attempt } => {
                let record = contents.jobs.get(&task.job).map(|job| &job.record);
                matches_generation(task, *attempt, record)
            }
            _ => true,
        });
        json(200, &reply)
    }

    /// Answers a heartbeat with the orders of the scheduler.
    async fn answer_as_leader(&self, received: &RelayedHeartbeat) -> Response {
        let heartbeat = &received.heartbeat;
        let Some(scheduler) = self.leadership.scheduler() else {
            return json(421, &Redirect { report_to: None });
        };
        if let Some(refusal) = self.process_heartbeat(&scheduler, received) {
            return refusal;
        }
        self.leadership.record_heartbeat();
        if scheduler.borrow().may_start_on(heartbeat.machine.as_str(), now()) {
            self.leadership.wait_for_pass().await;
        }
        self.hold_answer(&scheduler, heartbeat.machine.as_str()).await;
        self.renew_start_proof(&scheduler, heartbeat.machine.as_str()).await;
        // The leader may have changed while the answer was delayed.
        let is_same_scheduler =
            self.leadership.scheduler().is_some_and(|now| Rc::ptr_eq(&now, &scheduler));
        if !is_same_scheduler || !self.may_answer() {
            return json(421, &Redirect { report_to: self.other_leader() });
        }
        let may_start =
            self.leadership.has_valid_lease(&self.session_lease) && self.has_start_proof();
        let mut scheduler = scheduler.borrow_mut();
        let (agent_epoch, sequence) = (heartbeat.agent_epoch, heartbeat.sequence);
        let orders = scheduler.orders_for_answer(
            heartbeat.machine.as_str(),
            agent_epoch,
            sequence,
            may_start,
            now(),
        );
        json(200, &HeartbeatReply { term: scheduler.term(), orders })
    }

    /// Passes the heartbeat to the scheduler. Returns `None` if the scheduler accepted the
    /// heartbeat, or else the answer that refuses it.
    fn process_heartbeat(
        &self,
        scheduler: &RefCell<Scheduler>,
        received: &RelayedHeartbeat,
    ) -> Option<Response> {
        let RelayedHeartbeat { heartbeat, connection } = received;
        let WorkerHeartbeat { machine, sequence, .. } = heartbeat;
        // S6: without fresh state this controller may have missed a cancellation. Refused workers
        // lose their leases, and so stop the job, before the time limit of the cancellation.
        if !self.may_answer() {
            tracing::debug!(%machine, "heartbeat refused: no proof of fresh state");
            return Some(retry_later("no fresh state"));
        }
        let origin = MessageOrigin::Heartbeat { connection: *connection };
        let verdict = scheduler.borrow_mut().on_heartbeat(heartbeat, origin, now());
        if verdict != Verdict::Accept {
            let agent_epoch = heartbeat.agent_epoch.get();
            tracing::debug!(%machine, agent_epoch, sequence, ?verdict, "heartbeat not accepted");
        }
        match verdict {
            Verdict::Accept => None,
            Verdict::Stale => Some(retry_later("stale report")),
            Verdict::HigherTerm(term) => {
                self.leadership.record_higher_term(term);
                Some(retry_later("a higher term is needed"))
            }
            Verdict::AnswersInDoubt => Some(retry_later("answers may not arrive")),
        }
    }

    /// Delays the answer to an idle machine until there are orders for it, at most for the operator
    /// setting `hold_s`.
    async fn hold_answer(&self, scheduler: &RefCell<Scheduler>, machine: &str) {
        let max_hold = Duration::from_secs_f64(self.env.settings.operator.hold_s);
        // While connections are scarce, a delayed answer would occupy a connection that another
        // worker needs.
        let may_delay_answer = !max_hold.is_zero() && !self.connections.is_above_keep_alive_limit();
        if may_delay_answer && scheduler.borrow().may_delay_answer(machine) {
            let answer_due = self.leadership.hold_answer(machine);
            let _ = tokio::time::timeout(max_hold, answer_due.notified()).await;
            self.leadership.remove_held_answer(machine, &answer_due);
        }
    }

    /// Waits for a new proof of fresh state if starts are pending for the machine and the proof is
    /// too old for them (S4). After another controller has confirmed the cancellation of a job,
    /// tasks of the job can then be started only for about the maximum age of the proof.
    async fn renew_start_proof(&self, scheduler: &RefCell<Scheduler>, machine: &str) {
        let has_starts = scheduler.borrow().has_assigned_tasks(machine);
        if has_starts && !self.has_start_proof() && self.replica.proof_age() < STORE_UNREACHABLE_AGE
        {
            self.replica.refresh(START_PROOF_WAIT).await;
        }
    }

    /// Returns whether the proof of fresh state is recent enough for starts (S4).
    fn has_start_proof(&self) -> bool {
        self.replica.proof_age() <= self.env.settings.max_start_proof_age()
    }

    /// Returns whether a heartbeat may be answered with status 200 (S6). This requires that the
    /// proof of fresh state is younger than the answer limit or, during an outage of the state
    /// service for all controllers, that the attestations of all other controllers are. It also
    /// requires that the local copy shows no newer leader.
    fn may_answer(&self) -> bool {
        let limit = self.env.settings.answer_limit();
        let is_fresh = self.replica.proof_age() < limit
            || self.attestation_age().is_some_and(|age| age < limit);
        is_fresh && !self.leadership.is_replaced(&self.replica.contents.borrow())
    }

    /// Returns how long ago all other controllers attested to the outage, with this controller as
    /// the leader; `None` if any of them did not.
    fn attestation_age(&self) -> Option<Duration> {
        let term = self.leadership.term()?;
        let proven_at = self.replica.proven_at()?;
        self.peers.attestation_age(&self.env.settings.platform, term, proven_at)
    }

    /// Returns the leader, if it is another controller and its process is present.
    fn other_leader(&self) -> Option<ControllerName> {
        let contents = self.replica.contents.borrow();
        let record = &contents.leader.as_ref()?.record;
        let name = record.node.clone().filter(|name| *name != self.env.name)?;
        contents.is_holder_present(record).then_some(name)
    }
}

/// Returns whether a relayed start has the generation of its job's record in the local copy.
fn matches_generation(task: &TaskId, attempt: Attempt, record: Option<&JobRecord>) -> bool {
    let known = record.map(|record| record.generation);
    let is_match = known == Some(attempt.generation());
    if !is_match {
        tracing::debug!(
            %task,
            attempt = attempt.get(),
            generation = attempt.generation().get(),
            record_generation = known.map(Generation::get),
            "relayed start dropped"
        );
    }
    is_match
}
