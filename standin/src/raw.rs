//! Reads HTTP/1.1 requests directly from a connection, for stand-ins that answer with arbitrary bytes.

use std::collections::BTreeMap;
use std::io;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A request as received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawRequest {
    /// HTTP method.
    pub method: Box<str>,
    /// Path and query.
    pub target: Box<str>,
    /// Headers by lower-case name; the values of a repeated header are joined by `|`.
    pub headers: BTreeMap<Box<str>, Box<str>>,
    /// Request body.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value)
    }

    /// Value of a query parameter; empty if it is missing.
    pub fn query(&self, name: &str) -> &str {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .filter(|(key, _)| *key == name)
            .map(|(_, value)| value)
            .next()
            .unwrap_or("")
    }
}

/// Reads the next request; `None` if the connection is closed before its end. `buffered` holds the bytes
/// received after it, for the next read.
pub async fn read_request(
    stream: &mut TcpStream,
    buffered: &mut Vec<u8>,
) -> io::Result<Option<RawRequest>> {
    let head_end = loop {
        if let Some(end) = buffered.windows(4).position(|window| window == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(buffered).await? == 0 {
            return Ok(None);
        }
    };
    let text: Vec<u8> = buffered.drain(..head_end).collect();
    let mut request = parse_head(&String::from_utf8_lossy(&text));
    let length: usize = request.header("content-length").parse().unwrap_or(0);
    while buffered.len() < length {
        if stream.read_buf(buffered).await? == 0 {
            return Ok(None);
        }
    }
    request.body = buffered.drain(..length).collect();
    Ok(Some(request))
}

fn parse_head(head: &str) -> RawRequest {
    let mut lines = head.split("\r\n");
    let mut first = lines.next().unwrap_or_default().split(' ');
    let mut request = RawRequest {
        method: first.next().unwrap_or_default().into(),
        target: first.next().unwrap_or_default().into(),
        ..RawRequest::default()
    };
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let name = name.to_ascii_lowercase().into_boxed_str();
        let value = value.trim();
        let joined = match request.headers.get(&name) {
            Some(other) => format!("{other}|{value}").into(),
            None => value.into(),
        };
        request.headers.insert(name, joined);
    }
    request
}

/// Writes an answer with a `Content-Length` header. Each of the `headers` ends with a line break.
pub async fn write_answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat()).await
}
