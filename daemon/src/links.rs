//! Links to other nodes: WebSocket connections that carry frames in one direction, from the node that
//! dialled to the node that accepted.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::NodeId;
use monsoonbank_kernel::membership::{Member, NodeState};
use monsoonbank_kernel::wire::{Message as KernelMessage, WorkMessage};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::frame::{self, Frame, FrameError};
use crate::proof::{self, LinkClaim, LinkHello, LinkWelcome, ProofSide};
use crate::shared::{Input, NodeShared};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
const REDIAL_PAUSE: Duration = Duration::from_millis(200);
const MAX_REDIAL_PAUSE: Duration = Duration::from_secs(2);
/// How long a dial waits for a node that is not in the host list yet.
const MEMBER_WAIT: Duration = Duration::from_secs(3);
const MEMBER_POLL: Duration = Duration::from_millis(50);
const BUFFER_BYTES: usize = 8 * 1024;
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Capacity of a link's send queue, in frames. A full queue means that the peer does not read; the
/// link then counts as lost.
const MAX_QUEUED_FRAMES: usize = 65_536;
/// Overhead that is counted for each message, in bytes: an IP header (RFC 791), a TCP header with
/// timestamps (RFC 9293) and the header of a masked WebSocket frame (RFC 6455).
const HEADER_BYTES: u64 = 20 + 32 + 8;

/// Reason why a link failed.
#[derive(Debug, Error)]
enum LinkError {
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    #[error("{0}")]
    Protocol(Box<tokio_tungstenite::tungstenite::Error>),
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("the peer did not prove that it has the shared key")]
    Proof,
    #[error("the handshake timed out")]
    Timeout,
    #[error("cannot get random bytes: {0}")]
    Random(#[from] getrandom::Error),
    #[error("connection closed by the peer")]
    Closed,
    #[error("the node is not in the host list")]
    UnknownNode,
}

impl From<tokio_tungstenite::tungstenite::Error> for LinkError {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Protocol(Box::new(error))
    }
}

/// Sending end of a link.
#[derive(Clone, Debug)]
struct LinkEnd {
    sender: mpsc::Sender<Frame>,
    /// Set while the peer is unreachable; queued frames are discarded then.
    broken: Arc<AtomicBool>,
}

/// Sending ends of the links to other nodes.
#[derive(Debug, Default)]
pub struct LinkTable {
    ends: Mutex<BTreeMap<NodeId, LinkEnd>>,
}

