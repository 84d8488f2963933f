//! Compression of answers to other nodes.

use std::io::{self, Read};

/// Fastest of zstd's standard levels.
const LEVEL: i32 = 1;
/// Largest decompressed answer, in bytes; the same bound as for any answer that is read.
const MAX_BYTES: u64 = 16 << 20;

/// Compresses an answer into a zstd frame.
///
/// # Errors
///
/// If zstd cannot allocate memory.
pub fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    zstd::bulk::compress(bytes, LEVEL)
}

/// Decompresses the answer in a zstd frame.
///
/// # Errors
///
/// If `frame` is not a valid zstd frame, or if its content exceeds 16 MiB.
pub fn decompress(frame: &[u8]) -> io::Result<Vec<u8>> {
    let decoder = zstd::stream::Decoder::new(frame)?;
    let mut bytes = Vec::new();
    decoder.take(MAX_BYTES + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the answer is too large",
        ));
    }
    Ok(bytes)
}
