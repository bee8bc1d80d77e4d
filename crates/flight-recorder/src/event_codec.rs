//! Binary form of an event: a tag, the first number, then the other fields.
//!
//! Readers skip events with an unknown tag, so that later versions can add some.

use pumicehead_policy::{AttemptNo, EndpointId, RequestId};

use crate::bounded_text::BoundedName;
use crate::code_tables::{ENDPOINT_STATES, OUTCOMES, code_of, outcome_code, value_at};
use crate::decision_codec::{decode_decision, encode_decision};
use crate::event::{Event, ExhaustedResource, ListenerRejection, RequestOutcome};
use crate::wire_format::{Reader, put_bytes, put_optional_varint, put_varint};

/// Stored tags of events. Decision events have tags from 32 on.
mod tag {
    /// A request without a revision; versions without revisions write all requests so.
    pub const REQUEST_ADMITTED: u8 = 1;
    pub const ATTEMPT_STARTED: u8 = 2;
    pub const ATTEMPT_ENDED: u8 = 3;
    pub const RESPONSE_STARTED: u8 = 4;
    pub const REQUEST_ENDED: u8 = 5;
    pub const ENDPOINT_STATE_CHANGED: u8 = 6;
    pub const CAPACITY_ADVICE: u8 = 7;
    pub const REJECTED_BY_LISTENER: u8 = 8;
    pub const RESOURCE_EXHAUSTED: u8 = 9;
    pub const NODE_SHARE_CHANGED: u8 = 10;
    pub const MEMBER_STATE_CHANGED: u8 = 11;
    /// A request with the revision that it was admitted under.
    pub const REQUEST_ADMITTED_UNDER_REVISION: u8 = 12;
}

/// Appends the tag and the first number.
fn put_tag(out: &mut Vec<u8>, tag: u8, first: u32) {
    out.push(tag);
    put_varint(out, u64::from(first));
}

fn put_name(out: &mut Vec<u8>, name: &BoundedName) {
    put_bytes(out, name.prefix.as_bytes());
    out.extend_from_slice(&name.hash.to_le_bytes());
}

/// Reads a name; `None` if it is invalid.
pub(crate) fn read_name(from: &mut Reader<'_>) -> Option<BoundedName> {
    Some(BoundedName {
        prefix: from.text()?.into(),
        hash: u64::from_le_bytes(from.take(8)?.try_into().ok()?),
    })
}

impl Event {
    /// Appends the stored form.
    pub fn encode(&self, out: &mut Vec<u8>) {
        match self {
            Self::Decision(decision) => encode_decision(decision, out),
            Self::RequestAdmitted { .. }
            | Self::AttemptStarted { .. }
            | Self::AttemptEnded { .. }
            | Self::ResponseStarted { .. }
            | Self::RequestEnded { .. } => self.encode_request_event(out),
            _ => self.encode_node_event(out),
        }
    }

    fn encode_request_event(&self, out: &mut Vec<u8>) {
        match self {
            Self::RequestAdmitted { id, class, tenant, client_timeout, upload_time, name, revision } => {
                match revision {
                    None => put_tag(out, tag::REQUEST_ADMITTED, id.0),
                    Some(revision) => {
                        put_tag(out, tag::REQUEST_ADMITTED_UNDER_REVISION, id.0);
                        put_varint(out, *revision);
                    }
                }
                put_varint(out, u64::from(*class));
                put_optional_varint(out, tenant.map(u64::from));
                put_varint(out, *client_timeout);
                put_varint(out, *upload_time);
                put_name(out, name);
            }
            Self::AttemptStarted { id, attempt, endpoint, timeout } => {
                put_tag(out, tag::ATTEMPT_STARTED, id.0);
                out.push(attempt.0);
                put_varint(out, u64::from(endpoint.0));
                put_optional_varint(out, *timeout);
            }
            Self::AttemptEnded {
                id,
                attempt,
                endpoint,
                outcome,
                duration,
                connect_time,
                connection_idle,
            } => {
                put_tag(out, tag::ATTEMPT_ENDED, id.0);
                out.push(attempt.0);
                put_varint(out, u64::from(endpoint.0));
                out.push(outcome_code(*outcome) as u8);
                put_varint(out, *duration);
                put_varint(out, *connect_time);
                put_optional_varint(out, *connection_idle);
            }
            Self::ResponseStarted { id, attempt } => {
                put_tag(out, tag::RESPONSE_STARTED, id.0);
                out.push(attempt.0);
            }
            Self::RequestEnded { id, outcome } => {
                put_tag(out, tag::REQUEST_ENDED, id.0);
                out.push(code_of(&RequestOutcome::ALL, *outcome));
            }
            _ => {}
        }
    }

