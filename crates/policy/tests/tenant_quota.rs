//! Quotas of tenants: the bounded table of records, against a record for each tenant that is never evicted.

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

/// The module as its host sees it: a request's weight says whether it counted as over its tenant's share.
struct Subject {
    balancer: Balancer,
    settings: Settings,
    now: Nanos,
    next: u32,
}

impl Subject {
    fn new(tenants: TenantShares) -> Self {
        let settings = Settings {
            tenants,
            node_count: 2,
            over_share_weight: OVER_SHARE_WEIGHT,
            ..settings(vec![class(Idempotency::Idempotent, WEIGHT)])
        };
        let mut balancer = Balancer::new(settings.clone(), 1);
        balancer.record_every_decision(true);
        Self { balancer, settings, now: SECOND, next: 0 }
    }

    /// The weight that a request of the tenant got.
    fn ask(&mut self, tenant: u32) -> f64 {
        self.next += 1;
        let id = RequestId(self.next);
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
        weight.expect("a event of the request")
    }

    fn is_over(&mut self, tenant: u32) -> bool {
        self.ask(tenant) < WEIGHT
    }

    fn update_tenants(&mut self, tenants: TenantShares) {
        self.settings.tenants = tenants;
        assert!(
            self.balancer.update_settings(self.settings.clone()),
            "a change of tenants is taken in place"
        );
    }
}

/// A record for each tenant by its position, never evicted.
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

/// Spans from nothing to a day: bursts, the earning span of 10 s and its neighbours, and the longest idle
/// times.
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

fn tenants(most: usize) -> impl Strategy<Value = Vec<Tenant>> {
    let tenant = (0.0..0.2f64, prop_oneof![Just(0.0), 0.0..0.5f64, 0.0..50.0f64])
        .prop_map(|(share, allowance_per_s)| Tenant { share, allowance_per_s });
    proptest::collection::vec(tenant, 1..=most)
}

#[derive(Clone, Debug)]
enum Step {
    /// After a span, requests of a tenant.
    Ask { after: Nanos, tenant: usize, count: usize },
    /// Another number of nodes shares the endpoints.
    Nodes(u32),
    /// A tenant's share and allowance are changed.
    Change { tenant: usize, to: Tenant },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let ask = (spans(), any::<usize>(), 1..8usize).prop_map(|(after, tenant, count)| Step::Ask {
        after,
        tenant,
        count,
    });
    let change = (any::<usize>(), 0.0..0.5f64, 0.0..20.0f64).prop_map(|(tenant, share, allowance_per_s)| {
        Step::Change { tenant, to: Tenant { share, allowance_per_s } }
    });
    let step = prop_oneof![20 => ask, 1 => (1..400u32).prop_map(Step::Nodes), 1 => change];
    proptest::collection::vec(step, 1..400)
}

proptest! {
    /// With few tenants every answer is, to the bit, that of a record for each that is never evicted.
    #[test]
    fn few_tenants_are_judged_as_by_a_record_for_each(tenants in tenants(KEPT_IDLE_TENANT_RECORDS), steps in steps()) {
        let mut subject = Subject::new(tenants.clone().into());
        let mut reference = Reference::new(tenants);
        for step in steps {
            match step {
                Step::Ask { after, tenant, count } => {
                    subject.now += after;
                    let tenant = (tenant % reference.tenants.len()) as u32;
                    for _ in 0..count {
                        let over = reference.is_over(subject.now, tenant);
                        let expected = if over { WEIGHT * OVER_SHARE_WEIGHT } else { WEIGHT } as f32;
                        let weight = subject.ask(tenant) as f32;
                        prop_assert_eq!(weight.to_bits(), expected.to_bits());
                    }
                }
                Step::Nodes(nodes) => {
                    let sharing = Event::NodeShare(NodeShare { node_index: 0, node_count: nodes });
                    subject.balancer.handle(subject.now, sharing, &mut Vec::new());
                    reference.nodes = nodes;
                }
                Step::Change { tenant, to } => {
                    let tenant = tenant % reference.tenants.len();
                    reference.tenants[tenant] = to;
                    subject.update_tenants(reference.tenants.clone().into());
                }
            }
        }
    }
}

/// What a crowd of tenants does in a step.
#[derive(Clone, Debug)]
enum Traffic {
    /// Tenants from a first one on send one request each within a span.
    Crowd { first: u32, count: u32, within: Nanos },
    /// One sends several requests.
    One { tenant: u32, count: u32 },
    /// No requests.
    Pause(Nanos),
}

const CROWD: u32 = 9_000;

