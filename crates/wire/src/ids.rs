//! Newtypes for identifying numbers and names.
//!
//! Each kind has its own type, so that the compiler rejects a confusion of two kinds. On the wire
//! and in stored records, each is encoded as the bare number or string that it wraps.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;

/// Number of low bits of an [`Attempt`] that hold its count within one generation.
const ATTEMPT_COUNT_BITS: u32 = 24;
/// The highest count of an [`Attempt`] within one generation.
const MAX_ATTEMPT_COUNT: u64 = (1 << ATTEMPT_COUNT_BITS) - 1;

/// Defines a newtype around `u64` with its constructor, accessor and formatting.
macro_rules! number_type {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Wraps a number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the wrapped number.
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        // Formats the number without the type name, because log lines contain the debug format.
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

/// Defines a newtype around `String` with its conversions, accessor and formatting.
macro_rules! name_type {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        // Allows lookups by `&str` in maps that are keyed by names.
        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<String> for $name {
            fn from(name: String) -> Self {
                Self(name)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self(name.to_owned())
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        // Formats the text without the type name, because log lines contain the debug format.
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

number_type! {
    /// The term of a leader, and the fencing token of workers. Every claim of the leader record
    /// raises the term, so no two leaders have the same one. 0 means that there was no leader yet.
    #[derive(BorshSerialize, BorshDeserialize)]
    Term
}

impl Term {
    /// Returns the next term.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

number_type! {
    /// The generation of a job, which is its fencing token: every claim of the job raises it. 0
    /// means that the job was not claimed yet.
    Generation
}

impl Generation {
    /// Returns the next generation.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

number_type! {
    /// The number of an attempt to run a task, unique among all attempts at the task.
    ///
    /// The high bits hold the generation of the claim under which the attempt was made, and the
    /// low 24 bits count the attempts under this claim. As every claim raises the generation,
    /// attempts under different claims never have the same number.
    Attempt
}

impl Attempt {
    /// Returns the attempt with the given count in a generation.
    pub const fn in_generation(generation: Generation, count: u64) -> Self {
        Self((generation.0 << ATTEMPT_COUNT_BITS) | (count & MAX_ATTEMPT_COUNT))
    }

    /// Returns the generation of the claim under which the attempt was made.
    pub const fn generation(self) -> Generation {
        Generation(self.0 >> ATTEMPT_COUNT_BITS)
    }
}

number_type! {
    /// A revision of the state service's store. The version of a key is the revision at which the
    /// key was last written.
    Revision
}

impl Revision {
    /// The version of a key that doesn't exist, and the revision of a store without any writes.
    pub const NONE: Self = Self(0);

    /// Returns the next revision.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

number_type! {
    /// The agent epoch of a worker, raised each time the worker's lease expires. 0 is lower
    /// than every epoch that a worker uses.
    AgentEpoch
}

impl AgentEpoch {
    /// The epoch with which a worker begins.
    pub const FIRST: Self = Self(1);

    /// Returns the next epoch.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

name_type! {
    /// An incarnation of a controller: the name of its node and a random suffix. The controller
    /// draws a new suffix for each lease of its membership, and claims jobs under the incarnation.
    /// Empty for a controller without a lease.
    #[derive(BorshSerialize, BorshDeserialize)]
    Incarnation
}

name_type! {
    /// The name of a controller's node.
    #[derive(BorshSerialize, BorshDeserialize)]
    ControllerName
}

name_type! {
    /// The name of a machine.
    MachineName
}
