//! The recorder and its parts stay within their memory, keep the right items, and their sums are exact.

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

fn push_overload_ended(ring: &mut EventRing, at: Nanos) {
    let mut bytes = Vec::new();
    Event::Decision(DecisionEvent::OverloadEnded).encode(&mut bytes);
    ring.push(at, PoolId(0), &bytes);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// The ring never exceeds its memory, and holds the newest events without a gap.
    #[test]
    fn ring_keeps_the_newest_events(memory in 0usize..100_000, steps in proptest::collection::vec(0u64..3_000_000, 0..5_000)) {
        let mut ring = EventRing::new(memory);
        let (mut at, mut all) = (START, Vec::new());
        for step in steps {
            at += step * 1_000;
            all.push(at);
            push_overload_ended(&mut ring, at);
            prop_assert!(ring.memory_used() <= memory.max(2 * PAGE_BYTES));
        }
        let kept: Vec<_> = ring.pages().flat_map(|page| decode_records(page).0).map(|record| record.at).collect();
        prop_assert_eq!(kept.len() as u64 + ring.overwritten_events(), all.len() as u64);
        prop_assert_eq!(&all[all.len() - kept.len()..], &kept[..]);
    }

    /// The sum of all rows stays exact however many rows a full table merges.
    #[test]
    fn merging_slots_keeps_the_sum(max_rows in 2usize..40, rows in proptest::collection::vec((0u64..10_000, 0u16..20, 0u64..1_000_000), 1..400)) {
        let mut table: SlotTable<LossKey, LossTotals> = SlotTable::new(START, max_rows);
        let mut sum = LossTotals::default();
        for (second, class, lost) in rows {
            let key = LossKey { class, ..LossKey::OTHER };
            let loss = LossTotals { requests: 1, lost };
            table.row_mut(START + second * SECOND, key).add(&loss);
            sum.add(&loss);
            prop_assert!(table.len() <= max_rows + 1);
        }
        let mut kept = LossTotals::default();
        table.rows_between(0, Nanos::MAX).for_each(|(_, _, loss)| kept.add(loss));
        prop_assert_eq!(kept, sum);
    }

    /// For any workload, each view of a breakdown, the breakdowns of two adjoining time ranges and the findings add up to the
    /// lost weight.
    #[test]
    fn views_of_a_breakdown_add_up_to_the_loss(
        memory in MIN_MEMORY..2 * MIN_MEMORY,
        steps in proptest::collection::vec((0u16..3, 0u32..9, 0usize..8, 0u64..700, 0u64..4_000), 1..300),
        cut in 0u64..1_000,
    ) {
        let mut workload = Workload::new(memory);
        for (class, endpoint, kind, duration, pause) in steps {
            match kind {
                0..=3 => workload.request(class, endpoint, AttemptOutcome::Success, duration * MS),
                4 => workload.request(class, endpoint, AttemptOutcome::Reset, duration * MS),
                5 => workload.request(class, endpoint, AttemptOutcome::TimedOut, duration * MS),
                6 => workload.rejected_request(class, RejectionReason::ExpectedWaitTooLong),
                _ => workload.rejected_request(class, RejectionReason::QueueTimeout),
            }
            workload.now += pause * MS;
            prop_assert!(workload.recorder.memory_used() <= workload.recorder.memory_limit());
        }
        let recording = Recording::read(&workload.recorder.recording(workload.now, "test")).unwrap();
        let whole = Breakdown::of_recording(&recording, 0, Nanos::MAX).unwrap();
        for (name, rows) in &whole.views {
            let sum: u64 = rows.iter().map(|row| row.lost).sum();
            prop_assert_eq!(sum, whole.lost(), "by {}", name);
        }
        let ledger = recording.ledger.as_ref().unwrap();
        let (_, middle) = ledger.align_to_slots(START, START + cut * SECOND);
        let halves = [(0, middle), (middle, Nanos::MAX)].map(|(a, b)| Breakdown::of_recording(&recording, a, b).unwrap());
        prop_assert_eq!(halves[0].lost() + halves[1].lost(), whole.lost());
        let found = pumicehead_flight_recorder::findings::find(&recording.header, ledger, 0, Nanos::MAX);
        prop_assert_eq!(found.iter().map(|one| one.lost).sum::<u64>(), whole.lost(), "{:?}", found);
    }
}

