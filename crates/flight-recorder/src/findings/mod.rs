//! Findings: what lost requests are attributed to, with evidence.
//!
//! A loss whose request shows the fault is attributed to the endpoint or class at fault. A loss in the queue is attributed
//! to the faulty endpoints that wasted concurrency, in proportion, if they wasted a considerable share of it; otherwise to
//! the pool, whose capacity was exceeded. Parts are integers and add up to the loss.

mod attribution;
mod exported_names;
mod pool_stats;
mod text;

use pumicehead_policy::Nanos;

use crate::event::PoolId;
use crate::loss_cause::MicroWeight;
use crate::loss_ledger::LossLedger;
use crate::recording::RecordingHeader;

use self::attribution::Attribution;

/// Who or what a loss is attributed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// An endpoint of a pool.
    Endpoint(PoolId, u32),
    /// A request class, by its index in the pool.
    Class(PoolId, u16),
    /// A pool as a whole.
    Pool(PoolId),
    /// The node itself.
    Node,
    /// The clients of a pool.
    Clients(PoolId),
}

/// What is wrong with a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Symptom {
    /// Attempts get no response.
    Unresponsive,
    /// Connections are reset.
    ConnectionResets,
    /// Responses are errors.
    ErrorResponses,
    /// Requests are rejected.
    RejectsRequests,
    /// Connections fail.
    Unreachable,
    /// Responses take much longer than those of other endpoints.
    SlowResponses,
    /// Connecting takes long.
    SlowConnects,
    /// The latency objective or deadline is shorter than responses can take.
    ObjectiveTooShort,
    /// File descriptors ran out.
    DescriptorsExhausted,
    /// The limit of concurrent requests was reached.
    RequestLimitReached,
    /// Demand exceeds capacity.
    Overloaded,
    /// Requests with the same ordering key wait for each other.
    KeyOrderWaits,
    /// Clients disconnect before the response.
    ClientDisconnects,
    /// Request bodies are slow, too long or cut off.
    BodyFailures,
    /// Any other symptom.
    Other,
}

/// A subject with a symptom, and what it cost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Who or what is at fault.
    pub subject: Subject,
    /// What is wrong.
    pub symptom: Symptom,
    /// Priority weight that was lost to it.
    pub lost: MicroWeight,
    /// Number of requests that lost weight to it; if a loss is split, its requests count for the largest part only.
    pub requests: u64,
    /// A sentence that describes the finding with its evidence.
    pub text: String,
}

/// Returns the findings of a time range, the largest loss first.
#[must_use]
pub fn find(header: &RecordingHeader, ledger: &LossLedger, from: Nanos, to: Nanos) -> Vec<Finding> {
    let (from, to) = ledger.align_to_slots(from, to);
    let mut attribution = Attribution::new(header, ledger, from, to);
    for (_, key, loss) in ledger.losses.rows_between(from, to) {
        attribution.attribute(key, loss.lost, loss.requests);
    }
    attribution.add_faulty_endpoints();
    attribution.into_findings()
}
