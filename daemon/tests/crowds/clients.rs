//! Clients that send bodies on raw connections, which they leave open.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::world::{RawAnswer, read_answer};

/// Longest wait for a crowd to have sent its bytes, far longer than any test needs.
const SEND_TIMEOUT: Duration = Duration::from_mins(2);
/// Pause between two pieces of a body.
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// What each client of a crowd sends.
#[derive(Clone)]
pub struct ClientScript {
    /// Number of clients.
    pub clients: usize,
    /// Request line and headers without the client's id, each line with its end.
    pub head: String,
    /// Name of the header with the client's id.
    pub id_header: &'static str,
    /// Bytes behind the head, with their framing.
    pub body: Arc<[u8]>,
    /// Number of pieces that the body is sent in.
    pub pieces: usize,
}

/// An answer to one of the clients, by its id.
pub type ClientAnswer = (String, RawAnswer);

/// Clients that have sent their bytes and keep their connections open. Dropping it closes them.
pub struct Crowd {
    answers: Arc<Mutex<Vec<ClientAnswer>>>,
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Returns the answers so far.
    pub fn answers(&self) -> Vec<ClientAnswer> {
        let answers = self.answers.lock();
        answers.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Starts a crowd, and returns once each client has sent its bytes or was closed.
pub async fn press(address: SocketAddr, script: ClientScript) -> Crowd {
    let (sent, mut all_sent) = tokio::sync::mpsc::channel::<()>(1);
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut clients = JoinSet::new();
    for number in 0..script.clients {
        let (script, sent, answers) = (script.clone(), sent.clone(), answers.clone());
        // One after the other, since the kernel refuses connections that come faster than it queues them.
        let Ok(mut stream) = TcpStream::connect(address).await else {
            continue;
        };
        clients.spawn(async move {
            let id = format!("crowd-{number}");
            // The node may close the connection before all is written.
            let _ = write(&mut stream, &script, &id).await;
            drop(sent);
            let answer = read_answer(&mut stream).await;
            let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
            answers.push((id, answer));
        });
    }
    drop(sent);
    let waited = timeout(SEND_TIMEOUT, all_sent.recv()).await;
    assert!(waited.is_ok(), "the node neither reads nor closes");
    Crowd {
        answers,
        _clients: clients,
    }
}

async fn write(stream: &mut TcpStream, script: &ClientScript, id: &str) -> std::io::Result<()> {
    let head = format!("{}{}: {id}\r\n\r\n", script.head, script.id_header);
    stream.write_all(head.as_bytes()).await?;
    let size = script.body.len().div_ceil(script.pieces).max(1);
    for piece in script.body.chunks(size) {
        stream.write_all(piece).await?;
        if script.pieces > 1 {
            sleep(PIECE_PAUSE).await;
        }
    }
    Ok(())
}

/// Builds a body in chunks of a size, without its end.
pub fn open_chunks(size: usize, chunk_size: usize) -> Arc<[u8]> {
    let mut body = Vec::with_capacity(size + size / chunk_size * 8);
    for from in (0..size).step_by(chunk_size) {
        let length = chunk_size.min(size - from);
        body.extend_from_slice(format!("{length:x}\r\n").as_bytes());
        body.resize(body.len() + length, b'x');
        body.extend_from_slice(b"\r\n");
    }
    body.into()
}

/// Builds a body of one repeated byte.
pub fn plain(size: usize) -> Arc<[u8]> {
    vec![b'x'; size].into()
}
