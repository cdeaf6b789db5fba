//! DEFLATE compression of large frame bodies.

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;

/// Size from which a body is compressed, in bytes; smaller ones fit into a few datagrams.
const MIN_BODY_BYTES: usize = 4 * 1024;
/// Compression level: the fastest, which suffices as documents are highly repetitive.
const COMPRESSION_LEVEL: u8 = 1;

/// Encoding of a frame's body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyEncoding {
    /// Not compressed.
    Identity,
    /// Compressed by DEFLATE.
    Deflate,
}

impl BodyEncoding {
    /// Returns the code of the encoding in a frame's header.
    pub fn code(self) -> u8 {
        match self {
            Self::Identity => 0,
            Self::Deflate => 1,
        }
    }

    /// Returns the encoding with this code, if any.
    pub fn from_code(code: u8) -> Option<Self> {
        match code {
            0 => Some(Self::Identity),
            1 => Some(Self::Deflate),
            _ => None,
        }
    }
}

/// Compresses a body; returns `None` if it is too small or would not shrink.
pub fn compress(body: &[u8]) -> Option<Vec<u8>> {
    if body.len() < MIN_BODY_BYTES {
        return None;
    }
    let compressed = compress_to_vec(body, COMPRESSION_LEVEL);
    (compressed.len() < body.len()).then_some(compressed)
}

/// Decompresses a body; returns `None` if it is invalid or decompresses to more than `max` bytes.
pub fn decompress(compressed: &[u8], max: usize) -> Option<Vec<u8>> {
    decompress_to_vec_with_limit(compressed, max).ok()
}
