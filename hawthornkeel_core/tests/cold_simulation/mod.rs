//! Simulation of one cold target and entries with lossy links, on a virtual clock.
#![allow(dead_code)]

mod entry;

use std::ops::Range;
use std::time::Duration;

use hawthornkeel_core::ids::CallId;
use hawthornkeel_core::ids::Incarnation;
use hawthornkeel_core::ids::RequestId;
use hawthornkeel_core::lease::GrantMessage;
use hawthornkeel_core::lease::MemberId;
use hawthornkeel_core::lease::VoteMessage;
use hawthornkeel_core::routing::CallOutcome;
use hawthornkeel_core::routing::Decision;
use hawthornkeel_core::routing::StageRequest;
use hawthornkeel_core::routing::Warmth;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use entry::Entry;
use entry::start;

pub const ENTRIES: usize = 4;
pub const VOTERS: usize = 3;
pub const COLD_LIMIT: u32 = 2;
pub const WARM_AFTER: u32 = 12;
pub const WARM_LIMIT: u32 = 8;
/// Simulated time per step, in milliseconds.
const STEP_MILLIS: u64 = 2;
const TARGET: &str = "t";

/// Percentages of messages that are lost, duplicated and delayed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Links {
    pub lost: u32,
    pub duplicated: u32,
    pub delayed: u32,
}

/// Faults to inject, each with a mean interval in steps; zero disables it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub links: Links,
    pub kill: u32,
    pub freeze: u32,
    pub partition: u32,
    pub restart: u32,
    /// Cancels one in so many calls while the target continues to run them.
    pub cancel: u32,
    /// Whether answers name the target's incarnation.
    pub named: bool,
}

enum Message {
    Vote(usize, VoteMessage),
    Grant(MemberId, GrantMessage),
    ConnectionLost,
    CallEnded(u64, CallOutcome),
}

/// Message in transit.
struct Delivery {
    due: u64,
    to: usize,
    /// Boot of the receiver that the message is for; any if absent.
    boot: Option<u64>,
    message: Message,
}

/// State of the simulation. Times are in milliseconds.
pub struct Simulation {
    pub now: u64,
    pub faults: Faults,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    deliveries: Vec<Delivery>,
    /// Running calls of the target: end time by call number.
    running: IndexMap<u64, u64>,
    pub incarnation: u64,
    pub answers: u32,
    /// Highest number of concurrent calls while the target was cold.
    pub max_cold: u32,
    pub restarts: u32,
    pub total_calls: u64,
    /// Range of call durations at the target.
    pub call_millis: Range<u64>,
    call_counter: u64,
}