impl LinkTable {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, LinkEnd>> {
        self.ends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Queues a frame for another node and dials the node if there is no link. If the frame belongs to a
/// call and cannot be queued, the link is reported as lost. A control message is dropped instead, as
/// the kernel resends it.
pub fn send(shared: &Arc<NodeShared>, to: NodeId, frame: Frame) {
    let control = is_control(&frame);
    let end = {
        let mut ends = shared.links.lock();
        ends.entry(to).or_insert_with(|| open(shared, to)).clone()
    };
    let broken = end.broken.load(Ordering::Acquire);
    if (broken || end.sender.try_send(frame).is_err()) && !control {
        shared.send_input(Input::LinkLost(to));
    }
}

fn open(shared: &Arc<NodeShared>, to: NodeId) -> LinkEnd {
    let (sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
    let end = LinkEnd {
        sender,
        broken: Arc::default(),
    };
    let broken = Arc::clone(&end.broken);
    let own = Arc::clone(shared);
    shared.spawn(async move {
        maintain_link(&own, to, frames, &broken).await;
        own.links.lock().remove(&to);
    });
    end
}

/// Dials a node and redials it whenever the link breaks, until the node is dead. Frames may be lost at
/// each break, so the handshake of the next link reports it to the peer.
async fn maintain_link(
    shared: &Arc<NodeShared>,
    to: NodeId,
    mut frames: mpsc::Receiver<Frame>,
    broken: &AtomicBool,
) {
    let mut pause = REDIAL_PAUSE;
    let mut frames_lost = false;
    loop {
        match dial(shared, to, frames_lost).await {
            Ok(socket) => {
                broken.store(false, Ordering::Release);
                pause = REDIAL_PAUSE;
                shared.send_event(Event::LinkUp(to));
                if let Err(error) = send_queued(shared, &mut frames, socket).await {
                    log::debug!("event=link_lost node={to} reason=\"{error}\"");
                }
            }
            Err(error) => log::debug!("event=dial_failed node={to} reason=\"{error}\""),
        }
        broken.store(true, Ordering::Release);
        frames_lost = true;
        while frames.try_recv().is_ok() {}
        shared.send_input(Input::LinkLost(to));
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_REDIAL_PAUSE);
        if !is_alive(shared, to) {
            return;
        }
    }
}

fn is_alive(shared: &NodeShared, node: NodeId) -> bool {
    let members = shared.members();
    let member = members.members.get(&node);
    member.is_some_and(|member| member.state != NodeState::Dead)
}

async fn dial(
    shared: &NodeShared,
    to: NodeId,
    frames_lost: bool,
) -> Result<WebSocketStream<TcpStream>, LinkError> {
    let member = find_member(shared, to).await?;
    tokio::time::timeout(HANDSHAKE_TIMEOUT, connect(shared, &member, frames_lost))
        .await
        .map_err(|_| LinkError::Timeout)?
}

/// Waits for a node to appear in the member list: a node may send frames to this one before this one
/// has read the host list that contains it.
async fn find_member(shared: &NodeShared, node: NodeId) -> Result<Member, LinkError> {
    let attempts = MEMBER_WAIT.as_millis() / MEMBER_POLL.as_millis();
    for _ in 0..attempts {
        if let Some(member) = shared.members().members.get(&node) {
            return Ok(member.clone());
        }
        tokio::time::sleep(MEMBER_POLL).await;
    }
    Err(LinkError::UnknownNode)
}

async fn send_queued(
    shared: &NodeShared,
    frames: &mut mpsc::Receiver<Frame>,
    mut socket: WebSocketStream<TcpStream>,
) -> Result<(), LinkError> {
    loop {
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else {
                    return Ok(());
                };
                write_frame(shared, &mut socket, &frame).await?;
                while let Ok(frame) = frames.try_recv() {
                    write_frame(shared, &mut socket, &frame).await?;
                }
                socket.flush().await?;
            }
            received = socket.next() => {
                // The peer sends nothing after its welcome; reading only detects that it closed.
                received.ok_or(LinkError::Closed)??;
            }
        }
    }
}

async fn write_frame(
    shared: &NodeShared,
    socket: &mut WebSocketStream<TcpStream>,
    frame: &Frame,
) -> Result<(), LinkError> {
    let bytes = frame::encode(frame)?;
    if let Frame::Request(KernelMessage::Work(WorkMessage::Offer(work)), _) = frame {
        shared.calls.mark_sent(work.attempt);
    }
    let size = bytes.len() as u64 + HEADER_BYTES;
    if is_control(frame) {
        shared.counters.control_sent_bytes.inc_by(size);
    } else {
        shared.counters.data_sent_bytes.inc_by(size);
    }
    socket.feed(Message::Binary(bytes)).await?;
    Ok(())
}

