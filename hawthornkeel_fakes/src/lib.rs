//! Stand-in targets, platform list and callers for tests and benches; not shipped.
