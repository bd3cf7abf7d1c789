//! What a machine is used for, and whether the key-value store has a record of it.

/// What a machine is used for.
///
/// | from                  | event                                                   | to         |
/// |-----------------------|---------------------------------------------------------|------------|
/// | (new)                 | rented, listed, or first seen in a heartbeat            | `Booting`  |
/// | `Booting`             | first heartbeat, or recorded by an earlier leader       | `Up`       |
/// | `Booting`, `Up`       | not needed, faulty, or late to boot                     | `Draining` |
/// | `Draining`            | nothing is on it any more                               | `Deleting` |
/// | any                   | its worker lost its state, or is silent at a failover   | `Deleting` |
///
/// `Deleting` is final: the machine is forgotten once its deletion was answered or a list of the
/// cloud shows that it is gone. Every change goes through `Machine::enter`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Rented; its worker has sent no heartbeat yet.
    Booting,
    /// Takes tasks.
    Up,
    /// Takes no new tasks; those that run may go on or are being stopped.
    Draining,
    /// Its deletion was requested.
    Deleting,
}

/// Whether the key-value store knows that the machine may hold tasks (S7).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordState {
    /// It was never recorded.
    NotStored,
    /// The write is under way.
    Writing,
    /// It is stored.
    Stored,
}
