//! A caller that takes streams, and takes up those that break.

use std::collections::BTreeSet;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// What a caller got of one stream, over all its attempts.
#[derive(Debug, Default)]
pub struct Received {
    /// Number of the last event.
    pub last_event: u64,
    /// Versions of the engines that made the events.
    pub versions: BTreeSet<String>,
    /// Events in which pieces were missing or came twice.
    pub gaps: usize,
}

/// One attempt at a stream.
pub struct Attempt<'a> {
    /// Id of the attempt.
    pub id: &'a str,
    /// Id of the attempt that brought the first event, if this one takes the stream up.
    pub resumes: Option<&'a str>,
    /// Host and path of the route.
    pub route: (&'a str, &'a str),
    /// Key of the caller.
    pub key: &'a str,
    /// Body, if it isn't the attempt's own.
    pub body: Option<&'a str>,
}

/// Sends an attempt to a node and reads its answer. Returns the status and whether the stream ended
/// as complete.
pub fn take(
    node: SocketAddr,
    attempt: &Attempt<'_>,
    received: &mut Received,
    record: &Record,
) -> io::Result<(u16, bool)> {
    let (host, path) = attempt.route;
    let id = attempt.id;
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    let mut request = format!(
        "POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: 12000\r\n\
         X-Key: {}\r\nX-Model: m\r\nX-Token-Counts: 100,240\r\nX-Prompt-Prefix: 5c1e07a2:60,{:x}:40\r\n",
        attempt.key,
        id.len() as u64 * 7919 + id.bytes().map(u64::from).sum::<u64>() * 104_729
    );
    if let Some(first) = attempt.resumes {
        request.push_str(&format!(
            "Resumes: {first}\r\nLast-Event-Id: {}\r\n",
            received.last_event
        ));
    }
    let own = format!("prompt of {}", attempt.resumes.unwrap_or(id));
    let body = attempt.body.unwrap_or(&own);
    request.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    record.line(&format!(
        "caller sends {id} to {node}, resumes {:?} after event {}",
        attempt.resumes, received.last_event
    ));
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let Some(head) = http::read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    if head.status() != 200 {
        http::read_body(&mut reader, &head)?;
        return Ok((head.status(), false));
    }
    loop {
        let Ok(chunk) = http::read_chunk(&mut reader) else {
            return Ok((200, false));
        };
        if chunk.is_empty() {
            return Ok((200, true));
        }
        events(&String::from_utf8_lossy(&chunk), received);
    }
}

fn events(text: &str, received: &mut Received) {
    for event in text.split("\n\n").filter(|event| !event.is_empty()) {
        let line = |name: &str| event.lines().find_map(|line| line.strip_prefix(name));
        let number = line("id: ").and_then(|text| text.parse().ok()).unwrap_or(0);
        if number != received.last_event + 1 {
            received.gaps += 1;
        }
        received.last_event = number;
        let version = line("data: ").and_then(|data| data.split(' ').next());
        received
            .versions
            .insert(version.unwrap_or_default().to_owned());
    }
}
