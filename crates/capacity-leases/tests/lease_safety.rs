//! Simulations of rates towards endpoints in slow start under faults, in virtual time. The clocks of machines
//! differ by up to an hour and drift by up to 1%. Messages are lost, duplicated, reordered, and delayed by up
//! to minutes. Forwarders and planners are killed and restart without state. Shares increase and decrease.
//! After every step the rates of all forwarders must add up to at most the shares that all of them own, or
//! owned within the duration of a loan.
//!
//! A failing seed is printed. `SEED=n cargo test -p pumicehead-capacity-leases --test lease_safety` runs only
//! that seed.

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
fn total_rate_never_exceeds_the_owned_shares() {
    let mut max_rate = Rate::ZERO;
    for seed in seeds() {
        let mut simulation = Simulation::new(seed);
        let level = seed % 5;
        let faults = Faults {
            loss: 40 * level,
            duplication: 40 * level,
            late_delivery: 50 * level,
            kill: 8 * level,
            link_toggle: 10 * level,
            share_change: if seed % 3 == 0 { 100 } else { 0 },
            lag_change: if seed % 2 == 0 { 20 } else { 0 },
        };
        for _ in 0..4 {
            simulation.run(seed, 15 * SECOND, faults);
            max_rate = max_rate.max(simulation.total_rate(ENDPOINTS[0]));
        }
    }
    // Ensures that the test does not pass because no rates are used.
    assert!(max_rate > TOTAL_SHARE.split(2), "{}", max_rate.requests_per_second());
}

/// A planner that receives a report with a delay of an hour does not count its loans, which have ended, and
/// the plan that answers the report is not accepted.
#[test]
fn a_late_report_lends_nothing_and_its_plan_is_expired() {
    let (id, mut holder) = (ForwarderId(1), new_holder(TOTAL_SHARE, 1, 0));
    let mut table = LeaseTable::new(PlannerId(9), TERMS, 0);
    let now = 10 * SECOND;
    table.accept_report(id, &holder.next_report(0, now), now);
    let plan = table.next_plan(id, &[], now).unwrap();
    holder.accept_plan(0, &plan, now).unwrap();
    let report = holder.next_report(0, now);
    assert_eq!(report.lent, ENDPOINTS.map(|endpoint| (endpoint, TOTAL_SHARE)));
    // The report is delayed by an hour.
    let later = now + 3_600 * SECOND;
    assert_eq!(holder.rate(ENDPOINTS[0], later), TOTAL_SHARE);
    table.accept_report(id, &report, later);
    assert_eq!(table.lent(ENDPOINTS[0], later), Rate::ZERO);
    let plan = table.next_plan(id, &[(ENDPOINTS[0], TOTAL_SHARE)], later).unwrap();
    assert_eq!(plan.grants, []);
    assert_eq!(holder.accept_plan(0, &plan, later), Err(PlanError::Expired));
}

