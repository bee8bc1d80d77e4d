//! What is recorded, and its binary form.
//!
//! A record is its length, the microseconds since the record before it, the pool, a tag and the fields. Unknown tags are
//! passed over by their length: a later version may add some.

use pumicehead_policy::decision_event::{
    DecisionEvent, ExclusionReasons, LimitChangeReason, NoRetryReason, RejectionReason,
};
use pumicehead_policy::{AttemptNo, AttemptOutcome, EndpointId, EndpointState, Nanos, RequestId};

use crate::bounded_text::BoundedName;
use crate::wire_format::{Reader, put, put_bytes, put_f32, put_some};

/// A pool, by its place in the head of a dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PoolId(pub u16);

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With a server's answer.
    Served,
    /// With a server's answer that speaks of a fault.
    ServedError,
    /// Rejected: it may come again.
    Rejected,
    /// Failed.
    Failed,
    /// Failed since its time was up.
    DeadlineExceeded,
    /// Its body was too slow, too long or broke off.
    BodyFailed,
    /// The client had left.
    ClientDisconnected,
}

impl RequestOutcome {
    const ALL: [Self; 7] = [
        Self::Served,
        Self::ServedError,
        Self::Rejected,
        Self::Failed,
        Self::DeadlineExceeded,
        Self::BodyFailed,
        Self::ClientDisconnected,
    ];
}

/// Why a front turned a request away that no pool has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerRejection {
    /// The node holds as many requests as it may.
    RequestLimit,
    /// There is no place for another connection.
    ConnectionLimit,
}

impl ListenerRejection {
    const ALL: [Self; 2] = [Self::RequestLimit, Self::ConnectionLimit];
}

/// What a node ran out of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExhaustedResource {
    /// The system gives no descriptor for a client's connection.
    DownstreamConnection,
    /// No place for another connection to a server.
    UpstreamConnection,
}

impl ExhaustedResource {
    const ALL: [Self; 2] = [Self::DownstreamConnection, Self::UpstreamConnection];
}

/// States of an endpoint, by their stored codes.
const ENDPOINT_STATES: [EndpointState; 3] =
    [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed];

/// An event of a pool.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request came.
    RequestAdmitted {
        /// The pool's number for it.
        id: RequestId,
        /// Its class, by its place in the pool.
        class: u16,
        /// Its tenant, where there are tenants.
        tenant: Option<u32>,
        /// How long its client waits from now on.
        client_timeout: Nanos,
        /// How long it took the client to send it.
        upload_time: Nanos,
        /// What its client calls it.
        name: BoundedName,
        /// The revision of the configuration that it was admitted under; none on nodes that have but one, and in
        /// recordings of versions that did not record it.
        revision: Option<u64>,
    },
    /// What the module says of its reasons.
    Decision(DecisionEvent),
    /// An attempt began.
    AttemptStarted {
        /// Of this request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// To this server.
        endpoint: EndpointId,
        /// It is given up after so long.
        timeout: Option<Nanos>,
    },
    /// An attempt ended.
    AttemptEnded {
        /// Of this request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// At this server.
        endpoint: EndpointId,
        /// How.
        outcome: AttemptOutcome,
        /// It took so long.
        duration: Nanos,
        /// Of this, to get a connection.
        connect_time: Nanos,
        /// It went over a connection that had been idle for so long; none where that was new, or nothing was sent.
        connection_idle: Option<Nanos>,
    },
    /// The answer of an attempt began to pass through.
    ResponseStarted {
        /// Of this request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The final answer.
    RequestEnded {
        /// Of this request.
        id: RequestId,
        /// How.
        outcome: RequestOutcome,
    },
    /// The list spoke of a server.
    EndpointStateChanged {
        /// Which.
        endpoint: EndpointId,
        /// What it said.
        state: EndpointState,
    },
    /// Advice was heard.
    CapacityAdvice {
        /// Servers to avoid.
        endpoints_to_avoid: u32,
        /// Rights lent and granted.
        lease_grants: u32,
    },
    /// A front turned a request away.
    RejectedByListener {
        /// Its class, by its place in the pool.
        class: u16,
        /// Why.
        reason: ListenerRejection,
    },
    /// The node ran out of something.
    ResourceExhausted(ExhaustedResource),
    /// The fleet's view says how many nodes share the servers.
    NodeShareChanged {
        /// So many.
        nodes: u32,
        /// This one's number among them.
        node_index: u32,
    },
    /// A member of the fleet is held for something else: states by their numbers, alive 0, stalled 1, suspect 2, dead 3, left 4.
    MemberStateChanged {
        /// Which.
        name: BoundedName,
        /// Before; `None`: it was not known.
        from: Option<u8>,
        /// Now.
        to: u8,
    },
}