#[test]
fn reservoir_samples_by_weight_within_its_memory() {
    let (mut heavy, mut light) = (0, 0);
    for seed in 0..400 {
        let mut reservoir = Reservoir::new(1_000, seed);
        for n in 0..1_000u32 {
            // One item in ten has nine times the weight, so that half of the kept items should be heavy.
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
    // With 4,000 kept items the standard deviation is 0.8%, and sampling without replacement lowers the share by about 1%.
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
    // The expected ratio is e squared, about 7.4.
    let ratio = new as f64 / old as f64;
    assert!((5.0..11.0).contains(&ratio), "{ratio}");
    let mut reservoir = Reservoir::new(1_000, 1);
    for weight in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(reservoir.draw(weight, START, 1), None);
    }
    assert_eq!(reservoir.draw(1.0, START, 1_001), None);
    reservoir.keep(0.0, 1, ());
}

/// Guards against memory that grows with time or with ids: one hour of about 1,700 requests a second (6,700 events), each
/// with a new id, over 5,000 endpoints, stays within the memory limit.
#[test]
fn an_hour_of_steady_load_stays_within_memory() {
    let mut workload = Workload::new(1 << 20);
    // Four events for a successful request, five for a failed one.
    for n in 0..6_000_000u32 {
        let outcome = if n % 50 == 0 { AttemptOutcome::Reset } else { AttemptOutcome::Success };
        workload.request((n % 2) as u16, n % 5_000, outcome, 600_000);
        if n % 100_000 == 0 {
            assert!(workload.recorder.memory_used() <= 1 << 20, "{}", workload.recorder.memory_used());
        }
    }
    assert!(workload.now >= START + 3_600 * SECOND);
    let file = workload.recorder.recording(workload.now, "test");
    assert!(file.len() < 2 << 20, "{}", file.len());
    let recording = Recording::read(&file).unwrap();
    let whole = Breakdown::of_recording(&recording, 0, Nanos::MAX).unwrap();
    assert_eq!((whole.requests, whole.lost()), (6_000_000, 120_000 * 1_000_000));
    // The sample has both successful and failed requests.
    assert!(
        recording.timelines.iter().any(|timeline| timeline.cause.is_none())
            && recording.timelines.iter().any(|timeline| timeline.cause.is_some())
    );
}

/// A request that is open for so long that the ring has overwritten its first events: its timeline still has them.
#[test]
fn a_timeline_outlives_the_ring() {
    let mut workload = Workload::new(MIN_MEMORY);
    let id = workload.admit(1, "the long one");
    workload.start_attempt(id, 0, 3);
    for _ in 0..20_000 {
        workload.request(0, 1, AttemptOutcome::Success, MS);
    }
    workload.end_attempt(id, 0, 3, AttemptOutcome::TimedOut, 20 * SECOND);
    workload.end_request(id, RequestOutcome::DeadlineExceeded);
    let recording = Recording::read(&workload.recorder.recording(workload.now, "test")).unwrap();
    assert!(recording.header.overwritten_events > 0);
    let timeline = recording.timelines_of("the long one")[0];
    let text = pumicehead_flight_recorder::timeline_text::render(&recording.header, timeline);
    assert!(
        text.contains("It came as `submit`") && text.contains("Attempt 1 at s-3: no answer in time"),
        "{text}"
    );
}

/// A request with 100,000 attempts, and as many decisions that no endpoint is available, takes no more memory than a timeline
/// may.
#[test]
fn a_timeline_is_truncated_at_its_limit() {
    let mut workload = Workload::new(MIN_MEMORY);
    let id = workload.admit(0, &"\u{1b}[2J\"".repeat(16 << 10));
    for n in 0..100_000u32 {
        workload.record(Event::Decision(DecisionEvent::NoEndpointAvailable {
            id,
            exclusions: ExclusionReasons([(n % 7) as u8, 0, 0, 0, 0]),
        }));
        workload.start_attempt(id, n as u8, n);
        workload.end_attempt(id, n as u8, n, AttemptOutcome::Error, MS);
        workload.now += MS;
        assert!(workload.recorder.memory_used() <= MIN_MEMORY);
    }
    workload.end_request(id, RequestOutcome::Failed);
    let recording = Recording::read(&workload.recorder.recording(workload.now, "test")).unwrap();
    let timeline = &recording.timelines[0];
    assert!(timeline.truncated && timeline.encoded_events.len() <= 1_024);
    let text = pumicehead_flight_recorder::timeline_text::render(&recording.header, timeline);
    assert!(text.lines().all(|line| !line.contains('\u{1b}')));
}

/// Guards that open requests beyond the memory limit are counted instead of stored, and that nothing is recorded when the
/// recorder is off.
#[test]
fn requests_without_memory_for_a_timeline_are_counted() {
    let mut workload = Workload::new(MIN_MEMORY);
    for n in 0..10_000 {
        workload.admit(0, &format!("{n}"));
        assert!(workload.recorder.memory_used() <= MIN_MEMORY);
    }
    let recording = Recording::read(&workload.recorder.recording(workload.now, "test")).unwrap();
    assert!(recording.header.untracked_requests > 9_000);
    workload.recorder.set_level(Level::Off);
    workload.request(0, 0, AttemptOutcome::Reset, MS);
    assert!(workload.recorder.ledger().losses.is_empty(), "nothing is recorded at Level::Off");
}