/// Whether a frame is control traffic between nodes and not part of a call.
fn is_control(frame: &Frame) -> bool {
    match frame {
        Frame::Message(message) => {
            !matches!(message, KernelMessage::Work(_) | KernelMessage::Relay(_))
        }
        Frame::Request(..) | Frame::Chunk(..) | Frame::Relayed(..) => false,
    }
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

async fn connect(
    shared: &NodeShared,
    member: &Member,
    frames_lost: bool,
) -> Result<WebSocketStream<TcpStream>, LinkError> {
    let stream = TcpStream::connect(&*member.peer_address).await?;
    stream.set_nodelay(true)?;
    let address = format!("ws://{}/", member.peer_address);
    let (mut socket, _) =
        tokio_tungstenite::client_async_with_config(address, stream, Some(websocket_config()))
            .await?;
    let challenge: proof::Nonce = read_value(&mut socket).await?;
    let key = &shared.settings.secrets.peer_key;
    let claim = LinkClaim {
        name: shared.profile.name.clone(),
        incarnation: shared.profile.incarnation.0,
        lost: frames_lost,
        nonce: proof::nonce()?,
    };
    let proof = proof::prove(key, ProofSide::Dialler, &challenge, &claim);
    let hello = LinkHello { claim, proof };
    write_value(&mut socket, &hello).await?;
    let welcome: LinkWelcome = read_value(&mut socket).await?;
    let claim = &hello.claim;
    if !proof::verify(
        key,
        ProofSide::Listener,
        &claim.nonce,
        claim,
        &welcome.proof,
    ) {
        return Err(LinkError::Proof);
    }
    Ok(socket)
}

/// Accepts links from other nodes until the node ends.
pub async fn listen(shared: Arc<NodeShared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let own = Arc::clone(&shared);
                shared.spawn(async move { accept(&own, stream).await });
            }
            Err(error) => {
                log::warn!("event=accept_failed role=peers reason={error}");
                tokio::time::sleep(REDIAL_PAUSE).await;
            }
        }
    }
}

async fn accept(shared: &Arc<NodeShared>, stream: TcpStream) {
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, accept_handshake(shared, stream)).await;
    let (mut socket, from, frames_lost) = match handshake {
        Ok(Ok(accepted)) => accepted,
        Ok(Err(error)) => {
            log::warn!("event=link_refused reason=\"{error}\"");
            return;
        }
        Err(_) => return,
    };
    if frames_lost {
        shared.send_input(Input::LinkLost(from));
    }
    while let Some(Ok(message)) = socket.next().await {
        if let Message::Binary(bytes) = message {
            receive(shared, from, &bytes);
        }
    }
    shared.send_input(Input::LinkLost(from));
}

fn receive(shared: &NodeShared, from: NodeId, bytes: &Bytes) {
    let frame = match frame::decode(bytes) {
        Ok(frame) => frame,
        Err(error) => {
            shared.counters.bad_frames.inc();
            log::warn!("event=bad_frame node={from} reason=\"{error}\"");
            return;
        }
    };
    let size = bytes.len() as u64 + HEADER_BYTES;
    if is_control(&frame) {
        shared.counters.control_received_bytes.inc_by(size);
    } else {
        shared.counters.data_received_bytes.inc_by(size);
    }
    shared.send_input(Input::Frame(from, frame));
}

async fn accept_handshake(
    shared: &NodeShared,
    stream: TcpStream,
) -> Result<(WebSocketStream<TcpStream>, NodeId, bool), LinkError> {
    stream.set_nodelay(true)?;
    let mut socket =
        tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config())).await?;
    let challenge = proof::nonce()?;
    write_value(&mut socket, &challenge).await?;
    let hello: LinkHello = read_value(&mut socket).await?;
    let key = &shared.settings.secrets.peer_key;
    let claim = hello.claim;
    if !proof::verify(key, ProofSide::Dialler, &challenge, &claim, &hello.proof) {
        return Err(LinkError::Proof);
    }
    let proof = proof::prove(key, ProofSide::Listener, &claim.nonce, &claim);
    write_value(&mut socket, &LinkWelcome { proof }).await?;
    Ok((socket, NodeId::named(&claim.name), claim.lost))
}

async fn read_value<T: serde::de::DeserializeOwned>(
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<T, LinkError> {
    let message = socket.next().await.ok_or(LinkError::Closed)??;
    let Message::Binary(bytes) = message else {
        return Err(LinkError::Proof);
    };
    ciborium::from_reader(&*bytes)
        .map_err(|error| FrameError::Decode(error.to_string().into()).into())
}

async fn write_value<T: serde::Serialize>(
    socket: &mut WebSocketStream<TcpStream>,
    value: &T,
) -> Result<(), LinkError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)
        .map_err(|error| FrameError::Encode(error.to_string().into()))?;
    socket.send(Message::Binary(bytes.into())).await?;
    Ok(())
}
