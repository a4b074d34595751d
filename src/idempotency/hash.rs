//! A hash function whose results are the same in every build and on every node.

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Computes a 64-bit hash incrementally over byte strings, each prefixed with its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hasher(u64);

impl Default for Hasher {
    fn default() -> Self {
        Self(FNV_OFFSET)
    }
}

impl Hasher {
    /// Adds a byte string, prefixed with its length, to the hash.
    pub fn add(&mut self, bytes: &[u8]) {
        self.add_raw(&(bytes.len() as u64).to_le_bytes());
        self.add_raw(bytes);
    }

    /// Returns the hash of all added byte strings after a final bit mix.
    pub fn finish(self) -> u64 {
        let mut bits = self.0;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    fn add_raw(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
    }
}

/// Returns the hash of a list of byte strings.
pub fn of(parts: &[&[u8]]) -> u64 {
    let mut hasher = Hasher::default();
    for part in parts {
        hasher.add(part);
    }
    hasher.finish()
}
