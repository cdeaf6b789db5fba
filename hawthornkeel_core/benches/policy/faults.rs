//! What the faults of the bench do.

use std::time::Duration;

use crate::entry::Entry;
use crate::sites::POOLS;
use crate::sites::centre;
use crate::stats::End;
use crate::target::Target;
use crate::target::full_rate;
use crate::world::Event;
use crate::world::SILENT;
use crate::world::World;

/// Pool that slows.
const SLOW_POOL: &str = "rerank";
/// Pool whose targets all fail.
const FAILING_POOL: &str = "retrieve";
/// Pool whose targets turn cold again.
const COLD_POOL: &str = "draft";
/// Number of targets that turn cold again.
const COLD_COUNT: usize = 2;
/// Entry that is killed, outside of the data centre that is cut off.
const KILLED: usize = 1;
/// Time until a caller sends again after its entry was lost.
const RESUBMIT: Duration = Duration::from_millis(5);

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    Slow,
    Fail,
    Burst,
    Cold,
    Centre,
    Kill,
}

impl Fault {
    /// All faults, none first.
    pub const ALL: [Self; 7] =
        [Self::None, Self::Slow, Self::Fail, Self::Burst, Self::Cold, Self::Centre, Self::Kill];

    /// Returns the fault's name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Slow => "stage x10 slower, 3 s",
            Self::Fail => "pool fails, 2 s",
            Self::Burst => "burst x5, 1 s",
            Self::Cold => "2 of 10 cold again",
            Self::Centre => "data centre gone, 10 s",
            Self::Kill => "entry killed, 5 s",
        }
    }

    /// Returns the fault's name beside that of another.
    pub fn short(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::Slow => "slow",
            Self::Fail => "fail",
            Self::Burst => "burst",
            Self::Cold => "cold",
            Self::Centre => "centre",
            Self::Kill => "kill",
        }
    }

    /// Returns the time between the fault's start and its end.
    pub fn lasts(self) -> Duration {
        Duration::from_secs(match self {
            Self::None | Self::Cold | Self::Burst => 1,
            Self::Slow => 3,
            Self::Fail => 2,
            Self::Centre => 10,
            Self::Kill => 5,
        })
    }
}

/// Returns the requests a second that the targets bear: the rate of the tightest pool.
pub fn bearable(_targets: &[Target]) -> f64 {
    POOLS.iter().map(|p| full_rate(p, p.count)).fold(f64::INFINITY, f64::min)
}

impl World {
    /// Starts or ends a fault.
    pub fn fault(&mut self, fault: Fault, on: bool) {
        match fault {
            Fault::None => {}
            Fault::Slow => self.each(SLOW_POOL, |t| t.slow = if on { 10.0 } else { 1.0 }),
            Fault::Fail => self.each(FAILING_POOL, |t| t.failing = on),
            Fault::Burst => self.burst = if on { 5.0 } else { 1.0 },
            Fault::Cold if on => self.turn_cold(),
            Fault::Cold => {}
            Fault::Centre if on => self.cut_off(),
            Fault::Centre => self.cut = None,
            Fault::Kill if on => self.kill(KILLED),
            Fault::Kill => self.revive(KILLED),
        }
    }

    /// Changes all targets of a pool.
    fn each(&mut self, pool: &str, change: impl Fn(&mut Target)) {
        self.targets.iter_mut().filter(|t| t.spec.name == pool).for_each(change);
    }

    /// Lets targets restart at once, without warning.
    fn turn_cold(&mut self) {
        let found = self.targets.iter().enumerate().filter(|(_, t)| t.spec.name == COLD_POOL);
        let some: Vec<usize> = found.map(|(i, _)| i).take(COLD_COUNT).collect();
        for target in some {
            let old = self.targets[target].incarnation;
            self.targets[target].restart(self.now, Duration::ZERO);
            self.reset_calls(target, old);
        }
    }

    /// Cuts a data centre off; callers of its entries go to others once they notice.
    fn cut_off(&mut self) {
        let cut = centre(0);
        let inside = |e: &Entry| e.centre == cut;
        let entries: Vec<usize> =
            (0..self.entries.len()).filter(|e| inside(&self.entries[*e])).collect();
        self.cut = Some(cut);
        for entry in entries {
            self.move_callers(entry, SILENT);
        }
    }

    /// Ends an entry's process.
    fn kill(&mut self, entry: usize) {
        self.entries[entry].alive = false;
        self.move_callers(entry, RESUBMIT);
    }

    /// Starts an entry's process again, with nothing.
    fn revive(&mut self, entry: usize) {
        self.boots += 1;
        let list: Vec<_> = self.targets.iter().map(|t| t.info.clone()).collect();
        self.entries[entry] = Entry::start(self.now, entry, self.boots, self.run.kind, &list);
    }

    /// Sends the requests of an entry again, through others.
    fn move_callers(&mut self, entry: usize, after: Duration) {
        let own = self.requests.iter().filter(|(_, r)| r.entry == entry);
        let ids: Vec<_> = own.map(|(id, _)| *id).collect();
        for id in ids {
            let Some(request) = self.drop_request(id) else {
                continue;
            };
            let (workspace, arrived) = (request.workspace, request.arrived);
            if World::counts(arrived) {
                for (wasted, held) in self.stats.wasted.iter_mut().zip(request.held) {
                    *wasted += held;
                }
            }
            self.at(self.now + after, Event::Submit { workspace, arrived });
        }
    }

    /// Ends a request that no entry can take.
    pub fn end_unserved(&mut self, workspace: usize, arrived: hawthornkeel_core::time::Instant) {
        if World::counts(arrived) {
            let second = crate::stats::second(crate::world::MEASURE_AT, arrived);
            self.stats.end(second, workspace, End::Failed);
        }
    }
}
