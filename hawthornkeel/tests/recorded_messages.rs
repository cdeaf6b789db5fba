//! Messages, commands and states of a released version, as its build has encoded them.
//!
//! With `RECORD` set, the encoded values of this build are written to files that don't exist yet.

mod samples;

use std::fs;
use std::path::PathBuf;

use hawthornkeel::control::codec;
use hawthornkeel::peer::Frame;
use hawthornkeel::peer::compression::BodyEncoding;
use hawthornkeel::peer::rollout_frame::RolloutFrame;
use hawthornkeel::peer::wire;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::replica::entry::Entry;
use hawthornkeel_core::replica::entry::Members;
use hawthornkeel_core::rollout::record::RolloutCommand;
use hawthornkeel_core::rollout::record::RolloutOrder;
use hawthornkeel_core::rollout::record::Rollouts;
use hawthornkeel_core::state::State;
use hawthornkeel_core::state::command::Command;
use hawthornkeel_core::state::command::TimestampedCommand;
use hawthornkeel_core::time::WallTime;
use samples::sample;

/// Number of seeds of each variant.
const SEEDS: u64 = 24;
/// Maximum number of variants of an enum.
const MAX_VARIANTS: u32 = 100;

/// Returns the file of a format and its version.
fn file(name: &str, version: u32) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/recorded");
    folder.join(format!("{name}-{version}.txt"))
}

