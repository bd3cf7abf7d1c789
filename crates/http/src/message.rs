//! Reading of message heads and bodies, shared by the server and the client.

use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum size of a message's head, in bytes.
const MAX_HEAD: usize = 8 * 1024;
/// Maximum number of headers of a message.
pub(crate) const MAX_HEADERS: usize = 48;
/// Capacity that is reserved in the buffer before each read, in bytes.
const READ_SIZE: usize = 2048;
/// Maximum size of the line that states a chunk's size, in bytes.
const MAX_CHUNK_LINE: usize = 64;
/// Size of the line end after each chunk, in bytes.
const CHUNK_END: usize = b"\r\n".len();

/// Why a message could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The peer closed the connection.
    #[error("connection closed")]
    Closed,
    /// The head exceeds the maximum size, or a request has too many headers.
    #[error("head over {MAX_HEAD} bytes")]
    HeadTooLarge,
    /// The body exceeds the maximum size that the reader accepts.
    #[error("body too large")]
    BodyTooLarge,
    /// The bytes are not a valid HTTP message, or a response has too many headers.
    #[error("malformed message")]
    Malformed,
    /// The transfer encoding is not `chunked`, the only one that is supported.
    #[error("transfer encoding is not served")]
    UnsupportedEncoding,
    /// The connection failed.
    #[error("I/O error: {0}")]
    Io(#[from] std::io::Error),
}

/// The headers that state how a message's body is delimited and whether the connection stays open
/// after the message.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Framing {
    /// `Content-Length`: size of the body in bytes.
    pub content_length: Option<usize>,
    /// `Transfer-Encoding: chunked`: the body is a sequence of chunks.
    pub is_chunked: bool,
    /// `Connection: close`: the connection ends after the message.
    pub has_connection_close: bool,
    /// `Expect: 100-continue`: the sender waits for `100 Continue` before it sends the body.
    pub has_expect_continue: bool,
}

/// Determines a message's framing from its headers.
pub(crate) fn parse_framing(headers: &[httparse::Header<'_>]) -> Result<Framing, ReadError> {
    let mut framing = Framing::default();
    for header in headers {
        let text = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let length: usize = text.parse().map_err(|_| ReadError::Malformed)?;
            if framing.content_length.is_some_and(|previous| previous != length) {
                return Err(ReadError::Malformed);
            }
            framing.content_length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            framing.is_chunked = text.eq_ignore_ascii_case("chunked");
            if !framing.is_chunked {
                return Err(ReadError::UnsupportedEncoding);
            }
        } else if header.name.eq_ignore_ascii_case("connection") {
            framing.has_connection_close =
                text.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"));
        } else if header.name.eq_ignore_ascii_case("expect") {
            framing.has_expect_continue = text.eq_ignore_ascii_case("100-continue");
        }
    }
    if framing.is_chunked && framing.content_length.is_some() {
        return Err(ReadError::Malformed);
    }
    Ok(framing)
}

/// Reads available bytes and appends them to `buffer`. Returns [`ReadError::Closed`] if the peer
/// has closed the connection.
pub(crate) async fn read_more<R: AsyncRead + Unpin>(
    stream: &mut R,
    buffer: &mut Vec<u8>,
) -> Result<(), ReadError> {
    buffer.reserve(READ_SIZE);
    match stream.read_buf(buffer).await? {
        0 => Err(ReadError::Closed),
        _ => Ok(()),
    }
}

/// A head parsed from the start of a buffer.
pub(crate) struct ParsedHead<T> {
    /// Parsed contents of the head.
    pub head: T,
    /// Size of the encoded head, in bytes.
    pub length: usize,
}

/// Removes a head from the start of `buffer` and returns it, reading from `stream` until the head
/// is complete. `parse` returns `None` if the head is incomplete.
pub(crate) async fn read_head<R: AsyncRead + Unpin, T>(
    stream: &mut R,
    buffer: &mut Vec<u8>,
    parse: impl Fn(&[u8]) -> Result<Option<ParsedHead<T>>, ReadError>,
) -> Result<T, ReadError> {
    loop {
        if let Some(ParsedHead { head, length }) = parse(buffer)? {
            buffer.drain(..length);
            return Ok(head);
        }
        if buffer.len() > MAX_HEAD {
            return Err(ReadError::HeadTooLarge);
        }
        read_more(stream, buffer).await?;
    }
}

/// Removes a body from the start of `buffer` and returns it, reading from `stream` until the body
/// is complete. The body may have up to `max_body` bytes.
pub(crate) async fn read_body<R: AsyncRead + Unpin>(
    stream: &mut R,
    buffer: &mut Vec<u8>,
    framing: Framing,
    max_body: usize,
) -> Result<Vec<u8>, ReadError> {
    if framing.is_chunked {
        return read_chunked_body(stream, buffer, max_body).await;
    }
    let length = framing.content_length.ok_or(ReadError::Malformed)?;
    read_sized_body(stream, buffer, length, max_body).await
}

/// Removes a body of `length` bytes from the start of `buffer` and returns it, reading from
/// `stream` until the body is complete.
async fn read_sized_body<R: AsyncRead + Unpin>(
    stream: &mut R,
    buffer: &mut Vec<u8>,
    length: usize,
    max_body: usize,
) -> Result<Vec<u8>, ReadError> {
    if length > max_body {
        return Err(ReadError::BodyTooLarge);
    }
    while buffer.len() < length {
        read_more(stream, buffer).await?;
    }
    let rest = buffer.split_off(length);
    Ok(std::mem::replace(buffer, rest))
}

/// Removes a chunked body from the start of `buffer` and returns its chunks joined, reading from
/// `stream` until the body is complete.
async fn read_chunked_body<R: AsyncRead + Unpin>(
    stream: &mut R,
    buffer: &mut Vec<u8>,
    max_body: usize,
) -> Result<Vec<u8>, ReadError> {
    let mut body = Vec::new();
    loop {
        let ChunkLine { start, size } = read_chunk_line(stream, buffer).await?;
        let size = usize::try_from(size).map_err(|_| ReadError::BodyTooLarge)?;
        if size.saturating_add(body.len()) > max_body {
            return Err(ReadError::BodyTooLarge);
        }
        let end = start + size + CHUNK_END;
        while buffer.len() < end {
            read_more(stream, buffer).await?;
        }
        body.extend_from_slice(&buffer[start..start + size]);
        buffer.drain(..end);
        if size == 0 {
            return Ok(body);
        }
    }
}

/// The line before a chunk, which states the chunk's size.
struct ChunkLine {
    /// Offset in the buffer at which the chunk's data starts.
    start: usize,
    /// Size of the chunk's data, in bytes.
    size: u64,
}

/// Parses the chunk line at the start of `buffer`, reading from `stream` until the line is
/// complete. The line stays in the buffer.
async fn read_chunk_line<R: AsyncRead + Unpin>(
    stream: &mut R,
    buffer: &mut Vec<u8>,
) -> Result<ChunkLine, ReadError> {
    loop {
        match httparse::parse_chunk_size(buffer) {
            Ok(httparse::Status::Complete((start, size))) => return Ok(ChunkLine { start, size }),
            Ok(httparse::Status::Partial) if buffer.len() < MAX_CHUNK_LINE => {
                read_more(stream, buffer).await?;
            }
            _ => return Err(ReadError::Malformed),
        }
    }
}
