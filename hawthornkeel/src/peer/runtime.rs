//! `quinn` runtime on `monoio`: timers, tasks and UDP sockets.

use std::collections::VecDeque;
use std::fmt;
use std::future::Future;
use std::future::poll_fn;
use std::io;
use std::io::IoSliceMut;
use std::net::SocketAddr;
use std::net::UdpSocket as StdSocket;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;
use std::time::Instant;

use monoio::net::udp::UdpSocket;
use quinn::AsyncTimer;
use quinn::AsyncUdpSocket;
use quinn::Runtime;
use quinn::UdpPoller;
use quinn::udp::RecvMeta;
use quinn::udp::Transmit;

use crate::peer::wakeup::yield_now;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// Maximum number of received datagrams queued for `quinn`.
const MAX_QUEUED_DATAGRAMS: usize = 4096;
/// Number of datagrams received before yielding to other tasks.
const RECEIVE_BURST: usize = 32;

/// `quinn` runtime on the calling thread's `monoio` event loop; clones share the traffic counters.
#[derive(Clone, Debug, Default)]
pub struct MonoioRuntime {
    /// Traffic of all sockets of the runtime.
    pub traffic: Arc<Traffic>,
}

/// Counters of datagrams and their payload bytes, without UDP and IP headers.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
}

impl Traffic {
    /// Returns the number of datagrams sent and received.
    pub fn datagrams(&self) -> u64 {
        self.sent.load(Ordering::Relaxed) + self.received.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent and received.
    pub fn bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed) + self.received_bytes.load(Ordering::Relaxed)
    }

    fn count_sent(&self, bytes: usize) {
        self.sent.fetch_add(1, Ordering::Relaxed);
        self.sent_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count_received(&self, bytes: usize) {
        self.received.fetch_add(1, Ordering::Relaxed);
        self.received_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Runtime for MonoioRuntime {
    fn new_timer(&self, deadline: Instant) -> Pin<Box<dyn AsyncTimer>> {
        let timer = Timer::default();
        timer.schedule(deadline);
        Box::pin(timer)
    }

    fn spawn(&self, future: Pin<Box<dyn Future<Output = ()> + Send>>) {
        monoio::spawn(future);
    }

    fn wrap_udp_socket(&self, socket: StdSocket) -> io::Result<Arc<dyn AsyncUdpSocket>> {
        Ok(Arc::new(Socket::new(socket, self.traffic.clone())?))
    }
}

/// Locks `mutex`, ignoring poisoning, as a panic ends the process.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Timer with a separate sleeping task, as `quinn` requires timers to be `Send` and `monoio`'s are
/// not.
#[derive(Debug, Default)]
struct Timer {
    shared: Arc<Mutex<TimerState>>,
}

#[derive(Debug, Default)]
struct TimerState {
    /// Expiry time.
    deadline: Option<Instant>,
    /// Earliest wake-up time of the sleeping tasks.
    wake_at: Option<Instant>,
    waker: Option<Waker>,
}

impl Timer {
    /// Sets the deadline and spawns a sleeping task unless one wakes up early enough.
    fn schedule(&self, deadline: Instant) {
        let mut state = lock(&self.shared);
        state.deadline = Some(deadline);
        if state.wake_at.is_some_and(|at| at <= deadline) {
            return;
        }
        state.wake_at = Some(deadline);
        drop(state);
        monoio::spawn(sleep_until(Arc::downgrade(&self.shared), deadline));
    }
}

/// Sleeps until `wake_at`, then wakes the timer's task, or sleeps again if the deadline has moved.
async fn sleep_until(timer: std::sync::Weak<Mutex<TimerState>>, mut wake_at: Instant) {
    loop {
        monoio::time::sleep_until(wake_at.into()).await;
        let Some(shared) = timer.upgrade() else { return };
        let mut state = lock(&shared);
        if state.wake_at != Some(wake_at) {
            return;
        }
        match state.deadline {
            Some(deadline) if deadline > Instant::now() => {
                state.wake_at = Some(deadline);
                wake_at = deadline;
            }
            _ => {
                state.wake_at = None;
                if let Some(waker) = state.waker.take() {
                    waker.wake();
                }
                return;
            }
        }
    }
}

impl AsyncTimer for Timer {
    fn reset(self: Pin<&mut Self>, deadline: Instant) {
        self.schedule(deadline);
    }

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = lock(&self.shared);
        match state.deadline {
            Some(deadline) if deadline > Instant::now() => {
                state.waker = Some(cx.waker().clone());
                Poll::Pending
            }
            _ => Poll::Ready(()),
        }
    }
}

/// UDP socket that sends directly and receives in a separate task.
struct Socket {
    socket: StdSocket,
    traffic: Arc<Traffic>,
    shared: Arc<Mutex<SocketState>>,
}

#[derive(Default)]
struct SocketState {
    received: VecDeque<(SocketAddr, Vec<u8>)>,
    reader: Option<Waker>,
    writers: Vec<Waker>,
    /// Wakers of the socket's I/O tasks, which end once it is closed.
    io_tasks: Vec<Waker>,
    closed: bool,
}

impl SocketState {
    fn wake_io_tasks(&mut self) {
        self.io_tasks.drain(..).for_each(Waker::wake);
    }
}

impl Socket {
    fn new(socket: StdSocket, traffic: Arc<Traffic>) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        let receiver = std::rc::Rc::new(UdpSocket::from_std(socket.try_clone()?)?);
        let shared = Arc::new(Mutex::new(SocketState::default()));
        monoio::spawn(receive(receiver.clone(), shared.clone()));
        monoio::spawn(watch_writable(receiver, shared.clone()));
        Ok(Self { socket, traffic, shared })
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        let mut state = lock(&self.shared);
        state.closed = true;
        state.wake_io_tasks();
    }
}

