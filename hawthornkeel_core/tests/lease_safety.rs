//! At most one member holds a lease at any time, under message, member and clock faults.

use std::time::Duration;

use hawthornkeel_core::lease::Holder;
use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::lease::MemberId;
use hawthornkeel_core::lease::VoteMessage;
use hawthornkeel_core::lease::Voter;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::time::Instant;
use indexmap::IndexMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const STEP_MILLIS: u64 = 5;
const END_MILLIS: u64 = 120_000;

fn settings() -> LeaseSettings {
    LeaseSettings {
        lease_duration: Duration::from_secs(2),
        renew_interval: Duration::from_millis(500),
        grant_duration: Duration::from_secs(3),
        ..LeaseSettings::default()
    }
}

/// Member with its voter and its own clock.
struct Member {
    voter: Voter,
    holder: Holder,
    boot: u64,
    offset: f64,
    rate: f64,
    paused_until: u64,
}

impl Member {
    fn new(
        index: usize,
        boot: u64,
        millis: u64,
        offset: f64,
        rate: f64,
        names: &[InstanceName],
    ) -> Self {
        let now = clock(millis, offset, rate);
        let id = MemberId { name: names[index].clone(), boot };
        Self {
            voter: Voter::new(now, names[index].clone(), settings()),
            holder: Holder::new(now, id, names.to_vec(), settings()),
            boot,
            offset,
            rate,
            paused_until: 0,
        }
    }

    fn now(&self, millis: u64) -> Instant {
        clock(millis, self.offset, self.rate)
    }
}

/// Returns the time of a clock that runs at `rate` and is `offset` milliseconds ahead at the start.
fn clock(millis: u64, offset: f64, rate: f64) -> Instant {
    Instant::from_micros(((offset + millis as f64 * rate) * 1000.0) as u64)
}

/// Message in flight.
struct InFlightMessage {
    due: u64,
    to: usize,
    message: VoteMessage,
}

/// Sends a message that may be lost, duplicated or delayed.
fn send(
    rng: &mut ChaCha8Rng,
    in_flight: &mut Vec<InFlightMessage>,
    now: u64,
    to: usize,
    message: &VoteMessage,
) {
    let copies = match rng.random_range(0..100) {
        0..10 => 0,
        10..20 => 2,
        _ => 1,
    };
    for _ in 0..copies {
        let late = rng.random_range(0..100) < 5;
        let delay = if late { rng.random_range(100..6_000) } else { rng.random_range(1..20) };
        in_flight.push(InFlightMessage { due: now + delay, to, message: message.clone() });
    }
}

/// Simulates members that restart and pause, and returns how often a lease was acquired or renewed.
fn simulate(seed: u64, count: usize) -> u64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let names: Vec<InstanceName> = (0..count).map(|i| format!("m{i}").as_str().into()).collect();
    let mut members: Vec<Member> = Vec::new();
    for index in 0..count {
        let (offset, rate) = (rng.random_range(0.0..1e6), rng.random_range(0.995..1.005));
        members.push(Member::new(index, rng.random(), 0, offset, rate, &names));
    }
    let mut in_flight: Vec<InFlightMessage> = Vec::new();
    let mut renewals = 0;
    // Last time at which each run of a member could issue grants.
    let mut issued = IndexMap::new();
    for now in (0..END_MILLIS).step_by(STEP_MILLIS as usize) {
        inject_faults(&mut rng, &mut members, now, &names);
        let (due, later) = in_flight.drain(..).partition(|f: &InFlightMessage| f.due <= now);
        in_flight = later;
        let due: Vec<InFlightMessage> = due;
        for flight in due {
            let member = &mut members[flight.to];
            if now < member.paused_until {
                in_flight.push(InFlightMessage { due: member.paused_until, ..flight });
                continue;
            }
            let at = member.now(now);
            if member.holder.handle(at, &flight.message) {
                renewals += 1;
            }
            if let Some(reply) = member.voter.handle(at, &flight.message) {
                let VoteMessage::Reply { holder, .. } = &reply else { panic!("{reply:?}") };
                let to = names.iter().position(|n| *n == holder.name).unwrap();
                send(&mut rng, &mut in_flight, now, to, &reply);
            }
        }
        for member in members.iter_mut().filter(|m| now >= m.paused_until) {
            let at = member.now(now);
            if let Some(ask) = member.holder.tick(at) {
                (0..count).for_each(|to| send(&mut rng, &mut in_flight, now, to, &ask));
            }
        }
        check_invariants(&members, &mut issued, now);
    }
    renewals
}

/// Restarts or pauses members at random.
fn inject_faults(rng: &mut ChaCha8Rng, members: &mut [Member], now: u64, names: &[InstanceName]) {
    for (index, member) in members.iter_mut().enumerate() {
        let draw = rng.random_range(0..4_000);
        if draw == 0 {
            let (offset, rate) = (member.offset, member.rate);
            *member = Member::new(index, rng.random(), now, offset, rate, names);
        } else if draw < 3 {
            member.paused_until = now + rng.random_range(500..8_000);
        }
    }
}

