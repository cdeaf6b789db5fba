//! Stories of requests, one for each way to end.

use std::sync::Arc;

use hawthornkeel::explain::event::Event;
use hawthornkeel::explain::search::Search;
use hawthornkeel::explain::story;
use rstest::rstest;

/// Tells the story of request `r-1` from lines with a second, a process and fields each.
fn tell(lines: &[(f64, &str, &str)]) -> String {
    let file = Arc::from("file");
    let text = lines.iter().map(|(second, process, fields)| {
        format!(
            "{process} ts=2026-01-11T05:45:{second:06.3}Z level=info target=x::y event={fields}"
        )
    });
    let text: Vec<String> = text.collect();
    let mut search = Search::new("r-1");
    text.iter().for_each(|line| search.take(Some(line.as_bytes()), &file));
    text.iter().for_each(|line| search.take_again(Some(line.as_bytes()), &file));
    assert_eq!(search.counts().bad(), 0, "{text:?}");
    let (events, near): (Vec<Event>, Vec<Event>) = search.finish();
    story::tell("r-1", &events, &near)
}

#[track_caller]
fn assert_parts(story: &str, parts: &[&str]) {
    let mut rest = story;
    for part in parts {
        let at = rest.find(part).unwrap_or_else(|| panic!("no {part:?} in order in\n{story}"));
        rest = &rest[at + part.len()..];
    }
}

/// Returns the fields of a `request-ended` line.
fn ended(outcome: &str, status: u16, ms: u32, more: &str) -> String {
    format!(
        "request-ended request=r-1 route=lots pool=ledger outcome={outcome} status={status} \
         time_ms=5000 ms={ms} {more}"
    )
}

#[test]
fn refused_under_load() {
    let state = |desk: &str, waiting: u32| {
        format!(
            "desk-state desk={desk} waiting={waiting} late=1 booked=7 makers=3 counted=2 free=0"
        )
    };
    let story = tell(&[
        (9.2, "entry-2", &state("portal/0", 40)),
        (10.0, "entry-1", &ended("overloaded", 503, 9, "tries=0")),
        (10.1, "entry-2", &state("portal/0", 44)),
        (10.2, "entry-3", &state("other/0", 1)),
        (14.0, "entry-2", &state("late/0", 99)),
        (9.9, "entry-2", "pieces-failed desk=portal/0 maker=i-9 count=1 ms=2 failure=silent"),
    ]);
    assert_parts(
        &story,
        &[
            "+0 ms  entry-1  came in on route lots to pool ledger, with 5000 ms",
            "+9 ms  entry-1  ended: overloaded (status 503)",
            "End: refused under load (overloaded, status 503), after 9 ms of the 5000 ms",
            "May have run: no\n",
            "of scheduler portal/0 fewer targets count than are listed",
            "scheduler portal/0 at entry-2, +100 ms: waiting 44, late 1, reserved 7, targets that \
             count 2 of 3, free 0",
            "scheduler other/0 at entry-3",
            "failed within 5 s, by target: i-9 1",
            "Look next: the schedulers",
        ],
    );
    assert!(!story.contains("late/0") && !story.contains("waiting 40"), "{story}");
}

/// Guards against a story in which a request seems to be sent to two targets for no reason.
#[test]
fn hedged() {
    let story = tell(&[
        (10.2, "entry-1", "hedge-sent request=r-1 target=i-2 delay_ms=180"),
        (10.3, "entry-1", "hedge-ended request=r-1 target=i-2 hedge=true other=i-1 cancelled=true"),
        (10.3, "entry-1", &ended("answered", 200, 300, "tries=2 target=i-2")),
    ]);
    assert_parts(
        &story,
        &[
            "+200 ms  entry-1  slow for 180 ms, so it was sent to target i-2 as well (hedge)",
            "the hedge at target i-2 was whole first; that at target i-1 was cancelled",
            "End: answered",
        ],
    );
}

#[test]
fn answer_lost() {
    let story = tell(&[
        (10.0, "entry-1", "target-tried request=r-1 target=i-1 outcome=lost"),
        (10.1, "entry-1", "target-tried request=r-1 target=i-2 outcome=unreached"),
        (10.1, "entry-1", "repeat-refused pool=ledger entries=2"),
        (10.1, "entry-1", &ended("outcome-unknown", 502, 800, "tries=2 target=i-2")),
        (11.0, "entry-2", "target-tried request=r-2 target=i-1 outcome=lost"),
        (11.0, "entry-2", "stream-broken request=r-3 target=i-1 last=4 failure=silent"),
        (18.0, "entry-2", "target-tried request=r-4 target=i-1 outcome=lost"),
    ]);
    assert_parts(
        &story,
        &[
            "+700 ms  entry-1  sent to target i-1, which gave no answer and may have run it",
            "+800 ms  entry-1  target i-2 could not be reached",
            "End: no answer, and whether it ran is not known",
            "May have run: yes; whether it did is not known",
            "Likely cause: target i-1 went, or its connection was lost",
            "; the retry budget of its pool was used up",
            "other requests that lost target i-1 within 5 s: 2 (r-2, r-3)\n",
            "other requests that lost target i-2 within 5 s: none",
            "Look next: the log of target i-1",
        ],
    );
}

