//! A small part of HTTP/1.1 for stand-ins and callers.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Start line and headers of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of a request line.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a status line; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() && head.line.is_empty() {
            continue;
        }
        if line.is_empty() {
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers
                .push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk of a chunked body; empty at its end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let broken = || io::Error::from(io::ErrorKind::UnexpectedEof);
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(broken());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| broken())?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok(chunk)
}

/// Reads a body that has a length or is sent in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = head.get("content-length");
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
