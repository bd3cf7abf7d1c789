//! Late copies of the frames between controllers: the network keeps the frames that it delivers, and
//! delivers them once more over later connections between the same hosts.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// The number of frames that are kept for each direction between two hosts.
const MAX_KEPT_FRAMES: usize = 256;
/// The length prefix of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// One direction of the connections that one host opens to another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct FrameDirection {
    pub(crate) from: String,
    pub(crate) to: String,
    /// Whether the sender opened the connection.
    pub(crate) is_to_server: bool,
}

/// The frames that were delivered, and the copies to deliver.
#[derive(Clone, Default)]
pub(crate) struct FrameCopies(Rc<CopiesState>);

#[derive(Default)]
struct CopiesState {
    /// The port for connections between controllers, if their frames are kept.
    port: Cell<Option<u16>>,
    kept: RefCell<BTreeMap<FrameDirection, VecDeque<Vec<u8>>>>,
    /// The directions in which copies are delivered, with the frames that had been kept.
    copied: RefCell<BTreeMap<FrameDirection, Vec<Vec<u8>>>>,
    delivered: Cell<usize>,
}

impl FrameCopies {
    /// Keeps the frames of connections to this port from now on.
    pub(crate) fn keep(&self, port: u16) {
        self.0.port.set(Some(port));
    }

    /// Delivers copies of all frames kept so far before each further frame in this direction.
    /// Returns the number of these frames.
    pub(crate) fn deliver(&self, direction: FrameDirection) -> usize {
        let kept = self.0.kept.borrow().get(&direction).cloned().unwrap_or_default();
        let distinct: BTreeSet<Vec<u8>> = kept.into_iter().collect();
        let frames: Vec<Vec<u8>> = distinct.into_iter().collect();
        let count = frames.len();
        self.0.copied.borrow_mut().insert(direction, frames);
        count
    }

    /// Returns the number of copies that were delivered so far.
    pub(crate) fn delivered(&self) -> usize {
        self.0.delivered.get()
    }

    /// Returns what splits the bytes of one direction of a new connection into frames, if the frames
    /// of connections to this port are kept.
    pub(crate) fn splitter(&self, direction: FrameDirection, port: u16) -> Option<FrameSplitter> {
        let is_kept = self.0.port.get() == Some(port);
        is_kept.then(|| FrameSplitter { direction, copies: self.clone(), partial: Vec::new() })
    }
}

/// Splits the bytes of one direction of a connection into frames.
pub(crate) struct FrameSplitter {
    direction: FrameDirection,
    copies: FrameCopies,
    /// Bytes of a frame that is not complete yet.
    partial: Vec<u8>,
}

impl FrameSplitter {
    /// Returns the bytes to deliver for those that were sent: each complete frame, after the copies
    /// that are due. Keeps the complete frames.
    pub(crate) fn with_copies(&mut self, sent: &[u8]) -> Vec<u8> {
        self.partial.extend_from_slice(sent);
        let mut delivered = Vec::new();
        while let Some(frame) = self.take_frame() {
            if let Some(copies) = self.copies.0.copied.borrow().get(&self.direction) {
                copies.iter().for_each(|copy| delivered.extend_from_slice(copy));
                let count = self.copies.0.delivered.get() + copies.len();
                self.copies.0.delivered.set(count);
            }
            delivered.extend_from_slice(&frame);
            self.keep(frame);
        }
        delivered
    }

    /// Removes the first frame, if it is complete.
    fn take_frame(&mut self) -> Option<Vec<u8>> {
        let prefix = self.partial.first_chunk::<LENGTH_BYTES>()?;
        let length = LENGTH_BYTES + u32::from_le_bytes(*prefix) as usize;
        (self.partial.len() >= length).then(|| self.partial.drain(..length).collect())
    }

    fn keep(&self, frame: Vec<u8>) {
        let mut kept = self.copies.0.kept.borrow_mut();
        let frames = kept.entry(self.direction.clone()).or_default();
        frames.push_back(frame);
        if frames.len() > MAX_KEPT_FRAMES {
            frames.pop_front();
        }
    }
}
