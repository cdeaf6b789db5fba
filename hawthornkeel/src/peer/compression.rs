//! Compression of long frame bodies, by DEFLATE.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;

/// Body from which on compression is tried, in bytes: shorter ones fit a few datagrams anyway.
const MIN_BODY: usize = 4 * 1024;
/// Level of compression: the fastest, since documents hold much that repeats.
const LEVEL: u8 = 1;

/// Encoding of a frame's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEncoding {
    /// As encoded.
    Identity,
    /// Compressed.
    Deflate,
}

impl BodyEncoding {
    /// Returns the code that stands for the form in a frame's head.
    pub fn code(self) -> u8 {
        match self {
            Self::Identity => 0,
            Self::Deflate => 1,
        }
    }

    /// Returns the form that `number` stands for, if any.
    pub fn from_code(code: u8) -> Option<Self> {
        match code {
            0 => Some(Self::Identity),
            1 => Some(Self::Deflate),
            _ => None,
        }
    }
}

/// Compresses a body; nothing is returned where that would not make it smaller.
pub fn compress(body: &[u8]) -> Option<Vec<u8>> {
    if body.len() < MIN_BODY {
        return None;
    }
    let packed = compress_to_vec(body, LEVEL);
    (packed.len() < body.len()).then_some(packed)
}

/// Restores a compressed body of `max` bytes at most; nothing is returned where that can't be done.
pub fn decompress(packed: &[u8], max: usize) -> Option<Vec<u8>> {
    decompress_to_vec_with_limit(packed, max).ok()
}
