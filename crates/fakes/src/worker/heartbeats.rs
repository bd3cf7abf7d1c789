//! The worker's side of the heartbeat protocol. The worker sends one heartbeat at a time. All
//! heartbeats go to the same controller until a redirect or a failure makes the worker switch to
//! another one.

use super::{FakeWorker, MAX_KEPT_HEARTBEATS};
use crate::{now, sleep};
use corkfield_http::{Client, ClientError, ClientResponse, Network};
use corkfield_wire::worker::{HeartbeatReply, Order, Redirect, PATH_HEARTBEAT};
use corkfield_wire::AgentEpoch;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time limit for a reply; a later reply is ignored.
const REPLY_TIMEOUT: Duration = Duration::from_secs(4);
/// The minimum time between a reply and the next heartbeat.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The delay before a worker tries another controller, in seconds.
const RETRY_DELAY_S: f64 = 1.0;
const MAX_CONNECTIONS: usize = 2;
const MAX_REPLY_BYTES: usize = 1024 * 1024;
/// The HTTP status of a controller's redirect to another controller.
const MISDIRECTED: u16 = 421;

impl FakeWorker {
    /// Sends heartbeats until the machine is killed.
    pub(super) async fn send_heartbeats(self: Rc<Self>, network: Rc<dyn Network>) {
        let mut controller = 0;
        let mut client = self.create_client(controller, &network);
        while !self.is_dead.get() {
            self.wait_while_hung().await;
            self.check_lease();
            let next = if self.is_outbound_blocked.get() {
                Err(self.wait_for_next_controller(controller).await)
            } else {
                self.send_heartbeat(&client, controller).await
            };
            // An error means that the worker needs a new connection: to another controller, or to
            // the same controller after a restart of the worker.
            if let Err(next) = next {
                controller = next;
                client = self.create_client(controller, &network);
            }
        }
    }

    /// Creates a client for a controller, without open connections.
    fn create_client(&self, controller: usize, network: &Rc<dyn Network>) -> Client {
        let (_, addr) = self.settings.controllers[controller];
        Client::new(network.clone(), addr, MAX_CONNECTIONS, MAX_REPLY_BYTES)
    }

    /// Sends one heartbeat and handles its reply.
    ///
    /// # Errors
    ///
    /// Returns the controller for the next heartbeat if the worker must open a new connection.
    async fn send_heartbeat(&self, client: &Client, controller: usize) -> Result<(), usize> {
        let process = self.process.get();
        let heartbeat = self.next_heartbeat();
        let sent_at = now();
        let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
        if self.is_holding_heartbeats.get() {
            self.record_sent_heartbeat(body);
            sleep(REPLY_TIMEOUT.as_secs_f64()).await;
            return Err(self.wait_for_next_controller(controller).await);
        }
        let mut answer = client.request("POST", PATH_HEARTBEAT, &body, REPLY_TIMEOUT).await;
        self.record_sent_heartbeat(body);
        if self.is_inbound_blocked.get() {
            answer = self.drop_reply(answer, sent_at).await;
        }
        self.wait_while_hung().await;
        self.check_lease();
        if process != self.process.get() {
            // The worker has restarted: the process that sent the heartbeat has ended, and its
            // connection is closed.
            return Err(controller);
        }
        match answer {
            Ok(reply) if reply.status == 200 && now() < sent_at + REPLY_TIMEOUT => {
                let reply = serde_json::from_slice::<HeartbeatReply>(&reply.body);
                let Ok(reply) = reply else { return Ok(()) };
                self.handle_reply(reply, heartbeat.agent_epoch, sent_at);
                self.wait_for_next_heartbeat().await;
                Ok(())
            }
            Ok(reply) if reply.status == MISDIRECTED => {
                match self.redirect_target(&reply.body).filter(|next| *next != controller) {
                    Some(next) => Err(next),
                    None => Err(self.wait_for_next_controller(controller).await),
                }
            }
            _ => Err(self.wait_for_next_controller(controller).await),
        }
    }

    /// Waits for the retry delay; returns the next controller to try.
    async fn wait_for_next_controller(&self, controller: usize) -> usize {
        sleep(RETRY_DELAY_S).await;
        (controller + 1) % self.settings.controllers.len()
    }

    /// Returns the controller that a redirect refers to.
    fn redirect_target(&self, body: &[u8]) -> Option<usize> {
        let redirect: Redirect = serde_json::from_slice(body).ok()?;
        let target = redirect.report_to?;
        self.settings.controllers.iter().position(|(name, _)| *name == target)
    }

    fn record_sent_heartbeat(&self, body: Vec<u8>) {
        let mut sent = self.sent_heartbeats.borrow_mut();
        sent.push_back(body);
        if sent.len() > MAX_KEPT_HEARTBEATS {
            sent.pop_front();
        }
    }

    /// Simulates the loss of a reply: counts its start orders as undelivered, and returns a timeout
    /// when the time limit has passed.
    async fn drop_reply(
        &self,
        answer: Result<ClientResponse, ClientError>,
        sent_at: Instant,
    ) -> Result<ClientResponse, ClientError> {
        if let Ok(reply) = answer {
            let reply = serde_json::from_slice::<HeartbeatReply>(&reply.body);
            let orders = reply.map(|reply| reply.orders).unwrap_or_default();
            let starts = orders.iter().filter(|order| matches!(order, Order::Start { .. })).count();
            let lost = self.undelivered_starts.get() + u32::try_from(starts).unwrap_or(0);
            self.undelivered_starts.set(lost);
        }
        sleep((sent_at + REPLY_TIMEOUT - now()).as_secs_f64()).await;
        Err(ClientError::Timeout)
    }

    /// Renews the lease and executes the orders. A reply is ignored if its term is lower than the
    /// worker's, or if it answers a heartbeat of another agent epoch.
    fn handle_reply(&self, reply: HeartbeatReply, agent_epoch: AgentEpoch, sent_at: Instant) {
        {
            let mut state = self.state.borrow_mut();
            let is_valid = reply.term >= state.term && agent_epoch == state.agent_epoch;
            if !is_valid || self.is_dead.get() {
                return;
            }
            if reply.term > state.term {
                self.state_changed.notify_one();
            }
            state.term = reply.term;
            state.renewed_at = state.renewed_at.max(sent_at);
        }
        self.execute(reply.orders);
    }

    /// Waits until the state has changed or the heartbeat interval has passed.
    async fn wait_for_next_heartbeat(&self) {
        sleep(MIN_HEARTBEAT_INTERVAL.as_secs_f64()).await;
        let remaining = self.settings.heartbeat_interval.saturating_sub(MIN_HEARTBEAT_INTERVAL);
        let _ = tokio::time::timeout(remaining, self.state_changed.notified()).await;
    }
}