/// Tag of a request without a revision, as versions before revisions wrote it.
const ASKED: u8 = 1;
/// Tag of a request with the revision that it was admitted under.
const ASKED_UNDER_REVISION: u8 = 12;

const OUTCOMES: [AttemptOutcome; 8] = [
    AttemptOutcome::Success,
    AttemptOutcome::Error,
    AttemptOutcome::Rejected,
    AttemptOutcome::TimedOut,
    AttemptOutcome::ConnectFailed,
    AttemptOutcome::Reset,
    AttemptOutcome::Cancelled,
    AttemptOutcome::NotSent,
];
const STOPS: [NoRetryReason; 4] = [
    NoRetryReason::AttemptsExhausted,
    NoRetryReason::NotIdempotent,
    NoRetryReason::NoTimeLeft,
    NoRetryReason::RetryBudgetSpent,
];

/// Place of an outcome in rows of counts.
#[must_use]
pub fn outcome_index(outcome: AttemptOutcome) -> usize {
    OUTCOMES.iter().position(|&known| known == outcome).unwrap_or_default()
}

/// The outcome at a place.
#[must_use]
pub fn outcome_at(place: usize) -> Option<AttemptOutcome> {
    OUTCOMES.get(place).copied()
}

fn at<T: Copy>(all: &[T], place: u8) -> Option<T> {
    all.get(usize::from(place)).copied()
}

fn rule_code(rule: RejectionReason) -> u8 {
    match rule {
        RejectionReason::QueueTooLong => 0,
        RejectionReason::QueueTimeout => 1,
        RejectionReason::KeyOrderTimeout => 2,
        RejectionReason::NoRetry(stop) => {
            3 + STOPS.iter().position(|&known| known == stop).unwrap_or_default() as u8
        }
    }
}

fn rule_of(code: u8) -> Option<RejectionReason> {
    Some(match code {
        0 => RejectionReason::QueueTooLong,
        1 => RejectionReason::QueueTimeout,
        2 => RejectionReason::KeyOrderTimeout,
        code => RejectionReason::NoRetry(at(&STOPS, code - 3)?),
    })
}

impl Event {
    /// The request that it is about.
    #[must_use]
    pub fn request(&self) -> Option<RequestId> {
        match *self {
            Self::RequestAdmitted { id, .. }
            | Self::AttemptStarted { id, .. }
            | Self::AttemptEnded { id, .. }
            | Self::ResponseStarted { id, .. }
            | Self::RequestEnded { id, .. }
            | Self::Decision(
                DecisionEvent::Classified { id, .. }
                | DecisionEvent::Queued { id, .. }
                | DecisionEvent::EndpointSelected { id, .. }
                | DecisionEvent::NoEndpointAvailable { id, .. }
                | DecisionEvent::AnsweredWithoutEndpoint { id, .. },
            ) => Some(id),
            _ => None,
        }
    }

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
            Self::Decision(note) => encode_note(note, out),
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
            tag => Self::Decision(decode_note(tag, first, from)?),
        })
    }
}

