//! Attribution of losses to subjects.

use std::collections::BTreeMap;

use pumicehead_policy::{AttemptOutcome, Nanos};

use super::pool_stats::PoolStats;
use super::{Finding, Subject, Symptom};
use crate::code_tables::outcome_from_code;
use crate::event::PoolId;
use crate::loss_cause::{LossCause, MicroWeight, RequestPhase};
use crate::loss_ledger::{EndpointKey, LossKey, LossLedger, NO_ENDPOINT, Row};
use crate::recording::RecordingHeader;

/// Share of the used concurrency of a pool from which wasted concurrency counts as the cause of a queue.
const MIN_WASTED_SHARE: f64 = 0.2;

/// Losses that are attributed so far, with the statistics that the attribution is based on.
pub(super) struct Attribution<'a> {
    pub(super) header: &'a RecordingHeader,
    /// Number of times that the node ran out of file descriptors: for downstream and for upstream connections.
    pub(super) resource_exhaustions: [u64; 2],
    pub(super) pools: BTreeMap<PoolId, PoolStats>,
    costs: BTreeMap<(Subject, Symptom), Cost>,
}

#[derive(Clone, Copy, Default)]
struct Cost {
    lost: MicroWeight,
    requests: u64,
}

/// Concurrency that a faulty endpoint wasted.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Waste {
    wasted_us: u64,
    endpoint: u32,
    symptom: Symptom,
}

impl<'a> Attribution<'a> {
    /// Collects the statistics of a time range that is aligned to the ledger's slots.
    pub(super) fn new(header: &'a RecordingHeader, ledger: &LossLedger, from: Nanos, to: Nanos) -> Self {
        let mut pools: BTreeMap<PoolId, PoolStats> = BTreeMap::new();
        for (_, EndpointKey { pool, endpoint }, row) in ledger.endpoints.rows_between(from, to) {
            pools.entry(pool).or_default().endpoints.entry(endpoint).or_default().add(row);
        }
        for (_, key, row) in ledger.traffic.rows_between(from, to) {
            pools.entry(key.pool).or_default().classes.entry(key.class).or_default().add(row);
        }
        Self { header, resource_exhaustions: ledger.resource_exhaustions, pools, costs: BTreeMap::new() }
    }

    /// Returns the findings, the largest loss first.
    pub(super) fn into_findings(self) -> Vec<Finding> {
        let finding = |(&(subject, symptom), cost): (&(Subject, Symptom), &Cost)| Finding {
            subject,
            symptom,
            lost: cost.lost,
            requests: cost.requests,
            text: self.describe(subject, symptom),
        };
        let mut findings: Vec<_> = self.costs.iter().map(finding).collect();
        findings.sort_by_key(|one| std::cmp::Reverse((one.lost, one.requests)));
        findings
    }

    fn add(&mut self, subject: Subject, symptom: Symptom, lost: MicroWeight, requests: u64) {
        let cost = self.costs.entry((subject, symptom)).or_default();
        cost.lost = cost.lost.saturating_add(lost);
        cost.requests = cost.requests.saturating_add(requests);
    }

    /// Attributes a row of losses.
    pub(super) fn attribute(&mut self, key: LossKey, lost: MicroWeight, requests: u64) {
        match self.fault_of(key) {
            Some((subject, symptom)) => self.add(subject, symptom, lost, requests),
            None => self.attribute_queue_loss(key.pool, lost, requests),
        }
    }

    /// Returns the fault that a loss itself shows; `None` if it shows none, which counts as lack of capacity.
    fn fault_of(&self, key: LossKey) -> Option<(Subject, Symptom)> {
        let pool = key.pool;
        let cause = LossCause::from_code(key.cause);
        Some(match cause {
            LossCause::RejectedByListener(true) => (Subject::Node, Symptom::DescriptorsExhausted),
            LossCause::RejectedByListener(false) => (Subject::Node, Symptom::RequestLimitReached),
            LossCause::BodyFailed => (Subject::Clients(pool), Symptom::BodyFailures),
            _ if cause.phase() == Some(RequestPhase::Upload) => {
                (Subject::Clients(pool), Symptom::BodyFailures)
            }
            LossCause::KeyOrderTimeout => (Subject::Pool(pool), Symptom::KeyOrderWaits),
            LossCause::AttemptFailed(code) if self.lacked_descriptor(code) => {
                (Subject::Node, Symptom::DescriptorsExhausted)
            }
            LossCause::Other => (Subject::Pool(pool), Symptom::Other),
            // A class with too short a deadline makes every endpoint look unresponsive.
            _ if self.objective_too_short(key) => {
                (Subject::Class(pool, key.class), Symptom::ObjectiveTooShort)
            }
            LossCause::AttemptFailed(code) => self.failure_fault(key, code),
            _ => return self.phase_fault(key, cause),
        })
    }

    /// Whether an attempt with this outcome was not sent because the node had run out of file descriptors.
    fn lacked_descriptor(&self, outcome_code: u8) -> bool {
        outcome_from_code(usize::from(outcome_code)) == Some(AttemptOutcome::NotSent)
            && self.resource_exhaustions[1] > 0
    }

