//! Fake targets and platforms on their own threads, for tests in one process.

use std::io;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use monoio::LegacyDriver;
use monoio::RuntimeBuilder;
use monoio::net::TcpListener;

use crate::behaviour::Behaviour;
use crate::http1;
use crate::platform::InstanceList;
use crate::platform::Platform;
use crate::record::Report;
use crate::target::Target;

/// Interval of checking a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time for which a value has not changed when it counts as settled.
const SETTLING_TIME: Duration = Duration::from_millis(50);

/// Fake target on its own thread, which runs until the process exits.
#[derive(Clone, Copy, Debug)]
pub struct TargetThread {
    /// Listen address.
    pub address: SocketAddr,
}

impl TargetThread {
    /// Starts a target on a free port.
    pub fn start(behaviour: Behaviour) -> io::Result<Self> {
        let address = spawn_server(move |listener| Target::new(behaviour).serve(listener))?;
        Ok(Self { address })
    }

    /// Overrides fields of the behaviour with those of the JSON object `fields`.
    pub fn configure(&self, fields: &str) -> io::Result<()> {
        http1::control_request(self.address, "POST", "/behave", fields).map(drop)
    }

    /// Restarts the target, which gets a new incarnation and is cold again.
    pub fn restart(&self) -> io::Result<()> {
        http1::control_request(self.address, "POST", "/restart", "").map(drop)
    }

    /// Leaves all further calls on existing connections without a response.
    pub fn hang_connections(&self) -> io::Result<()> {
        http1::control_request(self.address, "POST", "/silence", "").map(drop)
    }

    /// Returns what the target has recorded.
    pub fn report(&self) -> io::Result<Report> {
        let body = http1::control_request(self.address, "GET", "/runs", "")?;
        serde_json::from_str(&body).map_err(io::Error::other)
    }
}

/// Fake platform on its own thread, which runs until the process exits.
#[derive(Clone, Copy, Debug)]
pub struct PlatformThread {
    /// Listen address.
    pub address: SocketAddr,
}

impl PlatformThread {
    /// Starts a platform on a free port that serves `list`.
    pub fn start(list: InstanceList) -> io::Result<Self> {
        let address = spawn_server(move |listener| {
            let platform = Platform::default();
            platform.set(list);
            platform.serve(listener)
        })?;
        Ok(Self { address })
    }

    /// Replaces the list; the new one is served after its delay.
    pub fn set(&self, list: &InstanceList) -> io::Result<()> {
        let lag = list.lag_ms.map(|l| format!("\"lag_ms\":{l},")).unwrap_or_default();
        let instances = serde_json::to_string(&list.instances).map_err(io::Error::other)?;
        let body = format!("{{{lag}\"instances\":{instances}}}");
        http1::control_request(self.address, "POST", "/instances", &body).map(drop)
    }
}

/// Serves on a free port on a new thread and returns the address.
fn spawn_server<F, T>(serve: F) -> io::Result<SocketAddr>
where
    F: FnOnce(TcpListener) -> T + Send + 'static,
    T: Future<Output = ()> + 'static,
{
    start(async move |sender| {
        let Ok(listener) = TcpListener::bind("127.0.0.1:0") else { return };
        let Ok(address) = listener.local_addr() else { return };
        let _ = sender.send(address);
        serve(listener).await;
    })
}

/// Runs `serve` on a new thread with its own runtime and returns the first value that it sends.
pub fn start<V, F, T>(serve: F) -> io::Result<V>
where
    V: Send + 'static,
    F: FnOnce(mpsc::Sender<V>) -> T + Send + 'static,
    T: Future<Output = ()> + 'static,
{
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || block_on(async move { serve(sender).await }));
    receiver.recv().map_err(io::Error::other)
}

/// Runs `future` to completion on a new runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> io::Result<T> {
    let mut runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build()?;
    Ok(runtime.block_on(future))
}

/// Returns what `read` returns twice in a row, with some time between, or the last after `timeout`.
///
/// For logs, which processes write shortly after what they tell.
pub fn settled<T: PartialEq>(timeout: Duration, read: impl Fn() -> T) -> T {
    let until = Instant::now() + timeout;
    let mut last = read();
    loop {
        thread::sleep(SETTLING_TIME);
        let next = read();
        if next == last || Instant::now() >= until {
            return next;
        }
        last = next;
    }
}

/// Polls `condition` until it holds; returns `false` if it does not within `limit`.
pub fn eventually(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(POLL_INTERVAL);
    }
    true
}
