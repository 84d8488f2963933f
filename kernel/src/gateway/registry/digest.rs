//! Digests of a registry's entries, updated with each change.

/// Number of buckets of ids that nodes compare: each contains some 80 of 10,000 upstreams, about 8
/// kB on the wire.
pub const DIGEST_BUCKETS: usize = 128;

/// Digest of each bucket of ids.
#[derive(Clone, Debug)]
pub struct BucketDigests {
    buckets: Vec<u32>,
}

impl Default for BucketDigests {
    fn default() -> Self {
        Self {
            buckets: vec![0; DIGEST_BUCKETS],
        }
    }
}

impl BucketDigests {
    /// Adds the hash of an entry to a bucket, or removes it if it was added before.
    pub fn toggle(&mut self, bucket: usize, hash: u32) {
        self.buckets[bucket] ^= hash;
    }

    /// Digest of all entries.
    pub fn total(&self) -> u64 {
        self.buckets
            .iter()
            .fold(0, |total, digest| total ^ u64::from(*digest))
    }

    /// Digest of each bucket.
    pub fn buckets(&self) -> &[u32] {
        &self.buckets
    }
}
