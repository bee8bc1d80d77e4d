//! Memory that is never passed, what stays in it, and sums that are exact.

mod common;

use common::*;
use proptest::prelude::*;
use pumicehead_flight_recorder::breakdown::Breakdown;
use pumicehead_flight_recorder::event::{Event, PoolId, RequestOutcome};
use pumicehead_flight_recorder::event_ring::{EventRing, PAGE_BYTES, decode_records};
use pumicehead_flight_recorder::loss_ledger::{Key, LossKey, LossTotals, Row, SlotTable};
use pumicehead_flight_recorder::recorder::{Level, MIN_MEMORY};
use pumicehead_flight_recorder::recording::Recording;
use pumicehead_flight_recorder::reservoir::{DECAY_TIME_CONSTANT, Reservoir};
use pumicehead_policy::decision_event::{DecisionEvent, ExclusionReasons, RejectionReason};
use pumicehead_policy::*;

fn calm(ring: &mut EventRing, at: Nanos) {
    let mut bytes = Vec::new();
    Event::Decision(DecisionEvent::OverloadEnded).encode(&mut bytes);
    ring.push(at, PoolId(0), &bytes);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// The ring is never over its memory, and what it holds is the newest run of events, whole.
    #[test]
    fn ring_keeps_the_newest_events(memory in 0usize..100_000, steps in proptest::collection::vec(0u64..3_000_000, 0..5_000)) {
        let mut ring = EventRing::new(memory);
        let (mut at, mut all) = (START, Vec::new());
        for step in steps {
            at += step * 1_000;
            all.push(at);
            calm(&mut ring, at);
            prop_assert!(ring.memory_used() <= memory.max(2 * PAGE_BYTES));
        }
        let held: Vec<_> = ring.pages().flat_map(|page| decode_records(page).0).map(|record| record.at).collect();
        prop_assert_eq!(held.len() as u64 + ring.overwritten_events(), all.len() as u64);
        prop_assert_eq!(&all[all.len() - held.len()..], &held[..]);
    }

    /// Sums stay exact however the table has to give way.
    #[test]
    fn merging_slots_keeps_the_sum(most in 2usize..40, rows in proptest::collection::vec((0u64..10_000, 0u16..20, 0u64..1_000_000), 1..400)) {
        let mut table: SlotTable<LossKey, LossTotals> = SlotTable::new(START, most);
        let mut sum = LossTotals::default();
        for (second, class, lost) in rows {
            let key = LossKey { class, ..LossKey::OTHER };
            let loss = LossTotals { requests: 1, lost };
            table.row_mut(START + second * SECOND, key).add(&loss);
            sum.add(&loss);
            prop_assert!(table.len() <= most + 1);
        }
        let mut held = LossTotals::default();
        table.rows_between(0, Nanos::MAX).for_each(|(_, _, loss)| held.add(loss));
        prop_assert_eq!(held, sum);
    }

    /// On any day the views of a breakdown, and the spans that it is cut into, add up to the worth lost.
    #[test]
    fn views_of_a_breakdown_add_up_to_the_loss(
        memory in MIN_MEMORY..2 * MIN_MEMORY,
        steps in proptest::collection::vec((0u16..3, 0u32..9, 0usize..8, 0u64..700, 0u64..4_000), 1..300),
        cut in 0u64..1_000,
    ) {
        let mut day = Day::new(memory);
        for (class, server, kind, took, pause) in steps {
            match kind {
                0..=3 => day.request(class, server, AttemptOutcome::Success, took * MS),
                4 => day.request(class, server, AttemptOutcome::Reset, took * MS),
                5 => day.request(class, server, AttemptOutcome::TimedOut, took * MS),
                6 => day.rejected_request(class, RejectionReason::ExpectedWaitTooLong),
                _ => day.rejected_request(class, RejectionReason::QueueTimeout),
            }
            day.now += pause * MS;
            prop_assert!(day.recorder.memory_used() <= day.recorder.memory_limit());
        }
        let dump = Recording::read(&day.recorder.recording(day.now, "test")).unwrap();
        let whole = Breakdown::of_recording(&dump, 0, Nanos::MAX).unwrap();
        for (name, parts) in &whole.views {
            let sum: u64 = parts.iter().map(|part| part.lost).sum();
            prop_assert_eq!(sum, whole.lost(), "by {}", name);
        }
        let accounts = dump.ledger.as_ref().unwrap();
        let (_, middle) = accounts.align_to_slots(START, START + cut * SECOND);
        let halves = [(0, middle), (middle, Nanos::MAX)].map(|(a, b)| Breakdown::of_recording(&dump, a, b).unwrap());
        prop_assert_eq!(halves[0].lost() + halves[1].lost(), whole.lost());
        let found = pumicehead_flight_recorder::findings::find(&dump.header, accounts, 0, Nanos::MAX);
        prop_assert_eq!(found.iter().map(|one| one.lost).sum::<u64>(), whole.lost(), "{:?}", found);
    }
}

#[test]
fn reservoir_samples_by_weight_within_its_memory() {
    let (mut heavy, mut light) = (0, 0);
    for seed in 0..400 {
        let mut reservoir = Reservoir::new(1_000, seed);
        for n in 0..1_000u32 {
            // One in ten weighs nine times as much: half of what stays should be of these.
            let weight = if n % 10 == 0 { 9.0 } else { 1.0 };
            if let Some(priority) = reservoir.draw(weight, START, 100) {
                reservoir.keep(priority, 100, n);
            }
            assert!(reservoir.size() <= 1_000);
        }
        assert_eq!(reservoir.iter().count(), 10);
        heavy += reservoir.iter().filter(|(_, n)| **n % 10 == 0).count();
        light += reservoir.iter().filter(|(_, n)| **n % 10 != 0).count();
    }
    let share = heavy as f64 / (heavy + light) as f64;
    // 4,000 draws: a deviation is 0.8%, and drawing without replacement costs the heavy some 1%.
    assert!((0.45..0.55).contains(&share), "{share}");
}

