//! HTTP towards targets: calls, streams and connections.
