//! Lets `quinn` run on `monoio`: timers, tasks and UDP sockets.

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

/// Datagram, in bytes at most.
const MAX_DATAGRAM: usize = 2048;
/// Datagrams received and not yet read by `quinn`, at most.
const MAX_RECEIVED: usize = 4096;
/// Datagrams received before other tasks get to run.
const RECEIVE_BURST: usize = 32;

/// `quinn` runtime on the calling thread's `monoio` event loop; clones share the traffic counted.
#[derive(Clone, Debug, Default)]
pub struct MonoioRuntime {
    /// Traffic of all sockets of the runtime.
    pub traffic: Arc<Traffic>,
}

/// Datagrams and their bytes, without the heads of UDP and IP.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    sent_bytes: AtomicU64,
    received: AtomicU64,
    received_bytes: AtomicU64,
}

impl Traffic {
    /// Returns the datagrams sent and received so far.
    pub fn datagrams(&self) -> u64 {
        self.sent.load(Ordering::Relaxed) + self.received.load(Ordering::Relaxed)
    }

    /// Returns the bytes sent and received so far.
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

/// Locks `mutex`; a panic elsewhere ends the process, so poisoning carries no information.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Timer whose sleeping task is apart from it, since `quinn` wants a timer that is `Send`.
#[derive(Debug, Default)]
struct Timer {
    shared: Arc<Mutex<TimerState>>,
}

#[derive(Debug, Default)]
struct TimerState {
    /// Time at which the timer expires.
    deadline: Option<Instant>,
    /// Earliest wake-up of the sleeping tasks.
    wake_at: Option<Instant>,
    waker: Option<Waker>,
}

impl Timer {
    /// Sets the deadline, and starts a sleeping task unless one wakes up early enough.
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

/// Sleeps until `wake_at`, then wakes the timer's task or sleeps on if the deadline has moved.
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

/// UDP socket: sends directly, receives through a task of its own.
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
    /// Tasks that serve the socket and must notice that it is closed.
    servers: Vec<Waker>,
    closed: bool,
}

impl SocketState {
    fn wake_servers(&mut self) {
        self.servers.drain(..).for_each(Waker::wake);
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
        state.wake_servers();
    }
}

impl fmt::Debug for Socket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Socket").field("socket", &self.socket).finish_non_exhaustive()
    }
}

/// Registers `cx` with the tasks to wake at closing, and tells whether the socket is closed.
fn poll_closed(shared: &Mutex<SocketState>, cx: &Context<'_>) -> bool {
    let mut state = lock(shared);
    if !state.servers.iter().any(|w| w.will_wake(cx.waker())) {
        state.servers.push(cx.waker().clone());
    }
    state.closed
}

/// Moves datagrams from the socket to the queue until the socket is closed.
async fn receive(socket: std::rc::Rc<UdpSocket>, shared: Arc<Mutex<SocketState>>) {
    let mut burst = 0;
    loop {
        let datagram = {
            let mut next = pin!(socket.recv_from(Vec::with_capacity(MAX_DATAGRAM)));
            poll_fn(|cx| match poll_closed(&shared, cx) {
                true => Poll::Ready(None),
                false => next.as_mut().poll(cx).map(Some),
            })
            .await
        };
        let Some((result, data)) = datagram else { return };
        // An error concerns one datagram, such as a port that an earlier one could not reach.
        if let Ok((_, source)) = result {
            let mut state = lock(&shared);
            if state.received.len() < MAX_RECEIVED {
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

/// Wakes the waiting senders when the socket takes datagrams again, until it is closed.
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
            // Other errors lose one datagram; the protocol sends again or gives up by itself.
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

/// Waits for one socket to take datagrams again.
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
        state.wake_servers();
        Poll::Pending
    }
}
