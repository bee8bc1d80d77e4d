//! Tenant quotas: the bounded table of records, compared with a reference that keeps a record for each tenant
//! and never evicts one.

mod common;

use common::*;
use proptest::prelude::*;
use pumicehead_policy::Balancer;
use pumicehead_policy::decaying_rate::DecayingRate;
use pumicehead_policy::decision_event::DecisionEvent;
use pumicehead_policy::seconds;
use pumicehead_policy::tenant_shares::TenantShares;
use pumicehead_policy::*;
use pumicehead_policy::{KEPT_IDLE_TENANT_RECORDS, MAX_TENANT_RECORDS};

const WEIGHT: f64 = 3.0;
const OVER_SHARE_WEIGHT: f64 = 0.2;

/// The balancer as its host uses it. The weight of a request shows whether the tenant was over its share.
struct QuotaNode {
    balancer: Balancer,
    settings: Settings,
    now: Nanos,
    next_id: u32,
}

impl QuotaNode {
    fn new(tenants: TenantShares) -> Self {
        let settings = Settings {
            tenants,
            node_count: 2,
            over_share_weight: OVER_SHARE_WEIGHT,
            ..settings(vec![class(Idempotency::Idempotent, WEIGHT)])
        };
        let mut balancer = Balancer::new(settings.clone(), 1);
        balancer.record_every_decision(true);
        Self { balancer, settings, now: SECOND, next_id: 0 }
    }

    /// Sends a request of the tenant and returns the weight that it got.
    fn request_weight(&mut self, tenant: u32) -> f64 {
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let request = NewRequest {
            id,
            class: ClassId(0),
            tenant: Some(TenantId(tenant)),
            cost_hint: None,
            key: None,
            deadline: self.now + SECOND,
        };
        let mut actions = Vec::new();
        self.balancer.handle(self.now, Event::Request(request), &mut actions);
        let weight = self.balancer.decision_events().iter().find_map(|event| match event {
            DecisionEvent::Classified { priority_weight, .. } => Some(f64::from(*priority_weight)),
            _ => None,
        });
        self.balancer.handle(self.now, Event::ClientDisconnected(id), &mut actions);
        weight.expect("the request is classified")
    }

    fn is_over(&mut self, tenant: u32) -> bool {
        self.request_weight(tenant) < WEIGHT
    }

    fn update_tenants(&mut self, tenants: TenantShares) {
        self.settings.tenants = tenants;
        assert!(self.balancer.update_settings(self.settings.clone()), "an update of the tenants is accepted");
    }
}

/// Reference implementation: a record for each tenant by its position, never evicted.
struct Reference {
    records: Vec<(f64, Nanos)>,
    tenants: Vec<Tenant>,
    arrivals: DecayingRate<3_000>,
    nodes: u32,
}

impl Reference {
    fn new(tenants: Vec<Tenant>) -> Self {
        Self { records: vec![(0.0, 0); tenants.len()], tenants, arrivals: DecayingRate::default(), nodes: 2 }
    }

    fn is_over(&mut self, now: Nanos, tenant: u32) -> bool {
        self.arrivals.add(now, 1.0);
        let quota = &self.tenants[tenant as usize];
        let part = quota.allowance_per_s / f64::from(self.nodes);
        let rate = part.max(quota.share * self.arrivals.get(now));
        let (allowance, at) = &mut self.records[tenant as usize];
        let earned = rate * seconds(now.saturating_sub(*at)).min(10.0);
        *at = now;
        *allowance = (*allowance + earned).min(2.0 + 3.0 * rate);
        if *allowance < 1.0 {
            return true;
        }
        *allowance -= 1.0;
        false
    }
}

fn tenant(allowance_per_s: f64) -> Tenant {
    Tenant { share: 0.0, allowance_per_s }
}

/// Time spans from zero to a day: bursts, values around the earning span of 10 s and the eviction time of 600
/// s, and the longest idle times.
fn spans() -> impl Strategy<Value = Nanos> {
    prop_oneof![
        Just(0),
        0..SECOND / 100,
        0..SECOND,
        9 * SECOND..11 * SECOND,
        590 * SECOND..610 * SECOND,
        0..86_400 * SECOND,
    ]
}

fn tenants(max: usize) -> impl Strategy<Value = Vec<Tenant>> {
    let tenant = (0.0..0.2f64, prop_oneof![Just(0.0), 0.0..0.5f64, 0.0..50.0f64])
        .prop_map(|(share, allowance_per_s)| Tenant { share, allowance_per_s });
    proptest::collection::vec(tenant, 1..=max)
}