impl fmt::Debug for Socket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Socket").field("socket", &self.socket).finish_non_exhaustive()
    }
}

/// Registers the task of `cx` for the wake-up on close and tells whether the socket is closed.
fn poll_closed(shared: &Mutex<SocketState>, cx: &Context<'_>) -> bool {
    let mut state = lock(shared);
    if !state.io_tasks.iter().any(|w| w.will_wake(cx.waker())) {
        state.io_tasks.push(cx.waker().clone());
    }
    state.closed
}

/// Moves datagrams from the socket to the queue until it is closed; excess datagrams are dropped.
async fn receive(socket: std::rc::Rc<UdpSocket>, shared: Arc<Mutex<SocketState>>) {
    let mut burst = 0;
    loop {
        let datagram = {
            let mut next = pin!(socket.recv_from(Vec::with_capacity(MAX_DATAGRAM_BYTES)));
            poll_fn(|cx| match poll_closed(&shared, cx) {
                true => Poll::Ready(None),
                false => next.as_mut().poll(cx).map(Some),
            })
            .await
        };
        let Some((result, data)) = datagram else { return };
        // An error concerns a single datagram, such as an ICMP error for an earlier one.
        if let Ok((_, source)) = result {
            let mut state = lock(&shared);
            if state.received.len() < MAX_QUEUED_DATAGRAMS {
                state.received.push_back((source, data));
            }
            if let Some(reader) = state.reader.take() {
                reader.wake();
            }
        }
        burst += 1;
        if burst % RECEIVE_BURST == 0 {
            yield_now().await;
        }
    }
}

/// Wakes waiting senders when the socket becomes writable, until it is closed.
async fn watch_writable(socket: std::rc::Rc<UdpSocket>, shared: Arc<Mutex<SocketState>>) {
    loop {
        let closed = poll_fn(|cx| match poll_closed(&shared, cx) {
            true => Poll::Ready(true),
            false if lock(&shared).writers.is_empty() => Poll::Pending,
            false => Poll::Ready(false),
        })
        .await;
        if closed {
            return;
        }
        let _ = socket.writable(false).await;
        let writers = std::mem::take(&mut lock(&shared).writers);
        writers.into_iter().for_each(Waker::wake);
    }
}

impl AsyncUdpSocket for Socket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(Writable { shared: self.shared.clone(), waiting: false })
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        match self.socket.send_to(transmit.contents, transmit.destination) {
            Ok(bytes) => {
                self.traffic.count_sent(bytes);
                Ok(())
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Err(e),
            // Other errors count as packet loss; QUIC retransmits or closes the connection.
            Err(_) => Ok(()),
        }
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        buffers: &mut [IoSliceMut<'_>],
        metas: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut state = lock(&self.shared);
        let mut count = 0;
        for (buffer, meta) in buffers.iter_mut().zip(metas.iter_mut()) {
            let Some((addr, data)) = state.received.pop_front() else { break };
            let len = data.len().min(buffer.len());
            let (Some(to), Some(from)) = (buffer.get_mut(..len), data.get(..len)) else { break };
            to.copy_from_slice(from);
            self.traffic.count_received(len);
            *meta = RecvMeta { addr, len, stride: len, ecn: None, dst_ip: None };
            count += 1;
        }
        if count == 0 {
            state.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(Ok(count))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}

/// Waits until a socket is writable.
struct Writable {
    shared: Arc<Mutex<SocketState>>,
    waiting: bool,
}

impl fmt::Debug for Writable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Writable").field("waiting", &self.waiting).finish_non_exhaustive()
    }
}

impl UdpPoller for Writable {
    fn poll_writable(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.waiting {
            self.waiting = false;
            return Poll::Ready(Ok(()));
        }
        self.waiting = true;
        let mut state = lock(&self.shared);
        state.writers.push(cx.waker().clone());
        state.wake_io_tasks();
        Poll::Pending
    }
}
