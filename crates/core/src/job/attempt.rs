//! Numbers of attempts, which carry the generation of the claim that they were made under.

/// Low bits of an attempt number, which count the attempts of one generation.
const COUNT_BITS: u32 = 24;
/// The highest count of attempts in one generation.
const MAX_COUNT: u64 = (1 << COUNT_BITS) - 1;

/// The number of an attempt at a task. Attempts never repeat: the generation, raised by each
/// claim, is their high part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptNumber(u64);

impl AttemptNumber {
    /// The attempt with that count in a generation.
    pub(super) fn new(generation: u64, count: u64) -> Self {
        Self((generation << COUNT_BITS) | (count & MAX_COUNT))
    }

    /// The generation of the claim that the attempt was made under.
    pub fn generation(self) -> u64 {
        self.0 >> COUNT_BITS
    }

    /// The number as it stands in orders and heartbeats.
    pub(super) fn get(self) -> u64 {
        self.0
    }
}

impl From<u64> for AttemptNumber {
    fn from(attempt: u64) -> Self {
        Self(attempt)
    }
}