fn traffic() -> impl Strategy<Value = Vec<Traffic>> {
    let crowd = (0..CROWD, 0..CROWD, prop_oneof![Just(SECOND / 10), Just(5 * SECOND), Just(60 * SECOND)])
        .prop_map(|(first, count, within)| Traffic::Crowd { first, count, within });
    let one = (0..CROWD, 1..40u32).prop_map(|(tenant, count)| Traffic::One { tenant, count });
    let pause = spans().prop_map(Traffic::Pause);
    proptest::collection::vec(prop_oneof![2 => crowd, 3 => one, 2 => pause], 1..12)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// No tenant gains by being evicted or by having no record: counted from its first request, it never has
    /// more within its share than with a record that is never evicted. The bound holds throughout.
    #[test]
    fn no_tenant_gains_by_eviction(
        begin in spans(),
        rates in proptest::collection::vec(0.0..8.0f64, 7),
        traffic in traffic(),
    ) {
        let tenants: Vec<_> = (0..CROWD as usize).map(|n| tenant(rates[n % rates.len()])).collect();
        let mut subject = Subject::new(tenants.clone().into());
        subject.now += begin;
        let mut reference = Reference::new(tenants);
        let mut within = vec![(0u32, 0u32); CROWD as usize];
        let mut ask = |subject: &mut Subject, tenant: u32| {
            let (own, kept) = &mut within[tenant as usize];
            *own += u32::from(!subject.is_over(tenant));
            *kept += u32::from(!reference.is_over(subject.now, tenant));
            *own <= *kept
        };
        for step in traffic {
            match step {
                Traffic::Crowd { first, count, within } => {
                    for n in 0..count {
                        subject.now += within / u64::from(count);
                        let tenant = (first + n) % CROWD;
                        prop_assert!(ask(&mut subject, tenant), "tenant {} gained", tenant);
                    }
                }
                Traffic::One { tenant, count } => {
                    for _ in 0..count {
                        subject.now += SECOND / 50;
                        prop_assert!(ask(&mut subject, tenant), "tenant {} gained", tenant);
                    }
                }
                Traffic::Pause(span) => subject.now += span,
            }
            prop_assert!(subject.balancer.tenant_record_usage().0 <= MAX_TENANT_RECORDS);
        }
    }
}

const TENANTS: u32 = 16_000;
/// Tenants that send requests all the time, the first half of them more than their shares.
const BUSY: u32 = 10;
/// Bytes that a pool's records may take: 3,584 records, their hash table, and counters for those without.
const MOST_BYTES: usize = 448 << 10;

/// Long enough after the clock began that the initial allowances are full.
const LATER: Nanos = 60 * SECOND;

/// 16,000 tenants with 1 request a second at this node, the busy ones with 5.
fn many() -> Subject {
    let allowance = |n: u32| if n < BUSY { 10.0 } else { 2.0 };
    let subject = Subject::new((0..TENANTS).map(|n| tenant(allowance(n))).collect());
    Subject { now: LATER, ..subject }
}

/// How the requests of the busy ones were judged.
#[derive(Default)]
struct Busy {
    within: [u32; BUSY as usize],
    over: [u32; BUSY as usize],
}

impl Busy {
    /// A twentieth of a second: 20 a second of those over their shares, 4 a second of those within.
    fn ask(&mut self, subject: &mut Subject, round: u32) {
        for tenant in (0..BUSY).filter(|tenant| *tenant < BUSY / 2 || round.is_multiple_of(5)) {
            let over = subject.is_over(tenant);
            let count = if over { &mut self.over } else { &mut self.within };
            count[tenant as usize] += 1;
        }
    }

    /// Those over their shares have had these, and no more than them; the others were never over.
    fn check(&self, seconds: u32) {
        for tenant in 0..(BUSY / 2) as usize {
            let (least, most) = (5 * seconds, 5 * seconds + 17);
            assert!((least..=most).contains(&self.within[tenant]), "{} of {most}", self.within[tenant]);
            assert!(self.over[tenant] >= 20 * seconds - most, "{}", self.over[tenant]);
        }
        assert_eq!(self.over[(BUSY / 2) as usize..], [0; (BUSY / 2) as usize]);
    }
}

