//! Why worth was lost: each row of losses is put down to a finding, which names a server, a class, a pool, the node or its
//! clients, and says what is the matter there.
//!
//! A loss whose own request shows the fault goes there: to a server that breaks off far more often than others do, or to
//! a class whose answers can't come in the time it states. A loss in the queue shows nothing by itself: places were
//! taken. It is put down to those who took them for nothing, in proportion, where that is a good part of all the time that
//! places were taken; else to the pool, which was asked for more than its servers hold. Parts are whole numbers and add up.

use std::collections::BTreeMap;
use std::fmt;

use pumicehead_policy::{AttemptOutcome, Nanos};

use crate::code_tables::{outcome_at, outcome_index};
use crate::event::PoolId;
use crate::loss_cause::{LossCause, MicroWeight, RequestPhase, outcome_text};
use crate::loss_ledger::{EndpointKey, EndpointTotals, LossKey, LossLedger, NO_ENDPOINT, TrafficTotals};
use crate::recording::RecordingHeader;
use crate::timestamp;

/// A server is at fault where the share of its attempts that end badly in one way is over this multiple of the others' ...
const OWN_FAULT: f64 = 2.0;
/// ... by more than this ...
const OWN_SHARE: f64 = 0.02;
/// ... and chance alone would bring about so many less often than this, were it like the others, which fail once in a
/// hundred at the least.
const BY_CHANCE: f64 = 1e-3;
const LEAST_SHARE: f64 = 0.01;
/// Answers from which on a mean says something.
const ENOUGH: u64 = 3;
/// A server is slow whose answers take this multiple of what they take at the others.
const SLOW: f64 = 1.5;
/// Time that places were taken for nothing counts as the cause of a queue from this share of all the time on.
const WASTE: f64 = 0.2;
/// A class gets no answers where fewer than this share of its attempts are answered ...
const UNANSWERED: f64 = 0.2;
/// ... by servers that answer at least this share of the others' attempts.
const ANSWERING: f64 = 0.8;

/// Who or what a loss is put down to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A server.
    Endpoint(PoolId, u32),
    /// A class, by its place in its pool.
    Class(PoolId, u16),
    /// All servers of a pool.
    Pool(PoolId),
    /// The node itself.
    Node,
    /// Clients.
    Clients(PoolId),
}

/// What is the matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Symptom {
    /// Attempts get no answer.
    Unresponsive,
    /// Connections break.
    ConnectionResets,
    /// It answers with errors.
    ErrorResponses,
    /// It turns requests away.
    RejectsRequests,
    /// It takes no connections.
    Unreachable,
    /// It answers far more slowly than others.
    SlowResponses,
    /// Connections to it take long.
    SlowConnects,
    /// Its answers can't come in the time that it states.
    ObjectiveTooShort,
    /// There are too few descriptors.
    DescriptorsExhausted,
    /// It holds as many requests as it may.
    RequestLimitReached,
    /// More is asked than there is room for.
    Overloaded,
    /// Requests of one key wait for each other.
    KeyOrderWaits,
    /// Clients leave before their answer.
    ClientDisconnects,
    /// Bodies are slow or break off.
    BodyFailures,
    /// Nothing that has a name here.
    Other,
}

impl Subject {
    /// Its name in the JSON of `pumicehead why`, which stays whatever the variant is called.
    #[must_use]
    pub fn exported_name(self) -> String {
        match self {
            Self::Endpoint(pool, server) => format!("Server({}, {server})", exported_pool(pool)),
            Self::Class(pool, class) => format!("Class({}, {class})", exported_pool(pool)),
            Self::Pool(pool) => format!("Pool({})", exported_pool(pool)),
            Self::Node => "Node".to_owned(),
            Self::Clients(pool) => format!("Clients({})", exported_pool(pool)),
        }
    }
}

fn exported_pool(pool: PoolId) -> String {
    format!("PoolId({})", pool.0)
}

impl Symptom {
    /// Its name in the JSON of `pumicehead why`, which stays whatever the variant is called.
    #[must_use]
    pub fn exported_name(self) -> &'static str {
        match self {
            Self::Unresponsive => "Silent",
            Self::ConnectionResets => "Resets",
            Self::ErrorResponses => "Errors",
            Self::RejectsRequests => "TurnsAway",
            Self::Unreachable => "Unreachable",
            Self::SlowResponses => "Slow",
            Self::SlowConnects => "SlowToConnect",
            Self::ObjectiveTooShort => "TooTight",
            Self::DescriptorsExhausted => "Descriptors",
            Self::RequestLimitReached => "Held",
            Self::Overloaded => "Crowded",
            Self::KeyOrderWaits => "Turns",
            Self::ClientDisconnects => "Leave",
            Self::BodyFailures => "Bodies",
            Self::Other => "Other",
        }
    }
}

