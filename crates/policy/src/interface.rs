//! The decision module's own interface: settings, ids, events and actions.
//!
//! Nothing here knows how events travel. A node feeds [`Event`]s to
//! [`Balancer::handle`](crate::policy::Balancer::handle) and carries out the [`Action`]s it gets back.
//! All times are nanoseconds on one monotonic clock of the node.

use std::sync::Arc;

use thiserror::Error;

use crate::tenant_shares::TenantShares;

/// A point in time or a span, in nanoseconds.
pub type Nanos = u64;
/// One second in [`Nanos`].
pub const SECOND: Nanos = 1_000_000_000;
/// A change of the list counts as known to every node so long after the service had it and could be reached, whatever
/// became of the node's calls meanwhile (the protocol's page).
pub const DISCOVERY_NOTICE: Nanos = 6 * SECOND;
/// The service answers a call for the list, or turns it away, within 2 s (the bench's page). With a second more for the
/// connection and the way, a call that has had no answer after this is lost, and the host ends it.
pub const DISCOVERY_CALL_TIMEOUT: Nanos = 3 * SECOND;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(/** A request of a client; every try of the client has its own. */ RequestId(u32));
id!(/** A server, stable across restarts of its process. */ EndpointId(u32));
id!(/** Position of a class in [`Settings::classes`]. */ ClassId(u16));
id!(/** A tenant in [`Settings::tenants`]: the same one before and after a change of settings. */ TenantId(u32));
id!(/** Position of a zone among [`Settings::zones`]. */ ZoneId(u16));
id!(/** A small group of servers that know each other's keys. */ CellId(u16));
id!(/** Number of an attempt of a request, from 0 in the order of its sends. */ AttemptNo(u8));
id!(/** Chosen by the module when it arms a timer and handed back when it fires. */ TimerToken(u64));

/// Which servers discard a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Idempotent,
    /// Repeats are discarded inside `group` for `window` after the first send that may have run.
    IdempotencyKey {
        /// The servers that discard repeats.
        scope: DedupScope,
        /// How long they do so.
        window: Nanos,
    },
    /// A repeat may take effect again.
    NotIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers within this span earn the full worth.
    pub latency_objective: Nanos,
    /// The aim grows by this multiple of the request's own work.
    pub objective_per_work: f64,
    /// How long a client waits over all its tries.
    pub deadline: Nanos,
    /// Worth of one request.
    pub priority_weight: f64,
    /// Share of the worth kept by an answer after the aim.
    pub late_weight: f64,
    /// What repeats may do.
    pub idempotency: Idempotency,
    /// Requests with one key run one at a time, in the order of their arrival at this node.
    pub ordered_by_key: bool,
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Fraction of the service.
    pub share: f64,
    /// Requests a second over all nodes that are within its share.
    pub allowance_per_s: f64,
}

/// How a node learns of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive unasked.
    Push,
    /// Changes arrive after [`Action::Subscribe`].
    Poll,
}

