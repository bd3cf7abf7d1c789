//! What a scheduler asks the world outside to do.

use crate::machine::Machine;
use corkfield_wire::cloud::RentRequest;
use corkfield_wire::records::MachineRecord;
use corkfield_wire::worker::Order;
use corkfield_wire::{AgentEpoch, MachineName};

/// What the world outside should do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// A heartbeat whose answer is held back should be answered now.
    Answer(MachineName),
    /// Orders that are safe at any time (stops), straight to the machine.
    Direct {
        /// The machine's name.
        machine: MachineName,
        /// Where its worker takes direct orders.
        addr: String,
        /// The agent epoch that the orders are for.
        agent_epoch: AgentEpoch,
        /// What to do, in order.
        orders: Vec<Order>,
    },
    /// The key-value store has to know the machine before anything starts on it.
    Record(MachineName, MachineRecord),
    /// The machine is surely gone, and its record with it.
    Erase(MachineName),
    /// Machines should be rented.
    Rent(RentRequest),
    /// Machines should be returned.
    Delete(Vec<MachineName>),
}

/// What is sent straight to a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DirectPurpose {
    /// Orders, or none of them (a fence): the worker learns our term.
    Order,
    /// A question what the machine holds, which says nothing of us.
    Inspect,
}

/// Where direct orders go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectOrderTarget {
    /// Name of the machine.
    pub machine: MachineName,
    /// Address at which the machine's worker takes direct orders.
    pub addr: String,
    /// The agent epoch that the orders are for.
    pub agent_epoch: AgentEpoch,
    /// What is sent.
    pub purpose: DirectPurpose,
}

/// Orders that go straight to a machine, for its worker's current agent epoch.
pub(crate) fn direct_orders(machine: &Machine, orders: Vec<Order>) -> Action {
    Action::Direct {
        machine: machine.name.clone(),
        addr: machine.addr.clone(),
        agent_epoch: machine.message_history.newest().agent_epoch,
        orders,
    }
}
