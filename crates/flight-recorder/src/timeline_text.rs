//! Timelines of requests as sentences. Scripts match on these texts, so they must not change.

use std::fmt::Write;

use pumicehead_policy::decision_event::{
    DecisionEvent, ExclusionReason, ExclusionReasons, NoRetryReason, RejectionReason,
};
use pumicehead_policy::{AttemptOutcome, EndpointId, Nanos};

use crate::event::{Event, RequestOutcome};
use crate::event_ring::decode_records;
use crate::loss_cause::outcome_text;
use crate::recording::RecordingHeader;
use crate::request_timeline::RequestTimeline;
use crate::timestamp::{format_duration, format_timestamp};

/// Times for a connection or an upload are mentioned only above this one, in nanoseconds.
const MIN_SHOWN: Nanos = 1_000_000;
/// Names of tiers, the highest first.
const TIER_NAMES: [&str; 4] = ["highest", "high", "medium", "low"];

fn exclusion_text(reason: ExclusionReason) -> &'static str {
    match reason {
        ExclusionReason::AtLimit => "had no place left",
        ExclusionReason::Outlier => "was out of order",
        ExclusionReason::OnProbation => "was on trial after failures",
        ExclusionReason::SlowStart => "was cold",
        ExclusionReason::NotPermitted => "was barred by a rule",
    }
}

fn exclusions_text(exclusions: &ExclusionReasons) -> String {
    let counted = ExclusionReason::ALL.into_iter().zip(exclusions.0).filter(|&(_, count)| count > 0);
    let parts: Vec<_> =
        counted.map(|(reason, count)| format!("{count} {}", exclusion_text(reason))).collect();
    parts.join(", ")
}

fn no_retry_text(reason: NoRetryReason) -> &'static str {
    match reason {
        NoRetryReason::AttemptsExhausted => "it had made all the attempts that it may",
        NoRetryReason::NotIdempotent => "it may have run and must not take effect twice",
        NoRetryReason::NoTimeLeft => "there was no time left",
        NoRetryReason::RetryBudgetSpent => "the share of requests that may be tried again was spent",
    }
}

/// Returns the text of a rejection.
#[must_use]
pub fn rejection_text(rejection: RejectionReason) -> String {
    match rejection {
        RejectionReason::ExpectedWaitTooLong => {
            "the wait in its tier's queue would have taken too large a share of its time".into()
        }
        RejectionReason::QueueTimeout => "it was held until nearly no time was left for its aim".into(),
        RejectionReason::KeyOrderTimeout => "the turn of its key did not come".into(),
        RejectionReason::NoRetry(reason) => {
            format!("there was no further attempt: {}", no_retry_text(reason))
        }
    }
}