#[derive(Clone, Debug)]
enum Step {
    /// After a time span, several requests of one tenant.
    Requests { after: Nanos, tenant: usize, count: usize },
    /// The number of nodes that share the endpoints changes.
    NodeCount(u32),
    /// The share and allowance of a tenant change.
    ChangeTenant { tenant: usize, to: Tenant },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let requests = (spans(), any::<usize>(), 1..8usize).prop_map(|(after, tenant, count)| Step::Requests {
        after,
        tenant,
        count,
    });
    let change = (any::<usize>(), 0.0..0.5f64, 0.0..20.0f64).prop_map(|(tenant, share, allowance_per_s)| {
        Step::ChangeTenant { tenant, to: Tenant { share, allowance_per_s } }
    });
    let step = prop_oneof![20 => requests, 1 => (1..400u32).prop_map(Step::NodeCount), 1 => change];
    proptest::collection::vec(step, 1..400)
}

proptest! {
    /// With few tenants, every weight is bit for bit that of the reference.
    #[test]
    fn few_tenants_get_the_decisions_of_the_reference(tenants in tenants(KEPT_IDLE_TENANT_RECORDS), steps in steps()) {
        let mut node = QuotaNode::new(tenants.clone().into());
        let mut reference = Reference::new(tenants);
        for step in steps {
            match step {
                Step::Requests { after, tenant, count } => {
                    node.now += after;
                    let tenant = (tenant % reference.tenants.len()) as u32;
                    for _ in 0..count {
                        let over = reference.is_over(node.now, tenant);
                        let expected = if over { WEIGHT * OVER_SHARE_WEIGHT } else { WEIGHT } as f32;
                        let weight = node.request_weight(tenant) as f32;
                        prop_assert_eq!(weight.to_bits(), expected.to_bits());
                    }
                }
                Step::NodeCount(nodes) => {
                    let sharing = Event::NodeShare(NodeShare { node_index: 0, node_count: nodes });
                    node.balancer.handle(node.now, sharing, &mut Vec::new());
                    reference.nodes = nodes;
                }
                Step::ChangeTenant { tenant, to } => {
                    let tenant = tenant % reference.tenants.len();
                    reference.tenants[tenant] = to;
                    node.update_tenants(reference.tenants.clone().into());
                }
            }
        }
    }
}

/// Traffic of one step.
#[derive(Clone, Debug)]
enum Traffic {
    /// `count` tenants, starting with `first`, send one request each within a time span.
    ManyTenants { first: u32, count: u32, within: Nanos },
    /// One tenant sends several requests.
    OneTenant { tenant: u32, count: u32 },
    /// No requests for a time span.
    Pause(Nanos),
}

const TRAFFIC_TENANTS: u32 = 9_000;

fn traffic() -> impl Strategy<Value = Vec<Traffic>> {
    let many_tenants = (
        0..TRAFFIC_TENANTS,
        0..TRAFFIC_TENANTS,
        prop_oneof![Just(SECOND / 10), Just(5 * SECOND), Just(60 * SECOND)],
    )
        .prop_map(|(first, count, within)| Traffic::ManyTenants { first, count, within });
    let one_tenant =
        (0..TRAFFIC_TENANTS, 1..40u32).prop_map(|(tenant, count)| Traffic::OneTenant { tenant, count });
    let pause = spans().prop_map(Traffic::Pause);
    proptest::collection::vec(prop_oneof![2 => many_tenants, 3 => one_tenant, 2 => pause], 1..12)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// No tenant gains by being evicted or by having no record: counted from its first request, it never has
    /// more requests within its share than with the reference. The bound on the number of records holds
    /// throughout.
    #[test]
    fn no_tenant_gains_by_being_evicted(
        begin in spans(),
        rates in proptest::collection::vec(0.0..8.0f64, 7),
        traffic in traffic(),
    ) {
        let tenants: Vec<_> = (0..TRAFFIC_TENANTS as usize).map(|n| tenant(rates[n % rates.len()])).collect();
        let mut node = QuotaNode::new(tenants.clone().into());
        node.now += begin;
        let mut reference = Reference::new(tenants);
        let mut within = vec![(0u32, 0u32); TRAFFIC_TENANTS as usize];
        let mut is_within_reference = |node: &mut QuotaNode, tenant: u32| {
            let (own, kept) = &mut within[tenant as usize];
            *own += u32::from(!node.is_over(tenant));
            *kept += u32::from(!reference.is_over(node.now, tenant));
            *own <= *kept
        };
        for step in traffic {
            match step {
                Traffic::ManyTenants { first, count, within } => {
                    for n in 0..count {
                        node.now += within / u64::from(count);
                        let tenant = (first + n) % TRAFFIC_TENANTS;
                        prop_assert!(is_within_reference(&mut node, tenant), "tenant {} has more requests within its share than in the reference", tenant);
                    }
                }
                Traffic::OneTenant { tenant, count } => {
                    for _ in 0..count {
                        node.now += SECOND / 50;
                        prop_assert!(is_within_reference(&mut node, tenant), "tenant {} has more requests within its share than in the reference", tenant);
                    }
                }
                Traffic::Pause(span) => node.now += span,
            }
            prop_assert!(node.balancer.tenant_record_usage().0 <= MAX_TENANT_RECORDS);
        }
    }
}

