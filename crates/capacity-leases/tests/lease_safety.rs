//! Rates towards endpoints in slow start under faults, in virtual time. Clocks of machines differ by up to an
//! hour and drift by 1%; messages are lost, doubled, reordered and late by up to minutes; forwarders and
//! planners are killed and restart without state; shares rise and fall. After every step the rates of all
//! forwarders must add up to at most what all of them own, or have owned within the duration of a loan.
//!
//! A failing seed is printed; `SEED=n cargo test -p pumicehead-capacity-leases --test lease_safety` runs it
//! alone.

mod simulation;

use pumicehead_capacity_leases::lease_holder::{LeaseHolder, PlanError};
use pumicehead_capacity_leases::lease_table::LeaseTable;
use pumicehead_capacity_leases::lease_terms::LeaseTerms;
use pumicehead_capacity_leases::rate_promise::Rate;
use pumicehead_capacity_leases::{ForwarderId, PlannerId};
use pumicehead_policy::{Nanos, SECOND};
use simulation::*;

/// No endpoint in slow start is overloaded, whatever happens to messages, forwarders and planners.
#[test]
fn granted_and_owned_rates_never_exceed_what_all_own() {
    let mut most = Rate::ZERO;
    for seed in seeds() {
        let mut simulation = Simulation::new(seed);
        let level = seed % 5;
        let faults = Faults {
            lost: 40 * level,
            doubled: 40 * level,
            late: 50 * level,
            killed: 8 * level,
            cut: 10 * level,
            varying: if seed % 3 == 0 { 100 } else { 0 },
            lagging: if seed % 2 == 0 { 20 } else { 0 },
        };
        for _ in 0..4 {
            simulation.run(seed, 15 * SECOND, faults);
            most = most.max(simulation.total_rate(ENDPOINTS[0]));
        }
    }
    // Else it would also hold if nothing were used.
    assert!(most > TOTAL_SHARE.split(2), "{}", most.requests_per_second());
}

/// A planner that receives a report an hour late counts no loan that has ended, and its plan is not accepted.
#[test]
fn a_late_report_lends_nothing_and_its_plan_has_expired() {
    let (id, mut holder) = (ForwarderId(1), new_holder(TOTAL_SHARE, 1, 0));
    let mut table = LeaseTable::new(PlannerId(9), TERMS, 0);
    let now = 10 * SECOND;
    table.accept_report(id, &holder.next_report(0, now), now);
    let plan = table.next_plan(id, &[], now).unwrap();
    holder.accept_plan(0, &plan, now).unwrap();
    let report = holder.next_report(0, now);
    assert_eq!(report.lent, ENDPOINTS.map(|endpoint| (endpoint, TOTAL_SHARE)));
    // That report takes an hour.
    let later = now + 3_600 * SECOND;
    assert_eq!(holder.rate(ENDPOINTS[0], later), TOTAL_SHARE);
    table.accept_report(id, &report, later);
    assert_eq!(table.lent(ENDPOINTS[0], later), Rate::ZERO);
    let plan = table.next_plan(id, &[(ENDPOINTS[0], TOTAL_SHARE)], later).unwrap();
    assert_eq!(plan.grants, []);
    assert_eq!(holder.accept_plan(0, &plan, later), Err(PlanError::Expired));
}

/// Without planners each forwarder gets its own share back, and no more.
#[test]
fn forwarders_get_their_own_shares_back_without_planners() {
    for seed in seeds().into_iter().take(30) {
        let mut simulation = Simulation::new(seed);
        simulation.run(seed, 20 * SECOND, NO_FAULTS);
        // Reports are sent at random times: some are so late that a lease has ended.
        let live = simulation
            .forwarders
            .iter()
            .map(|SimulatedForwarder { clock, holder, .. }| holder.live_planners(clock.at(simulation.now)));
        assert!(live.sum::<usize>() + 2 >= FORWARDERS * PLANNERS, "seed {seed}");
        simulation.planners.iter_mut().for_each(|planner| *planner = None);
        // Forwarders lend until their leases end, and the last loans run from there.
        simulation.run(seed, 9 * SECOND, NO_FAULTS);
        for SimulatedForwarder { clock, holder, .. } in &simulation.forwarders {
            let rate = holder.rate(ENDPOINTS[0], clock.at(simulation.now));
            assert_eq!(rate, INITIAL_SHARE, "seed {seed}");
        }
        // Planners that return rebuild their state from reports alone.
        for planner in 0..PLANNERS {
            simulation.planners[planner] = Some(start_planner(&mut simulation.rng, simulation.now));
        }
        simulation.run(seed, 12 * SECOND, NO_FAULTS);
        let lent: Rate = simulation
            .planners
            .iter()
            .flatten()
            .map(|SimulatedPlanner { clock, table }| table.lent(ENDPOINTS[0], clock.at(simulation.now)))
            .sum();
        assert!(lent > TOTAL_SHARE.split(2), "seed {seed}: only {} is lent", lent.requests_per_second());
    }
}

