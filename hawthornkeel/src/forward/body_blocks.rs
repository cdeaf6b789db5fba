//! Body that is read in pieces and takes little more memory than its content while it grows.

use bytes::Bytes;
use bytes::BytesMut;

/// Size of a block, in bytes.
const BLOCK_BYTES: usize = 64 << 10;

/// Body in blocks of one size.
///
/// A single buffer would take up to twice its content, and as much again whenever it is moved.
#[derive(Debug, Default)]
pub struct BodyBlocks {
    blocks: Vec<BytesMut>,
    length: usize,
}

impl BodyBlocks {
    /// Returns the size of the content, in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether there is no content.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends a piece.
    pub fn append(&mut self, piece: &[u8]) {
        self.length = self.length.saturating_add(piece.len());
        let mut rest = piece;
        if let Some(last) = self.blocks.last_mut() {
            let room = last.capacity().saturating_sub(last.len());
            let (first, after) = rest.split_at(room.min(rest.len()));
            last.extend_from_slice(first);
            rest = after;
        }
        // Most bodies arrive in one piece and need no more than its size.
        if self.blocks.is_empty() && !rest.is_empty() {
            self.blocks.push(BytesMut::from(rest));
            return;
        }
        for part in rest.chunks(BLOCK_BYTES) {
            let mut block = BytesMut::with_capacity(BLOCK_BYTES);
            block.extend_from_slice(part);
            self.blocks.push(block);
        }
    }

    /// Returns the content in blocks, none of which is empty.
    pub fn into_blocks(self) -> Vec<Bytes> {
        self.blocks.into_iter().map(BytesMut::freeze).collect()
    }

    /// Returns the whole content.
    pub fn join(mut self) -> Bytes {
        if self.blocks.len() <= 1 {
            return self.blocks.pop().unwrap_or_default().freeze();
        }
        let mut body = BytesMut::with_capacity(self.length);
        // Each block is freed once it is copied.
        for block in self.blocks {
            body.extend_from_slice(&block);
        }
        body.freeze()
    }
}
