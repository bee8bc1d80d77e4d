//! Every decision of the balancer. Its settings, events and actions are in `src/interface.rs`, the records it
//! keeps in `src/state.rs`.
//!
//! The path of a request, for the reader on call:
//! 1. `on_request` ranks it: told worth against the other classes picks one of four tiers. Where its class
//!    keeps order, it waits for its key's turn first (`next_turn`) and takes no room until then.
//! 2. It joins its tier's queue and `dispatch` releases the highest tier first. While any server has
//!    room this empties the queue at once, so the order is that of arrival.
//! 3. `pick` takes, among servers with room, the least smoothed peak latency x (own in-flight + 1). The
//!    servers are this node's subset (`rerank`); where peers tell of theirs, in-flight is the group's.
//! 4. `send` passes the gate (`may_send`), the one place that checks rules 1, 2, 3, 5, 6 and the attempts;
//!    rule 4 (cold servers) is `cold_room`, rule 7 (connections on drains) is `hang_up`.
//! 5. Without room it stays held. Low and Medium ones are refused once the queue's wait passes a share
//!    of the time left (`overloaded`), and any held one when its time is nearly up (`on_give_up`).
//! 6. `on_ended` learns the server's latency and limit, then answers, retries or waits (`settle`).
//! 7. Every final answer of ours comes from `finish`, which asks `may_refuse` whether it may be a refusal.

mod decision_log;
mod event_loop_stall;
mod node_share;
mod settings_update;
mod warm_state;

use std::sync::Arc;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::capacity_advice::Advised;
use crate::decision_event::{
    DecisionEvent, ExclusionReason, LimitChangeReason, NoRetryReason, RejectionReason, SelectionTrace,
};
use crate::hash_ring::{mix, ring};
use crate::load_reports::{self as peers, Peers};
use crate::ordered_keys::Turns;
use crate::state::{Attempt, ClassState, Flow, Pools, Queues, RATE_S, Ran, Request, Server};
use crate::tenants::{Asked, EARNING_S, TenantTable};
use crate::time::{nanos, seconds};
use crate::timer::{T_AGAIN, T_ASK, T_GIVE_UP, T_HANG_UP, T_HEDGE, T_PUMP, T_TURN};
use crate::{
    Action, AttemptEnded, AttemptNo, AttemptOutcome, Class, ClassId, DISCOVERY_CALL_TIMEOUT,
    DISCOVERY_NOTICE, DedupScope, Discovery, EndpointId, EndpointInfo, EndpointState, EndpointUpdate, Event,
    Idempotency, Nanos, NewRequest, RequestId, SECOND, Settings, TenantId, TimerToken, ZoneId,
};
pub use warm_state::WarmState;

/// Servers compared for one pick: enough to avoid a bad one, few enough for 10 us and against herding.
const SAMPLE: usize = 5;
/// Places a server is taken to have for all nodes together until its limit is learned. Too few refuse
/// what could be served for as long as limits take to rise; too many are corrected twice as fast.
const START_PLACES: f64 = 6.0;
/// Places of a server that all nodes together never go below, so that a limit can be learned upward.
const LEAST_PLACES: f64 = 1.0;
/// A server's smoothed latency should stay at this share of the aim: the rest is for our own queue ...
const AIM_SHARE: f64 = 0.25;
/// ... but not under the first nor over the second multiple of what its class takes when it is calm.
const CALM: (f64, f64) = (1.4, 1.6);
/// ... and never over this share of the aim, should the calm state never have been seen.
const AIM_MOST: f64 = 0.6;
/// How fast a limit follows that judgement, a second, up and down: crowding costs more than waiting,
/// and a rise that outruns the latency it is judged by ends in crowding.
const GAIN: (f64, f64) = (1.25, 2.5);
/// How fast it rises, a second, where it is under what a server is taken to have anyway.
const QUICK: f64 = 5.0;
/// Samples in a few seconds that are trusted half.
const EVIDENCE: f64 = 10.0;
/// Smoothed latency over its mark from which a share under one place is no longer rounded up.
const JAMMED: f64 = 1.25;
/// Factor of a limit after an attempt that was turned away or failed.
const CUT: f64 = 0.85;
/// A limit is used, and may rise, when this share of the node's places is taken.
const USED: f64 = 0.7;
/// Time in which a least latency that no longer occurs is given up: long, or an overload would pass for
/// the normal state.
const FLOOR_S: f64 = 300.0;
/// Memory of the mean latency that the calm one is the least of.
const STEADY_S: f64 = 15.0;
/// Weight of a sample above the smoothed latency (peaks count at once) ...
const RISE: f64 = 0.4;
/// ... and the least and the most weight of one below it.
const FALL: (f64, f64) = (0.08, 0.5);
/// Span after which an unused server's latency is believed a third as much; it drifts to the mean ...
const FORGET_S: f64 = 5.0;
/// ... to a little under it: at the mean itself a server once slow might never be tried again.
const UNUSED: f64 = 0.8;
/// A latency counts for at most this multiple of the expected, or one hung answer would keep its server
/// out of use long after it recovered.
const MOST_STRETCH: f64 = 10.0;
/// An outstanding attempt this many times over its expected latency marks its server as suspect.
const SUSPECT: f64 = 5.0;
/// One that was answered so many times its expected latency after another had been sent has overtaken it.
const OVERTAKEN: f64 = 2.0;
/// First and longest time a failing server is set aside.
const ASIDE_S: (f64, f64) = (0.5, 8.0);
/// Failures in a row that set a server aside, or more where chance alone brings about so many more often
/// than this, by the share of attempts that fail at other servers.
const FAILURES: u32 = 3;
const BY_CHANCE: f64 = 1e-3;
/// Weight of an attempt in the share of a server's attempts that fail.
const BROKEN: f64 = 0.1;
/// A server's share over this multiple of the common one is its own fault, in full at this much more.
const OWN_FAULT: (f64, f64) = (2.0, 0.25);
/// A second copy goes out at this multiple of the expected latency.
const HEDGE: f64 = 3.0;
/// While a node's mean of attempts is under this share of its limits ...
const CALM_USE: f64 = 0.8;
/// ... it may have this many square roots of them more at once.
const BURST: f64 = 2.0;
/// Retries and hedges earned by each request, so that they cannot multiply an overload.
const RETRY_SHARE: f64 = 0.1;
/// Most retries saved up, in requests.
const RETRY_BURST: f64 = 10.0;
/// New Low and Medium requests are refused when the queue's wait passes this share of their time left.
const WAIT_SHARE: f64 = 0.3;
/// Least servers a node uses: where connections are priced, and where not.
const WIDTH: (usize, usize) = (3, 5);
/// Notes that cost more than this share of a request are dear, and none are sent.
const DEAR_NOTES: f64 = 0.05;
/// Least nodes of a group on average, and most: each tells each of the others.
const GROUP: (usize, usize) = (4, 12);
/// What a note tells is believed for this multiple of the mean latency; then it is told again if it still
/// holds. Ends are told to every other peer only.
const NOTE_LASTS: f64 = 2.5;
/// From this share of a request on a crossing of zones is dear: below it costs less than a full own zone.
const DEAR_CROSSING: f64 = 0.05;
/// Share of a warm server's traffic, times the ramp, that a cold one gets.
const COLD_SHARE: f64 = 0.8;
/// Between two looks at limits, suspects and the set of servers in use.
const REFRESH: Nanos = SECOND / 20;
/// Between two tries to place held requests when no event frees a place.
const PUMP: Nanos = SECOND / 50;

/// Tiers, highest first, as indices of the queues.
const HIGHEST: usize = 0;
const MEDIUM: usize = 2;
const LOW: usize = 3;