/// A cause with what it cost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Who or what.
    pub subject: Subject,
    /// What is the matter.
    pub symptom: Symptom,
    /// Worth put down to it.
    pub lost: MicroWeight,
    /// By so many requests, where a request that is put down in parts counts for the largest.
    pub requests: u64,
    /// In words, with the evidence.
    pub text: String,
}

/// Sums of one pool over the span.
#[derive(Default)]
struct Pool {
    servers: BTreeMap<u32, EndpointTotals>,
    classes: BTreeMap<u16, TrafficTotals>,
}

impl Pool {
    /// Share of attempts at one server, and at all others, that end in one of some ways.
    fn shares(&self, server: u32, ways: &[AttemptOutcome]) -> (f64, f64, u64) {
        let count = |row: &EndpointTotals| {
            ways.iter().map(|way| row.attempts_by_outcome[outcome_index(*way)]).sum::<u64>()
        };
        let (mut own, mut others) = ((0, 0), (0, 0));
        for (id, row) in &self.servers {
            let sum = if *id == server { &mut own } else { &mut others };
            *sum = (sum.0 + count(row), sum.1 + row.attempts());
        }
        let share = |(bad, all): (u64, u64)| bad as f64 / (all as f64).max(1.0);
        (share(own), share(others), own.0)
    }

    fn is_own(&self, server: u32, ways: &[AttemptOutcome]) -> bool {
        let (own, others, count) = self.shares(server, ways);
        let attempts = self.servers.get(&server).map_or(0, EndpointTotals::attempts);
        // Chernoff's bound on so many or more of a binomial count: (e n p / k)^k.
        let expected = attempts as f64 * others.max(LEAST_SHARE);
        let chance = (std::f64::consts::E * expected / count.max(1) as f64).powf(count as f64);
        count > 0 && own > OWN_FAULT * others + OWN_SHARE && chance < BY_CHANCE
    }

    /// How slow a server's answers are against those of the others.
    fn slowness(&self, server: u32) -> f64 {
        let answered = |row: &EndpointTotals| row.attempts_by_outcome[outcome_index(AttemptOutcome::Success)];
        let Some(row) = self.servers.get(&server).filter(|row| answered(row) >= ENOUGH) else {
            return 1.0;
        };
        let mean = |row: &EndpointTotals| row.relative_latency_permille as f64 / answered(row).max(1) as f64;
        let mut others: Vec<_> = self
            .servers
            .iter()
            .filter(|(id, row)| **id != server && answered(row) > 0)
            .map(|(_, row)| mean(row))
            .collect();
        others.sort_by(f64::total_cmp);
        // The median: one other that is slow as well changes little.
        others.get(others.len() / 2).map_or(1.0, |middle| mean(row) / middle.max(1.0))
    }

    /// What is the matter with a server, if anything, the gravest first.
    fn matter(&self, server: u32) -> Option<Symptom> {
        let ways: [(&[AttemptOutcome], Symptom); 5] = [
            (&[AttemptOutcome::TimedOut, AttemptOutcome::Cancelled], Symptom::Unresponsive),
            (&[AttemptOutcome::Reset], Symptom::ConnectionResets),
            (&[AttemptOutcome::ConnectFailed], Symptom::Unreachable),
            (&[AttemptOutcome::Error], Symptom::ErrorResponses),
            (&[AttemptOutcome::Rejected], Symptom::RejectsRequests),
        ];
        let own = ways.into_iter().filter(|(ways, _)| self.is_own(server, ways));
        let gravest = own.max_by(|(one, _), (other, _)| {
            let excess = |ways| {
                let (own, others, _) = self.shares(server, ways);
                own - others
            };
            excess(one).total_cmp(&excess(other))
        });
        let slow = self.slowness(server) >= SLOW;
        match gravest.map(|(_, matter)| matter) {
            // Called back for being late, and answering all the same: that is slow, not silent.
            Some(Symptom::Unresponsive) if slow && self.answers(server) > 0.5 => Some(Symptom::SlowResponses),
            None if slow => Some(Symptom::SlowResponses),
            matter => matter,
        }
    }

    fn answers(&self, server: u32) -> f64 {
        self.shares(server, &[AttemptOutcome::Success]).0
    }

