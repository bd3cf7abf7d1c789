//! Side effects that the scheduler asks its caller to carry out.

use crate::machine::Machine;
use corkfield_wire::cloud::RentRequest;
use corkfield_wire::records::MachineRecord;
use corkfield_wire::worker::Order;
use corkfield_wire::{AgentEpoch, MachineName};

/// A side effect for the caller of the scheduler to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send the answer to this machine's heartbeat now, if it is being held back.
    SendHeldAnswer(MachineName),
    /// Send orders straight to a machine. Only orders that are safe at any time (stops) are sent
    /// this way.
    SendDirectOrders {
        /// Name of the machine.
        machine: MachineName,
        /// Address at which the machine's worker accepts direct orders.
        addr: String,
        /// Agent epoch that the orders are valid for.
        agent_epoch: AgentEpoch,
        /// The orders, in the order in which the worker executes them.
        orders: Vec<Order>,
    },
    /// Store the machine's record. No task starts on the machine before it is stored (S7).
    StoreMachineRecord(MachineName, MachineRecord),
    /// Delete the record of a machine that no longer exists.
    DeleteMachineRecord(MachineName),
    /// Rent machines from the cloud.
    RentMachines(RentRequest),
    /// Delete machines in the cloud.
    DeleteMachines(Vec<MachineName>),
}

/// Purpose of a request that is sent straight to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectPurpose {
    /// Deliver orders, or an empty list of orders (a fence). The worker learns our term from it.
    Order,
    /// Inspect which tasks the machine holds. The request does not carry our term.
    Inspect,
}

/// Recipient of a direct request to a machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectRequestTarget {
    /// Name of the machine.
    pub machine: MachineName,
    /// Address at which the machine's worker accepts direct orders.
    pub addr: String,
    /// Agent epoch that the orders are valid for.
    pub agent_epoch: AgentEpoch,
    /// Purpose of the request.
    pub purpose: DirectPurpose,
}

/// Builds the action that sends `orders` straight to a machine, for the newest agent epoch known
/// of its worker.
pub(crate) fn direct_orders_action(machine: &Machine, orders: Vec<Order>) -> Action {
    Action::SendDirectOrders {
        machine: machine.name.clone(),
        addr: machine.addr.clone(),
        agent_epoch: machine.message_history.newest().agent_epoch,
        orders,
    }
}