/// Checks that at most one member holds the lease, and that it issues no grant while grants of an
/// earlier run can be in use.
fn check_invariants(members: &[Member], issued: &mut IndexMap<u64, u64>, now: u64) {
    let holds = |m: &&Member| m.holder.holds(m.now(now));
    let holders = members.iter().filter(holds).count();
    assert!(holders <= 1, "{holders} members hold the lease at {now} ms");
    let Some(index) = members.iter().position(|m| m.holder.may_issue(m.now(now))) else {
        return;
    };
    let boot = members[index].boot;
    for (_, last) in issued.iter().filter(|(other, _)| **other != boot) {
        let elapsed = now - last;
        assert!(elapsed >= 3_000, "issues {elapsed} ms after another run at {now} ms");
    }
    issued.insert(boot, now);
}

#[rstest]
fn one_holder_at_a_time(#[values(1, 2, 3, 5)] members: usize) {
    let mut renewals = 0;
    for seed in 0..12 {
        renewals += simulate(seed, members);
    }
    assert!(renewals > 100, "{renewals} rounds won");
}

#[test]
fn single_voter_acquires_lease() {
    let names: Vec<InstanceName> = vec!["m0".into()];
    let mut member = Member::new(0, 1, 0, 0.0, 1.0, &names);
    let mut first_issue = None;
    for now in (0..10_000).step_by(10) {
        let at = member.now(now);
        if let Some(ask) = member.holder.tick(at) {
            // The release of a round has no reply.
            if let Some(reply) = member.voter.handle(at, &ask) {
                member.holder.handle(at, &reply);
            }
        }
        if member.holder.may_issue(at) && first_issue.is_none() {
            first_issue = Some(now);
        }
    }
    let first = first_issue.expect("a single voter acquires its lease");
    assert!((5_000..6_500).contains(&first), "{first} ms: lease duration plus grant duration");
}

#[test]
fn lease_expires_without_quorum() {
    let names: Vec<InstanceName> = vec!["m0".into(), "m1".into(), "m2".into()];
    let mut member = Member::new(0, 1, 0, 0.0, 1.0, &names);
    let Some(VoteMessage::Ask { holder, round }) = member.holder.tick(member.now(100)) else {
        panic!("no round");
    };
    let reply = |voter: &str| VoteMessage::Reply {
        holder: holder.clone(),
        voter: voter.into(),
        round,
        given: true,
    };
    member.holder.handle(Instant::from_millis(200), &reply("m1"));
    assert!(!member.holder.holds(Instant::from_millis(200)), "one of three");
    member.holder.handle(Instant::from_millis(200), &reply("m1"));
    assert!(!member.holder.holds(Instant::from_millis(200)), "a duplicate vote counts once");
    member.holder.handle(Instant::from_millis(900), &reply("m2"));
    assert!(member.holder.holds(Instant::from_millis(2_099)));
    assert!(!member.holder.holds(Instant::from_millis(2_100)), "measured from the sending");
}

#[test]
fn lease_tolerates_clock_drift() {
    let names: Vec<InstanceName> = vec!["slow".into(), "fast".into()];
    let mut slow = Member::new(0, 1, 0, 0.0, 0.995, &names[..1]);
    let mut fast = Member::new(1, 2, 0, 0.0, 1.005, &names);
    let ask = slow.holder.tick(slow.now(3_000)).unwrap();
    let reply = fast.voter.handle(fast.now(3_000), &ask).unwrap();
    let VoteMessage::Reply { holder, round, given, .. } = reply else { panic!("{reply:?}") };
    let own = VoteMessage::Reply { holder, voter: names[0].clone(), round, given };
    assert!(slow.holder.handle(slow.now(3_000), &own));
    let rival = MemberId { name: names[1].clone(), boot: 2 };
    for now in 3_000..6_000 {
        let ask = VoteMessage::Ask { holder: rival.clone(), round: 1 };
        let reply = fast.voter.handle(fast.now(now), &ask);
        if matches!(reply, Some(VoteMessage::Reply { given: true, .. })) {
            assert!(!slow.holder.holds(slow.now(now)), "voted for another at {now} ms");
            return;
        }
    }
    panic!("the vote never expired");
}

#[test]
fn replies_to_released_round_are_ignored() {
    let names: Vec<InstanceName> = vec!["m0".into(), "m1".into(), "m2".into()];
    let mut member = Member::new(0, 1, 0, 0.0, 1.0, &names);
    let Some(VoteMessage::Ask { holder, round }) = member.holder.tick(member.now(100)) else {
        panic!("no round");
    };
    let reply = |voter: &str, given| VoteMessage::Reply {
        holder: holder.clone(),
        voter: voter.into(),
        round,
        given,
    };
    member.holder.handle(member.now(110), &reply("m1", false));
    let released = member.holder.tick(member.now(700));
    assert_eq!(released, Some(VoteMessage::Resign { holder: holder.clone(), round }));
    for voter in ["m0", "m2"] {
        member.holder.handle(member.now(710), &reply(voter, true));
    }
    assert!(!member.holder.holds(member.now(710)));
}
