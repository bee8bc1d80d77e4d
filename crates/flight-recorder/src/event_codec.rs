//! Binary form of an event: a tag, then the fields.
//!
//! Readers skip events whose tag they don't know, so that later versions may add some.

use pumicehead_policy::{AttemptNo, EndpointId, RequestId};

use crate::bounded_text::BoundedName;
use crate::code_tables::{ENDPOINT_STATES, OUTCOMES, at, outcome_index};
use crate::decision_codec::{decode_decision, encode_decision};
use crate::event::{Event, ExhaustedResource, ListenerRejection, RequestOutcome};
use crate::wire_format::{Reader, put, put_bytes, put_some};

/// Tag of a request without a revision, as versions before revisions wrote it.
const ASKED: u8 = 1;
/// Tag of a request with the revision that it was admitted under.
const ASKED_UNDER_REVISION: u8 = 12;

impl Event {
    /// Appends the tag and the fields.
    pub fn encode(&self, out: &mut Vec<u8>) {
        let mut start = |tag: u8, first: u32| {
            out.push(tag);
            put(out, u64::from(first));
        };
        match self {
            Self::RequestAdmitted { id, class, tenant, client_timeout, upload_time, name, revision } => {
                match revision {
                    None => start(ASKED, id.0),
                    Some(revision) => {
                        start(ASKED_UNDER_REVISION, id.0);
                        put(out, *revision);
                    }
                }
                put(out, u64::from(*class));
                put_some(out, tenant.map(u64::from));
                put(out, *client_timeout);
                put(out, *upload_time);
                put_bytes(out, name.prefix.as_bytes());
                out.extend_from_slice(&name.hash.to_le_bytes());
            }
            Self::AttemptStarted { id, attempt, endpoint, timeout } => {
                start(2, id.0);
                out.push(attempt.0);
                put(out, u64::from(endpoint.0));
                put_some(out, *timeout);
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
                start(3, id.0);
                out.push(attempt.0);
                put(out, u64::from(endpoint.0));
                out.push(outcome_index(*outcome) as u8);
                put(out, *duration);
                put(out, *connect_time);
                put_some(out, *connection_idle);
            }
            Self::ResponseStarted { id, attempt } => {
                start(4, id.0);
                out.push(attempt.0);
            }
            Self::RequestEnded { id, outcome } => {
                start(5, id.0);
                out.push(
                    RequestOutcome::ALL.iter().position(|known| known == outcome).unwrap_or_default() as u8
                );
            }
            Self::EndpointStateChanged { endpoint, state } => {
                start(6, endpoint.0);
                out.push(ENDPOINT_STATES.iter().position(|known| known == state).unwrap_or_default() as u8);
            }
            Self::CapacityAdvice { endpoints_to_avoid, lease_grants } => {
                start(7, *endpoints_to_avoid);
                put(out, u64::from(*lease_grants));
            }
            Self::RejectedByListener { class, reason } => {
                start(8, u32::from(*class));
                out.push(
                    ListenerRejection::ALL.iter().position(|known| known == reason).unwrap_or_default() as u8
                );
            }
            Self::ResourceExhausted(what) => {
                start(
                    9,
                    ExhaustedResource::ALL.iter().position(|known| known == what).unwrap_or_default() as u32,
                );
            }
            Self::NodeShareChanged { nodes, node_index } => {
                start(10, *nodes);
                put(out, u64::from(*node_index));
            }
            Self::MemberStateChanged { name, from, to } => {
                start(11, u32::from(*to));
                put_some(out, from.map(u64::from));
                put_bytes(out, name.prefix.as_bytes());
                out.extend_from_slice(&name.hash.to_le_bytes());
            }
            Self::Decision(note) => encode_decision(note, out),
        }
    }

    /// Reads a tag and its fields; `None` where they are not what they should be, or the tag is not known.
    #[must_use]
    pub fn decode(from: &mut Reader<'_>) -> Option<Self> {
        let tag = from.byte()?;
        let first = from.small::<u32>()?;
        let id = RequestId(first);
        Some(match tag {
            ASKED | ASKED_UNDER_REVISION => Self::RequestAdmitted {
                id,
                revision: if tag == ASKED { None } else { Some(from.number()?) },
                class: from.small()?,
                tenant: from.some()?.map(u32::try_from).transpose().ok()?,
                client_timeout: from.number()?,
                upload_time: from.number()?,
                name: BoundedName {
                    prefix: from.text()?.into(),
                    hash: u64::from_le_bytes(from.take(8)?.try_into().ok()?),
                },
            },
            2 => Self::AttemptStarted {
                id,
                attempt: AttemptNo(from.byte()?),
                endpoint: EndpointId(from.small()?),
                timeout: from.some()?,
            },
            3 => Self::AttemptEnded {
                id,
                attempt: AttemptNo(from.byte()?),
                endpoint: EndpointId(from.small()?),
                outcome: at(&OUTCOMES, from.byte()?)?,
                duration: from.number()?,
                connect_time: from.number()?,
                connection_idle: from.some()?,
            },
            4 => Self::ResponseStarted { id, attempt: AttemptNo(from.byte()?) },
            5 => Self::RequestEnded { id, outcome: at(&RequestOutcome::ALL, from.byte()?)? },
            6 => Self::EndpointStateChanged {
                endpoint: EndpointId(first),
                state: at(&ENDPOINT_STATES, from.byte()?)?,
            },
            7 => Self::CapacityAdvice { endpoints_to_avoid: first, lease_grants: from.small()? },
            8 => Self::RejectedByListener {
                class: u16::try_from(first).ok()?,
                reason: at(&ListenerRejection::ALL, from.byte()?)?,
            },
            9 => Self::ResourceExhausted(at(&ExhaustedResource::ALL, u8::try_from(first).ok()?)?),
            10 => Self::NodeShareChanged { nodes: first, node_index: from.small()? },
            11 => Self::MemberStateChanged {
                to: u8::try_from(first).ok()?,
                from: from.some()?.map(u8::try_from).transpose().ok()?,
                name: BoundedName {
                    prefix: from.text()?.into(),
                    hash: u64::from_le_bytes(from.take(8)?.try_into().ok()?),
                },
            },
            tag => Self::Decision(decode_decision(tag, first, from)?),
        })
    }
}