/// Without planners each forwarder gets its own share back, and no more than that.
#[test]
fn forwarders_get_their_own_shares_back_without_planners() {
    for seed in seeds().into_iter().take(30) {
        let mut simulation = Simulation::new(seed);
        simulation.run(seed, 20 * SECOND, NO_FAULTS);
        // Reports are sent at random times, some of them so late that a lease has ended.
        let live = simulation
            .forwarders
            .iter()
            .map(|SimulatedForwarder { clock, holder, .. }| holder.live_planners(clock.at(simulation.now)));
        assert!(live.sum::<usize>() + 2 >= FORWARDERS * PLANNERS, "seed {seed}");
        simulation.planners.iter_mut().for_each(|planner| *planner = None);
        // Forwarders lend until their leases end, and the last loans start just before that.
        simulation.run(seed, 9 * SECOND, NO_FAULTS);
        for SimulatedForwarder { clock, holder, .. } in &simulation.forwarders {
            let rate = holder.rate(ENDPOINTS[0], clock.at(simulation.now));
            assert_eq!(rate, INITIAL_SHARE, "seed {seed}");
        }
        // Restarted planners rebuild their state from reports only.
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

/// Rates that were granted to a killed forwarder are available again when its lease ends, and not before.
#[test]
fn grants_of_a_killed_forwarder_are_available_when_its_lease_ends() {
    let (lender, user) = (ForwarderId(1), ForwarderId(2));
    let terms = TERMS;
    let mut table = LeaseTable::new(PlannerId(9), terms, 0);
    let mut sides = [lender, user].map(|id| (id, new_holder(TOTAL_SHARE.split(2), 1, 0)));
    let mut now = 10 * SECOND;
    let mut exchange = |table: &mut LeaseTable, side: usize, desired: Rate, now: Nanos| {
        let (id, holder) = &mut sides[side];
        table.accept_report(*id, &holder.next_report(0, now), now);
        let plan = table.next_plan(*id, &[(ENDPOINTS[0], desired)], now).unwrap();
        holder.accept_plan(0, &plan, now).unwrap();
        plan.grants.first().map_or(Rate::ZERO, |(_, rate)| *rate)
    };
    // Two rounds, since a loan counts only after the planner knows that its plan was accepted.
    for _ in 0..2 {
        exchange(&mut table, 0, Rate::ZERO, now);
        exchange(&mut table, 1, Rate::ZERO, now);
    }
    assert_eq!(exchange(&mut table, 1, TOTAL_SHARE, now), TOTAL_SHARE);
    // The user is killed. The lender requests everything, and gets nothing while the user's lease may last.
    let until = now + LeaseTerms::max_local_span(terms.lease);
    while now < until {
        assert_eq!(exchange(&mut table, 0, TOTAL_SHARE, now), Rate::ZERO, "at {now}");
        now += 100 * MS;
        table.expire(now);
    }
    // The loan of the killed forwarder has not ended yet, so its rate is granted as well.
    assert_eq!(exchange(&mut table, 0, TOTAL_SHARE, now), TOTAL_SHARE);
}

/// Loans to a planner that is removed continue until their end.
#[test]
fn loans_to_a_removed_planner_continue_until_their_end() {
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
    assert_eq!(holder.rate(ENDPOINTS[0], now), Rate::ZERO, "the whole share is still lent");
    assert_eq!(holder.next_report(1, now).lent, []);
    assert_eq!(holder.rate(ENDPOINTS[0], now + 2 * TERMS.loan), TOTAL_SHARE);
    holder.replace_planners(&[Some(1)], now + 2 * TERMS.loan);
    assert_eq!(holder.rate(ENDPOINTS[0], now + 2 * TERMS.loan), TOTAL_SHARE);
}

/// A grant ends before the loans that it is made of, with the most adverse clock drift: the lender's clock is
/// fast, so that its loan ends early; those of the planner and the user are slow, so that the grant ends late.
/// The user is cut off at various times after the lender, and uses its last grant until it ends.
#[test]
fn a_grant_ends_before_the_loan_that_it_is_made_of() {
    let clock = |per_mille: i64| Clock { offset: 0, per_mille };
    let (fast, slow) = (clock(10), clock(-10));
    let mut longest_use = 0;
    for cut_after in (0..6_000).step_by(100) {
        let (mut lender, mut user) =
            (new_holder(TOTAL_SHARE.split(2), 1, 0), new_holder(TOTAL_SHARE.split(2), 1, 0));
        let mut table = LeaseTable::new(PlannerId(9), TERMS, 0);
        let mut now = 10 * SECOND;
        let silent_from = now + 3 * SECOND;
        while now < silent_from + 12 * SECOND {
            let planner_now = slow.at(now);
            let mut exchange = |id, holder: &mut LeaseHolder, forwarder_now: Nanos, desired| {
                table.expire(planner_now);
                table.accept_report(id, &holder.next_report(0, forwarder_now), planner_now);
                let plan = table.next_plan(id, &[(ENDPOINTS[0], desired)], planner_now).unwrap();
                holder.accept_plan(0, &plan, forwarder_now).unwrap();
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
                "user cut off {cut_after} ms after the lender, checked {after} ms after it: {}",
                sum.requests_per_second()
            );
            if used > TOTAL_SHARE.split(2) {
                longest_use = longest_use.max(after);
            }
            now += 20 * MS;
        }
    }
    // Ensures that the grant was used for a long time after the lender's last report.
    assert!((4_000..6_000).contains(&longest_use), "{longest_use} ms");
}