    /// Microseconds for which a server's places were taken for nothing.
    fn waste(&self, server: u32, row: &EndpointTotals) -> u64 {
        if self.matter(server).is_none() {
            return 0;
        }
        let slow = self.slowness(server);
        let extra = if slow >= SLOW { row.answered_us as f64 * (1.0 - 1.0 / slow) } else { 0.0 };
        row.unanswered_us.saturating_add(extra as u64)
    }

    /// Whether a class states a time that its answers can't come in, while others are answered.
    fn is_tight(&self, class: u16, aim: Nanos, deadline: Nanos) -> bool {
        let Some(flow) = self.classes.get(&class) else { return false };
        // The aim is what the worth goes by, whatever the deadline.
        if flow.answered_attempts >= ENOUGH
            && flow.fastest_us_plus_one.saturating_sub(1).saturating_mul(1_000) > aim
        {
            return true;
        }
        let all = flow.answered_attempts + flow.unanswered_attempts;
        let others = self.classes.iter().filter(|(other, _)| **other != class);
        let (answered, tried, took) = others.fold((0, 0, 0), |(a, t, s), (_, other)| {
            (
                a + other.answered_attempts,
                t + other.answered_attempts + other.unanswered_attempts,
                s + other.answered_us,
            )
        });
        let starved = all >= ENOUGH && (flow.answered_attempts as f64) < UNANSWERED * all as f64;
        let fine = tried >= ENOUGH && answered as f64 >= ANSWERING * tried as f64;
        // What others are answered in on average is more than it allows.
        starved && fine && took.saturating_mul(1_000) / answered.max(1) > deadline.min(aim) / 2
    }
}

/// The state of one reading.
struct Reading<'a> {
    head: &'a RecordingHeader,
    short: [u64; 2],
    pools: BTreeMap<PoolId, Pool>,
    found: BTreeMap<(Subject, Symptom), (MicroWeight, u64)>,
}

/// The findings of a span, the largest first.
#[must_use]
pub fn find(head: &RecordingHeader, accounts: &LossLedger, from: Nanos, to: Nanos) -> Vec<Finding> {
    let (from, to) = accounts.aligned(from, to);
    let mut pools: BTreeMap<PoolId, Pool> = BTreeMap::new();
    for (_, EndpointKey { pool, endpoint }, row) in accounts.endpoints.rows_between(from, to) {
        crate::loss_ledger::Row::add(
            pools.entry(pool).or_default().servers.entry(endpoint).or_default(),
            row,
        );
    }
    for (_, key, row) in accounts.traffic.rows_between(from, to) {
        crate::loss_ledger::Row::add(
            pools.entry(key.pool).or_default().classes.entry(key.class).or_default(),
            row,
        );
    }
    let mut reading = Reading { head, short: accounts.resource_exhaustions, pools, found: BTreeMap::new() };
    for (_, key, loss) in accounts.losses.rows_between(from, to) {
        reading.put_down(key, loss.lost, loss.requests);
    }
    reading.note_waste();
    let mut all: Vec<_> = reading
        .found
        .iter()
        .map(|(&(subject, matter), &(lost, count))| Finding {
            subject,
            symptom: matter,
            lost,
            requests: count,
            text: reading.say(subject, matter),
        })
        .collect();
    all.sort_by_key(|one| std::cmp::Reverse((one.lost, one.requests)));
    all
}

