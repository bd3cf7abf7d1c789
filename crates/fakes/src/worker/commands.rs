//! Direct orders and status requests from controllers.

use super::FakeWorker;
use crate::{empty_response, json_response, sleep};
use corkfield_http::{serve, Limits, Network, Request, Response};
use corkfield_wire::worker::{DirectOrders, Order, PATH_COMMANDS};
use std::rc::Rc;

impl FakeWorker {
    /// Serves the worker's HTTP interface at the machine's address until the machine is killed.
    pub(super) async fn serve_commands(self: Rc<Self>, network: Rc<dyn Network>) {
        let Ok(listener) = network.listen(self.settings.addr).await else { return };
        let worker = self.clone();
        let handler = move |request| worker.clone().handle(request);
        let serving = serve(listener, Limits::default(), Rc::new(handler));
        tokio::select! {
            () = serving => {}
            () = self.wait_until_dead() => {}
        }
    }

    async fn handle(self: Rc<Self>, request: Request) -> Response {
        self.wait_while_hung().await;
        if self.is_dead.get() || self.is_inbound_blocked.get() {
            return std::future::pending().await;
        }
        self.check_lease();
        if request.path() != PATH_COMMANDS {
            return json_response(200, &self.next_heartbeat());
        }
        let Ok(direct) = serde_json::from_slice::<DirectOrders>(&request.body) else {
            return empty_response(400);
        };
        if let Some(delay_s) = self.command_delay_s.get() {
            tokio::task::spawn_local(self.execute_after_delay(direct, delay_s));
            return std::future::pending().await;
        }
        let starts = direct.orders.iter().filter(|order| matches!(order, Order::Start { .. }));
        self.direct_starts.set(self.direct_starts.get() + starts.count() as u32);
        let copy = direct.clone();
        let is_executed = self.execute_direct(direct);
        if let Some(delay_s) = self.command_copy_delay_s.get().filter(|_| is_executed) {
            tokio::task::spawn_local(self.clone().execute_copy_after_delay(copy, delay_s));
        }
        let status = if is_executed { 200 } else { 409 };
        json_response(status, &self.next_heartbeat())
    }

    /// Executes direct orders after a delay, although the request of their sender has timed out.
    async fn execute_after_delay(self: Rc<Self>, direct: DirectOrders, delay_s: f64) {
        sleep(delay_s).await;
        self.wait_while_hung().await;
        if self.is_dead.get() {
            return;
        }
        self.check_lease();
        if self.execute_direct(direct) {
            self.delayed_commands.set(self.delayed_commands.get() + 1);
        }
    }

    /// Executes a copy of direct orders that were executed before, after a delay.
    async fn execute_copy_after_delay(self: Rc<Self>, direct: DirectOrders, delay_s: f64) {
        sleep(delay_s).await;
        self.wait_while_hung().await;
        if !self.is_dead.get() && self.execute_direct(direct) {
            self.command_copies.set(self.command_copies.get() + 1);
        }
    }

    /// Executes direct orders. Returns false if their term is lower than the worker's term or their
    /// agent epoch is not the current one.
    fn execute_direct(&self, direct: DirectOrders) -> bool {
        {
            let mut state = self.state.borrow_mut();
            if direct.term < state.term || direct.agent_epoch != state.agent_epoch {
                return false;
            }
            if direct.term > state.term {
                state.term = direct.term;
                self.state_changed.notify_one();
            }
        }
        self.execute(direct.orders);
        true
    }
}
