//! Schema of the environment document.

use crate::schema::Key;
use crate::schema::ValueKind;

/// Maximum deadline of a pipeline, in milliseconds.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 64 << 20;

/// Maximum number of concurrent calls or requests.
const MAX_CONCURRENCY: u64 = 65_536;

/// Maximum number of attempts per stage.
const MAX_ATTEMPTS: u64 = 10;

/// Maximum number of tokens that an engine generates for a stage.
const MAX_TOKENS: u64 = 131_072;

/// Keys of the environment document.
pub const DOCUMENT_KEYS: &[Key] = &[
    Key::new("name", ValueKind::Text, ""),
    Key::new("workspace", ValueKind::TableArray(WORKSPACE), ""),
    Key::new("pool", ValueKind::TableArray(POOL), ""),
    Key::new("pipeline", ValueKind::TableArray(PIPELINE), ""),
];

/// Keys of a workspace.
const WORKSPACE: &[Key] = &[
    Key::required("name", ValueKind::Name),
    Key::new("weight", ValueKind::integer(1, 1_000, ""), "1"),
    Key::new("priority", ValueKind::integer(0, 255, ""), "0"),
    Key::new("max_requests", ValueKind::integer(1, MAX_CONCURRENCY, "requests"), "1024"),
];

/// Keys of a pool.
const POOL: &[Key] = &[
    Key::required("name", ValueKind::Name),
    Key::new("kind", ValueKind::Choice(&["service", "engine"]), "service"),
    Key::new("model", ValueKind::Text, ""),
    Key::new("warm_limit", ValueKind::integer(1, MAX_CONCURRENCY, "calls"), "16"),
    Key::new("cold_limit", ValueKind::integer(1, MAX_CONCURRENCY, "calls"), "1"),
    Key::new("warm_after", ValueKind::integer(1, MAX_CONCURRENCY, "answers"), "16"),
    Key::new("fencing", ValueKind::Choice(&["ignored", "checked"]), "ignored"),
];

/// Keys of a pipeline.
const PIPELINE: &[Key] = &[
    Key::required("name", ValueKind::Name),
    Key::new("deadline_ms", ValueKind::integer(1, MAX_DEADLINE_MS, "milliseconds"), "8000"),
    Key::new("max_body", ValueKind::integer(1, MAX_BODY_BYTES, "bytes"), "1048576"),
    Key::new("stage", ValueKind::TableArray(STAGE), ""),
];

/// Keys of a stage.
const STAGE: &[Key] = &[
    Key::required("name", ValueKind::Name),
    Key::required("pool", ValueKind::Name),
    Key::new("path", ValueKind::UrlPath, "/"),
    Key::new("idempotent", ValueKind::Boolean, "true"),
    Key::new("floor_ms", ValueKind::integer(1, MAX_DEADLINE_MS, "milliseconds"), "1"),
    Key::new("max_attempts", ValueKind::integer(1, MAX_ATTEMPTS, "attempts"), "3"),
    Key::new("max_tokens", ValueKind::integer(1, MAX_TOKENS, "tokens"), "256"),
];
