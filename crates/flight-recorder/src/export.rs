//! Timelines in formats of other tools: OTLP/JSON (one `TracesData` per line, as the OpenTelemetry protocol's file
//! exporter writes it) and Chrome's trace events (the "Trace Event Format", JSON object form).

use pumicehead_policy::{AttemptOutcome, Nanos};
use serde_json::{Value, json};

use crate::bounded_text::escape;
use crate::event::{Event, RequestOutcome};
use crate::event_ring::{Record, decode_records};
use crate::exported_names::ExportedDecision;
use crate::loss_cause::outcome_text;
use crate::recording::Recording;
use crate::request_timeline::RequestTimeline;

/// An attempt, as both formats need it.
struct Attempt {
    number: u8,
    endpoint_name: String,
    from: Nanos,
    to: Nanos,
    outcome: Option<AttemptOutcome>,
}

/// A request, as both formats need it.
struct RequestSpan {
    events: Vec<Record>,
    from: Nanos,
    to: Nanos,
    outcome: Option<RequestOutcome>,
    attempts: Vec<Attempt>,
}

fn request_span(recording: &Recording, timeline: &RequestTimeline) -> RequestSpan {
    let (events, _) = decode_records(&timeline.encoded_events);
    let from = events.first().map_or(timeline.ended_at, |record| record.at);
    let mut to = timeline.ended_at.max(from);
    let (mut outcome, mut attempts) = (None, Vec::<Attempt>::new());
    for record in &events {
        match &record.event {
            Event::AttemptStarted { attempt, endpoint, .. } => attempts.push(Attempt {
                number: attempt.0,
                endpoint_name: recording.header.endpoint_name(timeline.pool, endpoint.0),
                from: record.at,
                to: timeline.ended_at.max(record.at),
                outcome: None,
            }),
            Event::AttemptEnded { attempt, outcome, .. } => {
                for started in attempts.iter_mut().filter(|started| started.number == attempt.0) {
                    (started.to, started.outcome) = (record.at.max(started.from), Some(*outcome));
                }
            }
            Event::RequestEnded { outcome: ended, .. } => {
                outcome.get_or_insert(*ended);
                to = record.at;
            }
            _ => {}
        }
    }
    RequestSpan { events, from, to, outcome, attempts }
}

/// Returns a span id. It is derived from the recording, so that repeated exports have the same ids.
fn span_id(timeline: &RequestTimeline, from: Nanos, part: u64) -> u64 {
    pumicehead_policy::hash_ring::mix64(
        timeline.name.hash ^ from.rotate_left(17) ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15),
    )
    .max(1)
}

fn attribute(key: &str, value: &str) -> Value {
    json!({ "key": key, "value": { "stringValue": value } })
}

/// Renders timelines as OTLP/JSON, one line per request.
#[must_use]
pub fn otlp(recording: &Recording) -> String {
    let mut out = String::new();
    let resource = json!({ "attributes": [
        attribute("service.name", "pumicehead"),
        attribute("service.instance.id", &escape(&recording.header.node)),
        attribute("service.version", &escape(&recording.header.program)),
    ] });
    for timeline in &recording.timelines {
        let span = request_span(recording, timeline);
        let trace = format!("{:016x}{:016x}", timeline.name.hash, span_id(timeline, span.from, u64::MAX));
        let root = format!("{:016x}", span_id(timeline, span.from, 0));
        let failed = !matches!(span.outcome, Some(RequestOutcome::Served) | None);
        let mut attributes = vec![
            attribute("pumicehead.request", &timeline.name.display()),
            attribute("pumicehead.pool", &escape(recording.header.pool_name(timeline.pool))),
            attribute(
                "pumicehead.class",
                &escape(recording.header.class_name(timeline.pool, timeline.class)),
            ),
        ];
        attributes.extend(timeline.cause.map(|cause| attribute("pumicehead.lost", &cause.to_string())));
        let decisions: Vec<_> = span
            .events
            .iter()
            .filter_map(|record| match &record.event {
                Event::Decision(decision) => Some(json!({
                    "timeUnixNano": record.at.to_string(),
                    "name": format!("{:?}", ExportedDecision(decision)),
                })),
                _ => None,
            })
            .collect();
        let mut spans = vec![json!({
            "traceId": trace, "spanId": root, "name": "request", "kind": 2,
            "startTimeUnixNano": span.from.to_string(), "endTimeUnixNano": span.to.max(span.from).to_string(),
            "attributes": attributes, "events": decisions, "status": { "code": if failed { 2 } else { 0 } },
        })];
        for attempt in &span.attempts {
            let failed = attempt.outcome.is_some_and(|outcome| outcome != AttemptOutcome::Success);
            spans.push(json!({
                "traceId": trace, "spanId": format!("{:016x}", span_id(timeline, span.from, u64::from(attempt.number) + 1)),
                "parentSpanId": root, "name": "attempt", "kind": 3,
                "startTimeUnixNano": attempt.from.to_string(), "endTimeUnixNano": attempt.to.to_string(),
                "attributes": [
                    attribute("server.address", &attempt.endpoint_name),
                    attribute("pumicehead.outcome", attempt.outcome.map_or("still out", outcome_text)),
                ],
                "status": { "code": if failed { 2 } else { 0 } },
            }));
        }
        let line = json!({ "resourceSpans": [{
            "resource": resource,
            "scopeSpans": [{ "scope": { "name": "pumicehead-trace" }, "spans": spans }],
        }] });
        out += &line.to_string();
        out.push('\n');
    }
    out
}

/// Renders timelines as Chrome trace events, one row per request with its attempts.
#[must_use]
pub fn chrome(recording: &Recording) -> String {
    let micros = |at: Nanos| at.saturating_sub(recording.header.start) as f64 / 1e3;
    let mut events = vec![json!({
        "ph": "M", "name": "process_name", "pid": 1, "tid": 0,
        "args": { "name": format!("pumicehead {}", escape(&recording.header.node)) },
    })];
    for (row, timeline) in recording.timelines.iter().enumerate() {
        let span = request_span(recording, timeline);
        let tid = row + 1;
        let complete_event = |name: &str, from: Nanos, to: Nanos, args: Value| {
            json!({
                "ph": "X", "cat": "pumicehead", "name": name, "pid": 1, "tid": tid,
                "ts": micros(from), "dur": to.saturating_sub(from) as f64 / 1e3, "args": args,
            })
        };
        events.push(complete_event(
            recording.header.class_name(timeline.pool, timeline.class),
            span.from,
            span.to,
            json!({
                "request": timeline.name.display(),
                "lost": timeline.cause.map(|cause| cause.to_string()),
            }),
        ));
        for attempt in &span.attempts {
            let outcome = attempt.outcome.map_or("still out", outcome_text);
            events.push(complete_event(
                &attempt.endpoint_name,
                attempt.from,
                attempt.to,
                json!({ "outcome": outcome }),
            ));
        }
    }
    json!({ "displayTimeUnit": "ms", "traceEvents": events }).to_string()
}