    fn encode_node_event(&self, out: &mut Vec<u8>) {
        match self {
            Self::EndpointStateChanged { endpoint, state } => {
                put_tag(out, tag::ENDPOINT_STATE_CHANGED, endpoint.0);
                out.push(code_of(&ENDPOINT_STATES, *state));
            }
            Self::CapacityAdvice { endpoints_to_avoid, lease_grants } => {
                put_tag(out, tag::CAPACITY_ADVICE, *endpoints_to_avoid);
                put_varint(out, u64::from(*lease_grants));
            }
            Self::RejectedByListener { class, reason } => {
                put_tag(out, tag::REJECTED_BY_LISTENER, u32::from(*class));
                out.push(code_of(&ListenerRejection::ALL, *reason));
            }
            Self::ResourceExhausted(resource) => {
                put_tag(out, tag::RESOURCE_EXHAUSTED, u32::from(code_of(&ExhaustedResource::ALL, *resource)));
            }
            Self::NodeShareChanged { nodes, node_index } => {
                put_tag(out, tag::NODE_SHARE_CHANGED, *nodes);
                put_varint(out, u64::from(*node_index));
            }
            Self::MemberStateChanged { name, from, to } => {
                put_tag(out, tag::MEMBER_STATE_CHANGED, u32::from(*to));
                put_optional_varint(out, from.map(u64::from));
                put_name(out, name);
            }
            _ => {}
        }
    }

    /// Reads an event; `None` if it is invalid or its tag is unknown.
    #[must_use]
    pub fn decode(from: &mut Reader<'_>) -> Option<Self> {
        let tag = from.byte()?;
        let first = from.varint_as::<u32>()?;
        match tag {
            tag::REQUEST_ADMITTED..=tag::REQUEST_ENDED | tag::REQUEST_ADMITTED_UNDER_REVISION => {
                decode_request_event(tag, RequestId(first), from)
            }
            tag::ENDPOINT_STATE_CHANGED..=tag::MEMBER_STATE_CHANGED => decode_node_event(tag, first, from),
            tag => Some(Self::Decision(decode_decision(tag, first, from)?)),
        }
    }
}

fn decode_request_event(tag: u8, id: RequestId, from: &mut Reader<'_>) -> Option<Event> {
    Some(match tag {
        tag::REQUEST_ADMITTED | tag::REQUEST_ADMITTED_UNDER_REVISION => Event::RequestAdmitted {
            id,
            revision: if tag == tag::REQUEST_ADMITTED { None } else { Some(from.varint()?) },
            class: from.varint_as()?,
            tenant: from.optional_varint()?.map(u32::try_from).transpose().ok()?,
            client_timeout: from.varint()?,
            upload_time: from.varint()?,
            name: read_name(from)?,
        },
        tag::ATTEMPT_STARTED => Event::AttemptStarted {
            id,
            attempt: AttemptNo(from.byte()?),
            endpoint: EndpointId(from.varint_as()?),
            timeout: from.optional_varint()?,
        },
        tag::ATTEMPT_ENDED => Event::AttemptEnded {
            id,
            attempt: AttemptNo(from.byte()?),
            endpoint: EndpointId(from.varint_as()?),
            outcome: value_at(&OUTCOMES, from.byte()?)?,
            duration: from.varint()?,
            connect_time: from.varint()?,
            connection_idle: from.optional_varint()?,
        },
        tag::RESPONSE_STARTED => Event::ResponseStarted { id, attempt: AttemptNo(from.byte()?) },
        tag::REQUEST_ENDED => {
            Event::RequestEnded { id, outcome: value_at(&RequestOutcome::ALL, from.byte()?)? }
        }
        _ => return None,
    })
}

fn decode_node_event(tag: u8, first: u32, from: &mut Reader<'_>) -> Option<Event> {
    Some(match tag {
        tag::ENDPOINT_STATE_CHANGED => Event::EndpointStateChanged {
            endpoint: EndpointId(first),
            state: value_at(&ENDPOINT_STATES, from.byte()?)?,
        },
        tag::CAPACITY_ADVICE => {
            Event::CapacityAdvice { endpoints_to_avoid: first, lease_grants: from.varint_as()? }
        }
        tag::REJECTED_BY_LISTENER => Event::RejectedByListener {
            class: u16::try_from(first).ok()?,
            reason: value_at(&ListenerRejection::ALL, from.byte()?)?,
        },
        tag::RESOURCE_EXHAUSTED => {
            Event::ResourceExhausted(value_at(&ExhaustedResource::ALL, u8::try_from(first).ok()?)?)
        }
        tag::NODE_SHARE_CHANGED => Event::NodeShareChanged { nodes: first, node_index: from.varint_as()? },
        tag::MEMBER_STATE_CHANGED => Event::MemberStateChanged {
            to: u8::try_from(first).ok()?,
            from: from.optional_varint()?.map(u8::try_from).transpose().ok()?,
            name: read_name(from)?,
        },
        _ => return None,
    })
}
