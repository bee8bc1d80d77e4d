//! The text of a decision event in an exported trace.
//!
//! Dashboards match on these names, so they must not change when a variant is renamed.

use std::fmt::{self, Debug, Formatter};

use pumicehead_policy::EndpointId;
use pumicehead_policy::decision_event::{
    DecisionEvent, ExclusionReasons, LimitChangeReason, NoRetryReason, RejectionReason,
};

/// Formats a decision event under its exported names.
pub(crate) struct ExportedDecision<'a>(pub &'a DecisionEvent);

/// An endpoint's id under its exported type name.
struct ExportedEndpointId(EndpointId);

/// Counts of exclusions under their exported type name.
struct ExportedExclusions(ExclusionReasons);

/// A name whose debug form has no quotes.
struct Unquoted(&'static str);

/// A reason for answering without an endpoint, under its exported name.
struct ExportedRejection(RejectionReason);

impl Debug for Unquoted {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.write_str(self.0)
    }
}

impl Debug for ExportedEndpointId {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.debug_tuple("ServerId").field(&self.0.0).finish()
    }
}

impl Debug for ExportedExclusions {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.debug_tuple("Hurdles").field(&self.0.0).finish()
    }
}

impl Debug for ExportedRejection {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            RejectionReason::ExpectedWaitTooLong => out.write_str("WaitShare"),
            RejectionReason::QueueTimeout => out.write_str("NearlyOut"),
            RejectionReason::KeyOrderTimeout => out.write_str("NoTurn"),
            RejectionReason::NoRetry(reason) => {
                out.debug_tuple("NoRetry").field(&Unquoted(no_retry_name(reason))).finish()
            }
        }
    }
}

fn no_retry_name(reason: NoRetryReason) -> &'static str {
    match reason {
        NoRetryReason::AttemptsExhausted => "Attempts",
        NoRetryReason::NotIdempotent => "Effect",
        NoRetryReason::NoTimeLeft => "Time",
        NoRetryReason::RetryBudgetSpent => "Budget",
    }
}

fn limit_change_name(reason: LimitChangeReason) -> &'static str {
    match reason {
        LimitChangeReason::ComparedLatency => "Compared",
        LimitChangeReason::Failure => "Failure",
    }
}

impl Debug for ExportedDecision<'_> {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            DecisionEvent::Classified { .. }
            | DecisionEvent::Queued { .. }
            | DecisionEvent::EndpointSelected { .. }
            | DecisionEvent::NoEndpointAvailable { .. }
            | DecisionEvent::AnsweredWithoutEndpoint { .. } => write_request_event(self.0, out),
            DecisionEvent::LimitChanged { .. }
            | DecisionEvent::AllLimitsChanged { .. }
            | DecisionEvent::Ejected { .. }
            | DecisionEvent::Reinstated { .. }
            | DecisionEvent::OutlierRatio { .. } => write_endpoint_event(self.0, out),
            DecisionEvent::OverloadStarted { queued } => {
                out.debug_struct("Overload").field("held", queued).finish()
            }
            DecisionEvent::OverloadEnded => out.write_str("Calm"),
            DecisionEvent::WatchLost => out.write_str("ListLost"),
            DecisionEvent::WatchRestored => out.write_str("ListRegained"),
        }
    }
}

/// Formats an event about one request.
fn write_request_event(event: &DecisionEvent, out: &mut Formatter<'_>) -> fmt::Result {
    match event {
        DecisionEvent::Classified { id, tier, priority_weight, objective_deadline } => out
            .debug_struct("Taken")
            .field("id", id)
            .field("tier", tier)
            .field("worth", priority_weight)
            .field("aim_at", objective_deadline)
            .finish(),
        DecisionEvent::Queued { id, queued } => {
            out.debug_struct("Held").field("id", id).field("held", queued).finish()
        }
        DecisionEvent::EndpointSelected { id, endpoint, score, runner_up, in_flight, limit, exclusions } => {
            out.debug_struct("Picked")
                .field("id", id)
                .field("server", &ExportedEndpointId(*endpoint))
                .field("score", score)
                .field("next", &runner_up.map(|(endpoint, score)| (ExportedEndpointId(endpoint), score)))
                .field("out", in_flight)
                .field("limit", limit)
                .field("hurdles", &ExportedExclusions(*exclusions))
                .finish()
        }
        DecisionEvent::NoEndpointAvailable { id, exclusions } => out
            .debug_struct("NoneFits")
            .field("id", id)
            .field("hurdles", &ExportedExclusions(*exclusions))
            .finish(),
        DecisionEvent::AnsweredWithoutEndpoint { id, reason, wait_share } => out
            .debug_struct("Over")
            .field("id", id)
            .field("rule", &ExportedRejection(*reason))
            .field("pressure", wait_share)
            .finish(),
        _ => Ok(()),
    }
}

/// Formats an event about endpoints and their limits.
fn write_endpoint_event(event: &DecisionEvent, out: &mut Formatter<'_>) -> fmt::Result {
    match event {
        DecisionEvent::LimitChanged { endpoint, from, to, reason } => out
            .debug_struct("Limit")
            .field("server", &ExportedEndpointId(*endpoint))
            .field("from", from)
            .field("to", to)
            .field("why", &Unquoted(limit_change_name(*reason)))
            .finish(),
        DecisionEvent::AllLimitsChanged { factor, utilization } => {
            out.debug_struct("Limits").field("factor", factor).field("load", utilization).finish()
        }
        DecisionEvent::Ejected { endpoint, duration } => out
            .debug_struct("Aside")
            .field("server", &ExportedEndpointId(*endpoint))
            .field("span", duration)
            .finish(),
        DecisionEvent::Reinstated { endpoint } => {
            out.debug_struct("Back").field("server", &ExportedEndpointId(*endpoint)).finish()
        }
        DecisionEvent::OutlierRatio { outliers, total, panic_mode } => out
            .debug_struct("Doubt")
            .field("bad", outliers)
            .field("all", total)
            .field("most", panic_mode)
            .finish(),
        _ => Ok(()),
    }
}
