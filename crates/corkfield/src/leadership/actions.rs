//! Carries out the scheduler's decisions.

use super::active_leader::ActiveLeader;
use super::direct_orders::send_direct_orders;
use super::machine_records::MachineRecordWrite;
use corkfield_core::{Action, DirectPurpose, DirectRequestTarget};

impl ActiveLeader {
    /// Dispatches the scheduler's actions as they are produced. Requests to other services run in
    /// tasks of their own, so that no action delays the next ones.
    pub(super) async fn dispatch_actions(&self) {
        loop {
            let actions = self.scheduler.borrow_mut().take_actions();
            if actions.is_empty() {
                self.context.leadership.actions_pending.notified().await;
                continue;
            }
            let mut records = Vec::new();
            let mut deleted = Vec::new();
            for action in actions {
                match action {
                    Action::StoreMachineRecord(machine, record) => {
                        records.push(MachineRecordWrite { machine, record });
                    }
                    Action::DeleteMachineRecord(machine) => deleted.push(machine),
                    Action::SendHeldAnswer(machine) => {
                        self.context.leadership.held_answers.release(machine.as_str());
                    }
                    Action::SendDirectOrders { machine, addr, agent_epoch, orders } => {
                        let purpose = DirectPurpose::Order;
                        let target = DirectRequestTarget { machine, addr, agent_epoch, purpose };
                        let (context, scheduler) = (self.context.clone(), self.scheduler.clone());
                        tokio::task::spawn_local(async move {
                            send_direct_orders(&context, &scheduler, &target, orders).await;
                        });
                    }
                    Action::RentMachines(request) => self.rent_machines(request),
                    Action::DeleteMachines(machines) => self.return_machines(machines),
                }
            }
            self.update_machine_records(records, deleted);
        }
    }
}
