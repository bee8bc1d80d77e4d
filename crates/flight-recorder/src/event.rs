//! What is recorded, and its binary form.
//!
//! A record is its length, the microseconds since the record before it, the pool, a tag and the fields. Unknown tags are
//! passed over by their length: a later version may add some.

use pumicehead_policy::decision_event::{
    DecisionEvent, ExclusionReasons, LimitChangeReason, NoRetryReason, RejectionReason,
};
use pumicehead_policy::{AttemptNo, AttemptOutcome, EndpointId, EndpointState, Nanos, RequestId};

use crate::wire_format::{Reader, put, put_bytes, put_f32, put_some};
use crate::bounded_text::Name;

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
    const ALL: [Self; 7] =
        [Self::Served, Self::ServedError, Self::Rejected, Self::Failed, Self::DeadlineExceeded, Self::BodyFailed, Self::ClientDisconnected];
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
    Asked {
        /// The pool's number for it.
        id: RequestId,
        /// Its class, by its place in the pool.
        class: u16,
        /// Its tenant, where there are tenants.
        tenant: Option<u32>,
        /// How long its client waits from now on.
        left: Nanos,
        /// How long it took the client to send it.
        sending: Nanos,
        /// What its client calls it.
        name: Name,
        /// The revision of the configuration that it was admitted under; none on nodes that have but one, and in
        /// recordings of versions that did not record it.
        revision: Option<u64>,
    },
    /// What the module says of its reasons.
    Note(DecisionEvent),
    /// An attempt began.
    Sent {
        /// Of this request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// To this server.
        server: EndpointId,
        /// It is given up after so long.
        timeout: Option<Nanos>,
    },
    /// An attempt ended.
    Ended {
        /// Of this request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
        /// At this server.
        server: EndpointId,
        /// How.
        outcome: AttemptOutcome,
        /// It took so long.
        took: Nanos,
        /// Of this, to get a connection.
        dial: Nanos,
        /// It went over a connection that had been idle for so long; none where that was new, or nothing was sent.
        idle: Option<Nanos>,
    },
    /// The answer of an attempt began to pass through.
    Began {
        /// Of this request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// The final answer.
    Over {
        /// Of this request.
        id: RequestId,
        /// How.
        how: RequestOutcome,
    },
    /// The list spoke of a server.
    Server {
        /// Which.
        server: EndpointId,
        /// What it said.
        listed: EndpointState,
    },
    /// Advice was heard.
    Advice {
        /// Servers to avoid.
        avoid: u32,
        /// Rights lent and granted.
        rights: u32,
    },
    /// A front turned a request away.
    Turned {
        /// Its class, by its place in the pool.
        class: u16,
        /// Why.
        why: ListenerRejection,
    },
    /// The node ran out of something.
    Short(ExhaustedResource),
    /// The fleet's view says how many nodes share the servers.
    Sharing {
        /// So many.
        nodes: u32,
        /// This one's number among them.
        number: u32,
    },
    /// A member of the fleet is held for something else: states by their numbers, alive 0, stalled 1, suspect 2, dead 3, left 4.
    Member {
        /// Which.
        name: Name,
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
pub fn place(outcome: AttemptOutcome) -> usize {
    OUTCOMES.iter().position(|&known| known == outcome).unwrap_or_default()
}

/// The outcome at a place.
#[must_use]
pub fn outcome(place: usize) -> Option<AttemptOutcome> {
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
            Self::Asked { id, .. }
            | Self::Sent { id, .. }
            | Self::Ended { id, .. }
            | Self::Began { id, .. }
            | Self::Over { id, .. }
            | Self::Note(
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
            Self::Asked { id, class, tenant, left, sending, name, revision } => {
                match revision {
                    None => start(ASKED, id.0),
                    Some(revision) => {
                        start(ASKED_UNDER_REVISION, id.0);
                        put(out, *revision);
                    }
                }
                put(out, u64::from(*class));
                put_some(out, tenant.map(u64::from));
                put(out, *left);
                put(out, *sending);
                put_bytes(out, name.start.as_bytes());
                out.extend_from_slice(&name.hash.to_le_bytes());
            }
            Self::Sent { id, attempt, server, timeout } => {
                start(2, id.0);
                out.push(attempt.0);
                put(out, u64::from(server.0));
                put_some(out, *timeout);
            }
            Self::Ended { id, attempt, server, outcome, took, dial, idle } => {
                start(3, id.0);
                out.push(attempt.0);
                put(out, u64::from(server.0));
                out.push(place(*outcome) as u8);
                put(out, *took);
                put(out, *dial);
                put_some(out, *idle);
            }
            Self::Began { id, attempt } => {
                start(4, id.0);
                out.push(attempt.0);
            }
            Self::Over { id, how } => {
                start(5, id.0);
                out.push(RequestOutcome::ALL.iter().position(|known| known == how).unwrap_or_default() as u8);
            }
            Self::Server { server, listed } => {
                start(6, server.0);
                out.push(ENDPOINT_STATES.iter().position(|known| known == listed).unwrap_or_default() as u8);
            }
            Self::Advice { avoid, rights } => {
                start(7, *avoid);
                put(out, u64::from(*rights));
            }
            Self::Turned { class, why } => {
                start(8, u32::from(*class));
                out.push(ListenerRejection::ALL.iter().position(|known| known == why).unwrap_or_default() as u8);
            }
            Self::Short(what) => {
                start(9, ExhaustedResource::ALL.iter().position(|known| known == what).unwrap_or_default() as u32);
            }
            Self::Sharing { nodes, number } => {
                start(10, *nodes);
                put(out, u64::from(*number));
            }
            Self::Member { name, from, to } => {
                start(11, u32::from(*to));
                put_some(out, from.map(u64::from));
                put_bytes(out, name.start.as_bytes());
                out.extend_from_slice(&name.hash.to_le_bytes());
            }
            Self::Note(note) => encode_note(note, out),
        }
    }

    /// Reads a tag and its fields; `None` where they are not what they should be, or the tag is not known.
    #[must_use]
    pub fn decode(from: &mut Reader<'_>) -> Option<Self> {
        let tag = from.byte()?;
        let first = from.small::<u32>()?;
        let id = RequestId(first);
        Some(match tag {
            ASKED | ASKED_UNDER_REVISION => Self::Asked {
                id,
                revision: if tag == ASKED { None } else { Some(from.number()?) },
                class: from.small()?,
                tenant: from.some()?.map(u32::try_from).transpose().ok()?,
                left: from.number()?,
                sending: from.number()?,
                name: Name {
                    start: from.text()?.into(),
                    hash: u64::from_le_bytes(from.take(8)?.try_into().ok()?),
                },
            },
            2 => Self::Sent {
                id,
                attempt: AttemptNo(from.byte()?),
                server: EndpointId(from.small()?),
                timeout: from.some()?,
            },
            3 => Self::Ended {
                id,
                attempt: AttemptNo(from.byte()?),
                server: EndpointId(from.small()?),
                outcome: at(&OUTCOMES, from.byte()?)?,
                took: from.number()?,
                dial: from.number()?,
                idle: from.some()?,
            },
            4 => Self::Began { id, attempt: AttemptNo(from.byte()?) },
            5 => Self::Over { id, how: at(&RequestOutcome::ALL, from.byte()?)? },
            6 => Self::Server { server: EndpointId(first), listed: at(&ENDPOINT_STATES, from.byte()?)? },
            7 => Self::Advice { avoid: first, rights: from.small()? },
            8 => Self::Turned { class: u16::try_from(first).ok()?, why: at(&ListenerRejection::ALL, from.byte()?)? },
            9 => Self::Short(at(&ExhaustedResource::ALL, u8::try_from(first).ok()?)?),
            10 => Self::Sharing { nodes: first, number: from.small()? },
            11 => Self::Member {
                to: u8::try_from(first).ok()?,
                from: from.some()?.map(u8::try_from).transpose().ok()?,
                name: Name {
                    start: from.text()?.into(),
                    hash: u64::from_le_bytes(from.take(8)?.try_into().ok()?),
                },
            },
            tag => Self::Note(decode_note(tag, first, from)?),
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