/// Everything an instance is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of this node among [`Settings::nodes`].
    pub node_index: u32,
    /// How many nodes there are.
    pub node_count: u32,
    /// Zone of this node.
    pub zone: ZoneId,
    /// How many zones there are.
    pub zone_count: u16,
    /// The classes of requests, at least one.
    pub classes: Vec<Class>,
    /// The tenants, possibly none; shared between all pools of a node.
    pub tenants: TenantShares,
    /// What is left of the worth beyond a tenant's share.
    pub over_share_weight: f64,
    /// Worth counts for each unit of work, not for each request.
    pub weight_by_work: bool,
    /// How the list of servers arrives.
    pub discovery: Discovery,
    /// Least time between two batches of events.
    pub tick: Nanos,
    /// Attempts that one request may make.
    pub max_attempts: u32,
    /// Two attempts of a request may be out together.
    pub concurrent_attempts: bool,
    /// [`Action::CancelAttempt`] is allowed.
    pub cancellation: bool,
    /// Refusals carry advice when to come back.
    pub retry_after: bool,
    /// Longest such advice that clients follow.
    pub max_retry_after: Nanos,
    /// Open connections or new ones cost service.
    pub connections_have_cost: bool,
    /// What an attempt that crosses zones costs, as a share of a request.
    pub cross_zone_cost: f64,
    /// Weights tell sizes of servers.
    pub weight_is_capacity: bool,
    /// Nodes may send each other notes ([`Action::SendLoadReport`]).
    pub load_reports: bool,
    /// What a note of 256 bytes costs for each peer that gets it, as a share of a request.
    pub load_report_cost: f64,
    /// A node without subscription must ask this often.
    pub poll_interval: Nanos,
    /// Sends to a server that drains or is gone must have ceased so long after its node knows.
    pub drain_grace: Nanos,
    /// Share of its capacity that a fresh server has at least.
    pub warmup_initial_fraction: f64,
    /// A fresh server is warm after this span.
    pub warmup_duration: Nanos,
    /// Multiple of its present capacity that pushes a cold server over.
    pub overload_multiple: f64,
    /// Span over which that multiple counts.
    pub overload_duration: Nanos,
    /// An attempt that was turned away as full may have run all the same.
    pub rejection_may_execute: bool,
    /// How long a key rests after an attempt whose work may go on, where order is kept.
    pub key_cooldown: Nanos,
    /// How long an idle connection to a draining server may stay open, where that is limited.
    pub drain_idle_close: Option<Nanos>,
}

/// Why settings cannot be used.
#[derive(Debug, Error, PartialEq)]
pub enum SettingsError {
    /// No class of requests.
    #[error("settings name no class of requests")]
    NoClass,
    /// A number outside of what it can mean.
    #[error("settings: `{0}` is out of range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Advice with a refusal, where any is allowed: well within what clients follow.
    #[must_use]
    pub fn retry_after_hint(&self) -> Option<Nanos> {
        self.retry_after.then_some(self.max_retry_after / 4)
    }

    /// Checks that the values can be used together.
    ///
    /// # Errors
    /// The first value found that is contradictory or not finite.
    pub fn check(&self) -> Result<(), SettingsError> {
        use SettingsError::OutOfRange;
        let share = |x: f64| (0.0..=1.0).contains(&x);
        let some = |x: f64| x.is_finite() && x >= 0.0;
        let no = |bad: bool, what| if bad { Err(OutOfRange(what)) } else { Ok(()) };
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        no(self.node_count == 0, "number of nodes")?;
        no(self.zone.0 >= self.zone_count.max(1), "zone")?;
        no(!share(self.over_share_weight), "over-share worth")?;
        no(!share(self.warmup_initial_fraction), "cold share")?;
        no(!(some(self.overload_multiple) && self.overload_multiple > 0.0), "fall multiple")?;
        no(!some(self.load_report_cost), "price of notes")?;
        no(!some(self.cross_zone_cost), "price of crossing zones")?;
        no(self.max_attempts == 0, "attempts")?;
        for class in &self.classes {
            no(!some(class.priority_weight), "worth")?;
            no(!share(class.late_weight), "late worth")?;
            no(!some(class.objective_per_work), "aim stretch")?;
            no(class.latency_objective == 0 || class.deadline == 0, "aim or deadline")?;
        }
        no(!self.tenants.is_sound(), "tenant share")
    }
}

/// Whether a listed server takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Withdrawn.
    Removed,
}

/// A server as the list shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointInfo {
    /// Its id.
    pub id: EndpointId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes work.
    pub state: EndpointState,
    /// Its weight among others.
    pub weight: f32,
    /// When it last started; 0 is long ago.
    pub started_at: Nanos,
}

