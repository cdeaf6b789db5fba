//! Keys of the environment document.

use crate::schema::Key;
use crate::schema::Kind;

/// Longest deadline of a pipeline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Largest request body, in bytes.
const MAX_BODY: u64 = 64 << 20;

/// Most calls or requests at once.
const MAX_AT_ONCE: u64 = 65_536;

/// Most attempts at a stage.
const MAX_ATTEMPTS: u64 = 10;

/// Most tokens that an engine generates for a stage.
const MAX_TOKENS: u64 = 131_072;

/// Keys of the environment document.
pub const DOCUMENT: &[Key] = &[
    Key::new("name", Kind::Text, ""),
    Key::new("workspace", Kind::List(WORKSPACE), ""),
    Key::new("pool", Kind::List(POOL), ""),
    Key::new("pipeline", Kind::List(PIPELINE), ""),
];

/// Keys of a workspace.
const WORKSPACE: &[Key] = &[
    Key::required("name", Kind::Name),
    Key::new("weight", Kind::number(1, 1_000, ""), "1"),
    Key::new("priority", Kind::number(0, 255, ""), "0"),
    Key::new("max_requests", Kind::number(1, MAX_AT_ONCE, "requests"), "1024"),
];

/// Keys of a pool.
const POOL: &[Key] = &[
    Key::required("name", Kind::Name),
    Key::new("kind", Kind::Choice(&["service", "engine"]), "service"),
    Key::new("model", Kind::Text, ""),
    Key::new("warm_limit", Kind::number(1, MAX_AT_ONCE, "calls"), "16"),
    Key::new("cold_limit", Kind::number(1, MAX_AT_ONCE, "calls"), "1"),
    Key::new("warm_after", Kind::number(1, MAX_AT_ONCE, "answers"), "16"),
    Key::new("fencing", Kind::Choice(&["ignored", "checked"]), "ignored"),
];

/// Keys of a pipeline.
const PIPELINE: &[Key] = &[
    Key::required("name", Kind::Name),
    Key::new("deadline_ms", Kind::number(1, MAX_DEADLINE_MS, "milliseconds"), "8000"),
    Key::new("max_body", Kind::number(1, MAX_BODY, "bytes"), "1048576"),
    Key::new("stage", Kind::List(STAGE), ""),
];

/// Keys of a stage.
const STAGE: &[Key] = &[
    Key::required("name", Kind::Name),
    Key::required("pool", Kind::Name),
    Key::new("path", Kind::UrlPath, "/"),
    Key::new("idempotent", Kind::Flag, "true"),
    Key::new("floor_ms", Kind::number(1, MAX_DEADLINE_MS, "milliseconds"), "1"),
    Key::new("max_attempts", Kind::number(1, MAX_ATTEMPTS, "attempts"), "3"),
    Key::new("max_tokens", Kind::number(1, MAX_TOKENS, "tokens"), "256"),
];
