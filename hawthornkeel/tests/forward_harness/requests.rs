//! Header fields of the harness's requests, and bodies of their responses.

/// Fields of a request with two pieces of its stage.
pub const PIECES: &str = "Pieces: 2\r\nPiece-Key: a\r\n";

/// Returns the fields with the key and the identity of a request.
pub fn fields(id: &str) -> String {
    format!("Authorization: Token k1\r\nRequest-Id: {id}\r\n")
}

/// Returns the data of a chunked body without its framing, if no line of it looks like a chunk size.
pub fn unchunked(body: &str) -> String {
    body.split("\r\n").filter(|l| !l.chars().all(|c| c.is_ascii_hexdigit())).collect()
}
