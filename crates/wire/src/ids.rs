//! Numbers and names that tell things of one kind apart, each with a type of its own, so that
//! none is taken for another. On the wire and in stored records they are what they wrap.

use borsh::{BorshDeserialize, BorshSerialize};
use serde::{Deserialize, Serialize};
use std::borrow::Borrow;
use std::fmt;

/// Low bits of an attempt, which count the attempts of one generation.
const COUNT_BITS: u32 = 24;
/// The highest count of attempts in one generation.
const MAX_COUNT: u64 = (1 << COUNT_BITS) - 1;

/// Defines the type of a number: how it is made, read, compared, written and shown.
macro_rules! number {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Takes the bare number.
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// The bare number.
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        // The bare number: logs show values that contain one.
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

/// Defines the type of a name: how it is made, read, compared, written and shown.
macro_rules! name {
    ($(#[$attribute:meta])* $name:ident) => {
        $(#[$attribute])*
        #[derive(Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// The bare name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        // So maps whose keys are names are searched by a bare text.
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

        // The bare text: logs show values that contain one.
        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

number! {
    /// The term of a leader: raised by every claim of the leader record, so no two leaders share
    /// one. The fencing token of workers. 0 is before the first.
    #[derive(BorshSerialize, BorshDeserialize)]
    Term
}

impl Term {
    /// The term after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

number! {
    /// The generation of a job's claim: raised by every claim of the job. 0 is before the first.
    Generation
}

impl Generation {
    /// The generation after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

number! {
    /// The number of an attempt at a task. Attempts never repeat: the generation of the claim that
    /// they were made under, raised by each claim, is their high part.
    Attempt
}

impl Attempt {
    /// The attempt with that count in a generation.
    pub const fn in_generation(generation: Generation, count: u64) -> Self {
        Self((generation.0 << COUNT_BITS) | (count & MAX_COUNT))
    }

    /// The generation of the claim that the attempt was made under.
    pub const fn generation(self) -> Generation {
        Generation(self.0 >> COUNT_BITS)
    }
}

number! {
    /// A revision of the state service's store, and the version of a key: the revision that wrote
    /// it last.
    Revision
}

impl Revision {
    /// The version of a key that doesn't exist, and the revision of a store nothing was written to.
    pub const NONE: Self = Self(0);

    /// The revision after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

number! {
    /// An agent epoch of a worker: raised each time the worker's lease expires. 0 is before the
    /// first.
    AgentEpoch
}

impl AgentEpoch {
    /// The epoch that a worker begins with.
    pub const FIRST: Self = Self(1);

    /// The epoch after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

name! {
    /// An incarnation of a controller: its name and a random part, new with each lease of its
    /// membership. Jobs are claimed under one. Empty where there is none.
    #[derive(BorshSerialize, BorshDeserialize)]
    Incarnation
}

name! {
    /// The name of a controller's node.
    #[derive(BorshSerialize, BorshDeserialize)]
    ControllerName
}

name! {
    /// The name of a machine.
    MachineName
}
