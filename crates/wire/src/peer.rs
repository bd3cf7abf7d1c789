//! What controllers say to one another: borsh, each frame led by its length and a version.

use borsh::{BorshDeserialize, BorshSerialize};

pub const VERSION: u8 = 2;
/// No frame may be longer.
pub const MAX_FRAME: usize = 256 * 1024;

/// One controller's view, sent once a second or so.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct PeerHeartbeat {
    pub node: String,
    pub incarnation: String,
    /// Drawn anew by each process.
    pub process: u64,
    /// Counts the heartbeats sent to this receiver, and says which of its own was the last to come,
    /// and of which of its processes.
    pub number: u64,
    pub echo: u64,
    pub echo_process: u64,
    /// The sender has had no answer from the state service for a while, knows of no leader but the
    /// receiver, and every cancellation that it told a user of was acknowledged by the receiver.
    pub attests: bool,
    /// It plans, or takes itself for the leader.
    pub leading: bool,
    /// The state service answered this controller a moment ago.
    pub store_ok: bool,
    /// The leader that it knows of, and that leader's term.
    pub scheduler: Option<String>,
    pub term: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Frame {
    PeerHeartbeat(PeerHeartbeat),
    /// A worker's report, passed on to the leader by a controller that the worker can reach.
    WorkerHeartbeat {
        number: u64,
        body: Vec<u8>,
    },
    /// The leader's answer to it.
    Answer {
        number: u64,
        status: u16,
        body: Vec<u8>,
    },
    /// The state service holds these jobs as cancelled: the sender committed that, or read it.
    Cancelled {
        jobs: Vec<String>,
    },
    /// That was heard.
    Acknowledged {
        jobs: Vec<String>,
    },
}

#[derive(Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("unknown peer version {0}")]
    Version(u8),
    #[error("malformed frame")]
    Malformed,
}

impl Frame {
    /// The frame as it goes over the link: length (4 bytes, little endian), version, body.
    pub fn encode(&self) -> Vec<u8> {
        let body = borsh::to_vec(self).unwrap_or_default();
        let length = u32::try_from(body.len() + 1).unwrap_or(u32::MAX);
        let mut bytes = length.to_le_bytes().to_vec();
        bytes.push(VERSION);
        bytes.extend(body);
        bytes
    }

    /// Reads what follows the length.
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