impl Reading<'_> {
    fn book(&mut self, subject: Subject, matter: Symptom, lost: MicroWeight, count: u64) {
        let row = self.found.entry((subject, matter)).or_default();
        row.0 = row.0.saturating_add(lost);
        row.1 = row.1.saturating_add(count);
    }

    fn put_down(&mut self, key: LossKey, lost: MicroWeight, count: u64) {
        let pool = key.pool;
        let class =
            self.head.pools.get(usize::from(pool.0)).and_then(|p| p.classes.get(usize::from(key.class)));
        let (aim, deadline) =
            class.map_or((Nanos::MAX, Nanos::MAX), |class| (class.latency_objective_ns, class.deadline_ns));
        let known = self.pools.get(&pool);
        let tight = known.is_some_and(|known| known.is_tight(key.class, aim, deadline));
        let of_server =
            known.filter(|_| key.endpoint != NO_ENDPOINT).and_then(|known| known.matter(key.endpoint));
        let server = Subject::Endpoint(pool, key.endpoint);
        let (subject, matter) = match LossCause::from_code(key.cause) {
            LossCause::RejectedByListener(true) => (Subject::Node, Symptom::DescriptorsExhausted),
            LossCause::RejectedByListener(false) => (Subject::Node, Symptom::RequestLimitReached),
            LossCause::BodyFailed
            | LossCause::ObjectiveMissed(RequestPhase::Upload)
            | LossCause::DeadlineExceeded(RequestPhase::Upload)
            | LossCause::ClientDisconnected(RequestPhase::Upload) => {
                (Subject::Clients(pool), Symptom::BodyFailures)
            }
            LossCause::KeyOrderTimeout => (Subject::Pool(pool), Symptom::KeyOrderWaits),
            LossCause::AttemptFailed(at)
                if outcome_at(usize::from(at)) == Some(AttemptOutcome::NotSent) && self.short[1] > 0 =>
            {
                (Subject::Node, Symptom::DescriptorsExhausted)
            }
            LossCause::Other => (Subject::Pool(pool), Symptom::Other),
            // A class that states too short a time makes every server look silent.
            _ if tight => (Subject::Class(pool, key.class), Symptom::ObjectiveTooShort),
            LossCause::ObjectiveMissed(RequestPhase::Connect)
            | LossCause::DeadlineExceeded(RequestPhase::Connect)
            | LossCause::ClientDisconnected(RequestPhase::Connect) => {
                (server, of_server.unwrap_or(Symptom::SlowConnects))
            }
            LossCause::AttemptFailed(at) => match (of_server, outcome_at(usize::from(at))) {
                (Some(matter), _) => (server, matter),
                (None, Some(AttemptOutcome::Rejected)) => (Subject::Pool(pool), Symptom::Overloaded),
                (None, Some(AttemptOutcome::TimedOut)) => (Subject::Pool(pool), Symptom::Unresponsive),
                (None, Some(AttemptOutcome::Reset)) => (Subject::Pool(pool), Symptom::ConnectionResets),
                (None, Some(AttemptOutcome::Error)) => (Subject::Pool(pool), Symptom::ErrorResponses),
                (None, Some(AttemptOutcome::ConnectFailed)) => (Subject::Pool(pool), Symptom::Unreachable),
                _ => (Subject::Pool(pool), Symptom::Other),
            },
            LossCause::ObjectiveMissed(RequestPhase::Endpoint | RequestPhase::EarlierAttempts)
            | LossCause::DeadlineExceeded(RequestPhase::Endpoint | RequestPhase::EarlierAttempts)
            | LossCause::ClientDisconnected(RequestPhase::Endpoint | RequestPhase::EarlierAttempts) => {
                match of_server {
                    Some(matter) => (server, matter),
                    None => return self.put_down_queue(pool, lost, count),
                }
            }
            LossCause::QueueTooLong
            | LossCause::QueueTimeout
            | LossCause::ObjectiveMissed(_)
            | LossCause::DeadlineExceeded(_) => {
                return self.put_down_queue(pool, lost, count);
            }
            LossCause::ClientDisconnected(RequestPhase::Queue) => {
                (Subject::Clients(pool), Symptom::ClientDisconnects)
            }
        };
        self.book(subject, matter, lost, count);
    }

    /// Puts a loss for want of room down to those who took it for nothing.
    fn put_down_queue(&mut self, pool: PoolId, lost: MicroWeight, count: u64) {
        let Some(known) = self.pools.get(&pool) else {
            return self.book(Subject::Pool(pool), Symptom::Overloaded, lost, count);
        };
        let wastes: Vec<_> = known
            .servers
            .iter()
            .filter_map(|(&id, row)| Some((known.waste(id, row), id, known.matter(id)?)))
            .filter(|(waste, ..)| *waste > 0)
            .collect();
        let wasted: u64 = wastes.iter().map(|(waste, ..)| waste).sum();
        let busy: u64 =
            known.servers.values().map(|row| row.answered_us.saturating_add(row.unanswered_us)).sum();
        if wasted == 0 || (wasted as f64) < WASTE * busy as f64 {
            return self.book(Subject::Pool(pool), Symptom::Overloaded, lost, count);
        }
        let mut left = lost;
        let largest = wastes.iter().max_by_key(|(waste, ..)| *waste).copied();
        for (waste, id, matter) in wastes.into_iter().filter(|row| Some(*row) != largest) {
            let part = (u128::from(lost) * u128::from(waste) / u128::from(wasted)) as MicroWeight;
            left -= part;
            self.book(Subject::Endpoint(pool, id), matter, part, 0);
        }
        if let Some((_, id, matter)) = largest {
            self.book(Subject::Endpoint(pool, id), matter, left, count);
        }
    }

    /// Servers at fault that cost no worth are findings as well: copies and retries made up for them.
    fn note_waste(&mut self) {
        let mut more = Vec::new();
        for (&pool, known) in &self.pools {
            for &id in known.servers.keys().filter(|id| **id != NO_ENDPOINT) {
                more.extend(known.matter(id).map(|matter| (Subject::Endpoint(pool, id), matter)));
            }
        }
        for (subject, matter) in more {
            self.book(subject, matter, 0, 0);
        }
    }

    fn say(&self, subject: Subject, matter: Symptom) -> String {
        let percent = |share: f64| format!("{:.1}%", 100.0 * share);
        match subject {
            Subject::Endpoint(pool, id) => {
                let name =
                    format!("server {} of {}", self.head.endpoint_name(pool, id), self.head.pool_name(pool));
                let Some(known) = self.pools.get(&pool) else { return format!("{name} {matter}") };
                let beside = |ways: &[AttemptOutcome]| {
                    let (own, others, _) = known.shares(id, ways);
                    format!("{} of its attempts, {} at the others", percent(own), percent(others))
                };
                let evidence = match matter {
                    Symptom::Unresponsive => beside(&[AttemptOutcome::TimedOut, AttemptOutcome::Cancelled]),
                    Symptom::ConnectionResets => beside(&[AttemptOutcome::Reset]),
                    Symptom::ErrorResponses => beside(&[AttemptOutcome::Error]),
                    Symptom::RejectsRequests => beside(&[AttemptOutcome::Rejected]),
                    Symptom::Unreachable => beside(&[AttemptOutcome::ConnectFailed]),
                    Symptom::SlowResponses => {
                        format!("{:.1} times the time that others take", known.slowness(id))
                    }
                    _ => String::new(),
                };
                if evidence.is_empty() {
                    format!("{name} {matter}")
                } else {
                    format!("{name} {matter}: {evidence}")
                }
            }
            Subject::Class(pool, class) => {
                let head =
                    self.head.pools.get(usize::from(pool.0)).and_then(|p| p.classes.get(usize::from(class)));
                let flow = self.pools.get(&pool).and_then(|known| known.classes.get(&class));
                let (aim, deadline) =
                    head.map_or((0, 0), |class| (class.latency_objective_ns, class.deadline_ns));
                let least =
                    flow.map_or(0, |flow| flow.fastest_us_plus_one.saturating_sub(1).saturating_mul(1_000));
                let best = if least > 0 {
                    format!("the fastest took {}", timestamp::format_duration(least))
                } else {
                    "none came".into()
                };
                format!(
                    "class {} of {} {matter}: aim {}, deadline {}, and of its answers {best}",
                    self.head.class_name(pool, class),
                    self.head.pool_name(pool),
                    timestamp::format_duration(aim),
                    timestamp::format_duration(deadline)
                )
            }
            Subject::Pool(pool) => format!("pool {}: {}", self.head.pool_name(pool), matter.of_all()),
            Subject::Node => {
                let [accept, dial] = self.short;
                let evidence = if matter == Symptom::DescriptorsExhausted {
                    format!(" (none for a client {accept} times, for a server {dial} times)")
                } else {
                    String::new()
                };
                format!("the node {matter}{evidence}")
            }
            Subject::Clients(pool) => {
                format!("clients of {}: {}", self.head.pool_name(pool), matter.of_all())
            }
        }
    }
}

impl Symptom {
    fn of_all(self) -> &'static str {
        match self {
            Self::Unresponsive => outcome_text(AttemptOutcome::TimedOut),
            Self::ConnectionResets => "connections to all servers break alike",
            Self::ErrorResponses => "all servers answer with errors alike",
            Self::Unreachable => "no server takes connections",
            Self::Overloaded | Self::RejectsRequests => "more was asked than its servers had room for",
            Self::KeyOrderWaits => "requests of one key waited for each other",
            Self::ClientDisconnects => "they left before their answer",
            Self::BodyFailures => "bodies were slow, too long or broke off",
            _ => "other causes",
        }
    }
}

impl fmt::Display for Symptom {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            Self::Unresponsive => "is silent",
            Self::ConnectionResets => "breaks connections off",
            Self::ErrorResponses => "answers with errors",
            Self::RejectsRequests => "turns requests away",
            Self::Unreachable => "takes no connections",
            Self::SlowResponses => "is slow",
            Self::SlowConnects => "is slow to take connections",
            Self::ObjectiveTooShort => "states a time in which its answers can't come",
            Self::DescriptorsExhausted => "has too few descriptors",
            Self::RequestLimitReached => "holds as many requests as it may",
            other => other.of_all(),
        })
    }
}
