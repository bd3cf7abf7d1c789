//! The worker's side of the heartbeat protocol: one heartbeat at a time, to one controller until
//! another one is to be tried.

use super::{FakeWorker, KEPT_HEARTBEATS};
use crate::{now, sleep};
use corkfield_http::{Client, ClientError, Network, Reply};
use corkfield_wire::worker::{HeartbeatReply, Order, Redirect, PATH_HEARTBEAT};
use corkfield_wire::AgentEpoch;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A reply that takes longer is not taken.
const REPLY_LIMIT: Duration = Duration::from_secs(4);
/// The time between a reply and the next heartbeat, at the least.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// How long a worker waits before it tries another controller, in seconds.
const RETRY_S: f64 = 1.0;
const MAX_CONNECTIONS: usize = 2;
const MAX_REPLY_BYTES: usize = 1024 * 1024;
/// The HTTP status with which a controller redirects to another one.
const MISDIRECTED: u16 = 421;

impl FakeWorker {
    /// Heartbeats until the machine is gone.
    pub(super) async fn send_heartbeats(self: Rc<Self>, network: Rc<dyn Network>) {
        let mut controller = 0;
        let mut client = self.client(controller, &network);
        while !self.is_dead.get() {
            self.wait_while_hung().await;
            self.check_lease();
            let next = if self.is_outbound_blocked.get() {
                Err(self.try_next(controller).await)
            } else {
                self.exchange(&client, controller).await
            };
            // A worker keeps its connection only while it stays with its controller.
            if let Err(next) = next {
                controller = next;
                client = self.client(controller, &network);
            }
        }
    }

    /// A client without connections yet.
    fn client(&self, controller: usize, network: &Rc<dyn Network>) -> Client {
        let (_, addr) = self.settings.controllers[controller];
        Client::new(network.clone(), addr, MAX_CONNECTIONS, MAX_REPLY_BYTES)
    }

    /// Sends one heartbeat and takes its reply; if it can't stay with its controller and on its
    /// connection, returns the controller for the next heartbeat as an error.
    async fn exchange(&self, client: &Client, controller: usize) -> Result<(), usize> {
        let process = self.process.get();
        let heartbeat = self.next_heartbeat();
        let sent = now();
        let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
        if self.is_holding_heartbeats.get() {
            self.keep_sent(body);
            sleep(REPLY_LIMIT.as_secs_f64()).await;
            return Err(self.try_next(controller).await);
        }
        let mut answer = client.request("POST", PATH_HEARTBEAT, &body, REPLY_LIMIT).await;
        self.keep_sent(body);
        if self.is_inbound_blocked.get() {
            answer = self.lose_reply(answer, sent).await;
        }
        self.wait_while_hung().await;
        self.check_lease();
        if process != self.process.get() {
            // The process that waited for the answer is gone, and its connection with it.
            return Err(controller);
        }
        match answer {
            Ok(reply) if reply.status == 200 && now() < sent + REPLY_LIMIT => {
                let reply = serde_json::from_slice::<HeartbeatReply>(&reply.body);
                let Ok(reply) = reply else { return Ok(()) };
                self.take_reply(reply, heartbeat.agent_epoch, sent);
                self.wait_for_next_heartbeat().await;
                Ok(())
            }
            Ok(reply) if reply.status == MISDIRECTED => {
                match self.redirect_target(&reply.body).filter(|next| *next != controller) {
                    Some(next) => Err(next),
                    None => Err(self.try_next(controller).await),
                }
            }
            _ => Err(self.try_next(controller).await),
        }
    }

    /// The controller after this one, once it may be tried.
    async fn try_next(&self, controller: usize) -> usize {
        sleep(RETRY_S).await;
        (controller + 1) % self.settings.controllers.len()
    }

    /// The controller that a redirect names.
    fn redirect_target(&self, body: &[u8]) -> Option<usize> {
        let redirect: Redirect = serde_json::from_slice(body).ok()?;
        let target = redirect.report_to?;
        self.settings.controllers.iter().position(|(name, _)| *name == target)
    }

    fn keep_sent(&self, body: Vec<u8>) {
        let mut sent = self.sent_heartbeats.borrow_mut();
        sent.push_back(body);
        if sent.len() > KEPT_HEARTBEATS {
            sent.pop_front();
        }
    }

    /// The reply is lost on its way: the worker waits for it in vain.
    async fn lose_reply(
        &self,
        answer: Result<Reply, ClientError>,
        sent: Instant,
    ) -> Result<Reply, ClientError> {
        if let Ok(reply) = answer {
            let reply = serde_json::from_slice::<HeartbeatReply>(&reply.body);
            let orders = reply.map(|reply| reply.orders).unwrap_or_default();
            let starts = orders.iter().filter(|order| matches!(order, Order::Start { .. })).count();
            let lost = self.undelivered_starts.get() + u32::try_from(starts).unwrap_or(0);
            self.undelivered_starts.set(lost);
        }
        sleep((sent + REPLY_LIMIT - now()).as_secs_f64()).await;
        Err(ClientError::Timeout)
    }

    /// Renews the lease and executes the orders, unless the reply is of an earlier leader or to a
    /// heartbeat of an earlier agent epoch.
    fn take_reply(&self, reply: HeartbeatReply, agent_epoch: AgentEpoch, sent: Instant) {
        {
            let mut state = self.state.borrow_mut();
            let valid = reply.term >= state.term && agent_epoch == state.agent_epoch;
            if !valid || self.is_dead.get() {
                return;
            }
            if reply.term > state.term {
                self.changed.notify_one();
            }
            state.term = reply.term;
            state.renewed = state.renewed.max(sent);
        }
        self.execute(reply.orders);
    }

    /// Waits until something has changed or a heartbeat is due.
    async fn wait_for_next_heartbeat(&self) {
        sleep(MIN_INTERVAL.as_secs_f64()).await;
        let left = self.settings.heartbeat_interval.saturating_sub(MIN_INTERVAL);
        let _ = tokio::time::timeout(left, self.changed.notified()).await;
    }
}
