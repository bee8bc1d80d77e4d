//! What a request's worth came to, and the one cause that its loss is put down to. Worth is counted in millionths and in
//! whole numbers, so that sums are exact however they are cut.

use std::fmt;

use pumicehead_policy::decision_event::{DecisionEvent, NoRetryReason, RejectionReason};
use pumicehead_policy::{AttemptNo, AttemptOutcome, EndpointId, Nanos};

use crate::event::{Event, RequestOutcome, ListenerRejection, outcome_at, outcome_index};

/// Millionths of worth.
pub type Micro = u64;

/// A worth in [`Micro`]; what is no number is none.
#[must_use]
pub fn micro(worth: f64) -> Micro {
    // Casting holds at the ends of the range.
    (worth * 1e6).round() as Micro
}

/// Where a request's time went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Where {
    /// To its client, until all of it was here.
    Client,
    /// To waiting for a server with room.
    Queue,
    /// To attempts before the last, which ended badly.
    Earlier,
    /// To getting a connection for the last attempt.
    Connect,
    /// To the server of the last attempt.
    Server,
}

impl Where {
    const ALL: [Self; 5] = [Self::Client, Self::Queue, Self::Earlier, Self::Connect, Self::Server];
}

/// What a loss is put down to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Refused: its tier's queue was too long.
    WaitShare,
    /// Refused: held until its time was nearly up.
    NearlyOut,
    /// Refused: its key's turn did not come.
    NoTurn,
    /// Its last attempt ended so, by the place of the outcome, and there was no other.
    Failed(u8),
    /// Served after its aim.
    Late(Where),
    /// No answer by its deadline.
    OutOfTime(Where),
    /// Its client left before it had an answer.
    Left(Where),
    /// Its body was too slow, too long or broke off.
    Body,
    /// A front turned it away.
    Turned(bool),
    /// What has no row of its own.
    Other,
}

impl Cause {
    /// As a number that stays the same across versions.
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::WaitShare => 0,
            Self::NearlyOut => 1,
            Self::NoTurn => 2,
            Self::Failed(place) => 10 + place,
            Self::Late(place) => 20 + place as u8,
            Self::OutOfTime(place) => 30 + place as u8,
            Self::Left(place) => 40 + place as u8,
            Self::Body => 50,
            Self::Turned(connections) => 60 + u8::from(connections),
            Self::Other => 255,
        }
    }

    /// Of a number; one that is not known is another cause.
    #[must_use]
    pub fn of(code: u8) -> Self {
        let place = |start: u8| Where::ALL.get(usize::from(code - start)).copied();
        match code {
            0 => Self::WaitShare,
            1 => Self::NearlyOut,
            2 => Self::NoTurn,
            10..=17 => Self::Failed(code - 10),
            20..=24 => place(20).map_or(Self::Other, Self::Late),
            30..=34 => place(30).map_or(Self::Other, Self::OutOfTime),
            40..=44 => place(40).map_or(Self::Other, Self::Left),
            50 => Self::Body,
            60 | 61 => Self::Turned(code == 61),
            _ => Self::Other,
        }
    }

    /// Of a front's reason.
    #[must_use]
    pub fn turned(why: ListenerRejection) -> Self {
        Self::Turned(why == ListenerRejection::ConnectionLimit)
    }
}

impl fmt::Display for Where {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Client => "its client was slow to send it",
            Self::Queue => "it waited for a server with room",
            Self::Earlier => "earlier attempts took the time",
            Self::Connect => "a connection took long",
            Self::Server => "the server took long",
        })
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::WaitShare => write!(out, "refused: the queue was too long for its time"),
            Self::NearlyOut => write!(out, "refused: held until its time was nearly up"),
            Self::NoTurn => write!(out, "refused: its key's turn did not come"),
            Self::Failed(at) => write!(out, "failed: {}", outcome_at(usize::from(*at)).map_or("unknown", said)),
            Self::Late(at) => write!(out, "late: {at}"),
            Self::OutOfTime(at) => write!(out, "no answer in time: {at}"),
            Self::Left(at) => write!(out, "the client left: {at}"),
            Self::Body => write!(out, "failed: its body was too slow, too long or broke off"),
            Self::Turned(false) => write!(out, "turned away: the node holds as many as it may"),
            Self::Turned(true) => write!(out, "turned away: no place for another connection"),
            Self::Other => write!(out, "other causes"),
        }
    }
}

