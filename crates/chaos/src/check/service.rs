//! Summary of how well clients were served.

use serde::{Deserialize, Serialize};

use super::harness_lag::max_lag_us;
use super::{MembershipSummary, client_requests, membership_summary};
use crate::SECOND;
use crate::history::{ClientOutcome, EventKind, History, RequestClass};
use crate::scenario::Scenario;

/// Service has recovered once it stays at or above this share of the service before the first fault.
const RECOVERED_SHARE: f64 = 0.95;
/// Weight of a submit; the weight of a read is 1. Nodes are configured with the same weights.
const SUBMIT_WEIGHT: f64 = 10.0;
/// Window in which recovery is evaluated, in seconds: a single second has too few requests.
const RECOVERY_WINDOW_S: usize = 2;

/// Service in one second, by the time at which requests were sent. Stored as `[requested, served]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct SecondOfService {
    /// Total weight of all requests.
    pub requested: f64,
    /// Total weight of the successful ones.
    pub served: f64,
}

impl From<(f64, f64)> for SecondOfService {
    fn from((requested, served): (f64, f64)) -> Self {
        Self { requested, served }
    }
}

impl From<SecondOfService> for (f64, f64) {
    fn from(second: SecondOfService) -> Self {
        (second.requested, second.served)
    }
}

/// Summary of the service of a run. Shares are of the total weight of requests, between 0 and 1; a submit weighs as much as
/// ten reads.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceSummary {
    /// Number of requests.
    #[serde(rename = "asked")]
    pub requests: u64,
    /// Share served before the first fault, while faults last, and after the last one.
    #[serde(rename = "served")]
    pub served_share: [f64; 3],
    /// Smallest share served over 1 s, 5 s and 10 s.
    #[serde(rename = "worst")]
    pub worst_share: [f64; 3],
    /// Seconds from the end of the last fault until service has recovered and stays so; `None` if it has not.
    pub recovered_s: Option<f64>,
    /// Number of requests with a response that allows a retry.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of requests with any other response that is not a success.
    pub failed: u64,
    /// Number of requests without a response.
    pub unanswered: u64,
    /// Largest lateness of the run itself, in microseconds.
    #[serde(rename = "lag_us")]
    pub harness_lag_us: u64,
    /// Failure detection and convergence of the membership views; `None` without membership.
    #[serde(default, rename = "views")]
    pub membership: Option<MembershipSummary>,
    /// Service in each second since the first request.
    pub by_second: Vec<SecondOfService>,
}

impl ServiceSummary {
    /// Summarizes the requests and views of a run.
    #[must_use]
    pub fn new(scenario: &Scenario, history: &History) -> Self {
        let mut summary = Self::default();
        summary.count_requests(history);
        let seconds = summary.by_second.len();
        let (faults_start, faults_end) =
            (scenario.fault_free_s[0] as usize, scenario.faults_end_s().ceil() as usize);
        summary.served_share = [
            summary.share(0, faults_start),
            summary.share(faults_start, faults_end),
            summary.share(faults_end, seconds),
        ];
        summary.worst_share = [1, 5, 10].map(|width| summary.smallest_share(width));
        summary.recovered_s = summary.recovery_s(faults_end);
        summary.membership = membership_summary(scenario, history);
        summary.harness_lag_us = max_lag_us(history);
        summary
    }

    fn count_requests(&mut self, history: &History) {
        let start = history
            .events
            .iter()
            .find(|event| matches!(event.kind, EventKind::RequestStarted { .. }))
            .map_or(0, |event| event.at);
        for request in client_requests(history) {
            let weight = match request.class {
                RequestClass::Submit => SUBMIT_WEIGHT,
                RequestClass::Read => 1.0,
            };
            let second = ((request.started - start.min(request.started)) / SECOND) as usize;
            if self.by_second.len() <= second {
                self.by_second.resize(second + 1, SecondOfService::default());
            }
            self.requests += 1;
            self.by_second[second].requested += weight;
            match request.outcome() {
                Some(outcome) if outcome.is_success() => self.by_second[second].served += weight,
                Some(outcome) if outcome.is_rejected() => self.rejected += 1,
                Some(ClientOutcome::Answered { .. }) => self.failed += 1,
                _ => self.unanswered += 1,
            }
        }
    }

    /// Returns the share served from second `from` up to second `to`, which is excluded; 1 without requests.
    fn share(&self, from: usize, to: usize) -> f64 {
        let last = self.by_second.len();
        let seconds = &self.by_second[from.min(last)..to.min(last)];
        let requested: f64 = seconds.iter().map(|second| second.requested).sum();
        if requested <= 0.0 {
            return 1.0;
        }
        seconds.iter().map(|second| second.served).sum::<f64>() / requested
    }

    /// Returns the smallest share served over any `width` consecutive seconds.
    fn smallest_share(&self, width: usize) -> f64 {
        let starts = 0..=self.by_second.len().saturating_sub(width);
        starts.map(|from| self.share(from, from + width)).fold(1.0, f64::min)
    }

    /// Returns the seconds from `faults_end` until service has recovered and stays so; `None` if it has not.
    fn recovery_s(&self, faults_end: usize) -> Option<f64> {
        let seconds = self.by_second.len();
        let required = RECOVERED_SHARE * self.served_share[0];
        let last_bad = (faults_end..seconds).rfind(|&at| self.share(at, at + RECOVERY_WINDOW_S) < required);
        let recovered = last_bad.map_or(faults_end, |at| at + 1);
        (recovered + RECOVERY_WINDOW_S <= seconds).then(|| (recovered - faults_end) as f64)
    }
}
