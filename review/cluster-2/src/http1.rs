//! A client's side of one HTTP/1.1 connection: one request at a time, no reconnection.

use serde_json::Value;
use std::io::{Error, ErrorKind, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An answer, and whether the server closes the connection after it.
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    pub closes: bool,
    pub retry_after_s: f64,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

/// Sends one request on the connection and reads its answer.
pub async fn exchange(
    stream: &mut TcpStream,
    method: &str,
    target: &str,
    body: &[u8],
) -> Result<Answer> {
    let head = format!(
        "{method} {target} HTTP/1.1\r\nHost: corkfield\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message).await?;
    read_answer(stream).await
}

async fn read_answer(stream: &mut TcpStream) -> Result<Answer> {
    let mut bytes = Vec::new();
    let head_length = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_length]).into_owned();
    let malformed = || Error::from(ErrorKind::InvalidData);
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).ok_or_else(malformed)?;
    let header = |name: &str| {
        head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
        })
    };
    let length: usize =
        header("content-length").and_then(|text| text.parse().ok()).ok_or_else(malformed)?;
    while bytes.len() < head_length + length {
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(Answer {
        status,
        body: bytes[head_length..head_length + length].to_vec(),
        closes: header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")),
        retry_after_s: header("retry-after").and_then(|text| text.parse().ok()).unwrap_or(0.0),
    })
}