/// How an attempt ended, in words.
#[must_use]
pub fn said(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Success => "answered",
        AttemptOutcome::Error => "answered with an error",
        AttemptOutcome::Rejected => "turned away as full",
        AttemptOutcome::TimedOut => "no answer in time",
        AttemptOutcome::ConnectFailed => "no connection",
        AttemptOutcome::Reset => "the connection broke",
        AttemptOutcome::Cancelled => "called back",
        AttemptOutcome::NotSent => "never sent",
    }
}

/// A loss as it is booked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// What it was worth.
    pub asked: Micro,
    /// What of it was earned.
    pub earned: Micro,
    /// What the rest is put down to, where there is a rest.
    pub cause: Option<Cause>,
    /// The server that carries it, where one does.
    pub server: Option<EndpointId>,
    /// Why there was no further attempt, where that was asked.
    pub stop: Option<NoRetryReason>,
}

impl Verdict {
    /// What was lost.
    #[must_use]
    pub fn lost(&self) -> Micro {
        self.asked.saturating_sub(self.earned)
    }
}

/// An attempt that ended badly.
#[derive(Clone, Copy, Debug)]
struct Bad {
    server: EndpointId,
    outcome: AttemptOutcome,
    took: Nanos,
}

/// The life of a request, as far as its loss goes.
#[derive(Clone, Debug)]
pub struct Life {
    asked_at: Nanos,
    sending: Nanos,
    worth: Micro,
    late_worth: f64,
    aim_at: Nanos,
    rule: Option<RejectionReason>,
    /// Attempts out: number, server, sent.
    out: Vec<(AttemptNo, EndpointId, Nanos)>,
    sends: u32,
    /// Waiting with no attempt out, so far, and since when.
    waited: Nanos,
    idle_since: Option<Nanos>,
    /// The worst of those that ended badly, and the last.
    worst: Option<Bad>,
    last: Option<Bad>,
    bad: Nanos,
    /// The one that was answered: server, time, of that for its connection.
    good: Option<(EndpointId, Nanos, Nanos)>,
}

impl Life {
    /// Of one that came at `at`, with the worth and the aim of its class until the module says more.
    #[must_use]
    pub fn new(at: Nanos, sending: Nanos, worth: f64, late_worth: f64, aim: Nanos) -> Self {
        Self {
            asked_at: at,
            sending,
            worth: micro(worth),
            late_worth,
            aim_at: at.saturating_add(aim),
            rule: None,
            out: Vec::new(),
            sends: 0,
            waited: 0,
            idle_since: Some(at),
            worst: None,
            last: None,
            bad: 0,
            good: None,
        }
    }

    /// Takes an event of it in.
    pub fn see(&mut self, at: Nanos, event: &Event) {
        match event {
            Event::Decision(DecisionEvent::Classified { priority_weight, objective_deadline, .. }) => {
                self.worth = micro(f64::from(*priority_weight));
                self.aim_at = *objective_deadline;
            }
            Event::Decision(DecisionEvent::AnsweredWithoutEndpoint { reason, .. }) => self.rule = Some(*reason),
            Event::AttemptStarted { attempt, endpoint, .. } => {
                self.sends += 1;
                if let Some(since) = self.idle_since.take() {
                    self.waited += at.saturating_sub(since);
                }
                self.out.push((*attempt, *endpoint, at));
            }
            Event::ResponseStarted { attempt, .. } => {
                if let Some(&(_, server, sent)) = self.out.iter().find(|(number, ..)| number == attempt) {
                    self.good = Some((server, at.saturating_sub(sent), 0));
                }
            }
            Event::AttemptEnded { attempt, endpoint, outcome, duration, connect_time, .. } => {
                self.out.retain(|(number, ..)| number != attempt);
                if *outcome == AttemptOutcome::Success {
                    self.good.get_or_insert((*endpoint, *duration, *connect_time));
                } else if *outcome != AttemptOutcome::Cancelled || self.good.is_none() {
                    let bad = Bad { server: *endpoint, outcome: *outcome, took: *duration };
                    self.last = Some(bad);
                    self.bad += duration;
                    if self.worst.is_none_or(|worst| worst.took <= bad.took) {
                        self.worst = Some(bad);
                    }
                }
                if self.out.is_empty() {
                    self.idle_since = Some(at);
                }
            }
            _ => {}
        }
    }

