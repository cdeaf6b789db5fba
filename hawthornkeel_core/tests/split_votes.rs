//! Members that request the lease at the same time split the votes. One of them still acquires it
//! within a few lease durations, because the votes of a lost round are released.

use std::time::Duration;

use hawthornkeel_core::lease::Holder;
use hawthornkeel_core::lease::LeaseSettings;
use hawthornkeel_core::lease::MemberId;
use hawthornkeel_core::lease::VoteMessage;
use hawthornkeel_core::lease::Voter;
use hawthornkeel_core::names::InstanceName;
use hawthornkeel_core::time::Instant;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Maximum delay of a message to another member, in milliseconds.
const DELAY_MILLIS: u64 = 5;
/// Time within which all members start, in milliseconds.
const START_MILLIS: u64 = 1_500;
/// Number of lease durations within which a lease must be held.
const LEASE_DURATIONS: u32 = 5;

/// Message in flight.
struct InFlightMessage {
    due: u64,
    to: usize,
    message: VoteMessage,
}

/// Starts the first `live` of `count` members, and returns the time until one holds the lease.
fn time_to_lease(seed: u64, count: usize, live: usize) -> Option<Duration> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let settings = LeaseSettings::default();
    let names: Vec<InstanceName> = (0..count).map(|i| format!("m{i}").as_str().into()).collect();
    let running = names.iter().take(live);
    let starts: Vec<u64> = running.clone().map(|_| rng.random_range(0..START_MILLIS)).collect();
    let started = || running.clone().zip(&starts);
    let mut voters: Vec<_> =
        started().map(|(n, start)| Voter::new(at(*start), n.clone(), settings.clone())).collect();
    let holder = |(name, start): (&InstanceName, &u64)| {
        let id = MemberId { name: name.clone(), boot: rng.random() };
        Holder::new(at(*start), id, names.clone(), settings.clone())
    };
    let mut holders: Vec<_> = started().map(holder).collect();
    let mut in_flight: Vec<InFlightMessage> = Vec::new();
    let end = u64::try_from((settings.lease_duration * LEASE_DURATIONS).as_millis()).unwrap();
    for now in 0..end {
        for (from, holder) in holders.iter_mut().enumerate().filter(|(i, _)| starts[*i] <= now) {
            if let Some(message) = holder.tick(at(now)) {
                let sent = (0..live).map(|to| in_flight_message(&mut rng, now, from, to, &message));
                in_flight.extend(sent);
            }
        }
        while let Some(next) = in_flight.iter().position(|f| f.due <= now) {
            let InFlightMessage { to, message, .. } = in_flight.remove(next);
            holders[to].handle(at(now), &message);
            if let Some(reply) = voters[to].handle(at(now), &message) {
                let VoteMessage::Reply { holder, .. } = &reply else { panic!("{reply:?}") };
                let back = names.iter().position(|n| *n == holder.name).unwrap();
                in_flight.push(in_flight_message(&mut rng, now, to, back, &reply));
            }
        }
        if holders.iter().any(|h| h.holds(at(now))) {
            return Some(Duration::from_millis(now));
        }
    }
    None
}

/// Returns a message with a random delay, or without one if it is to the sender itself.
fn in_flight_message(
    rng: &mut ChaCha8Rng,
    now: u64,
    from: usize,
    to: usize,
    message: &VoteMessage,
) -> InFlightMessage {
    let delay = if from == to { 0 } else { rng.random_range(1..=DELAY_MILLIS) };
    InFlightMessage { due: now + delay, to, message: message.clone() }
}

fn at(millis: u64) -> Instant {
    Instant::from_micros(millis * 1_000)
}

#[rstest]
#[case(2, 2)]
#[case(3, 3)]
#[case(3, 2)]
#[case(4, 4)]
#[case(5, 5)]
#[case(5, 3)]
fn split_votes_are_released(#[case] count: usize, #[case] live: usize) {
    let late: Vec<u64> =
        (0..500).filter(|seed| time_to_lease(*seed, count, live).is_none()).collect();
    assert!(late.is_empty(), "{} of 500 seeds acquired no lease: {late:?}", late.len());
}
