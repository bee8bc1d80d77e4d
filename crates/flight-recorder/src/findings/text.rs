//! Sentences about findings. Scripts match on these texts, so they must not change.

use std::fmt;

use pumicehead_policy::AttemptOutcome;

use super::attribution::Attribution;
use super::{Subject, Symptom};
use crate::event::PoolId;
use crate::loss_cause::outcome_text;
use crate::timestamp::format_duration;

impl Attribution<'_> {
    /// Returns a sentence about a finding, with its evidence.
    pub(super) fn describe(&self, subject: Subject, symptom: Symptom) -> String {
        match subject {
            Subject::Endpoint(pool, endpoint) => self.describe_endpoint(pool, endpoint, symptom),
            Subject::Class(pool, class) => self.describe_class(pool, class, symptom),
            Subject::Pool(pool) => {
                format!("pool {}: {}", self.header.pool_name(pool), symptom.pool_text())
            }
            Subject::Node => self.describe_node(symptom),
            Subject::Clients(pool) => {
                format!("clients of {}: {}", self.header.pool_name(pool), symptom.pool_text())
            }
        }
    }

    fn describe_endpoint(&self, pool: PoolId, endpoint: u32, symptom: Symptom) -> String {
        let name = self.header.endpoint_name(pool, endpoint);
        let name = format!("server {name} of {}", self.header.pool_name(pool));
        match self.endpoint_evidence(pool, endpoint, symptom) {
            Some(evidence) => format!("{name} {symptom}: {evidence}"),
            None => format!("{name} {symptom}"),
        }
    }

    fn endpoint_evidence(&self, pool: PoolId, endpoint: u32, symptom: Symptom) -> Option<String> {
        let stats = self.pools.get(&pool)?;
        let percent = |share: f64| format!("{:.1}%", 100.0 * share);
        let shares = |outcomes: &[AttemptOutcome]| {
            let shares = stats.outcome_shares(endpoint, outcomes);
            format!("{} of its attempts, {} at the others", percent(shares.own), percent(shares.others))
        };
        Some(match symptom {
            Symptom::Unresponsive => shares(&[AttemptOutcome::TimedOut, AttemptOutcome::Cancelled]),
            Symptom::ConnectionResets => shares(&[AttemptOutcome::Reset]),
            Symptom::ErrorResponses => shares(&[AttemptOutcome::Error]),
            Symptom::RejectsRequests => shares(&[AttemptOutcome::Rejected]),
            Symptom::Unreachable => shares(&[AttemptOutcome::ConnectFailed]),
            Symptom::SlowResponses => {
                format!("{:.1} times the time that others take", stats.latency_ratio(endpoint))
            }
            _ => return None,
        })
    }

    fn describe_class(&self, pool: PoolId, class: u16, symptom: Symptom) -> String {
        let header = self.header.pools.get(usize::from(pool.0));
        let header = header.and_then(|pool| pool.classes.get(usize::from(class)));
        let traffic = self.pools.get(&pool).and_then(|stats| stats.classes.get(&class));
        let (objective, deadline) =
            header.map_or((0, 0), |class| (class.latency_objective_ns, class.deadline_ns));
        let fastest =
            traffic.map_or(0, |row| row.min_successful_us_plus_one.saturating_sub(1).saturating_mul(1_000));
        let fastest = if fastest > 0 {
            format!("the fastest took {}", format_duration(fastest))
        } else {
            "none came".into()
        };
        format!(
            "class {} of {} {symptom}: aim {}, deadline {}, and of its answers {fastest}",
            self.header.class_name(pool, class),
            self.header.pool_name(pool),
            format_duration(objective),
            format_duration(deadline)
        )
    }

    fn describe_node(&self, symptom: Symptom) -> String {
        let [downstream, upstream] = self.resource_exhaustions;
        if symptom == Symptom::DescriptorsExhausted {
            format!(
                "the node {symptom} (none for a client {downstream} times, for a server {upstream} times)"
            )
        } else {
            format!("the node {symptom}")
        }
    }
}

impl Symptom {
    /// Returns the text for a whole pool or its clients.
    fn pool_text(self) -> &'static str {
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
            other => other.pool_text(),
        })
    }
}