    /// Attempts that are still out.
    #[must_use]
    pub fn out(&self) -> usize {
        self.out.len()
    }

    /// Attempts that were made.
    #[must_use]
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// When it came.
    #[must_use]
    pub fn asked_at(&self) -> Nanos {
        self.asked_at
    }

    /// The share of the time to its aim that had passed by `at`.
    #[must_use]
    pub fn used(&self, at: Nanos) -> f64 {
        let aim = self.aim_at.saturating_sub(self.asked_at).max(1);
        at.saturating_sub(self.asked_at) as f64 / aim as f64
    }

    /// Where its time went by `at`, and the server that carries it.
    fn spent(&self, at: Nanos) -> (Where, Option<EndpointId>) {
        let idle = self.idle_since.map_or(0, |since| at.saturating_sub(since));
        let oldest = self.out.first().map(|&(_, server, sent)| (server, at.saturating_sub(sent), 0));
        let last = self.good.or(oldest);
        let (served, dial) = last.map_or((0, 0), |(_, took, dial)| (took.saturating_sub(dial), dial));
        let spans = [
            (self.sending, Where::Client),
            (self.waited + if self.good.is_some() { 0 } else { idle }, Where::Queue),
            (self.bad, Where::Earlier),
            (dial, Where::Connect),
            (served, Where::Server),
        ];
        let most = spans.into_iter().max_by_key(|&(span, _)| span).map_or(Where::Queue, |(_, place)| place);
        let server = match most {
            Where::Client | Where::Queue => None,
            Where::Earlier => self.worst.map(|bad| bad.server),
            Where::Connect | Where::Server => last.map(|(server, ..)| server),
        };
        (most, server)
    }

    /// What it came to, with its final answer at `at`.
    #[must_use]
    pub fn judge(&self, at: Nanos, how: RequestOutcome) -> Verdict {
        let late = at > self.aim_at;
        let earned = match how {
            RequestOutcome::Served if late => micro(self.worth as f64 / 1e6 * self.late_worth).min(self.worth),
            RequestOutcome::Served => self.worth,
            _ => 0,
        };
        let stop = if let Some(RejectionReason::NoRetry(stop)) = self.rule { Some(stop) } else { None };
        let verdict = |(cause, server)| Verdict {
            asked: self.worth,
            earned,
            cause: Some(cause).filter(|_| earned < self.worth),
            server,
            stop,
        };
        let (place, server) = self.spent(at);
        let failed = |bad: Bad| (Cause::Failed(crate::event::outcome_index(bad.outcome) as u8), Some(bad.server));
        verdict(match (how, self.rule) {
            (RequestOutcome::Served, _) => (Cause::Late(place), server),
            (RequestOutcome::BodyFailed, _) => (Cause::Body, None),
            (RequestOutcome::ClientDisconnected, _) => (Cause::Left(place), server),
            (RequestOutcome::ServedError, _) => self.last.map_or((Cause::Failed(place_of_error()), server), failed),
            (_, Some(RejectionReason::QueueTooLong)) => (Cause::WaitShare, None),
            (_, Some(RejectionReason::QueueTimeout)) => (Cause::NearlyOut, None),
            (_, Some(RejectionReason::KeyOrderTimeout)) => (Cause::NoTurn, None),
            (_, Some(RejectionReason::NoRetry(_))) => {
                self.last.map_or((Cause::OutOfTime(place), server), failed)
            }
            (_, None) => match self.last {
                // Nothing was out any more: what ended last is what failed.
                Some(bad) if self.out.is_empty() => failed(bad),
                _ => (Cause::OutOfTime(place), server),
            },
        })
    }
}

fn place_of_error() -> u8 {
    outcome_index(AttemptOutcome::Error) as u8
}