#[test]
fn reservoir_favours_new_items() {
    let (mut old, mut new) = (0, 0);
    for seed in 0..200 {
        let mut reservoir = Reservoir::new(1_000, seed);
        for n in 0..200u64 {
            let at = START + if n % 2 == 0 { 0 } else { 2 * DECAY_TIME_CONSTANT };
            if let Some(priority) = reservoir.draw(1.0, at, 100) {
                reservoir.keep(priority, 100, n);
            }
        }
        old += reservoir.iter().filter(|(_, n)| **n % 2 == 0).count();
        new += reservoir.iter().filter(|(_, n)| **n % 2 != 0).count();
    }
    // By e squared.
    let ratio = new as f64 / old as f64;
    assert!((5.0..11.0).contains(&ratio), "{ratio}");
    let mut reservoir = Reservoir::new(1_000, 1);
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(reservoir.draw(weight, START, 1), None);
    }
    assert_eq!(reservoir.draw(1.0, START, 1_001), None);
    reservoir.keep(0.0, 1, ());
}

/// Ten thousand events a second for an hour, with ids and servers that are ever new: in the memory it was given.
#[test]
fn an_hour_at_full_speed_stays_within_memory() {
    let mut day = Day::new(1 << 20);
    // Six events a request.
    for n in 0..6_000_000u32 {
        let outcome = if n % 50 == 0 { AttemptOutcome::Reset } else { AttemptOutcome::Success };
        day.request((n % 2) as u16, n % 5_000, outcome, 600_000);
        if n % 100_000 == 0 {
            assert!(day.recorder.memory_used() <= 1 << 20, "{}", day.recorder.memory_used());
        }
    }
    assert!(day.now >= START + 3_600 * SECOND);
    let file = day.recorder.recording(day.now, "test");
    assert!(file.len() < 2 << 20, "{}", file.len());
    let dump = Recording::read(&file).unwrap();
    let whole = Breakdown::of_recording(&dump, 0, Nanos::MAX).unwrap();
    assert_eq!((whole.requests, whole.lost()), (6_000_000, 120_000 * 1_000_000));
    // The sample is fair to the class that fails and to the other, and both kinds of end are there.
    assert!(
        dump.timelines.iter().any(|story| story.cause.is_none())
            && dump.timelines.iter().any(|s| s.cause.is_some())
    );
}

/// A long request outlives the ring: its story is told from its first event on.
#[test]
fn a_timeline_outlives_the_ring() {
    let mut day = Day::new(MIN_MEMORY);
    let id = day.admit(1, "the long one");
    day.start_attempt(id, 0, 3);
    for _ in 0..20_000 {
        day.request(0, 1, AttemptOutcome::Success, MS);
    }
    day.end_attempt(id, 0, 3, AttemptOutcome::TimedOut, 20 * SECOND);
    day.end_request(id, RequestOutcome::DeadlineExceeded);
    let dump = Recording::read(&day.recorder.recording(day.now, "test")).unwrap();
    assert!(dump.header.overwritten_events > 0);
    let story = dump.timelines_of("the long one")[0];
    let text = pumicehead_flight_recorder::timeline_text::render(&dump.header, story);
    assert!(
        text.contains("It came as `submit`") && text.contains("Attempt 1 at s-3: no answer in time"),
        "{text}"
    );
}

/// A request that is tried for ever, or waits through a thousand looks, takes no more than a story may.
#[test]
fn a_timeline_is_truncated_at_its_limit() {
    let mut day = Day::new(MIN_MEMORY);
    let id = day.admit(0, &"\u{1b}[2J\"".repeat(16 << 10));
    for n in 0..100_000u32 {
        day.record(Event::Decision(DecisionEvent::NoEndpointAvailable {
            id,
            exclusions: ExclusionReasons([(n % 7) as u8, 0, 0, 0, 0]),
        }));
        day.start_attempt(id, n as u8, n);
        day.end_attempt(id, n as u8, n, AttemptOutcome::Error, MS);
        day.now += MS;
        assert!(day.recorder.memory_used() <= MIN_MEMORY);
    }
    day.end_request(id, RequestOutcome::Failed);
    let dump = Recording::read(&day.recorder.recording(day.now, "test")).unwrap();
    let story = &dump.timelines[0];
    assert!(story.truncated && story.encoded_events.len() <= 1_024);
    let text = pumicehead_flight_recorder::timeline_text::render(&dump.header, story);
    assert!(text.lines().all(|line| !line.contains('\u{1b}')));
}

/// More open requests than there is memory for: they are counted, and sums go on.
#[test]
fn requests_without_memory_for_a_timeline_are_counted() {
    let mut day = Day::new(MIN_MEMORY);
    for n in 0..10_000 {
        day.admit(0, &format!("{n}"));
        assert!(day.recorder.memory_used() <= MIN_MEMORY);
    }
    let dump = Recording::read(&day.recorder.recording(day.now, "test")).unwrap();
    assert!(dump.header.untracked_requests > 9_000);
    day.recorder.set_level(Level::Off);
    day.request(0, 0, AttemptOutcome::Reset, MS);
    assert!(day.recorder.ledger().losses.is_empty(), "off is off");
}