#[test]
fn silent_until_deadline() {
    let story = tell(&[
        (9.0, "entry-1", "retry-waits request=r-1 target=i-1"),
        (10.0, "entry-1", "target-tried request=r-1 target=i-1 outcome=lost"),
        (10.0, "entry-1", &ended("outcome-unknown", 502, 5000, "tries=1 target=i-1")),
    ]);
    assert_parts(
        &story,
        &["+4000 ms", "is silent and no retry is granted yet", "until the deadline"],
    );
}

#[test]
fn answer_broken() {
    let story = tell(&[
        (9.0, "entry-1", "answer-broken request=r-1 target=i-1 failure=\"interrupted: x\""),
        (9.0, "entry-1", &ended("answer-lost", 502, 10, "tries=1 target=i-1")),
    ]);
    assert_parts(
        &story,
        &["answer of target i-1 broke off (interrupted: x)", "its answer was lost"],
    );
}

#[test]
fn stream_resumed() {
    let story = tell(&[
        (10.0, "entry-1", "stream-broken request=r-1 target=i-1 last=8 failure=silent"),
        (10.1, "entry-1", "resume-failed request=r-1 target=i-2 status=409"),
        (10.2, "entry-1", "stream-resumed request=r-1 target=i-3 last=8"),
        (12.0, "entry-1", &ended("answered", 200, 3000, "tries=3 target=i-3")),
    ]);
    assert_parts(
        &story,
        &[
            "the stream from target i-1 broke off after event 8 (silent)",
            "target i-2 did not resume the stream (status 409)",
            "target i-3 goes on with the stream after event 8",
            "End: answered (answered, status 200), after 3000 ms",
            "May have run: yes, it ran",
            "Likely cause: none",
        ],
    );
}

#[test]
fn stream_cut() {
    let story = tell(&[
        (1.0, "core-1", "centre-order centre=north state=TakenOut operation=7"),
        (9.0, "entry-1", "centres-cut-off centres=south"),
        (10.0, "entry-1", "stream-broken request=r-1 target=i-1 last=8 failure=silent"),
        (10.1, "entry-1", "resume-failed request=r-1 target=i-2 failure=\"not sent: refused\""),
        (10.1, "entry-1", &ended("stream-cut", 200, 2000, "tries=2 target=i-2")),
    ]);
    assert_parts(
        &story,
        &[
            "End: its stream broke off and was not resumed",
            "May have run: yes, at least in part",
            "target i-1 broke the stream off (silent) and it was not resumed: the other targets did not",
            "entry-1 took south to be cut off since 1100 ms before",
            "core-1, -9100 ms: event=centre-order centre=north state=TakenOut",
        ],
    );
}

#[test]
fn stream_late() {
    let more = "tries=1 target=i-1 planned_ms=1278 pace=late first_ms=353";
    let story = tell(&[(10.0, "entry-1", &ended("stream-late", 200, 5000, more))]);
    assert_parts(
        &story,
        &["was cut at its deadline", "behind all else", "353 ms, planned were 1278"],
    );
}

#[test]
fn resumed_stream_late() {
    let story = tell(&[
        (9.0, "entry-1", "stream-broken request=r-1 target=i-1 last=8 failure=silent"),
        (9.1, "entry-1", "stream-resumed request=r-1 target=i-2 last=8"),
        (10.0, "entry-1", &ended("stream-late", 200, 5000, "tries=1 target=i-1 first_ms=353")),
    ]);
    assert_parts(
        &story,
        &["the resumed stream could not catch up", "Look next: the log of target i-2"],
    );
}

#[test]
fn denied() {
    let story =
        tell(&[(10.0, "entry-1", "request-denied request=r-1 denied=NoKey version=4 age_ms=451")]);
    assert_parts(
        &story,
        &[
            "+0 ms  entry-1  denied: its key is not allowed there by document version 4",
            "End: denied\nMay have run: no\n",
        ],
    );
}

