//! Time limits that set no timer where the work is ready at once.

use std::future::Future;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use monoio::time::timeout;

/// Returns the output of `work`, or `None` if it isn't ready within `limit`.
///
/// The timer is set only if the first poll is pending: most writes and buffered reads need none.
pub(crate) async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let mut work = pin!(work);
    let first = poll_fn(|cx| Poll::Ready(work.as_mut().poll(cx))).await;
    match first {
        Poll::Ready(output) => Some(output),
        Poll::Pending => timeout(limit, work).await.ok(),
    }
}
