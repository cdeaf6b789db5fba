//! Reading of lines with a maximum length.

use std::io;
use std::io::BufRead;

/// Maximum length of a line, in bytes; the product's lines are far below it.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// Calls `take` with each line, without its end; with `None` for a line that is too long.
///
/// # Errors
/// Fails if reading fails.
pub fn for_each_line(
    mut reader: impl BufRead,
    mut take: impl FnMut(Option<&[u8]>),
) -> io::Result<()> {
    let mut line = Vec::new();
    let mut is_long = false;
    loop {
        let buffer = match reader.fill_buf() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            other => other?,
        };
        if buffer.is_empty() {
            if is_long || !line.is_empty() {
                take((!is_long).then_some(&line));
            }
            return Ok(());
        }
        let end = buffer.iter().position(|b| *b == b'\n');
        let piece = buffer.get(..end.unwrap_or(buffer.len())).unwrap_or_default();
        is_long |= line.len() + piece.len() > MAX_LINE_BYTES;
        if !is_long {
            line.extend_from_slice(piece);
        }
        let used = piece.len() + usize::from(end.is_some());
        reader.consume(used);
        if end.is_some() {
            take((!is_long).then_some(line.strip_suffix(b"\r").unwrap_or(&line)));
            line.clear();
            is_long = false;
        }
    }
}
