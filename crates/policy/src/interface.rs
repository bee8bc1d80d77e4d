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
pub const LIST_NOTICE: Nanos = 6 * SECOND;
/// The service answers a call for the list, or turns it away, within 2 s (the bench's page). With a second more for the
/// connection and the way, a call that has had no answer after this is lost, and the host ends it.
pub const LIST_CALL: Nanos = 3 * SECOND;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    };
}

id!(/** A request of a client; every try of the client has its own. */ RequestId(u32));
id!(/** A server, stable across restarts of its process. */ ServerId(u32));
id!(/** Position of a class in [`Settings::classes`]. */ ClassId(u16));
id!(/** A tenant in [`Settings::tenants`]: the same one before and after a change of settings. */ TenantId(u32));
id!(/** Position of a zone among [`Settings::zones`]. */ ZoneId(u16));
id!(/** A small group of servers that know each other's keys. */ CellId(u16));
id!(/** Number of an attempt of a request, from 0 in the order of its sends. */ AttemptNo(u8));
id!(/** Chosen by the module when it arms a timer and handed back when it fires. */ TimerToken(u64));

/// Which servers discard a repeat of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Repeats are discarded inside `group` for `window` after the first send that may have run.
    Keyed {
        /// The servers that discard repeats.
        group: Group,
        /// How long they do so.
        window: Nanos,
    },
    /// A repeat may take effect again.
    Unsafe,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers within this span earn the full worth.
    pub aim: Nanos,
    /// The aim grows by this multiple of the request's own work.
    pub aim_stretch: f64,
    /// How long a client waits over all its tries.
    pub deadline: Nanos,
    /// Worth of one request.
    pub worth: f64,
    /// Share of the worth kept by an answer after the aim.
    pub late_worth: f64,
    /// What repeats may do.
    pub effect: Effect,
    /// Requests with one key run one at a time, in the order of their arrival at this node.
    pub keep_order: bool,
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
    Ask,
}

/// Everything an instance is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of this node among [`Settings::nodes`].
    pub me: u32,
    /// How many nodes there are.
    pub nodes: u32,
    /// Zone of this node.
    pub zone: ZoneId,
    /// How many zones there are.
    pub zones: u16,
    /// The classes of requests, at least one.
    pub classes: Vec<Class>,
    /// The tenants, possibly none; shared between all pools of a node.
    pub tenants: TenantShares,
    /// What is left of the worth beyond a tenant's share.
    pub over_share_worth: f64,
    /// Worth counts for each unit of work, not for each request.
    pub worth_by_work: bool,
    /// How the list of servers arrives.
    pub discovery: Discovery,
    /// Least time between two batches of events.
    pub tick: Nanos,
    /// Attempts that one request may make.
    pub max_attempts: u32,
    /// Two attempts of a request may be out together.
    pub parallel_tries: bool,
    /// [`Action::Cancel`] is allowed.
    pub cancel: bool,
    /// Refusals carry advice when to come back.
    pub retry_after: bool,
    /// Longest such advice that clients follow.
    pub max_retry_after: Nanos,
    /// Open connections or new ones cost service.
    pub connections_priced: bool,
    /// What an attempt that crosses zones costs, as a share of a request.
    pub crossing_price: f64,
    /// Weights tell sizes of servers.
    pub weights_tell_size: bool,
    /// Nodes may send each other notes ([`Action::Tell`]).
    pub peers: bool,
    /// What a note of 256 bytes costs for each peer that gets it, as a share of a request.
    pub peer_price: f64,
    /// A node without subscription must ask this often.
    pub ask_every: Nanos,
    /// Sends to a server that drains or is gone must have ceased so long after its node knows.
    pub drain_grace: Nanos,
    /// Share of its capacity that a fresh server has at least.
    pub cold_from: f64,
    /// A fresh server is warm after this span.
    pub cold_span: Nanos,
    /// Multiple of its present capacity that pushes a cold server over.
    pub fall_multiple: f64,
    /// Span over which that multiple counts.
    pub fall_span: Nanos,
    /// An attempt that was turned away as full may have run all the same.
    pub full_unproven: bool,
    /// How long a key rests after an attempt whose work may go on, where order is kept.
    pub order_settle: Nanos,
    /// How long an idle connection to a draining server may stay open, where that is limited.
    pub hang_up_within: Option<Nanos>,
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
    pub fn advice(&self) -> Option<Nanos> {
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
        no(self.nodes == 0, "number of nodes")?;
        no(self.zone.0 >= self.zones.max(1), "zone")?;
        no(!share(self.over_share_worth), "over-share worth")?;
        no(!share(self.cold_from), "cold share")?;
        no(!(some(self.fall_multiple) && self.fall_multiple > 0.0), "fall multiple")?;
        no(!some(self.peer_price), "price of notes")?;
        no(!some(self.crossing_price), "price of crossing zones")?;
        no(self.max_attempts == 0, "attempts")?;
        for class in &self.classes {
            no(!some(class.worth), "worth")?;
            no(!share(class.late_worth), "late worth")?;
            no(!some(class.aim_stretch), "aim stretch")?;
            no(class.aim == 0 || class.deadline == 0, "aim or deadline")?;
        }
        no(!self.tenants.is_sound(), "tenant share")
    }
}

