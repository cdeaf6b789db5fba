//! Balancer of one entry on a virtual clock, and targets that say something about themselves.

#![allow(dead_code)]

use std::time::Duration;

use hawthornkeel_core::fleet::ListedTarget;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::fleet::TargetRun;
use hawthornkeel_core::names::CentreName;
use hawthornkeel_core::names::PoolName;
use hawthornkeel_core::names::TargetName;
use hawthornkeel_core::placement::balancer::Balancer;
use hawthornkeel_core::placement::balancer::ChosenTarget;
use hawthornkeel_core::placement::balancer::NoTarget;
use hawthornkeel_core::placement::balancer::TargetQuery;
use hawthornkeel_core::placement::notice::Brittleness;
use hawthornkeel_core::placement::notice::DroppedNotice;
use hawthornkeel_core::placement::notice::Notice;
use hawthornkeel_core::placement::notice::NoticeChange;
use hawthornkeel_core::rollout::versions::VersionRule;
use hawthornkeel_core::table::pool::ColdLimit;
use hawthornkeel_core::time::Instant;

/// Answer that says that the target leaves.
pub const LEAVING: Notice =
    Notice { leaving: true, pause: None, limit: None, brittle: Brittleness::Absent };
const COLD: ColdLimit = ColdLimit { duration: Duration::from_secs(3), rate: 18.0 };

/// Balancer of one of eight entries.
pub struct Fleet {
    pub balancer: Balancer,
}

impl Fleet {
    /// Creates a balancer with `count` targets of one pool.
    pub fn new(count: u16) -> Self {
        let targets: Vec<ListedTarget> = (0..count).map(|n| listed(n, None)).collect();
        Self::with_targets(&targets)
    }

    /// Creates a balancer with targets that don't count as new.
    pub fn with_targets(targets: &[ListedTarget]) -> Self {
        let mut fleet = Self { balancer: Balancer::default() };
        fleet.list(0, targets);
        fleet
    }

    /// Applies a list.
    pub fn list(&mut self, ms: u64, targets: &[ListedTarget]) -> Vec<DroppedNotice> {
        self.balancer.update(at(ms), &TargetList { targets: targets.into(), mark: ms })
    }

    /// Applies what an answer says.
    pub fn tell(&mut self, ms: u64, run: &TargetRun, notice: Notice) -> Vec<NoticeChange> {
        self.balancer.record_notice(at(ms), run, at(ms), notice)
    }

    /// Returns the process of the first target.
    pub fn run(&self) -> TargetRun {
        listed(0, None).run()
    }

    /// Chooses a target for a session.
    pub fn choose(&mut self, ms: u64, session: u64) -> Result<ChosenTarget, NoTarget> {
        self.choose_other(ms, session, &[])
    }

    /// Chooses a target that was not tried.
    pub fn choose_other(
        &mut self,
        ms: u64,
        session: u64,
        tried: &[TargetName],
    ) -> Result<ChosenTarget, NoTarget> {
        let pool = pool();
        let cold = Some(COLD);
        let query = TargetQuery {
            pool: &pool,
            session,
            centre: None,
            tried,
            cold,
            entries: 8,
            version: None,
            rule: &VersionRule::Any,
        };
        self.balancer.choose(at(ms), &query)
    }
}

/// Returns an answer that asks for a pause.
pub fn pause(ms: u64) -> Notice {
    Notice { pause: Some(Duration::from_millis(ms)), ..Notice::default() }
}

pub fn pool() -> PoolName {
    PoolName::new("engines")
}

pub fn at(ms: u64) -> Instant {
    Instant::from_millis(1_000_000 + ms)
}

/// Returns an entry of the list.
pub fn listed(number: u16, born: Option<u64>) -> ListedTarget {
    ListedTarget {
        name: TargetName::new(&format!("t{number}")),
        pool: pool(),
        address: ([10, 0, 0, 1], 8_000 + number).into(),
        centre: CentreName::new("a"),
        born,
        version: "v1".into(),
        slots: 64,
        leaving: false,
        cold_ms: 0,
    }
}