#[test]
fn stopped() {
    let given_up = "stop-refused request=r-1 route=lots ran=not-run waited_ms=5 deadline_ms=995";
    let dropped = "request-dropped request=r-1 tries=0 runs=0 answering=false";
    let story = tell(&[
        (9.0, "entry-1", "stop-begun open=3 grace_ms=8000"),
        (9.5, "entry-2", "stop-begun open=1 grace_ms=8000"),
        (10.0, "entry-1", given_up),
        (10.0, "entry-1", dropped),
        (12.0, "entry-1", "entry-stopped cut=0"),
    ]);
    assert_parts(
        &story,
        &[
            "End: given up by a planned stop, after 5 ms of the 1000 ms",
            "May have run: it did not run and will not",
            "entry-1, -1000 ms: event=stop-begun open=3 grace_ms=8000",
            "entry-1, +2000 ms: event=entry-stopped cut=0",
        ],
    );
    assert_eq!(story.matches("End:").count(), 1, "{story}");
    assert!(!story.contains("open=1"), "{story}");
}

#[rstest]
#[case::waiting(1, "May have run: no, but some of its stages may have")]
#[case::running(2, "May have run: it may, if the last target tried was still at it")]
fn dropped(#[case] tries: u32, #[case] expected: &str) {
    let dropped = format!("request-dropped request=r-1 tries={tries} runs=0 answering=false");
    let story = tell(&[
        (9.0, "entry-1", "target-tried request=r-1 target=i-1 outcome=not-run"),
        (10.0, "entry-1", &dropped),
    ]);
    assert_parts(&story, &["+1000 ms  entry-1  dropped", "End: dropped", expected]);
}

#[test]
fn no_target() {
    let story = tell(&[
        (9.0, "entry-2", "target-leaving target=i-1 address=10.0.0.1:1 answer=request status=503"),
        (9.5, "entry-1", "target-paused target=i-2 address=10.0.0.2:1 pause_ms=5000"),
        (10.0, "entry-1", &ended("no-target", 503, 1, "tries=0")),
    ]);
    assert_parts(&story, &["May have run: no", "no target was left to try", "target=i-2"]);
    assert!(!story.contains("i-1"), "notices of another process:\n{story}");
}

#[test]
fn ended_within_millisecond() {
    let story = tell(&[
        (10.0, "entry-1", "stream-broken request=r-1 target=i-1 last=8 failure=silent"),
        (10.0, "entry-1", &ended("stream-cut", 200, 0, "tries=1 target=i-1")),
    ]);
    let steps = ["+0 ms  entry-1  came in", "+0 ms  entry-1  the stream", "+0 ms  entry-1  ended"];
    assert_parts(&story, &steps);
}

#[test]
fn several_ends() {
    let story = tell(&[
        (10.0, "entry-1", "target-tried request=r-1 target=i-1 outcome=lost"),
        (10.0, "entry-1", &ended("outcome-unknown", 502, 100, "tries=1 target=i-1")),
        (11.0, "entry-2", &ended("answered", 200, 50, "tries=1 target=i-2")),
    ]);
    assert_parts(
        &story,
        &[
            "+0 ms  entry-1  came in",
            "+1050 ms  entry-2  came in",
            "It ended 2 times",
            "End: no answer",
            "End: answered (",
        ],
    );
}

#[test]
fn pipeline_calls() {
    let story = tell(&[
        (10.0, "entry-1", "route call=r-1/0/0 pool=p target=i-1 reason=least candidates=2"),
        (10.5, "entry-1", "call call=r-1/0/0 stage=sign outcome=silent millis=500"),
        (10.5, "entry-1", "refused request=r-1 code=outcome-unknown ran=unknown"),
    ]);
    assert_parts(
        &story,
        &[
            "call 0/0 sent to target i-1 of pool p (least, 2 candidates)",
            "call 0/0 of stage sign ended: silent after 500 ms",
            "refused as outcome-unknown; it may have run",
            "May have run: it may have run",
            "Likely cause: target i-1 ",
        ],
    );
}

#[test]
fn no_end() {
    let story = tell(&[(10.0, "entry-1", "retry-waits request=r-1 target=i-1")]);
    assert_parts(&story, &["End: no line tells it", "it still runs, its process was killed"]);
}

#[test]
fn unknown_event() {
    let story = tell(&[
        (10.0, "entry-1", "brand-new request=r-1 why=\"a b\" n=1"),
        (10.1, "entry-1", "log-lines-dropped reason=queue count=12"),
    ]);
    assert_parts(
        &story,
        &[
            "entry-1  event=brand-new request=r-1 why=\"a b\" n=1",
            "12 lines of entry-1 were dropped",
        ],
    );
}

#[test]
fn control_characters_escaped() {
    let story = tell(&[(10.0, "entry-1", "stream-broken request=r-1 failure=\"\\u{1b}[2J\\n\"")]);
    assert!(story.contains("\\u{1b}[2J\\n"), "{story}");
    assert!(!story.contains('\u{1b}'), "{story}");
}