    fn objective_too_short(&self, key: LossKey) -> bool {
        let pool = self.header.pools.get(usize::from(key.pool.0));
        let class = pool.and_then(|pool| pool.classes.get(usize::from(key.class)));
        let (objective, deadline) =
            class.map_or((Nanos::MAX, Nanos::MAX), |class| (class.latency_objective_ns, class.deadline_ns));
        let stats = self.pools.get(&key.pool);
        stats.is_some_and(|stats| stats.objective_too_short(key.class, objective, deadline))
    }

    /// Returns the symptom of the endpoint that a loss was counted for.
    fn endpoint_symptom(&self, key: LossKey) -> Option<Symptom> {
        let stats = self.pools.get(&key.pool).filter(|_| key.endpoint != NO_ENDPOINT);
        stats.and_then(|stats| stats.symptom(key.endpoint))
    }

    /// Returns the fault behind a failed attempt: that of the endpoint if it has a symptom, otherwise that of the pool.
    fn failure_fault(&self, key: LossKey, outcome_code: u8) -> (Subject, Symptom) {
        if let Some(symptom) = self.endpoint_symptom(key) {
            return (Subject::Endpoint(key.pool, key.endpoint), symptom);
        }
        let symptom = match outcome_from_code(usize::from(outcome_code)) {
            Some(AttemptOutcome::Rejected) => Symptom::Overloaded,
            Some(AttemptOutcome::TimedOut) => Symptom::Unresponsive,
            Some(AttemptOutcome::Reset) => Symptom::ConnectionResets,
            Some(AttemptOutcome::Error) => Symptom::ErrorResponses,
            Some(AttemptOutcome::ConnectFailed) => Symptom::Unreachable,
            _ => Symptom::Other,
        };
        (Subject::Pool(key.pool), symptom)
    }

    /// Returns the fault in the phase that took the most time; `None` if there is none, which counts as lack of capacity.
    fn phase_fault(&self, key: LossKey, cause: LossCause) -> Option<(Subject, Symptom)> {
        let endpoint = Subject::Endpoint(key.pool, key.endpoint);
        match cause.phase()? {
            RequestPhase::Connect => {
                Some((endpoint, self.endpoint_symptom(key).unwrap_or(Symptom::SlowConnects)))
            }
            RequestPhase::Endpoint | RequestPhase::EarlierAttempts => {
                self.endpoint_symptom(key).map(|symptom| (endpoint, symptom))
            }
            RequestPhase::Queue | RequestPhase::Upload => {
                let disconnected = matches!(cause, LossCause::ClientDisconnected(_));
                disconnected.then_some((Subject::Clients(key.pool), Symptom::ClientDisconnects))
            }
        }
    }

    /// Attributes a loss for lack of capacity to the endpoints that wasted it, in proportion, or to the pool.
    fn attribute_queue_loss(&mut self, pool: PoolId, lost: MicroWeight, requests: u64) {
        let wastes = self.wastes_behind_queue(pool);
        let total: u64 = wastes.iter().map(|waste| waste.wasted_us).sum();
        let Some(largest) = wastes.iter().max_by_key(|waste| waste.wasted_us).copied() else {
            return self.add(Subject::Pool(pool), Symptom::Overloaded, lost, requests);
        };
        let mut rest = lost;
        for waste in wastes.into_iter().filter(|waste| *waste != largest) {
            let part = (u128::from(lost) * u128::from(waste.wasted_us) / u128::from(total)) as MicroWeight;
            rest -= part;
            self.add(Subject::Endpoint(pool, waste.endpoint), waste.symptom, part, 0);
        }
        self.add(Subject::Endpoint(pool, largest.endpoint), largest.symptom, rest, requests);
    }

    /// Returns what faulty endpoints wasted; nothing if it is less than [`MIN_WASTED_SHARE`] of the pool's used concurrency.
    fn wastes_behind_queue(&self, pool: PoolId) -> Vec<Waste> {
        let Some(stats) = self.pools.get(&pool) else { return Vec::new() };
        let waste = |(&endpoint, row)| {
            let wasted_us = stats.wasted_us(endpoint, row);
            Some(Waste { wasted_us, endpoint, symptom: stats.symptom(endpoint)? })
        };
        let wastes: Vec<_> =
            stats.endpoints.iter().filter_map(waste).filter(|waste| waste.wasted_us > 0).collect();
        let wasted: u64 = wastes.iter().map(|waste| waste.wasted_us).sum();
        let used: u64 =
            stats.endpoints.values().map(|row| row.successful_us.saturating_add(row.unsuccessful_us)).sum();
        if (wasted as f64) < MIN_WASTED_SHARE * used as f64 { Vec::new() } else { wastes }
    }

    /// Adds faulty endpoints that caused no loss because retries and hedged requests made up for their faults.
    pub(super) fn add_faulty_endpoints(&mut self) {
        let mut faulty = Vec::new();
        for (&pool, stats) in &self.pools {
            for &id in stats.endpoints.keys().filter(|id| **id != NO_ENDPOINT) {
                faulty.extend(stats.symptom(id).map(|symptom| (Subject::Endpoint(pool, id), symptom)));
            }
        }
        for (subject, symptom) in faulty {
            self.add(subject, symptom, 0, 0);
        }
    }
}
