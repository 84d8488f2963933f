//! Frames on a link between two nodes: kernel messages, request bodies and answer chunks, encoded as
//! CBOR (RFC 8949) in binary WebSocket messages (RFC 6455).

use bytes::Bytes;
use monsoonbank_kernel::ids::{AttemptId, CallId};
use monsoonbank_kernel::wire::Message;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The parts of a caller's request that an upstream needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestParts {
    /// HTTP method of the request to the upstream, such as `POST`.
    pub method: Box<str>,
    /// Path and query, as sent to the upstream.
    pub path: Box<str>,
    /// Value of the `Content-Type` header; `None` if the caller sent none.
    pub content_type: Option<Box<str>>,
    /// The caller's idempotency key; `None` if it sent none.
    pub key: Option<Box<str>>,
    /// Whole body of the request; empty if the caller sent none.
    pub body: Bytes,
}

/// A part of an answer, as forwarded from the upstream to the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Chunk {
    /// Status and content type of an answer that is forwarded unchanged.
    Head {
        /// HTTP status code.
        status: u16,
        /// Value of the `Content-Type` header; `None` if the upstream sent none.
        content_type: Option<Box<str>>,
    },
    /// Body bytes of an answer that is forwarded unchanged.
    Data(Bytes),
    /// The `choices` array of one completion chunk, as JSON text.
    Choices {
        /// JSON text of the array.
        json: Box<str>,
        /// Whether it carries a token. Chunks without one are no progress when a stream is resumed.
        token: bool,
    },
    /// The `usage` object of a completion, as JSON text.
    Usage(Box<str>),
}

impl Chunk {
    /// Whether the next chunk of the answer has a higher index than this one.
    pub fn advances_index(&self) -> bool {
        match self {
            Self::Head { .. } | Self::Data(_) => true,
            Self::Choices { token, .. } => *token,
            Self::Usage(_) => false,
        }
    }

    /// Approximate memory use of the chunk, in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Self::Head { .. } => 64,
            Self::Data(data) => data.len(),
            Self::Choices { json, .. } | Self::Usage(json) => json.len(),
        }
    }
}

/// A message on a link between two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A kernel message without a request body.
    #[serde(rename = "m")]
    Message(Message),
    /// A kernel message together with the request that it refers to.
    #[serde(rename = "b")]
    Request(Message, RequestParts),
    /// Owner to entry: a chunk of an attempt's answer, with its index.
    #[serde(rename = "c")]
    Chunk(AttemptId, u32, Chunk),
    /// Minter of the key to relaying node: a chunk of a relayed call's answer, with its index.
    #[serde(rename = "r")]
    Relayed(CallId, u32, Chunk),
}

/// Error of encoding or decoding a frame.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The bytes are not CBOR, or not a frame of this version.
    #[error("undecodable frame: {0}")]
    Decode(Box<str>),
    /// The frame cannot be encoded.
    #[error("unencodable frame: {0}")]
    Encode(Box<str>),
}

/// Encodes a frame as CBOR.
pub fn encode(frame: &Frame) -> Result<Bytes, FrameError> {
    let mut buffer = Vec::with_capacity(128);
    ciborium::into_writer(frame, &mut buffer)
        .map_err(|error| FrameError::Encode(error.to_string().into()))?;
    Ok(buffer.into())
}

/// Decodes a frame from CBOR.
pub fn decode(bytes: &[u8]) -> Result<Frame, FrameError> {
    ciborium::from_reader(bytes).map_err(|error| FrameError::Decode(error.to_string().into()))
}
