//! Time limits that cost nothing where the work is done at once.

use std::future::Future;
use std::future::poll_fn;
use std::pin::pin;
use std::task::Poll;
use std::time::Duration;

use monoio::time::timeout;

/// Returns what `work` comes to within `limit`, `None` where the time passes before.
///
/// A timer is set only where the work has to wait: most writes and buffered reads need none.
pub(crate) async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let mut work = pin!(work);
    let first = poll_fn(|cx| Poll::Ready(work.as_mut().poll(cx))).await;
    match first {
        Poll::Ready(done) => Some(done),
        Poll::Pending => timeout(limit, work).await.ok(),
    }
}
