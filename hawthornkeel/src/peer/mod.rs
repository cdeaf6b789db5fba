//! QUIC between instances.
