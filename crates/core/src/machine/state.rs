//! Phases of a machine's life, and the state of its record in the key-value store.

/// Phase of a machine's life.
///
/// | from                  | event                                                   | to         |
/// |-----------------------|---------------------------------------------------------|------------|
/// | (new)                 | rented, listed, or first seen in a heartbeat            | `Booting`  |
/// | `Booting`             | first heartbeat, or recorded by an earlier leader       | `Up`       |
/// | `Booting`, `Up`       | not needed, faulty, or late to boot                     | `Draining` |
/// | `Draining`            | no task is left on the machine                          | `Deleting` |
/// | any                   | worker has restarted its message numbering              | `Deleting` |
/// | any                   | its tasks stay uncertain, or no answer after a failover | `Deleting` |
///
/// `Deleting` is final: the machine is removed once the cloud answered its deletion or no longer
/// lists it. Every change goes through `Machine::transition_to`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// The machine is rented; its worker has sent no heartbeat yet.
    Booting,
    /// The machine accepts tasks.
    Up,
    /// The machine accepts no new tasks. Running tasks may continue or are being stopped.
    Draining,
    /// The deletion of the machine was requested from the cloud, or is requested at the next tick.
    Deleting,
}

/// State of the record in the key-value store which says that the machine may hold tasks (S7).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordState {
    /// The record is not stored and is not being written.
    NotStored,
    /// The record is being written.
    Writing,
    /// The record is stored.
    Stored,
}