impl Simulation {
    /// Creates a simulation whose entries have just started and whose target is cold.
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let entries =
            (0..ENTRIES).map(|i| start(i, 0, rng.random_range(0..1_000_000), 0)).collect();
        Self {
            now: 0,
            faults,
            rng,
            entries,
            deliveries: Vec::new(),
            running: IndexMap::new(),
            incarnation: 1,
            answers: 0,
            max_cold: 0,
            restarts: 0,
            total_calls: 0,
            call_millis: 20..300,
            call_counter: 0,
        }
    }

    /// Runs until `millis`. Every entry sends as many calls as its router allows.
    pub fn run_until(&mut self, millis: u64) {
        while self.now < millis {
            self.now += STEP_MILLIS;
            self.inject_faults();
            self.deliver();
            for entry in 0..ENTRIES {
                self.step_entry(entry);
            }
        }
    }

    /// Returns the number of entries that consider the target warm.
    pub fn warm_entries(&self) -> usize {
        let warm =
            |e: &&Entry| e.router.status(&TARGET.into()).is_some_and(|s| s.warmth == Warmth::Warm);
        self.entries.iter().filter(warm).count()
    }

    /// Returns whether the target can't sustain more than its cold limit yet.
    pub fn is_cold(&self) -> bool {
        self.answers < WARM_AFTER
    }

    /// Restarts the target, which breaks its connections.
    pub fn restart_target(&mut self) {
        self.restarts += 1;
        self.incarnation += 1;
        self.answers = 0;
        let lost: Vec<u64> = self.running.drain(..).map(|(call, _)| call).collect();
        self.deliveries
            .retain(|d| !matches!(d.message, Message::CallEnded(c, _) if lost.contains(&c)));
        for to in 0..ENTRIES {
            let boot = Some(self.entries[to].id.boot);
            for call in &lost {
                let message = Message::CallEnded(*call, CallOutcome::Reset);
                self.deliveries.push(Delivery { due: self.now + 2, to, boot, message });
            }
            self.deliveries.push(Delivery {
                due: self.now + 2,
                to,
                boot,
                message: Message::ConnectionLost,
            });
        }
    }

    /// Kills an entry and restarts it after `pause` milliseconds.
    pub fn kill(&mut self, index: usize, pause: u64) {
        let boot = self.rng.random();
        let offset = self.rng.random_range(0..1_000_000);
        self.entries[index] = start(index, boot, offset, self.now + pause);
        self.entries[index].dead_until = self.now + pause;
    }

    fn one_in(&mut self, steps: u32) -> bool {
        steps > 0 && self.rng.random_range(0..steps) == 0
    }

    fn inject_faults(&mut self) {
        let faults = self.faults;
        for index in 0..ENTRIES {
            if self.one_in(faults.kill) {
                let pause = self.rng.random_range(100..2_000);
                self.kill(index, pause);
            }
            if self.one_in(faults.freeze) {
                self.entries[index].frozen_until = self.now + self.rng.random_range(50..4_000);
            }
            if self.one_in(faults.partition) {
                self.entries[index].partitioned_until =
                    self.now + self.rng.random_range(200..5_000);
            }
        }
        if self.one_in(faults.restart) {
            self.restart_target();
        }
    }

    fn clock(&self, index: usize) -> Instant {
        Instant::from_millis(self.entries[index].offset + self.now)
    }

    fn send(&mut self, from: usize, to: usize, make: impl Fn() -> Message) {
        let partitioned = |e: &Entry, now| now < e.partitioned_until;
        if from != to
            && (partitioned(&self.entries[from], self.now)
                || partitioned(&self.entries[to], self.now))
        {
            return;
        }
        let links = self.faults.links;
        let draw = self.rng.random_range(0..100);
        let copies = match draw {
            d if d < links.lost => 0,
            d if d < links.lost + links.duplicated => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delayed = self.rng.random_range(0..100) < links.delayed;
            let delay = if delayed {
                self.rng.random_range(100..3_000)
            } else {
                self.rng.random_range(1..6)
            };
            self.deliveries.push(Delivery {
                due: self.now + delay,
                to,
                boot: None,
                message: make(),
            });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = self.deliveries.drain(..).partition(|d| d.due <= now);
        self.deliveries = later;
        let due: Vec<Delivery> = due;
        for mut delivery in due {
            let entry = &self.entries[delivery.to];
            if now < entry.frozen_until {
                delivery.due = entry.frozen_until;
                self.deliveries.push(delivery);
                continue;
            }
            self.finish_at_target(&delivery);
            let entry = &self.entries[delivery.to];
            if now >= entry.dead_until && delivery.boot.is_none_or(|b| b == entry.id.boot) {
                self.receive(delivery.to, delivery.message);
            }
        }
        // Calls of killed or frozen entries end at the target regardless.
        let ended: Vec<u64> =
            self.running.iter().filter(|(_, end)| **end <= now).map(|(c, _)| *c).collect();
        for call in ended {
            self.running.swap_remove(&call);
            self.answers += 1;
        }
    }

    fn finish_at_target(&mut self, delivery: &Delivery) {
        if let Message::CallEnded(call, CallOutcome::Answered { .. }) = &delivery.message
            && self.running.swap_remove(call).is_some()
        {
            self.answers += 1;
        }
    }

    fn receive(&mut self, to: usize, message: Message) {
        let now = self.clock(to);
        let entry = &mut self.entries[to];
        match message {
            Message::Vote(from, message) => {
                entry.holder.handle(now, &message);
                if let Some(reply) = entry.voter.handle(now, &message) {
                    self.send(to, from, || Message::Vote(to, reply.clone()));
                }
            }
            Message::Grant(from, message) => {
                entry.router.handle_message(now, &message);
                let out = entry.issuer.handle(now, &entry.holder, &from, &message);
                self.send_grants(to, out.into_iter().map(|o| (o.to, o.message)).collect());
            }
            Message::ConnectionLost => {
                entry.connected = None;
                entry.router.connection_lost(now, &TARGET.into());
            }
            Message::CallEnded(call, outcome) => {
                if let Some(permit) = entry.permits.swap_remove(&call) {
                    entry.router.finish_call(now, permit, outcome);
                }
            }
        }
    }

    fn send_grants(&mut self, from: usize, messages: Vec<(MemberId, GrantMessage)>) {
        let own = self.entries[from].id.clone();
        for (member, message) in messages {
            if let Some(to) = self.entries.iter().position(|e| e.id == member) {
                self.send(from, to, || Message::Grant(own.clone(), message.clone()));
            }
        }
    }

    fn step_entry(&mut self, index: usize) {
        let entry = &self.entries[index];
        if self.now < entry.dead_until || self.now < entry.frozen_until {
            return;
        }
        let now = self.clock(index);
        if index < VOTERS {
            let entry = &mut self.entries[index];
            let ask = entry.holder.tick(now);
            let mut out = entry.issuer.tick(now, &entry.holder);
            let announce = ask.as_ref().and_then(|_| entry.issuer.announce(now, &entry.holder));
            if let Some(message) = announce {
                let all = self.entries.iter().map(|e| e.id.clone());
                out.extend(all.map(|to| hawthornkeel_core::lease::IssuerOutput {
                    to,
                    message: message.clone(),
                }));
            }
            self.send_grants(index, out.into_iter().map(|o| (o.to, o.message)).collect());
            if let Some(ask) = ask {
                (0..VOTERS)
                    .for_each(|to| self.send(index, to, || Message::Vote(index, ask.clone())));
            }
        }
        while self.send_call(index) {}
        let out = self.entries[index].router.take_messages(now);
        self.send_grants(index, out.into_iter().map(|o| (o.issuer, o.message)).collect());
    }

    /// Sends one call if the router allows it. Returns whether it was sent.
    fn send_call(&mut self, index: usize) -> bool {
        self.call_counter += 1;
        let (number, now) = (self.call_counter, self.clock(index));
        let request = StageRequest {
            call: CallId { request: RequestId(u128::from(number)), ..CallId::default() },
            workspace: "w".into(),
            pool: "p".into(),
            deadline: now + Duration::from_secs(8),
            ..StageRequest::default()
        };
        let router = &mut self.entries[index].router;
        let Decision::Send { permit, .. } = router.choose(now, &request) else {
            router.cancel(now, request.call);
            return false;
        };
        self.entries[index].permits.insert(number, permit);
        self.start_call(index, number);
        true
    }

    /// Starts a call at the target, or resets it if the connection is to an earlier incarnation.
    fn start_call(&mut self, index: usize, number: u64) {
        let entry = &mut self.entries[index];
        let boot = Some(entry.id.boot);
        let connected = *entry.connected.get_or_insert(self.incarnation);
        if connected != self.incarnation {
            let message = Message::CallEnded(number, CallOutcome::Reset);
            self.deliveries.push(Delivery { due: self.now + 2, to: index, boot, message });
            return;
        }
        let cold = self.is_cold();
        let duration = self.rng.random_range(self.call_millis.clone());
        let cancelled = self.one_in(self.faults.cancel);
        self.total_calls += 1;
        self.running.insert(number, self.now + duration);
        if cold {
            let running = self.running.len() as u32;
            self.max_cold = self.max_cold.max(running);
            assert!(
                running <= COLD_LIMIT,
                "{running} calls at the cold target at {} ms, the last one by {}",
                self.now,
                self.entries[index].id
            );
        }
        if cancelled {
            let message = Message::CallEnded(number, CallOutcome::Cancelled);
            self.deliveries.push(Delivery {
                due: self.now + duration / 4,
                to: index,
                boot,
                message,
            });
        }
        let latency = Duration::from_millis(duration);
        let incarnation = self.faults.named.then_some(Incarnation(self.incarnation));
        let outcome = CallOutcome::Answered { latency, tokens: 0, incarnation };
        let message = Message::CallEnded(number, outcome);
        self.deliveries.push(Delivery { due: self.now + duration, to: index, boot, message });
    }
}
