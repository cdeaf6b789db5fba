//! Frames of peers whose bytes are cut or changed: decoding returns a frame or an error.
//!
//! Guards against a message of one peer that ends the process of another.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::PathBuf;

use hawthornkeel::peer::compression::BodyEncoding;
use hawthornkeel::peer::wire;

/// Values that a byte is set to: ends of ranges, and lengths that go on or are large.
const VALUES: [u8; 5] = [0x00, 0x01, 0x7f, 0x80, 0xff];
/// Largest sample that is changed, in bytes; each is decoded six times for each of its bytes.
const MAX_BYTES: usize = 2_000;

/// Returns the recorded frames of each variant.
fn samples() -> Vec<Vec<u8>> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded");
    let text = fs::read_to_string(folder.join(format!("frames-{}.txt", wire::VERSION))).unwrap();
    let digits = text.lines().map(|line| line.rsplit_once(' ').unwrap().1.as_bytes());
    let byte = |pair: &[u8]| u8::from_str_radix(str::from_utf8(pair).unwrap(), 16).unwrap();
    let all = digits.map(|d| d.chunks(2).map(byte).collect());
    all.filter(|s: &Vec<u8>| s.len() <= MAX_BYTES).collect()
}

fn decode(body: &[u8]) {
    for encoding in [BodyEncoding::Identity, BodyEncoding::Deflate] {
        let _ = wire::decode(encoding, body);
        let _ = wire::decode_rollout(encoding, body);
    }
}

#[test]
fn decoding_returns() {
    let samples = samples();
    assert!(samples.len() > 100, "{} samples", samples.len());
    for sample in samples {
        for at in 0..sample.len() {
            decode(&sample[..at]);
            for value in VALUES {
                let mut changed = sample.clone();
                changed[at] = value;
                decode(&changed);
            }
        }
    }
}