/// What a list event says.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// Only what changed.
    Delta(Arc<[EndpointInfo]>),
    /// All there is; a server not in it is gone.
    Snapshot(Arc<[EndpointInfo]>),
    /// All that this node held last; possibly stale.
    Restored(Arc<[EndpointInfo]>),
    /// A call failed or the subscription broke.
    WatchFailed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Success,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen; never ran, unless [`Settings::full_unproven`].
    Rejected,
    /// No answer in time; may have run.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// Connection lost; may have run.
    Reset,
    /// Withdrawn; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl AttemptOutcome {
    /// Whether the outcome proves that the attempt never ran. Where servers may shed work that they had
    /// begun (`full_unproven`), being turned away proves nothing.
    #[must_use]
    pub fn never_executed(self, full_unproven: bool) -> bool {
        matches!(self, Self::ConnectFailed | Self::NotSent) || (self == Self::Rejected && !full_unproven)
    }

    /// Whether the server may still be at work on the attempt.
    #[must_use]
    pub fn may_still_execute(self) -> bool {
        matches!(self, Self::TimedOut | Self::Reset | Self::Cancelled)
    }
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// Expected work on a standard core.
    pub cost_hint: Option<Nanos>,
    /// Its key, where requests carry one.
    pub key: Option<u64>,
    /// When the client gives up.
    pub deadline: Nanos,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The server it went to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long it took.
    pub duration: Nanos,
    /// The request has its final answer, by this or before.
    pub final_answer: bool,
}

/// How many nodes share the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeShare {
    /// This node's number among them: its place on the ring of servers. Any number will do, each node having another.
    pub node_index: u32,
    /// How many there are, this one among them.
    pub node_count: u32,
}

/// What planners advise, from what many nodes have seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapacityAdvice {
    /// How old it is already when it is heard.
    pub age: Nanos,
    /// How old it becomes; in the second half of that it loses weight.
    pub valid_for: Nanos,
    /// Servers that are better avoided for now.
    pub avoid: Arc<[EndpointId]>,
    /// Servers that somebody was told are draining, with the start of the process that is meant.
    pub draining: Arc<[(EndpointId, Nanos)]>,
    /// Work for cold servers that this node has lent, by server, in requests a second before its ramp: it does without.
    pub lent: Arc<[(EndpointId, f64)]>,
    /// The same that it has been granted, by server, until `granted_for` from when it is heard.
    pub granted: Arc<[(EndpointId, f64)]>,
    /// How long that holds. The end is kept by the module itself, however late the next advice is.
    pub granted_for: Nanos,
}

/// What happens to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the servers.
    EndpointsUpdated(EndpointUpdate),
    /// A client's request, which is owed one final answer.
    Request(NewRequest),
    /// The answer to an attempt began to stream; the attempt is the client's now.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// The client left; nothing is owed any more.
    ClientDisconnected(RequestId),
    /// A timer fired.
    TimerFired(TimerToken),
    /// Planners' advice, which replaces what they said before.
    CapacityAdvice(CapacityAdvice),
    /// What the fleet's own view says of how many share the servers, in place of [`Settings::nodes`] and [`Settings::me`].
    NodeShare(NodeShare),
    /// Another node's note.
    LoadReport {
        /// Its number.
        from: u32,
        /// What it sent by [`Action::SendLoadReport`].
        body: Vec<u8>,
    },
}

/// What a node is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Its time-out; `None` is until the client gives up.
        timeout: Option<Nanos>,
        /// What is not on its way by then must not go any more: servers may have forgotten the attempt that it repeats.
        start_before: Option<Nanos>,
    },
    /// Final answer: come back later, nothing happened.
    Reject {
        /// The request.
        id: RequestId,
        /// When to come back at the earliest.
        retry_after: Option<Nanos>,
    },
    /// Final answer: it failed, with no promise.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Wake the module at or after a time.
    ArmTimer {
        /// When.
        at: Nanos,
        /// Handed back.
        token: TimerToken,
    },
    /// Send a note to another node; it may be lost.
    SendLoadReport {
        /// Its number.
        to: u32,
        /// At most 256 bytes.
        body: Arc<[u8]>,
    },
    /// Close the idle connections to a server.
    CloseIdleConnections(EndpointId),
    /// Have changes of the list delivered from now on.
    Subscribe,
}
