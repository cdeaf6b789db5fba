//! Entry role: serves callers.