const TENANTS: u32 = 16_000;
/// Number of tenants that send requests all the time, the first half of them more than their shares.
const BUSY_TENANTS: u32 = 10;
/// Memory that a pool's records may take: 3,584 records, their hash table, and the counters for tenants
/// without a record.
const MAX_BYTES: usize = 448 << 10;

/// A time at which the initial allowances are full.
const START: Nanos = 60 * SECOND;

/// Returns a node with 16,000 tenants. A tenant is entitled to 1 request per second at this node, a busy one
/// to 5.
fn node_with_many_tenants() -> QuotaNode {
    let allowance = |n: u32| if n < BUSY_TENANTS { 10.0 } else { 2.0 };
    let node = QuotaNode::new((0..TENANTS).map(|n| tenant(allowance(n))).collect());
    QuotaNode { now: START, ..node }
}

/// Decisions on the requests of the busy tenants.
#[derive(Default)]
struct BusyTenants {
    within: [u32; BUSY_TENANTS as usize],
    over: [u32; BUSY_TENANTS as usize],
}

impl BusyTenants {
    /// Sends the requests of a twentieth of a second: 20 per second for tenants over their shares, 4 per
    /// second for those within.
    fn send_requests(&mut self, node: &mut QuotaNode, round: u32) {
        for tenant in (0..BUSY_TENANTS).filter(|tenant| *tenant < BUSY_TENANTS / 2 || round.is_multiple_of(5))
        {
            let over = node.is_over(tenant);
            let count = if over { &mut self.over } else { &mut self.within };
            count[tenant as usize] += 1;
        }
    }

    /// Checks that tenants over their shares got their shares and not more, and that the others were never
    /// over.
    fn check(&self, seconds: u32) {
        for tenant in 0..(BUSY_TENANTS / 2) as usize {
            let (min, max) = (5 * seconds, 5 * seconds + 17);
            assert!((min..=max).contains(&self.within[tenant]), "{} of {max}", self.within[tenant]);
            assert!(self.over[tenant] >= 20 * seconds - max, "{}", self.over[tenant]);
        }
        assert_eq!(self.over[(BUSY_TENANTS / 2) as usize..], [0; (BUSY_TENANTS / 2) as usize]);
    }
}

/// 15,990 of 16,000 tenants send one request per minute each. Busy tenants over their shares must stay over,
/// and neither the busy tenants within their shares nor any occasional one may ever be over.
#[test]
fn many_occasional_tenants_change_no_quota_decision() {
    const MINUTES: u32 = 3;
    const ROUNDS: u32 = MINUTES * 60 * 20;
    let mut node = node_with_many_tenants();
    let (mut busy, mut max) = (BusyTenants::default(), (0, 0));
    let occasional = TENANTS - BUSY_TENANTS;
    let mut sent = 0;
    for round in 0..ROUNDS {
        node.now += SECOND / 20;
        busy.send_requests(&mut node, round);
        while sent * u64::from(ROUNDS) < u64::from(round) * u64::from(occasional * MINUTES) {
            let tenant = BUSY_TENANTS + (sent % u64::from(occasional)) as u32;
            assert!(!node.is_over(tenant), "occasional tenant {tenant} is over its share");
            sent += 1;
        }
        let (states, bytes) = node.balancer.tenant_record_usage();
        max = (max.0.max(states), max.1.max(bytes));
    }
    busy.check(MINUTES * 60);
    assert_eq!(max.0, MAX_TENANT_RECORDS, "the table is full, and bounded");
    assert!(max.1 <= MAX_BYTES, "{} bytes", max.1);
}

