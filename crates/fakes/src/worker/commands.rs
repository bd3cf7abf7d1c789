//! Direct orders and questions of controllers.

use super::FakeWorker;
use crate::{empty_response, json_response, sleep};
use corkfield_http::{serve, Limits, Network, Request, Response};
use corkfield_wire::worker::{DirectOrders, PATH_COMMANDS};
use std::rc::Rc;

impl FakeWorker {
    /// Serves at the machine's address until the machine is gone.
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
            tokio::task::spawn_local(self.execute_delayed(direct, delay_s));
            return std::future::pending().await;
        }
        let status = if self.execute_direct(direct) { 200 } else { 409 };
        json_response(status, &self.next_heartbeat())
    }

    /// Executes delayed direct orders, although their sender has long given them up.
    async fn execute_delayed(self: Rc<Self>, direct: DirectOrders, delay_s: f64) {
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

    /// Executes direct orders; false if their term or their agent epoch is an old one.
    fn execute_direct(&self, direct: DirectOrders) -> bool {
        {
            let mut state = self.state.borrow_mut();
            if direct.term < state.term || direct.agent_epoch != state.agent_epoch {
                return false;
            }
            if direct.term > state.term {
                state.term = direct.term;
                self.changed.notify_one();
            }
        }
        self.execute(direct.orders);
        true
    }
}
