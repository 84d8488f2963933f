//! What travels on a link between two nodes: kernel messages, request bodies, answer chunks.
//! CBOR (RFC 8949) in binary WebSocket messages (RFC 6455).

use bytes::Bytes;
use monsoonbank_kernel::ids::{AttemptId, CallId};
use monsoonbank_kernel::wire::Message;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The parts of a caller's request that an upstream needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestParts {
    /// The HTTP method.
    pub method: Box<str>,
    /// Path and query at the upstream.
    pub path: Box<str>,
    /// The content type, if the caller named one.
    pub content_type: Option<Box<str>>,
    /// The caller's idempotency key, if any.
    pub key: Option<Box<str>>,
    /// The body.
    pub body: Bytes,
}

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Chunk {
    /// Status and content type, for answers that are passed on as they are.
    Head {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: Option<Box<str>>,
    },
    /// Body bytes of an answer that is passed on as it is.
    Data(Bytes),
    /// The `choices` array of one completion chunk, as JSON text.
    Choices {
        /// The JSON text.
        json: Box<str>,
        /// Whether it carries a token; the others do not count for resuming.
        token: bool,
    },
    /// The `usage` object of a completion, as JSON text.
    Usage(Box<str>),
}

impl Chunk {
    /// Whether the chunk moves the answer's index on.
    pub fn counts(&self) -> bool {
        match self {
            Self::Head { .. } | Self::Data(_) => true,
            Self::Choices { token, .. } => *token,
            Self::Usage(_) => false,
        }
    }

    /// Bytes that the chunk keeps in memory, roughly.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Head { .. } => 64,
            Self::Data(data) => data.len(),
            Self::Choices { json, .. } | Self::Usage(json) => json.len(),
        }
    }
}

/// One message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A kernel message.
    #[serde(rename = "m")]
    Message(Message),
    /// A kernel message with the body of the request that it is about.
    #[serde(rename = "b")]
    Request(Message, RequestParts),
    /// Owner to entry: a piece of an attempt's answer.
    #[serde(rename = "c")]
    Chunk(AttemptId, u32, Chunk),
    /// Minter to relaying node: a piece of a relayed call's answer.
    #[serde(rename = "r")]
    Relayed(CallId, u32, Chunk),
}

/// A frame that cannot be read or written.
#[derive(Debug, Error)]
pub enum FrameError {
    /// Not CBOR, or not a frame that this version knows.
    #[error("undecodable frame: {0}")]
    Decode(Box<str>),
    /// Cannot be encoded.
    #[error("unencodable frame: {0}")]
    Encode(Box<str>),
}

/// Encodes a frame.
pub fn encode(frame: &Frame) -> Result<Bytes, FrameError> {
    let mut buffer = Vec::with_capacity(128);
    ciborium::into_writer(frame, &mut buffer)
        .map_err(|error| FrameError::Encode(error.to_string().into()))?;
    Ok(buffer.into())
}

/// Decodes a frame.
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    ciborium::from_reader(bytes).map_err(|error| FrameError::Decode(error.to_string().into()))
}
