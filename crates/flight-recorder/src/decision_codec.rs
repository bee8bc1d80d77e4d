//! Binary form of a decision event: a tag from 32 on, then the fields.

use pumicehead_policy::decision_event::{DecisionEvent, ExclusionReasons, LimitChangeReason};
use pumicehead_policy::{EndpointId, RequestId};

use crate::code_tables::{rejection_code, rejection_from_code};
use crate::wire_format::{Reader, put_f32, put_optional_varint, put_varint};

/// Appends the tag and the first field.
fn put_tag(out: &mut Vec<u8>, tag: u8, first: u32) {
    out.push(tag);
    put_varint(out, u64::from(first));
}

/// Appends the stored form.
pub(crate) fn encode_decision(decision: &DecisionEvent, out: &mut Vec<u8>) {
    match *decision {
        DecisionEvent::Classified { id, tier, priority_weight, objective_deadline } => {
            put_tag(out, 32, id.0);
            out.push(tier);
            put_f32(out, priority_weight);
            put_varint(out, objective_deadline);
        }
        DecisionEvent::Queued { id, queued } => {
            put_tag(out, 33, id.0);
            put_varint(out, u64::from(queued));
        }
        DecisionEvent::EndpointSelected { id, endpoint, score, runner_up, in_flight, limit, exclusions } => {
            put_tag(out, 34, id.0);
            put_varint(out, u64::from(endpoint.0));
            put_f32(out, score);
            put_optional_varint(out, runner_up.map(|(endpoint, _)| u64::from(endpoint.0)));
            if let Some((_, score)) = runner_up {
                put_f32(out, score);
            }
            put_varint(out, u64::from(in_flight));
            put_f32(out, limit);
            out.extend_from_slice(&exclusions.0);
        }
        DecisionEvent::NoEndpointAvailable { id, exclusions } => {
            put_tag(out, 35, id.0);
            out.extend_from_slice(&exclusions.0);
        }
        DecisionEvent::AnsweredWithoutEndpoint { id, reason, wait_share } => {
            put_tag(out, 36, id.0);
            out.push(rejection_code(reason));
            put_f32(out, wait_share);
        }
        _ => encode_pool_decision(decision, out),
    }
}

/// Appends a decision about endpoints or the whole pool.
fn encode_pool_decision(decision: &DecisionEvent, out: &mut Vec<u8>) {
    match *decision {
        DecisionEvent::LimitChanged { endpoint, from, to, reason } => {
            put_tag(out, 37, endpoint.0);
            put_f32(out, from);
            put_f32(out, to);
            out.push(u8::from(reason == LimitChangeReason::Failure));
        }
        DecisionEvent::AllLimitsChanged { factor, utilization } => {
            put_tag(out, 38, 0);
            put_f32(out, factor);
            put_f32(out, utilization);
        }
        DecisionEvent::Ejected { endpoint, duration } => {
            put_tag(out, 39, endpoint.0);
            put_varint(out, duration);
        }
        DecisionEvent::Reinstated { endpoint } => put_tag(out, 40, endpoint.0),
        DecisionEvent::OutlierRatio { outliers, total, panic_mode } => {
            put_tag(out, 41, outliers);
            put_varint(out, u64::from(total));
            out.push(u8::from(panic_mode));
        }
        DecisionEvent::OverloadStarted { queued } => put_tag(out, 42, queued),
        DecisionEvent::OverloadEnded => put_tag(out, 43, 0),
        DecisionEvent::WatchLost => put_tag(out, 44, 0),
        DecisionEvent::WatchRestored => put_tag(out, 45, 0),
        _ => {}
    }
}

/// Reads a decision whose tag and first number are read; `None` if it is invalid or its tag is unknown.
pub(crate) fn decode_decision(tag: u8, first: u32, from: &mut Reader<'_>) -> Option<DecisionEvent> {
    let (id, endpoint) = (RequestId(first), EndpointId(first));
    let read_exclusions =
        |from: &mut Reader<'_>| from.take(5).and_then(|counts| counts.try_into().ok()).map(ExclusionReasons);
    Some(match tag {
        32 => DecisionEvent::Classified {
            id,
            tier: from.byte()?,
            priority_weight: from.f32()?,
            objective_deadline: from.varint()?,
        },
        33 => DecisionEvent::Queued { id, queued: from.varint_as()? },
        34 => {
            let (endpoint, score) = (EndpointId(from.varint_as()?), from.f32()?);
            let runner_up = match from.optional_varint()? {
                Some(id) => Some((EndpointId(u32::try_from(id).ok()?), from.f32()?)),
                None => None,
            };
            let (in_flight, limit) = (from.varint_as()?, from.f32()?);
            DecisionEvent::EndpointSelected {
                id,
                endpoint,
                score,
                runner_up,
                in_flight,
                limit,
                exclusions: read_exclusions(from)?,
            }
        }
        35 => DecisionEvent::NoEndpointAvailable { id, exclusions: read_exclusions(from)? },
        36 => DecisionEvent::AnsweredWithoutEndpoint {
            id,
            reason: rejection_from_code(from.byte()?)?,
            wait_share: from.f32()?,
        },
        37 => DecisionEvent::LimitChanged {
            endpoint,
            from: from.f32()?,
            to: from.f32()?,
            reason: if from.byte()? == 0 {
                LimitChangeReason::ComparedLatency
            } else {
                LimitChangeReason::Failure
            },
        },
        38 => DecisionEvent::AllLimitsChanged { factor: from.f32()?, utilization: from.f32()? },
        39 => DecisionEvent::Ejected { endpoint, duration: from.varint()? },
        40 => DecisionEvent::Reinstated { endpoint },
        41 => DecisionEvent::OutlierRatio {
            outliers: first,
            total: from.varint_as()?,
            panic_mode: from.byte()? != 0,
        },
        42 => DecisionEvent::OverloadStarted { queued: first },
        43 => DecisionEvent::OverloadEnded,
        44 => DecisionEvent::WatchLost,
        45 => DecisionEvent::WatchRestored,
        _ => return None,
    })
}
