//! Memory shared by the responses of all targets, with the tasks that wait for room.

use std::fmt;
use std::future::Future;
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use hawthornkeel_core::response_memory::HolderId;
use hawthornkeel_core::response_memory::ResponseMemory as Rules;
use hawthornkeel_core::response_memory::Room;
use indexmap::IndexMap;
use monoio::time::sleep;

use crate::clock::boot_now;

/// Error of an exchange that is given up as the memory for responses is used up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GivenUp;

impl fmt::Display for GivenUp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the memory for responses is used up")
    }
}

impl std::error::Error for GivenUp {}

/// Memory shared by the responses of all targets; clones share it.
#[derive(Clone)]
pub struct ResponseMemory {
    shared: Arc<Mutex<Shared>>,
}

struct Shared {
    rules: Rules,
    /// Tasks that wait for room or for being given up.
    wakers: IndexMap<HolderId, Waker>,
}

impl Default for ResponseMemory {
    /// Returns a memory without a limit.
    fn default() -> Self {
        Self::new(usize::MAX)
    }
}

impl ResponseMemory {
    /// Creates a memory of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        let shared = Shared { rules: Rules::new(limit), wakers: IndexMap::new() };
        Self { shared: Arc::new(Mutex::new(shared)) }
    }

    /// Returns a lease that holds nothing; `declared` if the response declares its length.
    pub fn lease(&self, declared: bool) -> Lease {
        Lease { memory: self.clone(), declared, id: None, held: 0 }
    }

    /// Runs `work` on the rules and wakes the tasks that it concerns.
    fn update<T>(&self, work: impl FnOnce(&mut Rules) -> T) -> T {
        let mut shared = self.lock();
        let output = work(&mut shared.rules);
        let woken = shared.rules.take_woken();
        let wakers: Vec<_> = woken.iter().filter_map(|id| shared.wakers.swap_remove(id)).collect();
        // The last reference to a task may be among them, and end another lease.
        drop(shared);
        wakers.into_iter().for_each(Waker::wake);
        output
    }

    /// Locks the shared state, ignoring poisoning, as a panic ends the process.
    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory held by one exchange, returned on drop.
pub struct Lease {
    memory: ResponseMemory,
    declared: bool,
    /// Identifier, from the first byte held on.
    id: Option<HolderId>,
    /// Number of bytes held.
    held: usize,
}

impl Lease {
    /// Holds `bytes` bytes, more or fewer than before; waits for room for a bounded time.
    ///
    /// # Errors
    /// Fails if the exchange is given up; what it holds must then be dropped.
    pub async fn hold(&mut self, bytes: usize) -> Result<(), GivenUp> {
        if self.id.is_none() && bytes == 0 {
            return Ok(());
        }
        let declared = self.declared;
        let memory = &self.memory;
        let id = *self.id.get_or_insert_with(|| memory.update(|r| r.open(declared)));
        loop {
            match memory.update(|r| r.ask(boot_now(), id, bytes)) {
                Room::Granted => {
                    self.held = bytes;
                    return Ok(());
                }
                Room::GivenUp => return Err(GivenUp),
                Room::Wait(until) => {
                    monoio::select! {
                        () = settled(memory.clone(), id, |r| !r.is_waiting(id)) => {}
                        () = sleep(until.since(boot_now())) => {}
                    }
                }
            }
        }
    }

    /// Returns the memory beyond that of `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        let Some(id) = self.id.filter(|_| bytes < self.held) else { return };
        self.memory.update(|r| r.ask(boot_now(), id, bytes));
        self.held = bytes;
    }

    /// Waits until the exchange is given up; forever if it never is.
    pub fn given_up(&self) -> impl Future<Output = ()> + use<> {
        let (memory, id) = (self.memory.clone(), self.id);
        async move {
            match id {
                Some(id) => settled(memory, id, |r| r.is_given_up(id)).await,
                None => std::future::pending().await,
            }
        }
    }

    /// Returns `body`, which holds this memory until it is dropped.
    pub fn attach(self, body: Bytes) -> Bytes {
        let Some(id) = self.id else { return body };
        self.memory.update(|r| r.complete(id));
        Bytes::from_owner(HeldBody { body, _lease: self })
    }
}

/// Waits until `is_settled` holds for the exchange `id`.
async fn settled(memory: ResponseMemory, id: HolderId, is_settled: impl Fn(&Rules) -> bool) {
    poll_fn(|cx| {
        let mut shared = memory.lock();
        if is_settled(&shared.rules) {
            return Poll::Ready(());
        }
        let former = shared.wakers.insert(id, cx.waker().clone());
        drop(shared);
        drop(former);
        Poll::Pending
    })
    .await;
}

impl Drop for Lease {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        let waker = self.memory.lock().wakers.swap_remove(&id);
        self.memory.update(|r| r.close(boot_now(), id));
        drop(waker);
    }
}

/// Complete body with the memory that it holds.
struct HeldBody {
    body: Bytes,
    _lease: Lease,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