/// The same if 15,990 tenants send a request within one second, which is more than there are records, before
/// the busy tenants do.
#[test]
fn many_simultaneous_tenants_change_no_quota_decision() {
    let mut node = node_with_many_tenants();
    let (mut busy, mut over_share) = (BusyTenants::default(), 0);
    for n in 0..TENANTS - BUSY_TENANTS {
        node.now += SECOND / u64::from(TENANTS);
        over_share += u32::from(node.is_over(BUSY_TENANTS + n));
    }
    assert_eq!(over_share, 0);
    assert_eq!(node.balancer.tenant_record_usage().0, MAX_TENANT_RECORDS);
    for round in 0..30 * 20 {
        node.now += SECOND / 20;
        busy.send_requests(&mut node, round);
        assert!(node.balancer.tenant_record_usage().1 <= MAX_BYTES);
    }
    busy.check(30);
}

/// Guards against a table that grows although no record is added: a new tenant that replaces an idle one
/// takes no memory, however often that happens.
#[test]
fn replaced_records_take_no_memory() {
    const REPLACEMENTS_PER_ROUND: u32 = MAX_TENANT_RECORDS as u32;
    let mut node = node_with_many_tenants();
    let mut next_tenant = 0;
    let mut send_round = |node: &mut QuotaNode| {
        node.now += 11 * SECOND;
        for _ in 0..REPLACEMENTS_PER_ROUND {
            node.request_weight(next_tenant % TENANTS);
            next_tenant += 1;
        }
    };
    send_round(&mut node);
    let usage = node.balancer.tenant_record_usage();
    assert_eq!(usage.0, MAX_TENANT_RECORDS);
    for _ in 0..20 {
        send_round(&mut node);
        assert_eq!(node.balancer.tenant_record_usage(), usage);
    }
}

/// Idle records are evicted as requests arrive, until few are left.
#[test]
fn idle_records_are_evicted() {
    let mut node = node_with_many_tenants();
    for tenant in 0..3_000 {
        node.request_weight(tenant);
    }
    let (states, bytes) = node.balancer.tenant_record_usage();
    assert_eq!(states, 3_000);
    node.now += 700 * SECOND;
    for _ in 0..2_000 {
        node.request_weight(0);
    }
    let (left, bytes_left) = node.balancer.tenant_record_usage();
    assert_eq!(left, KEPT_IDLE_TENANT_RECORDS);
    assert!(bytes_left * 3 < bytes, "{bytes_left} of {bytes} bytes");
}

/// Spends a tenant's allowance.
fn spend_allowance(node: &mut QuotaNode, tenant: u32) {
    for _ in 0..100 {
        node.request_weight(tenant);
    }
    assert!(node.is_over(tenant));
}

/// Tenants are added, removed and changed in place by their ids. Each keeps its state, also one that is
/// removed and added again under the same id.
#[test]
fn a_tenant_update_keeps_allowances() {
    let shares = |ids: &[u32]| ids.iter().map(|id| (TenantId(*id), tenant(2.0))).collect::<TenantShares>();
    let mut node = QuotaNode { now: START, ..QuotaNode::new(shares(&[0, 1, 2])) };
    spend_allowance(&mut node, 1);
    node.update_tenants(shares(&[0, 1, 2, 3]));
    assert!(node.is_over(1) && !node.is_over(3));
    node.update_tenants(shares(&[1, 3]));
    assert!(node.is_over(1) && !node.is_over(3));
    node.update_tenants(shares(&[3]));
    assert!(!node.is_over(1), "a removed tenant has no share to exceed");
    node.now += SECOND / 2;
    node.update_tenants(shares(&[3, 1]));
    assert!(node.is_over(1), "only half a request is earned in half a second");
    let more = [(TenantId(1), tenant(40.0)), (TenantId(3), tenant(2.0))];
    node.update_tenants(more.into_iter().collect());
    assert!(node.is_over(1), "a higher allowance applies only from now on");
    node.now += SECOND / 2;
    assert!(!node.is_over(1));
}

/// Records of removed tenants are evicted at a later update, once they have no effect.
#[test]
fn idle_records_of_removed_tenants_are_evicted() {
    let shares =
        |ids: std::ops::Range<u32>| ids.map(|id| (TenantId(id), tenant(2.0))).collect::<TenantShares>();
    let mut node = QuotaNode::new(shares(0..100));
    for tenant in 0..100 {
        node.request_weight(tenant);
    }
    node.update_tenants(shares(90..200));
    assert_eq!(node.balancer.tenant_record_usage().0, 100, "recent records stay");
    node.now += 10 * SECOND;
    node.request_weight(95);
    node.update_tenants(shares(90..201));
    assert_eq!(node.balancer.tenant_record_usage().0, 10);
}