/// Whether a listed server takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Takes work.
    Ready,
    /// Finishes what it has.
    Draining,
    /// Withdrawn.
    Gone,
}

/// A server as the list shows it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerInfo {
    /// Its id.
    pub id: ServerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Whether it takes work.
    pub condition: Condition,
    /// Its weight among others.
    pub weight: f32,
    /// When it last started; 0 is long ago.
    pub started_at: Nanos,
}

/// What a list event says.
#[derive(Clone, Debug, PartialEq)]
pub enum ListChange {
    /// Only what changed.
    Delta(Arc<[ServerInfo]>),
    /// All there is; a server not in it is gone.
    Full(Arc<[ServerInfo]>),
    /// All that this node held last; possibly stale.
    Cached(Arc<[ServerInfo]>),
    /// A call failed or the subscription broke.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen; never ran, unless [`Settings::full_unproven`].
    Full,
    /// No answer in time; may have run.
    TimedOut,
    /// No connection; never ran.
    ConnectFailed,
    /// Connection lost; may have run.
    Reset,
    /// Withdrawn; may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran. Where servers may shed work that they had
    /// begun (`full_unproven`), being turned away proves nothing.
    #[must_use]
    pub fn never_ran(self, full_unproven: bool) -> bool {
        matches!(self, Self::ConnectFailed | Self::Moot) || (self == Self::Full && !full_unproven)
    }

    /// Whether the server may still be at work on the attempt.
    #[must_use]
    pub fn may_go_on(self) -> bool {
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
    pub hint: Option<Nanos>,
    /// Its key, where requests carry one.
    pub key: Option<u64>,
    /// When the client gives up.
    pub not_after: Nanos,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: AttemptNo,
    /// The server it went to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Nanos,
    /// The request has its final answer, by this or before.
    pub complete: bool,
}

/// How many nodes share the servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing {
    /// This node's number among them: its place on the ring of servers. Any number will do, each node having another.
    pub me: u32,
    /// How many there are, this one among them.
    pub nodes: u32,
}

/// What planners advise, from what many nodes have seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// How old it is already when it is heard.
    pub age: Nanos,
    /// How old it becomes; in the second half of that it loses weight.
    pub lasts: Nanos,
    /// Servers that are better avoided for now.
    pub avoid: Arc<[ServerId]>,
    /// Servers that somebody was told are draining, with the start of the process that is meant.
    pub draining: Arc<[(ServerId, Nanos)]>,
    /// Work for cold servers that this node has lent, by server, in requests a second before its ramp: it does without.
    pub lent: Arc<[(ServerId, f64)]>,
    /// The same that it has been granted, by server, until `granted_for` from when it is heard.
    pub granted: Arc<[(ServerId, f64)]>,
    /// How long that holds. The end is kept by the module itself, however late the next advice is.
    pub granted_for: Nanos,
}

/// What happens to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the servers.
    Members(ListChange),
    /// A client's request, which is owed one final answer.
    Request(NewRequest),
    /// The answer to an attempt began to stream; the attempt is the client's now.
    Streaming {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// An attempt ended.
    Ended(Ended),
    /// The client left; nothing is owed any more.
    ClientGone(RequestId),
    /// A timer fired.
    Timer(TimerToken),
    /// Planners' advice, which replaces what they said before.
    Advice(Advice),
    /// What the fleet's own view says of how many share the servers, in place of [`Settings::nodes`] and [`Settings::me`].
    Sharing(Sharing),
    /// Another node's note.
    Note {
        /// Its number.
        from: u32,
        /// What it sent by [`Action::Tell`].
        body: Vec<u8>,
    },
}

/// What a node is to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Its time-out; `None` is until the client gives up.
        timeout: Option<Nanos>,
        /// What is not on its way by then must not go any more: servers may have forgotten the attempt that it repeats.
        by: Option<Nanos>,
    },
    /// Final answer: come back later, nothing happened.
    Refuse {
        /// The request.
        id: RequestId,
        /// When to come back at the earliest.
        retry_after: Option<Nanos>,
    },
    /// Final answer: it failed, with no promise.
    Fail(RequestId),
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: AttemptNo,
    },
    /// Wake the module at or after a time.
    Timer {
        /// When.
        at: Nanos,
        /// Handed back.
        token: TimerToken,
    },
    /// Send a note to another node; it may be lost.
    Tell {
        /// Its number.
        to: u32,
        /// At most 256 bytes.
        body: Arc<[u8]>,
    },
    /// Close the idle connections to a server.
    FreeLinks(ServerId),
    /// Have changes of the list delivered from now on.
    Subscribe,
}
