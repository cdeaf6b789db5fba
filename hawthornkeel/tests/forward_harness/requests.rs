//! Header fields of the harness's requests, and bodies of their responses.

/// Fields of a request with two pieces of its stage.
pub const PIECES: &str = "Pieces: 2\r\nPiece-Key: a\r\n";

/// Returns the fields with the key and the identity of a request.
pub fn fields(id: &str) -> String {
    format!("Authorization: Token k1\r\nRequest-Id: {id}\r\n")
}

/// Returns the data of a chunked body that may be cut, if no line of it looks like a chunk size.
pub fn unchunked(body: &str) -> String {
    body.split("\r\n").filter(|l| !l.chars().all(|c| c.is_ascii_hexdigit())).collect()
}

/// Returns a body without the framing of its chunks, and panics if the last chunk is missing.
pub fn whole_body(framed: &str) -> String {
    let (mut body, mut rest) = (String::new(), framed);
    loop {
        let (size, data) = rest.split_once("\r\n").unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        let (data, after) = data.split_at(size);
        if size == 0 {
            assert_eq!(after, "\r\n");
            return body;
        }
        body.push_str(data);
        rest = after.strip_prefix("\r\n").unwrap();
    }
}

/// Checks that each of the two events of a stream arrived complete and once, followed by the last
/// chunk of the body.
pub fn assert_whole_stream(body: &str) {
    assert_eq!(whole_body(body), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "{body:?}");
}
