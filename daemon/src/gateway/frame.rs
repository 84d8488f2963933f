//! Large answers to other nodes, compressed.

use std::io::{self, Read};

/// zstd's fastest usual level.
const LEVEL: i32 = 1;
/// Largest answer that a frame may give, in bytes; as large as any answer that is taken.
const MOST_BYTES: u64 = 16 << 20;

/// Compresses an answer.
///
/// # Errors
///
/// If zstd has no memory for it.
pub fn compress(bytes: &[u8]) -> io::Result<Vec<u8>> {
    zstd::bulk::compress(bytes, LEVEL)
}

/// The answer in a frame.
///
/// # Errors
///
/// If it is no frame of zstd, or gives more than 16 MiB.
pub fn decompress(frame: &[u8]) -> io::Result<Vec<u8>> {
    let decoder = zstd::stream::Decoder::new(frame)?;
    let mut bytes = Vec::new();
    decoder.take(MOST_BYTES + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MOST_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the answer is too large",
        ));
    }
    Ok(bytes)
}
