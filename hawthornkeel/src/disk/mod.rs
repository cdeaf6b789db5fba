//! Data folder: write-ahead log, snapshots and the lock.