/// How far so many samples in a few seconds are trusted; few of them are mostly noise.
fn sure(count: f64) -> f64 {
    count / (count + EVIDENCE)
}

/// The decisions of one node.
pub struct Balancer {
    settings: Settings,
    rng: Pcg64Mcg,
    now: Nanos,
    servers: Vec<Server>,
    slots: FxHashMap<EndpointId, usize>,
    pools: Pools,
    flow: Flow,
    subscribed: bool,
    ask_fails: u32,
    classes: Vec<ClassState>,
    /// What is calm, by class and zone: to a far zone the way alone can take longer than the work.
    calms: Vec<ClassState>,
    tenants: TenantTable,
    requests: FxHashMap<RequestId, Request>,
    turns: Turns,
    peers: Peers,
    advised: Advised,
    /// Nodes with the same subset, which this one tells what it has out; number and time of the last note.
    group: Vec<u32>,
    told: (u8, Nanos),
    to_tell: Option<bool>,
    queues: Queues,
    pumping: bool,
    overload: bool,
    /// What the event at hand was decided by, for whoever listens.
    notes: Vec<DecisionEvent>,
    telling: bool,
}

impl Balancer {
    /// A node that knows no server yet. `settings` should have passed [`Settings::check`].
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        let class = |aim: Nanos| ClassState { mean: seconds(aim) * 0.2, ..ClassState::default() };
        Self {
            rng: Pcg64Mcg::seed_from_u64(seed),
            classes: settings.classes.iter().map(|c| class(c.latency_objective)).collect(),
            calms: vec![class(0); settings.classes.len() * usize::from(settings.zone_count.max(1))],
            tenants: TenantTable::default(),
            settings,
            now: 0,
            servers: Vec::new(),
            slots: FxHashMap::default(),
            pools: Pools::default(),
            flow: Flow { retry_budget: 2.0, load: 0.5, ..Flow::default() },
            subscribed: false,
            ask_fails: 0,
            requests: FxHashMap::default(),
            turns: Turns::default(),
            peers: Peers::default(),
            advised: Advised::default(),
            group: Vec::new(),
            told: (0, 0),
            to_tell: None,
            queues: Queues::default(),
            pumping: false,
            overload: false,
            notes: Vec::new(),
            telling: false,
        }
    }

    /// Decides on one event at `now` and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.notes.clear();
        if self.now >= self.pools.refreshed + REFRESH {
            self.refresh();
        }
        while let Some(key) = self.turns.rested(self.now) {
            self.next_turn(key);
        }
        match event {
            Event::EndpointsUpdated(change) => self.on_members(&change, actions),
            Event::Request(request) => self.on_request(&request, actions),
            Event::AttemptEnded(ended) => self.on_ended(&ended, actions),
            // A started stream is the client's: that attempt is not called back, other copies are.
            Event::ResponseStarted { id, attempt } => self.on_over(id, Some(attempt), actions),
            Event::ClientDisconnected(id) => self.on_over(id, None, actions),
            Event::TimerFired(token) => self.on_timer(token, actions),
            Event::CapacityAdvice(advice) => self.advised.hear(&advice, self.now),
            Event::NodeShare(sharing) => self.share(sharing),
            Event::LoadReport { from, body } => self.peers.hear(from, &body, self.now),
        }
        self.dispatch(actions);
        if let Some(sent) = self.to_tell.take().filter(|_| !self.group.is_empty()) {
            self.tell(sent, actions);
        }
    }

    fn chance(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn told(&self, class: ClassId) -> &Class {
        &self.settings.classes[usize::from(class.0)]
    }

    // ---- Membership -----------------------------------------------------------------------------

    fn on_members(&mut self, change: &EndpointUpdate, actions: &mut Vec<Action>) {
        match change {
            EndpointUpdate::Delta(list) => list.iter().for_each(|info| self.learn(info)),
            EndpointUpdate::Snapshot(list) | EndpointUpdate::Restored(list) => {
                // A server missing from a whole list is gone: nothing goes to it from this moment.
                self.servers.iter_mut().for_each(|server| server.ready = false);
                list.iter().for_each(|info| self.learn(info));
            }
            EndpointUpdate::WatchFailed => {
                self.subscribed = false;
                self.ask_fails += 1;
                self.notes.push(DecisionEvent::WatchLost);
            }
        }
        if self.settings.discovery == Discovery::Poll {
            self.keep_subscription(change, actions);
        }
        (0..self.servers.len()).for_each(|slot| self.hang_up(slot, actions));
        self.rerank();
        self.refresh();
    }

    /// A draining server waits for its connections to end: idle ones are closed at the notice, and again
    /// whenever an attempt there has ended. Once more half the time later, should one have been opening.
    fn hang_up(&self, slot: usize, actions: &mut Vec<Action>) {
        let server = &self.servers[slot];
        if let Some(within) = self.settings.drain_idle_close.filter(|_| !server.ready) {
            actions.push(Action::CloseIdleConnections(server.id));
            self.arm(self.now + within / 2, T_HANG_UP, server.id.0, actions);
        }
    }

    /// The list is asked for after a random pause, so that nodes that start or lose it together ask apart. A
    /// change binds [`DISCOVERY_NOTICE`] after it could be had, drains a grace later. Off that time go a lost
    /// call and an answered one; two pauses, as a call may be turned away, share the rest: half of it at
    /// first.
    fn keep_subscription(&mut self, change: &EndpointUpdate, actions: &mut Vec<Action>) {
        let notice = DISCOVERY_NOTICE.min(self.settings.poll_interval);
        let spare = (notice + self.settings.drain_grace).saturating_sub(2 * DISCOVERY_CALL_TIMEOUT);
        let most = seconds((spare / 2).max(notice / 20));
        let pause = match change {
            EndpointUpdate::Restored(_) => 0.5 * most * self.chance(),
            EndpointUpdate::WatchFailed => {
                let most = if self.ask_fails > 2 { most } else { 0.5 * most };
                most * (0.5 + 0.5 * self.chance())
            }
            _ => {
                if !self.subscribed && self.ask_fails > 0 {
                    self.notes.push(DecisionEvent::WatchRestored);
                }
                self.subscribed = true;
                self.ask_fails = 0;
                return;
            }
        };
        self.arm(self.now + nanos(pause), T_ASK, 0, actions);
    }

    fn learn(&mut self, info: &EndpointInfo) {
        let ready = info.state == EndpointState::Ready;
        let slot = match self.slots.get(&info.id) {
            Some(&slot) => slot,
            None if !ready => return,
            None => {
                // One that is new to the list stands in for others: at the least place, and a life of half a
                // minute, a fleet that is replaced all day never learned its room back.
                let limit = self.pools.usual;
                let rank = mix(u64::from(info.id.0));
                self.servers.push(Server { limit, ..Server::new(info.id, rank, self.now) });
                self.slots.insert(info.id, self.servers.len() - 1);
                self.servers.len() - 1
            }
        };
        let luck = self.chance();
        let server = &mut self.servers[slot];
        server.ready = ready;
        server.zone = info.zone;
        server.cell = info.cell;
        server.weight =
            if info.weight.is_finite() && info.weight > 0.0 { f64::from(info.weight) } else { 1.0 };
        if info.started_at > server.started_at {
            // A restart: what was learned of the old process does not hold for the cold one.
            server.started_at = info.started_at;
            server.stretch = 1.0;
            server.failures = 0;
            server.aside_until = 0;
            server.trial = false;
            // Nodes take turns: each owes a random part of a request before its first one.
            server.cold_budget = -luck;
            server.cold_at = self.now;
        }
    }

    /// Forgets departed servers without attempts and orders the rest on a ring that all nodes share, each
    /// from a place of its own on it (deterministic subsetting): a subset changes little with the list, and
    /// every server is in as many subsets as any other. Subsets drawn at random put up to a third more
    /// nodes on some servers, and with narrow subsets these choked.
    fn rerank(&mut self) {
        if self.servers.iter().any(|s| !s.ready && s.out.is_empty()) {
            self.servers.retain(|s| s.ready || !s.out.is_empty());
            self.slots = self.servers.iter().enumerate().map(|(slot, s)| (s.id, slot)).collect();
        }
        // Own zone first where crossing is dear; the other zones serve when it lacks room.
        self.pools.ranked = Default::default();
        for (slot, server) in self.servers.iter().enumerate().filter(|(_, s)| s.ready) {
            self.pools.ranked[usize::from(self.is_far(server.zone))].push(slot);
        }
        for ranked in &mut self.pools.ranked {
            ranked.sort_unstable_by_key(|&slot| self.servers[slot].rank);
            let place = ring(self.settings.node_index, ranked.len());
            ranked.rotate_left(place);
        }
        self.regroup();
    }

    /// Where notes are allowed and cheap, nodes form groups with one subset each and tell each other what
    /// they have out: hundreds of nodes with a request a second each otherwise pick blindly, and servers
    /// crowd and choke beside idle ones. Lost or late notes leave the pick as it is without them.
    fn regroup(&mut self) {
        self.group.clear();
        let servers = self.pools.ranked[0].len();
        if !self.settings.load_reports || servers == 0 || !self.pools.ranked[1].is_empty() {
            return;
        }
        let nodes = self.settings.node_count;
        let groups = (servers / self.least_width(servers)).max(nodes as usize / GROUP.1).clamp(1, servers);
        let me = self.settings.node_index;
        self.group = peers::group(me, nodes, groups);
        // Two notes a request, of two servers each.
        let bytes = 2.0 * 12.0 * self.group.len() as f64;
        let dear = self.settings.load_report_cost * bytes / 256.0 > DEAR_NOTES;
        // A few nodes a group would leave the groups too uneven; such nodes see enough alone.
        if dear || (nodes as usize) < GROUP.0 * groups {
            return self.group.clear();
        }
        // The whole group takes the ring from the same server on.
        self.pools.ranked[0].rotate_right(ring(me, servers));
        self.pools.ranked[0].rotate_left(ring(me, groups) * servers / groups);
    }

    fn tell(&mut self, all: bool, actions: &mut Vec<Action>) {
        self.told = (self.told.0.wrapping_add(1), self.now);
        let servers = self.pools.active[0].iter().map(|&slot| &self.servers[slot]);
        let body: Arc<[u8]> = peers::write(self.told.0, servers.map(|s| (s.id, s.out.len()))).into();
        // Ends are told to every other one in turn: half the notes, and what a note told fades anyway.
        let (step, skip) = if all { (1, 0) } else { (2, usize::from(self.told.0 / 2 % 2)) };
        let to = self.group.iter().skip(skip).step_by(step);
        actions.extend(to.map(|&to| Action::SendLoadReport { to, body: body.clone() }));
    }

    /// Whether what most of the group has out is known; else a node keeps to its own share of places.
    fn informed(&self) -> bool {
        !self.group.is_empty() && 2 * self.peers.heard() > self.group.len()
    }

    /// Attempts known to be out at a server: own ones and those that the group told of.
    fn known_out(&self, slot: usize) -> usize {
        self.servers[slot].out.len() + self.peers.out(self.servers[slot].id)
    }

    fn is_far(&self, zone: ZoneId) -> bool {
        self.settings.cross_zone_cost >= DEAR_CROSSING && zone != self.settings.zone
    }

    // ---- Server health and limits ---------------------------------------------------------------

    /// Looks over the servers in use: who is out of order, how many are needed, what room they give.
    fn refresh(&mut self) {
        self.pools.refreshed = self.now;
        self.note_out();
        let means = self.classes.iter().map(|class| class.mean).sum::<f64>() / self.classes.len() as f64;
        let lasts = nanos(NOTE_LASTS * means);
        self.peers.expire(self.now.saturating_sub(lasts), self.now.saturating_sub(10 * lasts));
        if self.flow.out_total > 0 && self.now > self.told.1 + lasts {
            self.to_tell = Some(true);
        }
        let servers: usize = self.pools.ranked.iter().map(Vec::len).sum();
        if servers == 0 {
            self.pools.active = Default::default();
            self.pools.limit_sum = 0.0;
            return;
        }
        self.resize(servers);
        // Servers taken in for lack of room start small: widening alone must not add places, or a fleet
        // that is short of room gets more work for it. Those that stand in for others start so as well: with
        // the room that these had, fleets that lost most of their servers at once were crowded for longer.
        let first = self.pools.limit_sum == 0.0;
        let nodes = self.nodes_per_server();
        let start = if first { START_PLACES.min(nodes) } else { LEAST_PLACES } / nodes;
        let (mut bad, mut all) = (0, 0u32);
        for pool in 0..2 {
            self.pools.active[pool].clear();
            // A cold server counts for what it can do: after a release nodes whose few servers were mostly
            // cold had no room for seconds, beside others that had plenty. More share each server then.
            let (want, mut able, mut sound) = (self.want(pool) as f64, 0.0, 0.0);
            for at in 0..self.pools.ranked[pool].len() {
                if able >= want {
                    break;
                }
                let slot = self.pools.ranked[pool][at];
                self.pools.active[pool].push(slot);
                all += 1;
                let fit = if self.out_of_order(slot) { 0.0 } else { 1.0 };
                bad += u32::from(fit == 0.0);
                sound += fit;
                able += fit * self.ramp(&self.servers[slot]);
                let server = &mut self.servers[slot];
                server.limit = if server.limit == 0.0 { start } else { server.limit };
            }
            self.pools.shared[pool] = (want / f64::max(sound, 1.0)).min(1.0);
        }
        if bad < all {
            let sound = self.pools.active.iter().flatten().filter(|&&slot| !self.out_of_order(slot));
            self.pools.usual =
                sound.map(|&slot| self.servers[slot].limit).sum::<f64>() / f64::from(all - bad);
        }
        // When most are out of order it is not they: the cause lies elsewhere, and all are used.
        let most = bad * 2 > all;
        if most != self.pools.most_aside {
            self.pools.most_aside = most;
            self.notes.push(DecisionEvent::OutlierRatio { outliers: bad, total: all, panic_mode: most });
        }
        self.move_limits();
        self.sum_up();
        if self.overload && self.queues.order.is_empty() {
            self.overload = false;
            self.notes.push(DecisionEvent::OverloadEnded);
        }
    }

    fn sum_up(&mut self) {
        let (mut limits, mut out, mut ramps, mut warm) = ([0.0; 2], [0; 2], 0.0, false);
        for (pool, slots) in self.pools.active.iter().enumerate() {
            for &slot in slots {
                let server = &self.servers[slot];
                if !self.pools.most_aside && self.out_of_order(slot) {
                    continue;
                }
                let ramp = self.ramp(server);
                out[pool] += server.out.len();
                limits[pool] += server.limit * ramp * self.pools.shared[pool];
                ramps += ramp;
                warm |= ramp >= 1.0;
            }
        }
        self.pools.limits = limits;
        self.pools.out = out;
        self.pools.limit_sum = limits[0] + limits[1];
        // What a warm server does, from all that this node was served. Not from what was sent: in an overload
        // that is several times what servers can do, and rates of single servers, a request every few
        // seconds, read far too high after a first one; hundreds of nodes that went by either pushed cold
        // servers over. Where nothing is warm, what is asked for stands in.
        let flow = if warm { &self.flow.served } else { &self.flow.arrivals };
        self.pools.warm_rate = flow.low(self.now) / ramps.max(1.0);
    }

    /// How many servers this node uses: enough for its own traffic and for the subsets to cover the fleet
    /// once. It does not widen for lack of room: when all nodes lacked it, each server came to be shared by
    /// many nodes that could not see each other's attempts, and stood crowded beside idle ones.
    fn resize(&mut self, servers: usize) {
        // A node that carries much more than others must not put it on as few servers.
        let own = (1.5 * self.flow.demand).ceil() as usize;
        self.pools.width = self.least_width(servers).max(own).min(servers);
    }

    fn least_width(&self, servers: usize) -> usize {
        let least = if self.settings.connections_have_cost { WIDTH.0 } else { WIDTH.1 };
        least.max(servers.div_ceil(self.settings.node_count as usize))
    }

    /// The mean of own attempts over the last second or so; to be called before their number changes.
    fn note_out(&mut self) {
        let weight = 1.0 - (-seconds(self.now.saturating_sub(self.flow.demand_at))).exp();
        self.flow.demand += weight * ((self.pools.out[0] + self.pools.out[1]) as f64 - self.flow.demand);
        self.flow.demand_at = self.now;
    }

    fn want(&self, pool: usize) -> usize {
        let near = self.pools.ranked[0].len();
        // Some of other zones are kept at hand for when the own zone lacks room.
        let spare = if self.pools.ranked[1].is_empty() { 0 } else { (self.pools.width / 2).max(1) };
        if pool == 0 { self.pools.width } else { self.pools.width.saturating_sub(near).max(spare) }
    }

    fn nodes_per_server(&self) -> f64 {
        if !self.group.is_empty() {
            return self.group.len() as f64 + 1.0;
        }
        let servers: usize = self.pools.ranked.iter().map(Vec::len).sum();
        (f64::from(self.settings.node_count) * self.pools.width as f64 / servers.max(1) as f64).max(1.0)
    }

    /// Set aside, or silent for so long that it may be hung: a hung server gives no samples, so the
    /// age of what is outstanding counts as its latency.
    fn out_of_order(&self, slot: usize) -> bool {
        let server = &self.servers[slot];
        self.now < server.aside_until || server.age(self.now) > SUSPECT
    }

    fn expected(&self, class: ClassId, work: f64) -> f64 {
        // Never under a tick: timers go by it, and answers too fast to measure must not make them spin.
        (self.classes[usize::from(class.0)].mean * (0.5 + 0.5 * work)).max(seconds(self.settings.tick))
    }

    fn learn_latency(&mut self, slot: usize, class: ClassId, work: f64, took: Nanos) {
        let now = self.now;
        let expected = self.expected(class, work);
        let state = &mut self.classes[usize::from(class.0)];
        let base = seconds(took) / (0.5 + 0.5 * work);
        state.samples += 1;
        if state.samples == 1 {
            state.mean = base;
        }
        state.mean += (1.0 / f64::from(state.samples)).max(0.03) * (base.min(5.0 * state.mean) - state.mean);
        let zones = self.settings.zone_count.max(1);
        let zone = self.servers[slot].zone.0.min(zones - 1);
        let (mean, state) =
            (state.mean, &mut self.calms[usize::from(class.0) * usize::from(zones) + usize::from(zone)]);
        state.samples += 1;
        if state.samples == 1 {
            (state.calm_at, state.since) = (now, now);
        }
        // By time where samples are many: the least of a mean over a second or two is mostly noise, and the
        // first answers to come are the fast ones. A mark taken from those starved a calm fleet.
        let gap = seconds(now.saturating_sub(state.calm_at));
        let weight = (1.0 / f64::from(state.samples)).max((gap / STEADY_S).min(0.03));
        state.steady += weight * (base.min(5.0 * mean) - state.steady);
        state.calm_at = now;
        let weight = if state.samples < 30 || seconds(now.saturating_sub(state.since)) < STEADY_S / 3.0 {
            1.0
        } else if state.steady < state.calm {
            (gap / STEADY_S).min(0.02)
        } else {
            (gap / FLOOR_S).min(1.0)
        };
        state.calm += weight * (state.steady - state.calm);
        let calm = state.calm;
        let server = &mut self.servers[slot];
        let x = (seconds(took) / expected).min(MOST_STRETCH);
        let idle = seconds(now.saturating_sub(server.seen));
        server.stretch = server.faded(now);
        let weight = if x > server.stretch { RISE } else { idle.clamp(FALL.0, FALL.1) };
        server.stretch += weight * (x - server.stretch);
        server.seen = now;
        self.learn_limit(slot, class, base, calm);
    }

    /// Judges a latency against the aim, for the server and for all; moves the server's limit by how it
    /// differs from the others. A sample weighs by the mean time between two, not by the time since the last:
    /// where a server has a place or two that time is the latency itself, slow answers counted most, and a
    /// calm fleet whose limits had once fallen looked busy and never got its places back.
    fn learn_limit(&mut self, slot: usize, class: ClassId, base: f64, calm: f64) {
        let aim = seconds(self.told(class).latency_objective);
        let least = LEAST_PLACES / self.nodes_per_server();
        // How much farther it is than the nearest zone: fewer requests make it no shorter, and servers
        // whose way alone takes most of the aim read as crowded for good, at the least of places.
        let zones = usize::from(self.settings.zone_count.max(1));
        let calms = self.calms.chunks(zones).nth(usize::from(class.0)).into_iter().flatten();
        let near = calms.filter(|zone| zone.samples > 0).map(|zone| zone.calm).fold(calm, f64::min);
        let server = &mut self.servers[slot];
        let mark = (AIM_SHARE * aim).clamp(CALM.0 * calm, CALM.1 * calm).min(AIM_MOST * aim + calm - near);
        let count = server.rate.get(self.now) * RATE_S;
        let gap = RATE_S / count.max(0.1);
        let fast = gap.clamp(0.02, 0.3);
        let load = (base / mark).min(4.0);
        server.load += fast * (load - server.load);
        let since = (1.0 / self.flow.served.get(self.now).max(0.1)).clamp(0.01, 0.1);
        self.flow.load_at = self.now;
        self.flow.load += since * (load - self.flow.load);
        let error = (self.flow.load - server.load) * sure(count);
        let gain = if error < 0.0 { GAIN.1 } else { GAIN.0 };
        let (id, from) = (server.id, server.limit);
        let to = (from * (gain * gap.clamp(0.01, 0.5) * error.max(-1.0)).exp()).clamp(least, 1e4);
        server.limit = to;
        self.note(|_| DecisionEvent::LimitChanged {
            endpoint: id,
            from: from as f32,
            to: to as f32,
            reason: LimitChangeReason::ComparedLatency,
        });
    }

    /// Moves all limits by the smoothed latency of all servers: down when it is over its mark, slowly up
    /// when it is under and the node's places are used. By time and not by each server's samples: where
    /// a node has many servers these are seldom, and limits hardly fell while the whole fleet was crowded.
    fn move_limits(&mut self) {
        let span = seconds(self.flow.load_at.saturating_sub(self.flow.moved_at)).min(0.5);
        self.flow.moved_at = self.flow.load_at;
        let used = !self.queues.order.is_empty() || self.flow.out_total as f64 >= USED * self.pools.limit_sum;
        let error = 1.0 - self.flow.load;
        // Few samples for each server judge late, and many such nodes rising on them crowd the fleet.
        let count = self.flow.arrivals.get(self.now) * RATE_S / self.pools.width.max(1) as f64;
        if error < 0.0 || used {
            let gain = sure(count) * if error < 0.0 { GAIN.1 } else { GAIN.0 };
            let factor = (gain * span * error.max(-1.0)).exp();
            self.note(|me| DecisionEvent::AllLimitsChanged {
                factor: factor as f32,
                utilization: me.flow.load as f32,
            });
            let nodes = self.nodes_per_server();
            let (least, start) = (LEAST_PLACES / nodes, START_PLACES / nodes);
            // Few nodes start with a place a server, under the share that many take untried. While latency is
            // under its mark they make that up at once: learned at the ordinary pace it took ten seconds.
            let quick = if nodes < START_PLACES { (QUICK * span * error.max(0.0)).exp() } else { 1.0 };
            for slot in self.pools.active.iter().flatten() {
                let server = &mut self.servers[*slot];
                let factor = if server.limit < start { factor.max(quick) } else { factor };
                server.limit = (server.limit * factor).clamp(least, 1e4);
            }
        }
    }

    /// The share of attempts that fail at the other servers, or here if there is none.
    fn common_break(&self, slot: usize) -> f64 {
        let others = self.pools.active.iter().flatten().filter(|&&other| other != slot);
        let (sum, count) = others.fold((0.0, 0.0), |(sum, n), &s| (sum + self.servers[s].broken, n + 1.0));
        if count > 0.0 { sum / count } else { self.servers[slot].broken }
    }

    /// An attempt that broke off lowers the limit as far as the server breaks off more than others do: a full
    /// cut for each, whatever was answered in between, starved a calm fleet where one in ten broke
    /// off. Covers any fault of the way or of all servers alike (a device that drops connections, errors
    /// of one kind of request). Could hurt where all servers are so crowded that they break off, and fast:
    /// then only what they turn away and late answers damp.
    fn learn_failure(&mut self, slot: usize, count: u32, broke: bool) {
        let least = LEAST_PLACES / self.nodes_per_server();
        let luck = 0.5 + self.chance();
        let common = self.common_break(slot);
        let chance = (BY_CHANCE.ln() / common.clamp(1e-6, 0.9).ln()).ceil() as u32;
        let server = &mut self.servers[slot];
        server.broken += BROKEN * (1.0 - server.broken);
        let own = ((server.broken - OWN_FAULT.0 * common) / OWN_FAULT.1).clamp(0.0, 1.0);
        let fault = if broke { own } else { 1.0 };
        let (id, from, to) = (server.id, server.limit, (server.limit * CUT.powf(fault)).max(least));
        server.limit = to;
        server.failures += count;
        // Failing fast must not look like being fast.
        server.stretch = server.faded(self.now).max(3.0 * fault);
        server.seen = self.now;
        if (server.failures >= FAILURES.max(chance) || server.trial) && self.now >= server.aside_until {
            let span = (ASIDE_S.0 * f64::from(1u32 << server.aside_times.min(6))).min(ASIDE_S.1) * luck;
            server.aside_until = self.now + nanos(span);
            server.aside_times += 1;
            server.trial = true;
            self.notes.push(DecisionEvent::Ejected { endpoint: id, duration: nanos(span) });
        }
        self.note(|_| DecisionEvent::LimitChanged {
            endpoint: id,
            from: from as f32,
            to: to as f32,
            reason: LimitChangeReason::Failure,
        });
    }

    // ---- Cold ramp ------------------------------------------------------------------------------

    /// Share of its capacity that a server has at least by now.
    fn ramp(&self, server: &Server) -> f64 {
        let age = self.now.saturating_sub(server.started_at);
        if server.started_at == 0 || age >= self.settings.warmup_duration {
            return 1.0;
        }
        let grown = age as f64 / self.settings.warmup_duration as f64;
        self.settings.warmup_initial_fraction + (1.0 - self.settings.warmup_initial_fraction) * grown
    }

    /// A cold server earns work as a share of what this node sends a warm one, and may not save it up:
    /// each node alone keeps that share, so all nodes together do, however uneven their traffic is.
    fn cold_room(&mut self, slot: usize) -> bool {
        let ramp = self.ramp(&self.servers[slot]);
        if ramp >= 1.0 {
            return true;
        }
        let own = self.pools.warm_rate;
        let rate = COLD_SHARE * ramp * self.advised.cold_rate(self.servers[slot].id, own, self.now);
        let most = (rate * seconds(self.settings.overload_duration) * 0.25).max(0.01);
        let server = &mut self.servers[slot];
        let earned = rate * seconds(self.now.saturating_sub(server.cold_at));
        server.cold_at = self.now;
        server.cold_budget = (server.cold_budget + earned).min(most);
        server.cold_budget > 0.0
    }

    // ---- Tiers and queues -----------------------------------------------------------------------

    /// The told worth against the best class's; without differences in worth everything is Medium.
    fn tier(&self, worth: f64) -> usize {
        let worths = || self.settings.classes.iter().map(|class| class.priority_weight);
        let best = worths().fold(0.0, f64::max);
        let least = worths().fold(f64::MAX, f64::min);
        let share = if best > 0.0 { worth / best } else { 1.0 };
        match share {
            x if x >= 0.8 && least < best => HIGHEST,
            x if x > 0.55 && least < best => 1,
            x if x > 0.3 => MEDIUM,
            _ => LOW,
        }
    }

    /// Whether a tenant is past its share of this node's traffic; counts the request.
    fn over_share(&mut self, tenant: TenantId) -> bool {
        let Some(told) = self.settings.tenants.get(tenant) else { return false };
        let part = told.allowance_per_s / f64::from(self.settings.node_count);
        let rate = part.max(told.share * self.flow.arrivals.get(self.now));
        let most = 2.0 + 3.0 * rate;
        let earned = |since: Nanos| rate * seconds(self.now.saturating_sub(since)).min(EARNING_S);
        let asked = Asked { tenant, at: self.now, rate, most };
        self.tenants.judge(asked, |state| {
            state.allowance = (state.allowance + earned(state.at)).min(most);
            state.allowance < 1.0
        })
    }

    fn enqueue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id).filter(|r| r.held.is_none()) else { return };
        self.queues.seq += 1;
        // Most worth first in the top tier; worths are not negative, so their bits order like they do.
        let rank = if request.tier == HIGHEST { u64::MAX - request.worth.to_bits() } else { 0 };
        request.held = Some((rank, self.queues.seq));
        self.queues.held[request.tier] += 1;
        self.queues.order.insert((request.tier, rank, self.queues.seq, id));
    }

    fn unhold(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some((rank, seq)) = request.held.take() {
            self.queues.held[request.tier] -= 1;
            self.queues.order.remove(&(request.tier, rank, seq, id));
        }
    }

    /// Releases held requests, highest tier first, while a server has room.
    fn dispatch(&mut self, actions: &mut Vec<Action>) {
        while self.has_places() {
            let Some(&(tier, .., id)) = self.queues.order.first() else { return };
            let Some(slot) = self.pick(id) else { break };
            self.unhold(id);
            self.queues.released[tier].add(self.now, 1.0);
            self.send(id, slot, actions);
        }
        if !self.pumping && !self.queues.order.is_empty() {
            self.pumping = true;
            self.arm(self.now + PUMP, T_PUMP, 0, actions);
        }
    }

    // ---- Order by key ---------------------------------------------------------------------------

    /// Whether the request has its key's turn: all earlier ones are over, their attempts have ended and
    /// the key has had its rest. The one that has the turn may be tried again or copied without a rest.
    fn has_turn(&self, id: RequestId, request: &Request) -> bool {
        request.key.is_none_or(|key| {
            let (first, rested) = self.turns.state(key, id, self.now);
            first && (rested || !request.attempts.is_empty())
        })
    }

    /// Gives the turn to the next request of a key, which joins its queue only now: until then it takes
    /// no room and stands in nobody's way.
    fn next_turn(&mut self, key: u64) {
        let Some(id) = self.turns.next(key, self.now) else { return };
        if self.requests.get(&id).is_some_and(|r| !r.done && r.attempts.is_empty()) {
            self.enqueue(id);
        }
    }

    // ---- Admission ------------------------------------------------------------------------------

    fn on_request(&mut self, new: &NewRequest, actions: &mut Vec<Action>) {
        let NewRequest { id, class, tenant, cost_hint, key, deadline } = *new;
        let Some(told) = self.settings.classes.get(usize::from(class.0)) else { return };
        let (aim, stretch, mut worth) =
            (told.latency_objective, told.objective_per_work, told.priority_weight);
        let key = key.filter(|_| told.ordered_by_key);
        let aim = aim + (stretch * cost_hint.unwrap_or(0) as f64) as Nanos;
        let work = cost_hint.map_or(1.0, |hint| self.hinted(class, hint));
        self.flow.arrivals.add(self.now, 1.0);
        self.flow.retry_budget = (self.flow.retry_budget + RETRY_SHARE).min(RETRY_BURST);
        if tenant.is_some_and(|tenant| self.over_share(tenant)) {
            worth *= self.settings.over_share_weight;
        }
        let request = Request {
            class,
            worth,
            tier: self.tier(worth),
            work,
            aim_at: self.now + aim,
            not_after: deadline,
            attempts: Vec::new(),
            out: 0,
            held: None,
            done: false,
            key,
        };
        let (tier, aim_at) = (request.tier, request.aim_at);
        self.note(|_| DecisionEvent::Classified {
            id,
            tier: tier as u8,
            priority_weight: worth as f32,
            objective_deadline: aim_at,
        });
        self.requests.insert(id, request);
        if let Some(key) = key {
            self.turns.join(key, id);
            self.next_turn(key);
        } else {
            self.enqueue(id);
        }
        self.dispatch(actions);
        if self.requests.get(&id).is_some_and(|request| request.attempts.is_empty()) {
            if self.requests[&id].held.is_some() && tier >= MEDIUM && self.overloaded(id) {
                self.finish(id, RejectionReason::QueueTooLong, actions);
            } else {
                let held = self.queues.order.len() as u32;
                self.note(|_| DecisionEvent::Queued { id, queued: held });
                self.arm_give_up(id, actions);
            }
        }
    }

    fn hinted(&mut self, class: ClassId, hint: Nanos) -> f64 {
        let state = &mut self.classes[usize::from(class.0)];
        // A plain mean at first: one that began at the first hint took a hundred more to forget it, all
        // latencies for their work drifted meanwhile, and the calm one was off for good.
        state.hints += 1;
        state.hint += (1.0 / f64::from(state.hints)).max(0.01) * (hint as f64 - state.hint);
        (hint as f64 / state.hint).clamp(0.05, 30.0)
    }

    /// Judges by this node's own queue: its length over the rate at which it drains. Between 0.7 and 1
    /// of the bound chance decides, so that nodes neither refuse in step nor let all back at once.
    fn overloaded(&mut self, id: RequestId) -> bool {
        let behind = self.now < self.flow.behind_until;
        let luck = if behind { f64::INFINITY } else { 0.7 + 0.3 * self.chance() };
        self.requests.get(&id).is_some_and(|request| self.pressure(request) > WAIT_SHARE * luck)
    }

    /// The wait of a request's tier over the time that it has left to wait.
    fn pressure(&self, request: &Request) -> f64 {
        let all: f64 = self.queues.released.iter().map(|rate| rate.get(self.now)).sum();
        let drain = self.queues.released[request.tier].get(self.now).max(0.05 * all);
        let left = seconds(request.aim_at.min(request.not_after).saturating_sub(self.now));
        let left = left - self.expected(request.class, request.work);
        let wait = self.queues.held[request.tier] as f64 / drain;
        if left > 0.0 { wait / left } else { f64::INFINITY }
    }

    /// Until when an answer is worth anything.
    fn useful_until(&self, request: &Request) -> Nanos {
        let late = self.told(request.class).late_weight > 0.0;
        if late { request.not_after } else { request.aim_at.min(request.not_after) }
    }

    /// The moment when a held request has no time left for its aim, also where a late answer earns
    /// something: served late, it would take the place of one that can still be in time. A smaller margin
    /// sent the top queue's requests at the last moment only, and most ended unanswered.
    fn give_up_at(&self, request: &Request) -> Nanos {
        let margin = nanos(self.expected(request.class, request.work)).max(2 * self.settings.tick);
        let latest = request.not_after.saturating_sub(2 * self.settings.tick);
        request.aim_at.saturating_sub(margin).min(latest).max(self.now + 1).min(latest)
    }

    fn arm_give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get(&id) {
            self.arm(self.give_up_at(request), T_GIVE_UP, id.0, actions);
        }
    }

    // ---- Pick -----------------------------------------------------------------------------------

    /// The sum of limits bounds the node's attempts, so that fractions of a place count.
    fn has_places(&self) -> bool {
        if self.informed() {
            let known: usize = self.pools.active[0].iter().map(|&slot| self.known_out(slot)).sum();
            return (known as f64) < self.pools.limit_sum * self.nodes_per_server();
        }
        self.fits(self.pools.out[0] + self.pools.out[1], self.pools.limit_sum)
    }

    /// Limits bound the mean. A node whose share is a place or two could never serve two requests that
    /// come together while servers idle: while its mean is low it may go over by as much as chance alone
    /// brings about, which evens out over the nodes.
    fn fits(&self, out: usize, limit: f64) -> bool {
        let calm = self.flow.demand < CALM_USE * self.pools.limit_sum;
        let burst = if calm { BURST * limit.sqrt() } else { 0.0 };
        // A share under one place is rounded up to one, or little could go out beside idle servers; but not
        // while latency is over its mark: hundreds of nodes that each kept a place then kept a fleet that
        // had choked choked. Should also ease a shared dependency that slows. Does harm where latency stays
        // over its mark for other reasons than load: then a node sends less than it could.
        let one = out == 0 && (self.flow.demand < limit || self.flow.load < JAMMED);
        one || (out > 0 || limit >= 1.0) && (out as f64) < limit + burst
    }

    /// The own zone is full at the sum of its limits; each server alone, rounded up, would hide that.
    fn own_zone_full(&self, pool: usize) -> bool {
        !self.pools.ranked[1].is_empty() && !self.fits(self.pools.out[pool], self.pools.limits[pool])
    }

    fn room(&mut self, slot: usize, id: RequestId) -> Result<(), ExclusionReason> {
        let server = &self.servers[slot];
        let nodes = if self.informed() { self.nodes_per_server() } else { 1.0 };
        let out = if self.informed() { self.known_out(slot) } else { server.out.len() };
        if out as f64 >= (server.limit * nodes).ceil().max(1.0) {
            return Err(ExclusionReason::AtLimit);
        }
        if !self.pools.most_aside {
            if self.out_of_order(slot) {
                return Err(ExclusionReason::Outlier);
            }
            // On trial after it was set aside: one at a time, and only what may be tried elsewhere then.
            // Behind unsafe requests in line nothing else is sent, so where the server only turned away
            // they are the trial, or there is none.
            let once = || {
                self.told(self.requests[&id].class).idempotency == Idempotency::NotIdempotent
                    && !server.turned_away
            };
            if server.trial && (!server.out.is_empty() || once()) {
                return Err(ExclusionReason::OnProbation);
            }
        }
        let room = self.cold_room(slot).then_some(()).ok_or(ExclusionReason::SlowStart);
        room.and_then(|()| self.may_send(id, slot).then_some(()).ok_or(ExclusionReason::NotPermitted))
    }

    fn score(&mut self, slot: usize) -> f64 {
        let tie = 1.0 + 0.05 * self.chance();
        let server = &self.servers[slot];
        let size = if self.settings.weight_is_capacity { server.weight.max(0.1) } else { 1.0 };
        let caution = self.advised.caution(server.id, server.started_at, self.now);
        server.latency(self.now) * (self.known_out(slot) as f64 + 1.0) / size * tie * caution
    }

    /// Among servers with room the least smoothed peak latency x (own in-flight + 1); on many servers
    /// a sample of them. Own zone first while it has room.
    fn pick(&mut self, id: RequestId) -> Option<usize> {
        let mut look = SelectionTrace::default();
        for pool in 0..2 {
            if self.own_zone_full(pool) {
                continue;
            }
            let count = self.pools.active[pool].len();
            let all = count <= SAMPLE;
            // A few more looks where the sample meets full servers; never a scan of a large fleet.
            for at in 0..if all { count } else { 4 * SAMPLE } {
                let at = if all { at } else { (self.chance() * count as f64) as usize };
                let slot = self.pools.active[pool][at];
                match self.room(slot, id) {
                    Ok(()) => look.offer(self.score(slot), slot),
                    Err(hurdle) => look.exclusions.add(hurdle),
                }
                if look.candidates >= SAMPLE {
                    break;
                }
            }
            if let Some((score, slot)) = look.best {
                self.note(|me| me.picked(id, slot, score, &look));
                return Some(slot);
            }
        }
        self.note(|_| DecisionEvent::NoEndpointAvailable { id, exclusions: look.exclusions });
        None
    }

    // ---- Retries and final answers --------------------------------------------------------------

    /// The gate: every send passes here. Rules 2 (no effect twice), 3 (drains), 4 (cold servers, by
    /// `cold_room` just before) and the limit of attempts.
    fn may_send(&self, id: RequestId, slot: usize) -> bool {
        let (Some(request), server) = (self.requests.get(&id), &self.servers[slot]) else { return false };
        if request.done
            || !server.ready
            || request.attempts.len() >= self.settings.max_attempts as usize
            || (request.out > 0 && !self.settings.concurrent_attempts)
            || self.now + self.settings.tick > request.not_after
            || request.attempts.iter().any(|a| a.server == server.id && a.ran != Ran::Never)
        {
            return false;
        }
        let first = request.attempts.iter().find(|a| a.ran != Ran::Never);
        self.has_turn(id, request)
            && first.is_none_or(|first| self.may_repeat(request.class, first, Some(server)))
    }

    /// Whether what `first` may have done allows another attempt, there or (`None`) anywhere.
    fn may_repeat(&self, class: ClassId, first: &Attempt, to: Option<&Server>) -> bool {
        let inside = to.is_none_or(|server| match self.told(class).idempotency {
            Idempotency::IdempotencyKey { scope: DedupScope::Zone, .. } => first.zone == server.zone,
            Idempotency::IdempotencyKey { scope: DedupScope::Cell, .. } => first.cell == server.cell,
            _ => true,
        });
        inside && self.now < self.repeats_until(class, first)
    }

    /// Until when a repeat may set out; a tenth of the window is left for the way to the server.
    fn repeats_until(&self, class: ClassId, first: &Attempt) -> Nanos {
        match self.told(class).idempotency {
            Idempotency::Idempotent => Nanos::MAX,
            Idempotency::NotIdempotent => 0,
            Idempotency::IdempotencyKey { window, .. } => first.sent + window / 10 * 9,
        }
    }

    fn may_refuse(&self, request: &Request) -> bool {
        match self.told(request.class).idempotency {
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: DedupScope::All, .. } => true,
            _ => request.attempts.iter().all(|a| a.ran == Ran::Never),
        }
    }

    fn send(&mut self, id: RequestId, slot: usize, actions: &mut Vec<Action>) {
        if !self.may_send(id, slot) {
            return;
        }
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let server = &mut self.servers[slot];
        let (number, zone, cell) = (request.attempts.len(), server.zone, server.cell);
        let first = request.attempts.iter().find(|a| a.ran != Ran::Never).cloned();
        request.attempts.push(Attempt { server: server.id, zone, cell, sent: now, ran: Ran::Outstanding });
        request.out += 1;
        let (class, work, tries_left) =
            (request.class, request.work, number + 1 < self.settings.max_attempts as usize);
        let (safe, expected) =
            (self.told(class).idempotency == Idempotency::Idempotent, self.expected(class, work));
        let by = first.map(|first| self.repeats_until(class, &first));
        let server = &mut self.servers[slot];
        server.out.push_back((id, number, now, expected));
        server.rate.add(now, work);
        server.cold_budget -= work;
        self.note_out();
        self.flow.out_total += 1;
        self.to_tell = Some(true);
        self.pools.out[usize::from(self.is_far(zone))] += 1;
        let patience = nanos(HEDGE * expected * self.servers[slot].latency(now).clamp(1.0, 2.0));
        // Where two may not be out at once, giving up on the first is the only way to try another.
        let timeout = (safe && tries_left && !self.settings.concurrent_attempts).then_some(2 * patience);
        actions.push(Action::StartAttempt { id, endpoint: self.servers[slot].id, timeout, start_before: by });
        if safe && tries_left && self.settings.concurrent_attempts {
            self.arm(now + patience, T_HEDGE, id.0, actions);
        }
    }

    /// A second copy of a safe request that takes too long, while places and budget allow.
    fn on_hedge(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.done || request.out != 1 {
            return;
        }
        let expected = self.expected(request.class, request.work);
        if self.now + nanos(0.7 * expected) > self.useful_until(request) {
            return;
        }
        let idle = self.queues.order.is_empty() && self.has_places() && self.flow.retry_budget >= 1.0;
        let idle = idle && self.now >= self.flow.resumed + nanos(expected);
        if let Some(slot) = if idle { self.pick(id) } else { None } {
            self.flow.retry_budget -= 1.0;
            self.send(id, slot, actions);
        } else {
            self.arm(self.now + nanos(expected), T_HEDGE, id.0, actions);
        }
    }

    fn on_ended(&mut self, ended: &AttemptEnded, actions: &mut Vec<Action>) {
        let (id, number) = (ended.id, usize::from(ended.attempt.0));
        let never_ran = ended.outcome.never_executed(self.settings.rejection_may_execute);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(number).filter(|a| a.ran == Ran::Outstanding) else {
            return;
        };
        attempt.ran = if never_ran { Ran::Never } else { Ran::Maybe };
        request.out -= 1;
        let (class, work, key) = (request.class, request.work, request.key);
        if let Some(key) = key.filter(|_| ended.outcome.may_still_execute()) {
            // The work may go on at the server: the key rests.
            let until = self.now + self.settings.key_cooldown;
            self.turns.rest(key, until);
            self.arm(until, T_TURN, 0, actions);
        }
        self.note_out();
        self.flow.out_total -= 1;
        self.to_tell.get_or_insert(false);
        if let Some(&slot) = self.slots.get(&ended.endpoint) {
            self.servers[slot].turned_away = ended.outcome == AttemptOutcome::Rejected;
            self.servers[slot].out.retain(|&(request, n, ..)| (request, n) != (id, number));
            // Exact again at the next refresh, should the server be out of order.
            let far = usize::from(self.is_far(self.servers[slot].zone));
            self.pools.out[far] = self.pools.out[far].saturating_sub(1);
            self.learn_outcome(slot, (class, work), ended);
            self.hang_up(slot, actions);
        }
        if ended.final_answer {
            self.on_over(id, None, actions);
        } else {
            self.settle(id, actions);
        }
    }

    fn learn_outcome(&mut self, slot: usize, of: (ClassId, f64), ended: &AttemptEnded) {
        let ((class, work), took) = (of, ended.duration);
        let (sent, expected) = (self.now.saturating_sub(took), self.expected(class, work));
        match ended.outcome {
            _ if self.now < self.flow.resumed + took => {}
            AttemptOutcome::Success => {
                self.flow.served.add(self.now, work);
                self.servers[slot].heard = self.servers[slot].heard.max(sent);
                self.learn_latency(slot, class, work, took);
                let server = &mut self.servers[slot];
                server.broken -= BROKEN * server.broken;
                server.failures = 0;
                if std::mem::take(&mut server.trial) {
                    self.notes.push(DecisionEvent::Reinstated { endpoint: server.id });
                } else {
                    server.aside_times = 0;
                }
            }
            // A silent connection. Taken for the server's latency, a few made a whole class seem five times
            // slower, second copies came late, and every limit was cut for what no server had done.
            AttemptOutcome::Cancelled | AttemptOutcome::TimedOut
                if self.servers[slot].overtook(sent, expected) => {}
            // A hung server whose attempts are all called back for a faster copy would never show.
            AttemptOutcome::Cancelled if seconds(took) <= HEDGE * expected => {}
            AttemptOutcome::Error | AttemptOutcome::Reset | AttemptOutcome::Cancelled => {
                self.learn_failure(slot, 1, true)
            }
            // It would have taken longer; from answers alone, what is sent too late stays unseen.
            AttemptOutcome::TimedOut => {
                self.learn_latency(slot, class, work, 2 * took);
                self.learn_failure(slot, 1, true);
            }
            // A server that only turns away may be draining without the list saying so.
            AttemptOutcome::Rejected => self.learn_failure(slot, 1, false),
            AttemptOutcome::NotSent => {}
            AttemptOutcome::ConnectFailed => self.learn_failure(slot, 2, false),
        }
    }

    /// After an attempt without success: wait for another, try again, or answer.
    fn settle(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.done {
            return self.on_over(id, None, actions);
        }
        if request.out > 0 || request.held.is_some() {
            return;
        }
        let first = request.attempts.iter().find(|a| a.ran != Ran::Never);
        let unrun = first.is_none();
        let price = if unrun { 0.3 } else { 1.0 };
        let end = self.give_up_at(request);
        let stops = [
            (request.attempts.len() >= self.settings.max_attempts as usize, NoRetryReason::AttemptsExhausted),
            (
                !first.is_none_or(|first| self.may_repeat(request.class, first, None)),
                NoRetryReason::NotIdempotent,
            ),
            // The same moment as for a held request: a later one would have it wait without a next step.
            (self.now + 1 >= end, NoRetryReason::NoTimeLeft),
            (self.flow.retry_budget < price, NoRetryReason::RetryBudgetSpent),
        ];
        if let Some((_, stop)) = stops.into_iter().find(|(holds, _)| *holds) {
            return self.finish(id, RejectionReason::NoRetry(stop), actions);
        }
        if let Some(slot) = if self.has_places() { self.pick(id) } else { None } {
            self.flow.retry_budget -= price;
            self.send(id, slot, actions);
        } else if unrun {
            self.enqueue(id);
            self.arm_give_up(id, actions);
        } else {
            self.arm(end.min(self.now + PUMP), T_AGAIN, id.0, actions);
        }
    }

    /// Every final answer of ours. A refusal promises that nothing happened; where that is not certain
    /// the answer is a failure.
    fn finish(&mut self, id: RequestId, rule: RejectionReason, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.done) else { return };
        let pressure =
            if rule == RejectionReason::QueueTooLong { self.pressure(request) as f32 } else { 0.0 };
        if self.may_refuse(request) {
            actions.push(Action::Reject { id, retry_after: self.settings.retry_after_hint() });
        } else {
            actions.push(Action::Fail(id));
        }
        if matches!(rule, RejectionReason::QueueTooLong | RejectionReason::QueueTimeout)
            && !std::mem::replace(&mut self.overload, true)
        {
            self.notes.push(DecisionEvent::OverloadStarted { queued: self.queues.order.len() as u32 });
        }
        self.note(|_| DecisionEvent::AnsweredWithoutEndpoint { id, reason: rule, pressure });
        self.on_over(id, None, actions);
    }

    /// The request has its final answer or needs none: nothing more is sent, copies are called back.
    fn on_over(&mut self, id: RequestId, keep: Option<AttemptNo>, actions: &mut Vec<Action>) {
        self.unhold(id);
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !std::mem::replace(&mut request.done, true) && self.settings.cancellation {
            let numbered = (0..).map(AttemptNo).zip(&request.attempts);
            let out = numbered.filter(|(number, a)| a.ran == Ran::Outstanding && keep != Some(*number));
            actions.extend(out.map(|(attempt, _)| Action::CancelAttempt { id, attempt }));
        }
        let key = request.key;
        if request.out == 0 {
            self.requests.remove(&id);
            if let Some(key) = key {
                self.turns.leave(key, id);
                self.next_turn(key);
            }
        }
    }

    // ---- Timers ---------------------------------------------------------------------------------

    fn arm(&self, at: Nanos, kind: u64, about: u32, actions: &mut Vec<Action>) {
        actions.push(Action::ArmTimer { at: at.max(self.now + 1), token: TimerToken::new(kind, about) });
    }

    fn on_timer(&mut self, token: TimerToken, actions: &mut Vec<Action>) {
        let id = RequestId(token.about());
        match token.kind() {
            T_GIVE_UP => self.on_give_up(id, actions),
            T_HEDGE => self.on_hedge(id, actions),
            T_PUMP => self.pumping = false,
            T_ASK if !self.subscribed => actions.push(Action::Subscribe),
            T_AGAIN => self.settle(id, actions),
            T_HANG_UP => {
                let server = EndpointId(id.0);
                if self.slots.get(&server).is_none_or(|&slot| !self.servers[slot].ready) {
                    actions.push(Action::CloseIdleConnections(server));
                }
            }
            _ => {}
        }
    }

    /// A held request nearly out of time is refused, whatever its tier; so is one still without its turn.
    fn on_give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else { return };
        let no_turn = request.key.is_some() && request.attempts.is_empty();
        if request.held.is_some() || no_turn {
            let rule = if request.held.is_some() {
                RejectionReason::QueueTimeout
            } else {
                RejectionReason::KeyOrderTimeout
            };
            self.finish(id, rule, actions);
        }
    }
}

impl Server {
    /// Whether a later attempt has overtaken this one by far: its connection fell silent, not the server.
    fn overtook(&self, sent: Nanos, expected: f64) -> bool {
        self.heard >= sent + nanos(OVERTAKEN * expected)
    }

    /// Age of the oldest outstanding attempt, but for overtaken ones, over what was expected of it.
    fn age(&self, now: Nanos) -> f64 {
        self.out
            .iter()
            .find(|&&(.., sent, expected)| !self.overtook(sent, expected))
            .map_or(0.0, |&(.., sent, expected)| seconds(now.saturating_sub(sent)) / expected.max(1e-6))
    }

    /// The smoothed latency by now: an old one drifts to a little under the mean.
    fn faded(&self, now: Nanos) -> f64 {
        let believed = (-seconds(now.saturating_sub(self.seen)) / FORGET_S).exp();
        UNUSED + (self.stretch - UNUSED) * believed
    }

    /// What the pick goes by: what is outstanding counts as soon as it is older.
    fn latency(&self, now: Nanos) -> f64 {
        self.faded(now).max(self.age(now)).max(0.05)
    }
}

#[cfg(test)]
#[path = "../tests/unit/gate.rs"]
mod gate;
