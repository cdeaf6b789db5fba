//! Control instance whose answers a test sets, in place of the one of a harness.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use hawthornkeel::peer::Endpoint;
use hawthornkeel::peer::Frame;
use hawthornkeel::peer::frame::Discover;
use hawthornkeel::peer::frame::Discovered;
use hawthornkeel::peer::frame::Followed;
use hawthornkeel::peer::frame::FrameKind;
use hawthornkeel::peer::rollout_frame::RolloutFrame;
use hawthornkeel::runtime;
use hawthornkeel_config::settings::Peers;
use hawthornkeel_config::settings::Settings;
use hawthornkeel_config::settings::Trust;
use hawthornkeel_core::fleet::ListedTarget;
use hawthornkeel_core::fleet::TargetList;
use hawthornkeel_core::ids::LogIndex;
use hawthornkeel_core::ids::Version;
use hawthornkeel_core::rollout::message::RolloutGrant;
use hawthornkeel_core::rollout::message::RolloutReport;
use hawthornkeel_core::rollout::message::RolloutView;
use hawthornkeel_core::rollout::record::RolloutOrder;
use hawthornkeel_core::rollout::record::RolloutPhase;
use hawthornkeel_core::rollout::record::RolloutRecord;
use hawthornkeel_core::state::published::PublishedState;

use crate::forward_harness::document::document;

/// Time after which the state is published by which each poll is answered.
const POLL_DELAY: Duration = Duration::from_millis(20);

/// How a control instance answers what entries ask about rollouts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mood {
    #[default]
    Answering,
    /// As one of an older build.
    Refusing,
    Silent,
}

/// What a test has set, and what was received.
#[derive(Debug, Default)]
pub struct Script {
    pub targets: Vec<ListedTarget>,
    pub view: RolloutView,
    pub grant: Option<RolloutGrant>,
    pub queries: usize,
    pub reports: Vec<RolloutReport>,
}

/// Control instance; clones share it.
#[derive(Clone)]
pub struct Standin(Arc<Mutex<Script>>);

impl Standin {
    /// Starts a control instance that listens at `address`.
    pub fn start(address: SocketAddr, mood: Mood, targets: Vec<ListedTarget>) -> Self {
        let view = RolloutView { index: LogIndex(10), ..RolloutView::default() };
        let script = Script { targets, view, ..Script::default() };
        let standin = Self(Arc::new(Mutex::new(script)));
        let served = standin.clone();
        thread::spawn(move || {
            runtime::block_on(async move {
                let trust = Trust::Addresses;
                let peers = Peers { listen: Some(address), trust, ..Peers::default() };
                let settings = Settings { peers, ..Settings::default() };
                let endpoint = Endpoint::open(&settings).unwrap();
                served.serve(&endpoint, mood);
                std::future::pending::<()>().await;
            })
        });
        standin
    }

    /// Changes what a test has set, or reads what was received.
    pub fn with<T>(&self, change: impl FnOnce(&mut Script) -> T) -> T {
        change(&mut self.0.lock().unwrap())
    }

    /// Publishes a phase of the rollout to version `new` of the pool `ledger`.
    pub fn publish(&self, phase: RolloutPhase) {
        let (pool, version) = ("ledger".into(), "new".into());
        let order = RolloutOrder { pool, version, duration_ms: 60_000 };
        let (id, replaced) = (LogIndex(5), vec!["old".into()]);
        let record = RolloutRecord { order, id, phase, replaced, ..RolloutRecord::default() };
        self.with(|script| {
            script.view.index.0 += 1;
            script.view.records = vec![record];
        });
    }

    /// Answers reports with a grant of a share and a limit from now on.
    pub fn grant(&self, phase: RolloutPhase, share_permille: u32, limit: u64) {
        let grant = RolloutGrant { phase, share_permille, limit, ttl_ms: 1_500, report_ms: 50 };
        self.with(|script| script.grant = Some(grant));
    }

    /// Returns the last report.
    pub fn last_report(&self) -> Option<RolloutReport> {
        self.with(|script| script.reports.last().cloned())
    }

    fn serve(&self, endpoint: &Endpoint, mood: Mood) {
        let (standin, name) = (self.clone(), endpoint.name().clone());
        endpoint.on_call(FrameKind::Survey, move |_, frame| {
            let (standin, name) = (standin.clone(), name.clone());
            async move {
                let Frame::Discover(poll) = frame else { return frame };
                monoio::time::sleep(POLL_DELAY).await;
                let update = standin.with(|script| script.answer(&poll));
                let update = Discovered { control_instances: vec![name], ..update };
                Frame::Discovered(Box::new(update))
            }
        });
        if mood == Mood::Refusing {
            return;
        }
        for kind in [FrameKind::RolloutQuery, FrameKind::RolloutReport] {
            let standin = self.clone();
            endpoint.on_call(kind, move |_, frame| {
                let standin = standin.clone();
                async move {
                    let answer = standin.with(|script| script.answer_rollout(frame));
                    if mood == Mood::Silent {
                        std::future::pending::<()>().await;
                    }
                    answer
                }
            });
        }
    }
}

impl Script {
    fn answer(&self, poll: &Discover) -> Discovered {
        let published = PublishedState {
            index: self.view.index,
            version: Version(1),
            text: document(1, "/lots/").into(),
            ..PublishedState::default()
        };
        let published = (Some(self.view.index) > poll.after).then_some(published);
        let mark = 1 + self.targets.iter().filter(|t| t.leaving).count() as u64;
        let list = TargetList { targets: self.targets.as_slice().into(), mark };
        Discovered {
            followed: Followed { published, take_outs: Vec::new(), age_ms: Some(0) },
            target_list: (poll.list_mark != Some(mark)).then_some(list),
            list_age_ms: Some(0),
            control_instances: Vec::new(),
            entries: None,
            entries_mark: 0,
            subject_records: None,
            records_mark: 0,
            limits: None,
            limits_mark: 0,
        }
    }

    fn answer_rollout(&mut self, frame: Frame) -> Frame {
        Frame::Rollout(match frame {
            Frame::Rollout(RolloutFrame::Query(_)) => {
                self.queries += 1;
                RolloutFrame::View(self.view.clone())
            }
            Frame::Rollout(RolloutFrame::Report(report)) => {
                self.reports.push(report);
                RolloutFrame::Grant(self.grant)
            }
            other => return other,
        })
    }
}