fn hex(data: &[u8]) -> String {
    data.iter().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Vec<u8> {
    let digits = (0..text.len()).step_by(2).map(|at| u8::from_str_radix(&text[at..at + 2], 16));
    digits.collect::<Result<_, _>>().unwrap()
}

/// Checks that this build encodes its samples as the recorded version did, and decodes what was
/// recorded to the same bytes again.
fn check(
    name: &str,
    version: u32,
    encoded: &[(String, Vec<u8>)],
    again: impl Fn(&[u8]) -> Vec<u8>,
) {
    let lines: Vec<_> = encoded.iter().map(|(key, data)| format!("{key} {}", hex(data))).collect();
    let file = file(name, version);
    if std::env::var_os("RECORD").is_some() && !file.exists() {
        fs::write(&file, lines.join("\n") + "\n").unwrap();
    }
    let recorded = fs::read_to_string(&file).unwrap_or_else(|e| panic!("{}: {e}", file.display()));
    for line in recorded.lines() {
        let (key, data) = line.rsplit_once(' ').unwrap();
        assert_eq!(hex(&again(&unhex(data))), data, "{name} {key} reads differently");
    }
    let recorded: Vec<_> = recorded.lines().collect();
    for (line, recorded) in lines.iter().zip(&recorded) {
        assert_eq!(line, recorded, "a type of {name} version {version} has changed");
    }
    assert_eq!(lines.len(), recorded.len(), "{name} version {version} has other variants");
}

/// Returns the encoded samples of each variant of an enum.
fn variants<T: for<'de> serde::Deserialize<'de>>(
    encode: impl Fn(T) -> Vec<u8>,
) -> Vec<(String, Vec<u8>)> {
    let all = (0..MAX_VARIANTS).flat_map(|v| (0..SEEDS).map(move |seed| (v, seed)));
    let encoded = all.filter_map(|(variant, seed)| {
        let value = sample::<T>(seed, Some(variant))?;
        Some((format!("{variant} {seed}"), encode(value)))
    });
    encoded.collect()
}

/// Returns the encoded samples of a type.
fn seeds<T: for<'de> serde::Deserialize<'de>>(
    encode: impl Fn(T) -> Vec<u8>,
) -> Vec<(String, Vec<u8>)> {
    let encoded =
        (0..SEEDS * 4).filter_map(|seed| Some((seed.to_string(), encode(sample(seed, None)?))));
    encoded.collect()
}

// A field was added to a message without a new version, so that older instances misread it.
#[test]
fn frames_as_recorded() {
    let encode = |frame: Frame| {
        let data = wire::encode(&frame).unwrap();
        // The header holds the version, the encoding of the body and its length.
        assert_eq!(u16::from_le_bytes([data[0], data[1]]), wire::VERSION);
        postcard::to_extend(&frame, Vec::new()).unwrap()
    };
    let again = |data: &[u8]| encode(wire::decode(BodyEncoding::Identity, data).unwrap());
    check("frames", wire::VERSION.into(), &variants(encode), again);
}

// A command was changed without a new version, so that older builds can't read their log.
#[test]
fn commands_as_recorded() {
    let encode = |command: Command| {
        let timestamped = TimestampedCommand { timestamp: WallTime::from_millis(7), command };
        codec::encode_commands(&[timestamped]).unwrap().to_vec()
    };
    let again = |data: &[u8]| {
        let commands = codec::decode_commands(data).unwrap();
        codec::encode_commands(&commands).unwrap().to_vec()
    };
    check("commands", codec::FORMAT_VERSION.into(), &variants(encode), again);
}

// The state of a snapshot was changed without a new version.
#[test]
fn states_as_recorded() {
    let encode = |state: State| codec::encode_state(&state).unwrap().to_vec();
    let again = |data: &[u8]| encode(codec::decode_state(data).unwrap());
    check("states", codec::FORMAT_VERSION.into(), &seeds(encode), again);
}

// A log entry or the list of members was changed without a new version.
#[test]
fn entries_as_recorded() {
    let encode = |value: (Entry, Members)| postcard::to_extend(&value, Vec::new()).unwrap();
    let again = |data: &[u8]| encode(postcard::from_bytes(data).unwrap());
    check("entries", codec::FORMAT_VERSION.into(), &seeds(encode), again);
}

// A message about rollouts was changed without a new version, so that other builds misread it.
#[test]
fn rollout_frames_as_recorded() {
    let encode = |frame: RolloutFrame| {
        let data = wire::encode(&Frame::Rollout(frame.clone())).unwrap();
        assert_eq!(u16::from_le_bytes([data[0], data[1]]), wire::ROLLOUT_VERSION);
        postcard::to_extend(&frame, Vec::new()).unwrap()
    };
    let again = |data: &[u8]| encode(wire::decode_rollout(BodyEncoding::Identity, data).unwrap());
    check("rollout-frames", wire::ROLLOUT_VERSION.into(), &variants(encode), again);
}

// A command about a rollout was changed without a new version of the log's entries, or other commands
// that share an entry with it are lost.
#[test]
fn rollout_commands_as_recorded() {
    let encode = |rollout: RolloutCommand| {
        let timestamp = WallTime::from_millis(7);
        let commands = [Command::Fence("t".into()), Command::Rollout(rollout)];
        let commands = commands.map(|command| TimestampedCommand { timestamp, command });
        let data = codec::encode_commands(&commands).unwrap();
        assert_eq!(data[0], codec::ROLLOUT_FORMAT_VERSION);
        data.to_vec()
    };
    let again = |data: &[u8]| {
        let commands = codec::decode_commands(data).unwrap();
        codec::encode_commands(&commands).unwrap().to_vec()
    };
    check("commands", codec::ROLLOUT_FORMAT_VERSION.into(), &variants(encode), again);
}

// The rollouts of a snapshot were changed without a new version.
#[test]
fn rollout_states_as_recorded() {
    let encode_state = |state: State| {
        let data = codec::encode_state(&state).unwrap();
        assert_eq!(data[0], codec::ROLLOUT_FORMAT_VERSION);
        data.to_vec()
    };
    let encode = |(state, mut rollouts, order): (State, Rollouts, RolloutOrder)| {
        // A state without rollouts has the format of the released version.
        let begin = RolloutCommand::Begin(order);
        rollouts.apply(LogIndex(3), WallTime::from_millis(7), &begin);
        encode_state(state.with_rollouts(rollouts))
    };
    let again = |data: &[u8]| encode_state(codec::decode_state(data).unwrap());
    check("states", codec::ROLLOUT_FORMAT_VERSION.into(), &seeds(encode), again);
}