fn encode_note(note: &DecisionEvent, out: &mut Vec<u8>) {
    let mut start = |tag: u8, first: u32| {
        out.push(tag);
        put(out, u64::from(first));
    };
    match *note {
        DecisionEvent::Classified { id, tier, priority_weight, objective_deadline } => {
            start(32, id.0);
            out.push(tier);
            put_f32(out, priority_weight);
            put(out, objective_deadline);
        }
        DecisionEvent::Queued { id, queued } => {
            start(33, id.0);
            put(out, u64::from(queued));
        }
        DecisionEvent::EndpointSelected {
            id,
            endpoint,
            score,
            runner_up,
            in_flight: used,
            limit,
            exclusions,
        } => {
            start(34, id.0);
            put(out, u64::from(endpoint.0));
            put_f32(out, score);
            put_some(out, runner_up.map(|(server, _)| u64::from(server.0)));
            if let Some((_, score)) = runner_up {
                put_f32(out, score);
            }
            put(out, u64::from(used));
            put_f32(out, limit);
            out.extend_from_slice(&exclusions.0);
        }
        DecisionEvent::NoEndpointAvailable { id, exclusions } => {
            start(35, id.0);
            out.extend_from_slice(&exclusions.0);
        }
        DecisionEvent::AnsweredWithoutEndpoint { id, reason, pressure } => {
            start(36, id.0);
            out.push(rule_code(reason));
            put_f32(out, pressure);
        }
        DecisionEvent::LimitChanged { endpoint, from, to, reason } => {
            start(37, endpoint.0);
            put_f32(out, from);
            put_f32(out, to);
            out.push(u8::from(reason == LimitChangeReason::Failure));
        }
        DecisionEvent::AllLimitsChanged { factor, utilization } => {
            start(38, 0);
            put_f32(out, factor);
            put_f32(out, utilization);
        }
        DecisionEvent::Ejected { endpoint, duration } => {
            start(39, endpoint.0);
            put(out, duration);
        }
        DecisionEvent::Reinstated { endpoint } => start(40, endpoint.0),
        DecisionEvent::OutlierRatio { outliers, total, panic_mode } => {
            start(41, outliers);
            put(out, u64::from(total));
            out.push(u8::from(panic_mode));
        }
        DecisionEvent::OverloadStarted { queued } => start(42, queued),
        DecisionEvent::OverloadEnded => start(43, 0),
        DecisionEvent::WatchLost => start(44, 0),
        DecisionEvent::WatchRestored => start(45, 0),
    }
}

fn decode_note(tag: u8, first: u32, from: &mut Reader<'_>) -> Option<DecisionEvent> {
    let (id, server) = (RequestId(first), EndpointId(first));
    let hurdles =
        |from: &mut Reader<'_>| from.take(5).and_then(|counts| counts.try_into().ok()).map(ExclusionReasons);
    Some(match tag {
        32 => DecisionEvent::Classified {
            id,
            tier: from.byte()?,
            priority_weight: from.f32()?,
            objective_deadline: from.number()?,
        },
        33 => DecisionEvent::Queued { id, queued: from.small()? },
        34 => {
            let (server, score) = (EndpointId(from.small()?), from.f32()?);
            let next = match from.some()? {
                Some(next) => Some((EndpointId(u32::try_from(next).ok()?), from.f32()?)),
                None => None,
            };
            let (out, limit) = (from.small()?, from.f32()?);
            DecisionEvent::EndpointSelected {
                id,
                endpoint: server,
                score,
                runner_up: next,
                in_flight: out,
                limit,
                exclusions: hurdles(from)?,
            }
        }
        35 => DecisionEvent::NoEndpointAvailable { id, exclusions: hurdles(from)? },
        36 => DecisionEvent::AnsweredWithoutEndpoint {
            id,
            reason: rule_of(from.byte()?)?,
            pressure: from.f32()?,
        },
        37 => DecisionEvent::LimitChanged {
            endpoint: server,
            from: from.f32()?,
            to: from.f32()?,
            reason: if from.byte()? == 0 {
                LimitChangeReason::ComparedLatency
            } else {
                LimitChangeReason::Failure
            },
        },
        38 => DecisionEvent::AllLimitsChanged { factor: from.f32()?, utilization: from.f32()? },
        39 => DecisionEvent::Ejected { endpoint: server, duration: from.number()? },
        40 => DecisionEvent::Reinstated { endpoint: server },
        41 => DecisionEvent::OutlierRatio {
            outliers: first,
            total: from.small()?,
            panic_mode: from.byte()? != 0,
        },
        42 => DecisionEvent::OverloadStarted { queued: first },
        43 => DecisionEvent::OverloadEnded,
        44 => DecisionEvent::WatchLost,
        45 => DecisionEvent::WatchRestored,
        _ => return None,
    })
}
