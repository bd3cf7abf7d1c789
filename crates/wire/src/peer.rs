//! Messages between controllers.
//!
//! A frame consists of its length, a version byte and a body in borsh encoding. The order of
//! fields and variants is part of the format.

use crate::ids::{ControllerName, Incarnation, Term};
use borsh::{BorshDeserialize, BorshSerialize};

/// Version of the frame format. Frames of other versions are rejected.
pub const VERSION: u8 = 2;
/// Maximum length of a frame's version and body together, in bytes.
pub const MAX_FRAME: usize = 256 * 1024;

/// A heartbeat of one controller to another, sent about once a second.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct PeerHeartbeat {
    /// Node name of the sender.
    pub node: ControllerName,
    /// Incarnation of the sender; empty while the sender has no lease.
    pub incarnation: Incarnation,
    /// Random number that identifies the sender's process.
    pub process: u64,
    /// Sequence number of this heartbeat among those that the process sent to this receiver.
    pub number: u64,
    /// Sequence number of the last heartbeat that the sender received from the receiver; 0 if none.
    pub last_received_number: u64,
    /// Process that sent the last heartbeat received from the receiver; 0 if none.
    pub last_received_process: u64,
    /// Whether the sender attests to an outage of the state service, with the receiver as the
    /// leader. The leader needs attestations to keep answering workers during an outage without
    /// missing a cancellation (S6, S11). The sender attests only if the state service has not
    /// answered it for a while, it knows of no leader other than the receiver, and the receiver has
    /// acknowledged every cancellation that the sender confirmed to a user.
    pub is_outage_attestation: bool,
    /// Whether the sender leads or believes that it leads.
    pub is_leader: bool,
    /// Whether the sender recently had an answer from the state service.
    pub is_store_reachable: bool,
    /// Node name of the leader that the sender knows of.
    pub leader: Option<ControllerName>,
    /// Term of the leader record that the sender knows of; 0 without a record.
    pub term: Term,
}

/// A message between controllers. The order of the variants is part of the format.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    /// A heartbeat of the sending controller.
    PeerHeartbeat(PeerHeartbeat),
    /// A worker's heartbeat, relayed to the leader by a controller that the worker can reach.
    WorkerHeartbeat {
        /// Request number, chosen by the sender and repeated in the answer.
        number: u64,
        /// The heartbeat in JSON ([`RelayedHeartbeat`](crate::worker::RelayedHeartbeat)).
        body: Vec<u8>,
    },
    /// The leader's answer to a [`Frame::WorkerHeartbeat`].
    Answer {
        /// Request number of the heartbeat that is answered.
        number: u64,
        /// HTTP status of the response to the worker.
        status: u16,
        /// JSON body of the response to the worker.
        body: Vec<u8>,
    },
    /// The cancellation of these jobs is recorded in the state service, so a leader that receives
    /// the frame stops their tasks (S11). The sender knows of the record from its own write or from
    /// a read.
    Cancelled {
        /// Ids of the cancelled jobs.
        jobs: Vec<String>,
    },
    /// The receiver of a [`Frame::Cancelled`] confirms that it has processed the frame.
    Acknowledged {
        /// Ids of the cancelled jobs.
        jobs: Vec<String>,
    },
}

/// Errors of decoding a frame.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame's version is not [`VERSION`].
    #[error("unknown peer version {0}")]
    Version(u8),
    /// The frame is empty, or its body can't be decoded.
    #[error("malformed frame")]
    Malformed,
}

impl Frame {
    /// Encodes the frame as it is sent: length (4 bytes, little endian), version (1 byte), body.
    /// The length counts the version and the body.
    pub fn encode(&self) -> Vec<u8> {
        let body = borsh::to_vec(self).unwrap_or_default();
        let length = u32::try_from(body.len() + 1).unwrap_or(u32::MAX);
        let mut bytes = length.to_le_bytes().to_vec();
        bytes.push(VERSION);
        bytes.extend(body);
        bytes
    }

    /// Decodes a frame from the bytes that follow its length.
    ///
    /// # Errors
    ///
    /// Returns an error if the version is not [`VERSION`] or the body can't be decoded.
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
