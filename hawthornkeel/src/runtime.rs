//! Event loop of the process: a single thread on epoll.

use std::future::Future;
use std::io;

use monoio::LegacyDriver;
use monoio::RuntimeBuilder;

/// Runs `future` to completion on this thread.
///
/// # Errors
/// Fails if the event loop can't be created.
pub fn block_on<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    Ok(runtime.block_on(future))
}
