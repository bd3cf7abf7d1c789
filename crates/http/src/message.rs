//! Reading heads and bodies, shared by the server and the client.

use tokio::io::{AsyncRead, AsyncReadExt};

/// Longest head of a message, in bytes.
const MAX_HEAD: usize = 8 * 1024;
/// Most headers of a message.
pub(crate) const MAX_HEADERS: usize = 48;
/// Room that is made in the buffer before each read, in bytes.
const READ_SIZE: usize = 2048;
/// Longest line with a chunk's size, in bytes.
const MAX_CHUNK_LINE: usize = 64;
/// The line end after each chunk.
const CHUNK_END: usize = b"\r\n".len();

/// Why no message could be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The other side closed the connection.
    #[error("connection closed")]
    Closed,
    /// The head is longer than any that is served.
    #[error("head over {MAX_HEAD} bytes")]
    HeadTooLarge,
    /// The body is longer than the reader takes.
    #[error("body too large")]
    BodyTooLarge,
    /// It is no HTTP message.
    #[error("malformed message")]
    Malformed,
    /// Another transfer encoding than `chunked`.
    #[error("transfer encoding is not served")]
    Encoding,
    /// The connection failed.
    #[error("i/o: {0}")]
    Io(#[from] std::io::Error),
}

/// How a message's body is delimited, and whether the connection goes on after it.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Framing {
    /// Bytes of the body, where the head says so.
    pub length: Option<usize>,
    /// The body comes in chunks.
    pub chunked: bool,
    /// The sender closes the connection after the message.
    pub close: bool,
    /// The sender waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
}

/// Reads a message's framing from its headers.
pub(crate) fn framing(headers: &[httparse::Header<'_>]) -> Result<Framing, ReadError> {
    let mut framing = Framing::default();
    for header in headers {
        let text = std::str::from_utf8(header.value).unwrap_or("").trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            let length: usize = text.parse().map_err(|_| ReadError::Malformed)?;
            if framing.length.is_some_and(|known| known != length) {
                return Err(ReadError::Malformed);
            }
            framing.length = Some(length);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            framing.chunked = text.eq_ignore_ascii_case("chunked");
            if !framing.chunked {
                return Err(ReadError::Encoding);
            }
        } else if header.name.eq_ignore_ascii_case("connection") {
            framing.close = text.split(',').any(|t| t.trim().eq_ignore_ascii_case("close"));
        } else if header.name.eq_ignore_ascii_case("expect") {
            framing.expects_continue = text.eq_ignore_ascii_case("100-continue");
        }
    }
    if framing.chunked && framing.length.is_some() {
        return Err(ReadError::Malformed);
    }
    Ok(framing)
}

/// Reads more bytes onto `buffer`; the peer closing is an error.
pub(crate) async fn fill<R: AsyncRead + Unpin>(
    stream: &mut R,
    buffer: &mut Vec<u8>,
) -> Result<(), ReadError> {
    buffer.reserve(READ_SIZE);
    match stream.read_buf(buffer).await? {
        0 => Err(ReadError::Closed),
        _ => Ok(()),
    }
}

/// The head at the front of a buffer.
pub(crate) struct ParsedHead<T> {
    /// What it says.
    pub head: T,
    /// Its length in bytes.
    pub length: usize,
}

/// Takes a head off the front of `buffer`, reading what is missing. `parse` gives none while the
/// head is incomplete.
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
        fill(stream, buffer).await?;
    }
}

/// Takes a body off the front of `buffer`, reading what is missing.
pub(crate) async fn read_body<R: AsyncRead + Unpin>(
    stream: &mut R,
    buffer: &mut Vec<u8>,
    framing: Framing,
    max_body: usize,
) -> Result<Vec<u8>, ReadError> {
    if framing.chunked {
        return chunked_body(stream, buffer, max_body).await;
    }
    let length = framing.length.ok_or(ReadError::Malformed)?;
    sized_body(stream, buffer, length, max_body).await
}

/// Takes a body of `length` bytes off the front of `buffer`, reading what is missing.
async fn sized_body<R: AsyncRead + Unpin>(
    stream: &mut R,
    buffer: &mut Vec<u8>,
    length: usize,
    max_body: usize,
) -> Result<Vec<u8>, ReadError> {
    if length > max_body {
        return Err(ReadError::BodyTooLarge);
    }
    while buffer.len() < length {
        fill(stream, buffer).await?;
    }
    let rest = buffer.split_off(length);
    Ok(std::mem::replace(buffer, rest))
}

/// Takes a chunked body off the front of `buffer`, reading what is missing.
async fn chunked_body<R: AsyncRead + Unpin>(
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
            fill(stream, buffer).await?;
        }
        body.extend_from_slice(&buffer[start..start + size]);
        buffer.drain(..end);
        if size == 0 {
            return Ok(body);
        }
    }
}

/// The line before a chunk.
struct ChunkLine {
    /// Where the chunk's bytes start in the buffer.
    start: usize,
    /// How many there are.
    size: u64,
}

async fn read_chunk_line<R: AsyncRead + Unpin>(
    stream: &mut R,
    buffer: &mut Vec<u8>,
) -> Result<ChunkLine, ReadError> {
    loop {
        match httparse::parse_chunk_size(buffer) {
            Ok(httparse::Status::Complete((start, size))) => return Ok(ChunkLine { start, size }),
            Ok(httparse::Status::Partial) if buffer.len() < MAX_CHUNK_LINE => {
                fill(stream, buffer).await?;
            }
            _ => return Err(ReadError::Malformed),
        }
    }
}
