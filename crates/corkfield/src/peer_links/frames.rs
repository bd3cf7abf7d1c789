//! Reads frames from a link, and writes queued frames to it.

use super::HEARTBEAT_INTERVAL;
use corkfield_http::Stream;
use corkfield_wire::peer::{Frame, MAX_FRAME};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader, ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Size of the read buffer, in bytes. A heartbeat with its length prefix fits into one read; larger
/// frames need several.
const READ_BUFFER: usize = 2048;

/// The reading half of a link.
pub(super) struct FrameReader {
    stream: BufReader<ReadHalf<Stream>>,
}

/// Splits a link into its reading and writing halves.
pub(super) fn split_link(stream: Stream) -> (FrameReader, WriteHalf<Stream>) {
    let (reader, writer) = tokio::io::split(stream);
    (FrameReader { stream: BufReader::with_capacity(READ_BUFFER, reader) }, writer)
}

impl FrameReader {
    /// Reads the next frame. Returns `None` if the frame is oversized or malformed.
    ///
    /// # Errors
    ///
    /// If the link fails or is closed.
    pub(super) async fn read_frame(&mut self) -> std::io::Result<Option<Frame>> {
        let length = self.stream.read_u32_le().await? as usize;
        if length > MAX_FRAME {
            tracing::debug!(length, "oversized frame from a peer");
            return Ok(None);
        }
        let mut bytes = vec![0; length];
        self.stream.read_exact(&mut bytes).await?;
        match Frame::decode(&bytes) {
            Ok(frame) => Ok(Some(frame)),
            Err(error) => {
                tracing::debug!(%error, "malformed frame from a peer");
                Ok(None)
            }
        }
    }
}

/// Writes the queued frames to the link; returns when the link fails, a write times out or the
/// queue is closed.
pub(super) async fn write_frames(mut writer: WriteHalf<Stream>, mut frames: mpsc::Receiver<Frame>) {
    while let Some(frame) = frames.recv().await {
        let written = timeout(HEARTBEAT_INTERVAL * 2, writer.write_all(&frame.encode())).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
