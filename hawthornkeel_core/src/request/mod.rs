//! Progress of one request through its pipeline.
