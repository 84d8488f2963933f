//! Requests and answers on raw connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request as a server got it.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub head: String,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// Bytes of a connection that were read and not used yet.
pub struct Wire {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut part = [0; 16384];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    /// Reads up to the end of a head; `None` at the end of the connection.
    pub fn head(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                let head: Vec<u8> = self.buffer.drain(..end + 4).collect();
                return Some(String::from_utf8_lossy(&head).into_owned());
            }
            if self.fill().ok()? == 0 {
                return None;
            }
        }
    }

    pub fn exact(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill().ok()? == 0 {
                return None;
            }
        }
        Some(self.buffer.drain(..count).collect())
    }

    fn text_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|two| two == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Some(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.fill().ok()? == 0 {
                return None;
            }
        }
    }

    /// Reads a body; the flag tells whether it is complete by its framing.
    fn body(&mut self, head: &str, is_answer: bool, pieces: &mut dyn FnMut(&[u8])) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        if header(head, "transfer-encoding").is_some() {
            loop {
                let Some(size) = self.text_line() else { return (body, false) };
                let size = size.split(';').next().unwrap_or("").trim().to_string();
                let Ok(size) = usize::from_str_radix(&size, 16) else { return (body, false) };
                let Some(piece) = self.exact(size + 2) else { return (body, false) };
                if size == 0 {
                    return (body, true);
                }
                pieces(&piece[..size]);
                body.extend_from_slice(&piece[..size]);
            }
        }
        if let Some(length) = header(head, "content-length").and_then(|text| text.parse::<usize>().ok()) {
            while body.len() < length {
                let want = (length - body.len()).min(16384);
                match self.exact(want) {
                    Some(piece) => body.extend_from_slice(&piece),
                    None => {
                        body.append(&mut self.buffer);
                        return (body, false);
                    }
                }
            }
            return (body, true);
        }
        if !is_answer {
            return (body, true);
        }
        loop {
            body.append(&mut self.buffer);
            match self.fill() {
                Ok(0) => return (body, true),
                Ok(_) => {}
                Err(_) => return (body, false),
            }
        }
    }

    /// Reads a request; `None` at the end of the connection.
    pub fn request(&mut self) -> Option<Request> {
        let head = self.head()?;
        let mut words = head.split(' ');
        let method = words.next()?.to_string();
        let target = words.next()?.to_string();
        let (body, complete) = self.body(&head, false, &mut |_| ());
        complete.then_some(Request { method, target, head, body })
    }
}

/// An answer as a client got it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if the connection ended without an answer.
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
    pub complete: bool,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

/// Reads an answer. `pieces` gets each chunk.
pub fn read_answer(wire: &mut Wire, limit: Duration, pieces: &mut dyn FnMut(&[u8])) -> Answer {
    let since = Instant::now();
    let _ = wire.stream.set_read_timeout(Some(limit));
    let mut answer = Answer::default();
    if let Some(head) = wire.head() {
        answer.status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        (answer.body, answer.complete) = wire.body(&head, true, pieces);
        answer.head = head;
    }
    answer.took = since.elapsed();
    answer
}

/// Sends bytes on a new connection, and reads one answer.
pub fn exchange(address: SocketAddr, bytes: &[u8], limit: Duration) -> Answer {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return Answer::default();
    };
    if stream.write_all(bytes).is_err() {
        return Answer::default();
    }
    read_answer(&mut Wire::new(stream), limit, &mut |_| ())
}

/// What a server does with a request; it returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync>;

/// Serves requests on an address, each connection in a thread of its own.
pub fn serve(address: SocketAddr, handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind(address)
        .unwrap_or_else(|error| crate::cannot_run(&format!("{address}: {error}")));
    let bound = listener.local_addr().unwrap_or(address);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Some(request) = wire.request() {
                    if !handler(&request, &mut wire.stream) {
                        return;
                    }
                }
            });
        }
    });
    bound
}
