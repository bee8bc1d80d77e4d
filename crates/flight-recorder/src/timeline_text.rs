//! Timelines of requests as sentences. The words appear in reports that scripts match on.

use std::fmt::Write;

use pumicehead_policy::decision_event::{
    DecisionEvent, ExclusionReason, ExclusionReasons, NoRetryReason, RejectionReason,
};
use pumicehead_policy::{AttemptOutcome, Nanos};

use crate::event::{Event, RequestOutcome};
use crate::event_ring::decode_records;
use crate::loss_cause::outcome_text;
use crate::recording::RecordingHeader;
use crate::request_timeline::RequestTimeline;
use crate::timestamp;

fn hurdle(hurdle: ExclusionReason) -> &'static str {
    match hurdle {
        ExclusionReason::AtLimit => "had no place left",
        ExclusionReason::Outlier => "was out of order",
        ExclusionReason::OnProbation => "was on trial after failures",
        ExclusionReason::SlowStart => "was cold",
        ExclusionReason::NotPermitted => "was barred by a rule",
    }
}

fn passed_over(hurdles: &ExclusionReasons) -> String {
    let counted = ExclusionReason::ALL.into_iter().zip(hurdles.0).filter(|&(_, count)| count > 0);
    let parts: Vec<_> = counted.map(|(why, count)| format!("{count} {}", hurdle(why))).collect();
    parts.join(", ")
}

fn stop(stop: NoRetryReason) -> &'static str {
    match stop {
        NoRetryReason::AttemptsExhausted => "it had made all the attempts that it may",
        NoRetryReason::NotIdempotent => "it may have run and must not take effect twice",
        NoRetryReason::NoTimeLeft => "there was no time left",
        NoRetryReason::RetryBudgetSpent => "the share of requests that may be tried again was spent",
    }
}

/// Returns the words for a rejection.
#[must_use]
pub fn rule(rule: RejectionReason) -> String {
    match rule {
        RejectionReason::QueueTooLong => {
            "the wait in its tier's queue would have taken too large a share of its time".into()
        }
        RejectionReason::QueueTimeout => "it was held until nearly no time was left for its aim".into(),
        RejectionReason::KeyOrderTimeout => "the turn of its key did not come".into(),
        RejectionReason::NoRetry(why) => format!("there was no further attempt: {}", stop(why)),
    }
}

fn ending(how: RequestOutcome) -> &'static str {
    match how {
        RequestOutcome::Served => "The client got the server's answer.",
        RequestOutcome::ServedError => "The client got the server's answer, which speaks of a fault.",
        RequestOutcome::Rejected => "The client was told to come back later; nothing had happened.",
        RequestOutcome::Failed => "The client was told that it failed.",
        RequestOutcome::DeadlineExceeded => "The client was told that its time was up.",
        RequestOutcome::BodyFailed => {
            "The client was told that its body was too slow, too long or broken off."
        }
        RequestOutcome::ClientDisconnected => "The client had left.",
    }
}

