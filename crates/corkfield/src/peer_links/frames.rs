//! Frames on a link: read one by one, written as they are queued.

use super::HEARTBEAT_INTERVAL;
use corkfield_http::Stream;
use corkfield_wire::peer::{Frame, MAX_FRAME};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader, ReadHalf, WriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// A heartbeat, length and all, comes with one read; larger frames take a few.
const READ_BUFFER: usize = 2048;

/// The reading half of a link.
pub(super) struct FrameReader {
    stream: BufReader<ReadHalf<Stream>>,
}

/// The two halves of a link.
pub(super) fn split(stream: Stream) -> (FrameReader, WriteHalf<Stream>) {
    let (reader, writer) = tokio::io::split(stream);
    (FrameReader { stream: BufReader::with_capacity(READ_BUFFER, reader) }, writer)
}

impl FrameReader {
    /// The next frame; `None` if what comes is none that can be read.
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

/// Writes the queued frames; returns when the link fails or takes too long.
pub(super) async fn write_frames(mut writer: WriteHalf<Stream>, mut frames: mpsc::Receiver<Frame>) {
    while let Some(frame) = frames.recv().await {
        let written = timeout(HEARTBEAT_INTERVAL * 2, writer.write_all(&frame.encode())).await;
        if !matches!(written, Ok(Ok(()))) {
            return;
        }
    }
}