/// The grants of a killed forwarder are free again when its lease ends, and not before.
#[test]
fn grants_of_a_killed_forwarder_are_free_when_its_lease_ends() {
    let (lender, user) = (ForwarderId(1), ForwarderId(2));
    let terms = TERMS;
    let mut table = LeaseTable::new(PlannerId(9), terms, 0);
    let mut sides = [lender, user].map(|id| (id, new_holder(TOTAL_SHARE.split(2), 1, 0)));
    let mut now = 10 * SECOND;
    let mut exchange = |table: &mut LeaseTable, who: usize, desired: Rate, now: Nanos| {
        let (id, holder) = &mut sides[who];
        table.accept_report(*id, &holder.next_report(0, now), now);
        let plan = table.next_plan(*id, &[(ENDPOINTS[0], desired)], now).unwrap();
        holder.accept_plan(0, &plan, now).unwrap();
        plan.grants.first().map_or(Rate::ZERO, |(_, part)| *part)
    };
    // Twice: a loan counts once the planner knows that its own plan was accepted.
    for _ in 0..2 {
        exchange(&mut table, 0, Rate::ZERO, now);
        exchange(&mut table, 1, Rate::ZERO, now);
    }
    assert_eq!(exchange(&mut table, 1, TOTAL_SHARE, now), TOTAL_SHARE);
    // It is killed. The other one asks for everything, and gets nothing while the lease may last.
    let until = now + LeaseTerms::max_local_span(terms.lease);
    while now < until {
        assert_eq!(exchange(&mut table, 0, TOTAL_SHARE, now), Rate::ZERO, "at {now}");
        now += 100 * MS;
        table.expire(now);
    }
    // What the killed one lent counts until its loan ends, and is granted again.
    assert_eq!(exchange(&mut table, 0, TOTAL_SHARE, now), TOTAL_SHARE);
}

/// Loans to a planner that is removed run until their end.
#[test]
fn loans_to_a_removed_planner_run_until_their_end() {
    let mut holder = new_holder(TOTAL_SHARE, 1, 0);
    let mut table = LeaseTable::new(PlannerId(1), TERMS, 0);
    let now = 10 * SECOND;
    for _ in 0..2 {
        table.accept_report(ForwarderId(1), &holder.next_report(0, now), now);
        holder
            .accept_plan(
                0,
                &table.next_plan(ForwarderId(1), &[(ENDPOINTS[0], TOTAL_SHARE)], now).unwrap(),
                now,
            )
            .unwrap();
    }
    let lent = holder.next_report(0, now);
    assert_eq!(lent.lent, ENDPOINTS.map(|endpoint| (endpoint, TOTAL_SHARE)));
    holder.replace_planners(&[None, None], now);
    assert_eq!(holder.rate(ENDPOINTS[0], now), Rate::ZERO, "it was lent a moment ago");
    assert_eq!(holder.next_report(1, now).lent, []);
    assert_eq!(holder.rate(ENDPOINTS[0], now + 2 * TERMS.loan), TOTAL_SHARE);
    holder.replace_planners(&[Some(1)], now + 2 * TERMS.loan);
    assert_eq!(holder.rate(ENDPOINTS[0], now + 2 * TERMS.loan), TOTAL_SHARE);
}

/// A grant ends before the loans that it is made of, at the worst drift of clocks: that of the lender is
/// fast, so that its loan ends early; those of planner and user are slow, so that the grant ends late. The
/// user is partitioned at any time after the lender, and uses its last grant to the end.
#[test]
fn a_grant_ends_before_the_loan_that_it_is_made_of() {
    let clock = |per_mille: i64| Clock { offset: 0, per_mille };
    let (fast, slow) = (clock(10), clock(-10));
    let mut longest = 0;
    for cut_after in (0..6_000).step_by(100) {
        let (mut lender, mut user) =
            (new_holder(TOTAL_SHARE.split(2), 1, 0), new_holder(TOTAL_SHARE.split(2), 1, 0));
        let mut table = LeaseTable::new(PlannerId(9), TERMS, 0);
        let mut now = 10 * SECOND;
        let silent_from = now + 3 * SECOND;
        while now < silent_from + 12 * SECOND {
            let there = slow.at(now);
            let mut exchange = |id, holder: &mut LeaseHolder, here: Nanos, desired| {
                table.expire(there);
                table.accept_report(id, &holder.next_report(0, here), there);
                let plan = table.next_plan(id, &[(ENDPOINTS[0], desired)], there).unwrap();
                holder.accept_plan(0, &plan, here).unwrap();
            };
            if now < silent_from {
                exchange(ForwarderId(1), &mut lender, fast.at(now), Rate::ZERO);
            }
            if now < silent_from + cut_after * MS {
                exchange(ForwarderId(2), &mut user, slow.at(now), TOTAL_SHARE);
            }
            let used = user.rate(ENDPOINTS[0], slow.at(now));
            let sum = lender.rate(ENDPOINTS[0], fast.at(now)) + used;
            let after = now.saturating_sub(silent_from) / MS;
            assert!(
                sum <= TOTAL_SHARE,
                "cut {cut_after} ms, and {after} ms, after its lender: {}",
                sum.requests_per_second()
            );
            if used > TOTAL_SHARE.split(2) {
                longest = longest.max(after);
            }
            now += 20 * MS;
        }
    }
    // The grant was used for long after the last report of the lender.
    assert!((4_000..6_000).contains(&longest), "{longest} ms");
}
