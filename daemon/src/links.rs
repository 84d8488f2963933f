//! Links to other nodes. Each node dials the nodes that it sends to; a link carries frames one way.

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
/// How long a link to a node that the host list does not show yet is waited for.
const UNKNOWN_PATIENCE: Duration = Duration::from_secs(3);
const UNKNOWN_PAUSE: Duration = Duration::from_millis(50);
const BUFFER_BYTES: usize = 8 * 1024;
const MAX_FRAME_BYTES: usize = 8 << 20;
/// Frames that wait for one link; more mean that the other side does not read.
const MAX_WAITING_FRAMES: usize = 65_536;
/// Bytes of an IP and a TCP header (RFC 791, RFC 9293 with timestamps) and of a masked WebSocket
/// frame header (RFC 6455), counted for each message.
const HEADER_BYTES: u64 = 20 + 32 + 8;

/// Why a link ended.
#[derive(Debug, Error)]
enum LinkError {
    #[error("{0}")]
    Socket(#[from] std::io::Error),
    #[error("{0}")]
    Protocol(Box<tokio_tungstenite::tungstenite::Error>),
    #[error("{0}")]
    Frame(#[from] FrameError),
    #[error("the other side did not prove the key")]
    Proof,
    #[error("no handshake in time")]
    Timeout,
    #[error("no random bytes: {0}")]
    Random(#[from] getrandom::Error),
    #[error("closed")]
    Closed,
    #[error("the host list does not show the node")]
    Stranger,
}

impl From<tokio_tungstenite::tungstenite::Error> for LinkError {
    fn from(error: tokio_tungstenite::tungstenite::Error) -> Self {
        Self::Protocol(Box::new(error))
    }
}

/// The sending end of a link.
#[derive(Clone, Debug)]
struct LinkEnd {
    sender: mpsc::Sender<Frame>,
    /// Set while the other node cannot be reached; frames are lost then.
    broken: Arc<AtomicBool>,
}

/// The sending ends of the links to other nodes.
#[derive(Debug, Default)]
pub struct LinkTable {
    ends: Mutex<BTreeMap<NodeId, LinkEnd>>,
}

impl LinkTable {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<NodeId, LinkEnd>> {
        self.ends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends a frame to another node, dialling it first when there is no link. A call's frame that
/// cannot be sent counts as a lost link; control messages are sent again by their own rules.
pub fn send(shared: &Arc<NodeShared>, to: NodeId, frame: Frame) {
    let control = is_control(&frame);
    let end = {
        let mut ends = shared.links.lock();
        ends.entry(to).or_insert_with(|| open(shared, to)).clone()
    };
    let broken = end.broken.load(Ordering::Acquire);
    if (broken || end.sender.try_send(frame).is_err()) && !control {
        shared.input(Input::LinkLost(to));
    }
}

fn open(shared: &Arc<NodeShared>, to: NodeId) -> LinkEnd {
    let (sender, frames) = mpsc::channel(MAX_WAITING_FRAMES);
    let end = LinkEnd {
        sender,
        broken: Arc::default(),
    };
    let broken = Arc::clone(&end.broken);
    let own = Arc::clone(shared);
    shared.spawn(async move {
        keep_link(&own, to, frames, &broken).await;
        own.links.lock().remove(&to);
    });
    end
}

/// Keeps a link up for as long as the node exists. Frames were lost each time that it broke: the
/// other node is told so when the link stands again.
async fn keep_link(
    shared: &Arc<NodeShared>,
    to: NodeId,
    mut frames: mpsc::Receiver<Frame>,
    broken: &AtomicBool,
) {
    let mut pause = REDIAL_PAUSE;
    let mut lost = false;
    loop {
        match dial(shared, to, lost).await {
            Ok(socket) => {
                broken.store(false, Ordering::Release);
                pause = REDIAL_PAUSE;
                shared.event(Event::LinkUp(to));
                if let Err(error) = pump(shared, &mut frames, socket).await {
                    log::debug!("event=link_lost node={to} reason=\"{error}\"");
                }
            }
            Err(error) => log::debug!("event=dial_failed node={to} reason=\"{error}\""),
        }
        broken.store(true, Ordering::Release);
        lost = true;
        while frames.try_recv().is_ok() {}
        shared.input(Input::LinkLost(to));
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
    lost: bool,
) -> Result<WebSocketStream<TcpStream>, LinkError> {
    let member = find_member(shared, to).await?;
    tokio::time::timeout(HANDSHAKE_TIMEOUT, connect(shared, &member, lost))
        .await
        .map_err(|_| LinkError::Timeout)?
}

/// A node may have sent something before the host list shows it here.
async fn find_member(shared: &NodeShared, node: NodeId) -> Result<Member, LinkError> {
    let looks = UNKNOWN_PATIENCE.as_millis() / UNKNOWN_PAUSE.as_millis();
    for _ in 0..looks {
        if let Some(member) = shared.members().members.get(&node) {
            return Ok(member.clone());
        }
        tokio::time::sleep(UNKNOWN_PAUSE).await;
    }
    Err(LinkError::Stranger)
}

async fn pump(
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
                feed(shared, &mut socket, &frame).await?;
                while let Ok(frame) = frames.try_recv() {
                    feed(shared, &mut socket, &frame).await?;
                }
                socket.flush().await?;
            }
            received = socket.next() => {
                // The other side sends nothing after its welcome; this sees the link close.
                received.ok_or(LinkError::Closed)??;
            }
        }
    }
}

async fn feed(
    shared: &NodeShared,
    socket: &mut WebSocketStream<TcpStream>,
    frame: &Frame,
) -> Result<(), LinkError> {
    let bytes = frame::encode(frame)?;
    if let Frame::Request(KernelMessage::Work(WorkMessage::Offer(work)), _) = frame {
        shared.calls.sending(work.attempt);
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

/// Whether the frame is the router's own traffic and not part of a call.
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
    lost: bool,
) -> Result<WebSocketStream<TcpStream>, LinkError> {
    let stream = TcpStream::connect(&*member.peer_address).await?;
    stream.set_nodelay(true)?;
    let address = format!("ws://{}/", member.peer_address);
    let (mut socket, _) =
        tokio_tungstenite::client_async_with_config(address, stream, Some(websocket_config()))
            .await?;
    let challenge: proof::Nonce = read_plain(&mut socket).await?;
    let key = &shared.settings.secrets.peer_key;
    let claim = LinkClaim {
        name: shared.profile.name.clone(),
        incarnation: shared.profile.incarnation.0,
        lost,
        nonce: proof::nonce()?,
    };
    let proof = proof::prove(key, ProofSide::Dialler, &challenge, &claim);
    let hello = LinkHello { claim, proof };
    write_plain(&mut socket, &hello).await?;
    let welcome: LinkWelcome = read_plain(&mut socket).await?;
    let claim = &hello.claim;
    if !proof::check(
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
    let welcomed = tokio::time::timeout(HANDSHAKE_TIMEOUT, welcome(shared, stream)).await;
    let (mut socket, from, lost) = match welcomed {
        Ok(Ok(accepted)) => accepted,
        Ok(Err(error)) => {
            log::warn!("event=link_refused reason=\"{error}\"");
            return;
        }
        Err(_) => return,
    };
    if lost {
        shared.input(Input::LinkLost(from));
    }
    while let Some(Ok(message)) = socket.next().await {
        if let Message::Binary(bytes) = message {
            receive(shared, from, &bytes);
        }
    }
    shared.input(Input::LinkLost(from));
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
    shared.input(Input::Frame(from, frame));
}

async fn welcome(
    shared: &NodeShared,
    stream: TcpStream,
) -> Result<(WebSocketStream<TcpStream>, NodeId, bool), LinkError> {
    stream.set_nodelay(true)?;
    let mut socket =
        tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config())).await?;
    let challenge = proof::nonce()?;
    write_plain(&mut socket, &challenge).await?;
    let hello: LinkHello = read_plain(&mut socket).await?;
    let key = &shared.settings.secrets.peer_key;
    let claim = hello.claim;
    if !proof::check(key, ProofSide::Dialler, &challenge, &claim, &hello.proof) {
        return Err(LinkError::Proof);
    }
    let proof = proof::prove(key, ProofSide::Listener, &claim.nonce, &claim);
    write_plain(&mut socket, &LinkWelcome { proof }).await?;
    Ok((socket, NodeId::named(&claim.name), claim.lost))
}

async fn read_plain<T: serde::de::DeserializeOwned>(
    socket: &mut WebSocketStream<TcpStream>,
) -> Result<T, LinkError> {
    let message = socket.next().await.ok_or(LinkError::Closed)??;
    let Message::Binary(bytes) = message else {
        return Err(LinkError::Proof);
    };
    ciborium::from_reader(&*bytes)
        .map_err(|error| FrameError::Decode(error.to_string().into()).into())
}

async fn write_plain<T: serde::Serialize>(
    socket: &mut WebSocketStream<TcpStream>,
    value: &T,
) -> Result<(), LinkError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes)
        .map_err(|error| FrameError::Encode(error.to_string().into()))?;
    socket.send(Message::Binary(bytes.into())).await?;
    Ok(())
}
