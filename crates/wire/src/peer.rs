//! What controllers say to one another: borsh, each frame led by its length and a version.

use crate::ids::{ControllerName, Incarnation, Term};
use borsh::{BorshDeserialize, BorshSerialize};

/// Version of the frames; others are refused.
pub const VERSION: u8 = 2;
/// No frame may be longer, in bytes.
pub const MAX_FRAME: usize = 256 * 1024;

/// One controller's view, sent once a second or so.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct PeerHeartbeat {
    /// Name of the sender's node.
    pub node: ControllerName,
    /// The sender's incarnation; empty while it has no lease.
    pub incarnation: Incarnation,
    /// Drawn anew by each process.
    pub process: u64,
    /// Counts the heartbeats sent to this receiver.
    pub number: u64,
    /// The number of the receiver's own heartbeat that came last; 0 if none did.
    pub last_received_number: u64,
    /// The receiver's process that sent that one.
    pub last_received_process: u64,
    /// The sender has had no answer from the state service for a while, knows of no leader but the
    /// receiver, and every cancellation that it confirmed to a user was acknowledged by the
    /// receiver (S11).
    pub is_outage_attestation: bool,
    /// It is the leader, or takes itself for the leader.
    pub is_leader: bool,
    /// The state service answered this controller a moment ago.
    pub is_store_reachable: bool,
    /// The leader that it knows of.
    pub leader: Option<ControllerName>,
    /// That leader's term; 0 without one.
    pub term: Term,
}

/// A message between controllers. The order of the variants is part of the format.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// The sender's view.
    PeerHeartbeat(PeerHeartbeat),
    /// A worker's heartbeat, passed on to the leader by a controller that the worker can reach.
    WorkerHeartbeat {
        /// Chosen by the sender; its answer carries the same.
        number: u64,
        /// The heartbeat's JSON as it came.
        body: Vec<u8>,
    },
    /// The leader's answer to it.
    Answer {
        /// The number of the heartbeat that it answers.
        number: u64,
        /// The HTTP status for the worker.
        status: u16,
        /// The JSON for the worker.
        body: Vec<u8>,
    },
    /// The state service holds these jobs as cancelled: the sender committed that, or read it
    /// (S11).
    Cancelled {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
    /// The receiver of a [`Frame::Cancelled`] has taken it in.
    Acknowledged {
        /// Ids of the jobs.
        jobs: Vec<String>,
    },
}

/// Why a frame can't be read.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// It is of another version than [`VERSION`].
    #[error("unknown peer version {0}")]
    Version(u8),
    /// It is empty, or its body is no frame.
    #[error("malformed frame")]
    Malformed,
}

impl Frame {
    /// The frame as it goes over the link: length (4 bytes, little endian), version, body. The
    /// length counts the version and the body.
    pub fn encode(&self) -> Vec<u8> {
        let body = borsh::to_vec(self).unwrap_or_default();
        let length = u32::try_from(body.len() + 1).unwrap_or(u32::MAX);
        let mut bytes = length.to_le_bytes().to_vec();
        bytes.push(VERSION);
        bytes.extend(body);
        bytes
    }

    /// Reads what follows the length.
    ///
    /// # Errors
    ///
    /// If the version is not [`VERSION`], or the body is no frame.
    pub fn decode(bytes: &[u8]) -> Result<Self, FrameError> {
        match bytes.split_first() {
            Some((&VERSION, body)) => borsh::from_slice(body).map_err(|_| FrameError::Malformed),
            Some((&version, _)) => Err(FrameError::Version(version)),
            None => Err(FrameError::Malformed),
        }
    }
}

#[cfg(test)]
mod tests;