/// Returns the sentence of an event; `None` for events without one.
fn sentence(head: &RecordingHeader, story: &RequestTimeline, event: &Event) -> Option<String> {
    let server = |id: u32| head.endpoint_name(story.pool, id);
    Some(match event {
        Event::RequestAdmitted { class, tenant, client_timeout, upload_time, revision, .. } => {
            let mut text = format!(
                "It came as `{}` to {}, and its client waits {}.",
                head.class_name(story.pool, *class),
                head.pool_name(story.pool),
                timestamp::format_duration(*client_timeout)
            );
            if *upload_time > 1_000_000 {
                let _ = write!(
                    text,
                    " It took its client {} to send it.",
                    timestamp::format_duration(*upload_time)
                );
            }
            if let Some(tenant) = tenant {
                let _ = write!(text, " Tenant: {}.", head.tenant_name(story.pool, *tenant));
            }
            if let Some(revision) = revision {
                let _ = write!(text, " Admitted under revision {revision} of the configuration.");
            }
            text
        }
        Event::Decision(DecisionEvent::Classified { tier, priority_weight, .. }) => {
            let tier = ["highest", "high", "medium", "low"].get(usize::from(*tier)).unwrap_or(&"unknown");
            format!("Ranked in the {tier} tier, worth {priority_weight}.")
        }
        Event::Decision(DecisionEvent::Queued { queued, .. }) => {
            format!("No place for it yet; {queued} wait, it among them.")
        }
        Event::Decision(DecisionEvent::EndpointSelected {
            endpoint: id,
            score,
            runner_up,
            in_flight,
            limit,
            exclusions,
            ..
        }) => {
            let mut text = format!(
                "Picked {} (score {score:.2}, {in_flight} of {limit:.1} places taken).",
                server(id.0)
            );
            if let Some((id, score)) = runner_up {
                let _ = write!(text, " Next was {} with {score:.2}.", server(id.0));
            }
            let over = passed_over(exclusions);
            if !over.is_empty() {
                let _ = write!(text, " Passed over: {over}.");
            }
            text
        }
        Event::Decision(DecisionEvent::NoEndpointAvailable { exclusions, .. }) => {
            match passed_over(exclusions) {
                over if over.is_empty() => "All places of the node were taken.".into(),
                over => format!("No server would do: {over}."),
            }
        }
        Event::Decision(DecisionEvent::AnsweredWithoutEndpoint { reason: why, pressure, .. }) => {
            let mut text = format!("Given up: {}.", rule(*why));
            if *pressure > 0.0 {
                let _ = write!(text, " The wait was {:.0}% of the time left.", pressure * 100.0);
            }
            text
        }
        Event::AttemptStarted { attempt, endpoint: id, timeout, .. } => {
            let timeout = timeout
                .map_or(String::new(), |span| format!(", for {} at most", timestamp::format_duration(span)));
            format!("Attempt {} to {}{timeout}.", attempt.0 + 1, server(id.0))
        }
        Event::AttemptEnded {
            attempt,
            endpoint: id,
            outcome,
            duration,
            connect_time,
            connection_idle,
            ..
        } => {
            let dial = if *connect_time > 1_000_000 {
                format!(", {} of it for a connection", timestamp::format_duration(*connect_time))
            } else {
                String::new()
            };
            let kept = match connection_idle {
                Some(idle) => {
                    format!(", on a connection that had been idle for {}", timestamp::format_duration(*idle))
                }
                None => String::new(),
            };
            let how =
                if *outcome == AttemptOutcome::NotSent { "was never sent" } else { outcome_text(*outcome) };
            format!(
                "Attempt {} at {}: {how} after {}{dial}{kept}.",
                attempt.0 + 1,
                server(id.0),
                timestamp::format_duration(*duration)
            )
        }
        Event::ResponseStarted { attempt, .. } => {
            format!("The answer of attempt {} began to pass through.", attempt.0 + 1)
        }
        Event::RequestEnded { outcome, .. } => ending(*outcome).into(),
        _ => return None,
    })
}

/// Renders a timeline, one line per event, each with the time since admission.
#[must_use]
pub fn render(head: &RecordingHeader, story: &RequestTimeline) -> String {
    let (events, whole) = decode_records(&story.encoded_events);
    let begin = events.first().map_or(story.ended_at, |record| record.at);
    let mut out = format!(
        "request {}, from {}\n",
        story.name.display(),
        timestamp::format_timestamp(begin, head.start)
    );
    let mut over = false;
    for record in &events {
        if let Some(sentence) = sentence(head, story, &record.event) {
            let since: Nanos = record.at.saturating_sub(begin);
            let _ = writeln!(out, "  +{:>10}  {sentence}", timestamp::format_duration(since));
        }
        over |= matches!(record.event, Event::RequestEnded { .. });
    }
    if story.truncated || !whole {
        out += "  (some of its events did not fit and are left out)\n";
    }
    match story.cause {
        Some(cause) => out += &format!("  Lost worth: {cause}.\n"),
        None if over => out += "  It earned all of its worth.\n",
        None => out += "  It was still open when this was written.\n",
    }
    out
}