fn outcome_sentence(outcome: RequestOutcome) -> &'static str {
    match outcome {
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
fn sentence(header: &RecordingHeader, timeline: &RequestTimeline, event: &Event) -> Option<String> {
    let endpoint_name = |id: EndpointId| header.endpoint_name(timeline.pool, id.0);
    Some(match event {
        Event::RequestAdmitted { .. } => admission_sentence(header, timeline, event)?,
        Event::Decision(decision) => decision_sentence(header, timeline, decision)?,
        Event::AttemptStarted { attempt, endpoint, timeout, .. } => {
            let timeout = timeout
                .map_or(String::new(), |timeout| format!(", for {} at most", format_duration(timeout)));
            format!("Attempt {} to {}{timeout}.", attempt.0 + 1, endpoint_name(*endpoint))
        }
        Event::AttemptEnded {
            attempt, endpoint, outcome, duration, connect_time, connection_idle, ..
        } => {
            let connect = if *connect_time > MIN_SHOWN {
                format!(", {} of it for a connection", format_duration(*connect_time))
            } else {
                String::new()
            };
            let idle = connection_idle.map_or(String::new(), |idle| {
                format!(", on a connection that had been idle for {}", format_duration(idle))
            });
            let outcome =
                if *outcome == AttemptOutcome::NotSent { "was never sent" } else { outcome_text(*outcome) };
            format!(
                "Attempt {} at {}: {outcome} after {}{connect}{idle}.",
                attempt.0 + 1,
                endpoint_name(*endpoint),
                format_duration(*duration)
            )
        }
        Event::ResponseStarted { attempt, .. } => {
            format!("The answer of attempt {} began to pass through.", attempt.0 + 1)
        }
        Event::RequestEnded { outcome, .. } => outcome_sentence(*outcome).into(),
        _ => return None,
    })
}

fn admission_sentence(header: &RecordingHeader, timeline: &RequestTimeline, event: &Event) -> Option<String> {
    let Event::RequestAdmitted { class, tenant, client_timeout, upload_time, revision, .. } = event else {
        return None;
    };
    let mut text = format!(
        "It came as `{}` to {}, and its client waits {}.",
        header.class_name(timeline.pool, *class),
        header.pool_name(timeline.pool),
        format_duration(*client_timeout)
    );
    if *upload_time > MIN_SHOWN {
        let _ = write!(text, " It took its client {} to send it.", format_duration(*upload_time));
    }
    if let Some(tenant) = tenant {
        let _ = write!(text, " Tenant: {}.", header.tenant_name(timeline.pool, *tenant));
    }
    if let Some(revision) = revision {
        let _ = write!(text, " Admitted under revision {revision} of the configuration.");
    }
    Some(text)
}

fn decision_sentence(
    header: &RecordingHeader,
    timeline: &RequestTimeline,
    decision: &DecisionEvent,
) -> Option<String> {
    Some(match decision {
        DecisionEvent::Classified { tier, priority_weight, .. } => {
            let tier = TIER_NAMES.get(usize::from(*tier)).unwrap_or(&"unknown");
            format!("Ranked in the {tier} tier, worth {priority_weight}.")
        }
        DecisionEvent::Queued { queued, .. } => {
            format!("No place for it yet; {queued} wait, it among them.")
        }
        DecisionEvent::EndpointSelected {
            endpoint, score, runner_up, in_flight, limit, exclusions, ..
        } => {
            let name = header.endpoint_name(timeline.pool, endpoint.0);
            let mut text =
                format!("Picked {name} (score {score:.2}, {in_flight} of {limit:.1} places taken).");
            if let Some((id, score)) = runner_up {
                let _ =
                    write!(text, " Next was {} with {score:.2}.", header.endpoint_name(timeline.pool, id.0));
            }
            let excluded = exclusions_text(exclusions);
            if !excluded.is_empty() {
                let _ = write!(text, " Passed over: {excluded}.");
            }
            text
        }
        DecisionEvent::NoEndpointAvailable { exclusions, .. } => match exclusions_text(exclusions) {
            excluded if excluded.is_empty() => "All places of the node were taken.".into(),
            excluded => format!("No server would do: {excluded}."),
        },
        DecisionEvent::AnsweredWithoutEndpoint { reason, wait_share, .. } => {
            let mut text = format!("Given up: {}.", rejection_text(*reason));
            if *wait_share > 0.0 {
                let _ = write!(text, " The wait was {:.0}% of the time left.", wait_share * 100.0);
            }
            text
        }
        _ => return None,
    })
}

/// Renders a timeline, one line per event, each with the time since admission.
#[must_use]
pub fn render(header: &RecordingHeader, timeline: &RequestTimeline) -> String {
    let (events, complete) = decode_records(&timeline.encoded_events);
    let started_at = events.first().map_or(timeline.ended_at, |record| record.at);
    let mut out =
        format!("request {}, from {}\n", timeline.name.display(), format_timestamp(started_at, header.start));
    let mut ended = false;
    for record in &events {
        if let Some(sentence) = sentence(header, timeline, &record.event) {
            let since: Nanos = record.at.saturating_sub(started_at);
            let _ = writeln!(out, "  +{:>10}  {sentence}", format_duration(since));
        }
        ended |= matches!(record.event, Event::RequestEnded { .. });
    }
    if timeline.truncated || !complete {
        out += "  (some of its events did not fit and are left out)\n";
    }
    match timeline.cause {
        Some(cause) => out += &format!("  Lost worth: {cause}.\n"),
        None if ended => out += "  It earned all of its worth.\n",
        None => out += "  It was still open when this was written.\n",
    }
    out
}