/// 15,990 of 16,000 tenants send a request a minute: busy tenants over their shares stay so, those within are
/// never over, and neither is any of the crowd.
#[test]
fn a_crowd_of_occasional_tenants_changes_no_judgement() {
    const MINUTES: u32 = 3;
    const ROUNDS: u32 = MINUTES * 60 * 20;
    let mut subject = many();
    let (mut busy, mut most) = (Busy::default(), (0, 0));
    let crowd = TENANTS - BUSY;
    let mut asked = 0;
    for round in 0..ROUNDS {
        subject.now += SECOND / 20;
        busy.ask(&mut subject, round);
        while asked * u64::from(ROUNDS) < u64::from(round) * u64::from(crowd * MINUTES) {
            let tenant = BUSY + (asked % u64::from(crowd)) as u32;
            assert!(!subject.is_over(tenant), "tenant {tenant} starved");
            asked += 1;
        }
        let (states, bytes) = subject.balancer.tenant_record_usage();
        most = (most.0.max(states), most.1.max(bytes));
    }
    busy.check(MINUTES * 60);
    assert_eq!(most.0, MAX_TENANT_RECORDS, "the bound was reached, and held");
    assert!(most.1 <= MOST_BYTES, "{} bytes", most.1);
}

/// The same if all of the crowd send a request within a second, more than there are records for, and those
/// over their shares come after them.
#[test]
fn a_crowd_of_simultaneous_tenants_changes_no_judgement() {
    let mut subject = many();
    let (mut busy, mut starved) = (Busy::default(), 0);
    for n in 0..TENANTS - BUSY {
        subject.now += SECOND / u64::from(TENANTS);
        starved += u32::from(subject.is_over(BUSY + n));
    }
    assert_eq!(starved, 0);
    assert_eq!(subject.balancer.tenant_record_usage().0, MAX_TENANT_RECORDS);
    for round in 0..30 * 20 {
        subject.now += SECOND / 20;
        busy.ask(&mut subject, round);
        assert!(subject.balancer.tenant_record_usage().1 <= MOST_BYTES);
    }
    busy.check(30);
}

/// Records of a crowd are evicted as requests come, and few records stay.
#[test]
fn idle_records_are_evicted() {
    let mut subject = many();
    for tenant in 0..3_000 {
        subject.ask(tenant);
    }
    let (states, bytes) = subject.balancer.tenant_record_usage();
    assert_eq!(states, 3_000);
    subject.now += 700 * SECOND;
    for _ in 0..2_000 {
        subject.ask(0);
    }
    let (left, bytes_left) = subject.balancer.tenant_record_usage();
    assert_eq!(left, KEPT_IDLE_TENANT_RECORDS);
    assert!(bytes_left * 3 < bytes, "{bytes_left} of {bytes} bytes");
}

/// Uses up a tenant's allowance.
fn exhaust(subject: &mut Subject, tenant: u32) {
    for _ in 0..100 {
        subject.ask(tenant);
    }
    assert!(subject.is_over(tenant));
}

/// Tenants are added, removed and changed in place, by their ids: each keeps its own state, and one that is
/// removed and added again under its id has its own.
#[test]
fn a_change_of_tenants_keeps_states() {
    let shares = |ids: &[u32]| ids.iter().map(|id| (TenantId(*id), tenant(2.0))).collect::<TenantShares>();
    let mut subject = Subject { now: LATER, ..Subject::new(shares(&[0, 1, 2])) };
    exhaust(&mut subject, 1);
    subject.update_tenants(shares(&[0, 1, 2, 3]));
    assert!(subject.is_over(1) && !subject.is_over(3));
    subject.update_tenants(shares(&[1, 3]));
    assert!(subject.is_over(1) && !subject.is_over(3));
    subject.update_tenants(shares(&[3]));
    assert!(!subject.is_over(1), "nobody's share");
    subject.now += SECOND / 2;
    subject.update_tenants(shares(&[3, 1]));
    assert!(subject.is_over(1), "half a request earned in half a second");
    let more = [(TenantId(1), tenant(40.0)), (TenantId(3), tenant(2.0))];
    subject.update_tenants(more.into_iter().collect());
    assert!(subject.is_over(1), "what it may earn from now on is not given at once");
    subject.now += SECOND / 2;
    assert!(!subject.is_over(1));
}

/// Records of removed tenants are evicted with a later change, once they have no effect.
#[test]
fn idle_records_of_removed_tenants_are_evicted() {
    let shares =
        |ids: std::ops::Range<u32>| ids.map(|id| (TenantId(id), tenant(2.0))).collect::<TenantShares>();
    let mut subject = Subject::new(shares(0..100));
    for tenant in 0..100 {
        subject.ask(tenant);
    }
    subject.update_tenants(shares(90..200));
    assert_eq!(subject.balancer.tenant_record_usage().0, 100, "recent ones stay");
    subject.now += 10 * SECOND;
    subject.ask(95);
    subject.update_tenants(shares(90..201));
    assert_eq!(subject.balancer.tenant_record_usage().0, 10);
}
