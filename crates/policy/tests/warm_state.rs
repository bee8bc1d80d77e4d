//! What one process hands over to the next, and how far it is trusted.

use pumicehead_policy::*;
use pumicehead_policy::{Balancer, WarmState};

const HOUR: Nanos = 3_600 * SECOND;

fn settings() -> Settings {
    let boot: pumicehead_policy::deployment_settings::DeploymentSettings = serde_json::from_str(
        r#"{"classes":[{"name":"read","effect":"pure","deadline_ns":2000000000,"target_ns":400000000}],
        "zones":["a"],"ceilings":{"max_attempts":3,"cancel":true}}"#,
    )
    .unwrap();
    boot.settings().unwrap()
}

fn info(id: u32, started_at: Nanos) -> EndpointInfo {
    let (zone, cell) = (ZoneId(0), CellId(0));
    EndpointInfo { id: EndpointId(id), zone, cell, state: EndpointState::Ready, weight: 1.0, started_at }
}

fn listing(servers: &[EndpointInfo]) -> Event {
    Event::EndpointsUpdated(EndpointUpdate::Snapshot(servers.into()))
}

/// A process that has served from `start` on for some seconds, two endpoints, 25 ms each.
fn learned(start: Nanos, answer: AttemptOutcome) -> (Balancer, Nanos) {
    let mut balancer = Balancer::new(settings(), 7);
    let (mut actions, mut now) = (Vec::new(), start);
    balancer.handle(now, listing(&[info(1, 5), info(2, 5)]), &mut actions);
    for id in 0..400 {
        now += SECOND / 100;
        let request = NewRequest {
            id: RequestId(id),
            class: ClassId(0),
            tenant: None,
            cost_hint: None,
            key: None,
            deadline: now + 2 * SECOND,
        };
        actions.clear();
        balancer.handle(now, Event::Request(request), &mut actions);
        let sent: Vec<_> = actions
            .iter()
            .filter_map(|action| match action {
                Action::StartAttempt { id, endpoint, .. } => Some((*id, *endpoint)),
                _ => None,
            })
            .collect();
        now += SECOND / 40;
        for (id, server) in sent {
            let (attempt, took) = (AttemptNo(0), SECOND / 40);
            let outcome = if server.0 == 2 { answer } else { AttemptOutcome::Success };
            let ended =
                AttemptEnded { id, attempt, endpoint: server, outcome, duration: took, final_answer: true };
            balancer.handle(now, Event::AttemptEnded(ended), &mut Vec::new());
        }
    }
    (balancer, now)
}

fn text(knowledge: &WarmState) -> serde_json::Value {
    serde_json::to_value(knowledge).unwrap()
}

fn limit(balancer: &Balancer, now: Nanos, id: u32) -> f64 {
    let known = text(&balancer.warm_state(now));
    let server = known["servers"].as_array().unwrap().iter().find(|server| server["id"] == id);
    server.map_or(0.0, |server| server["limit"].as_f64().unwrap())
}

/// A new process that knows the endpoints and restores a warm state.
fn newcomer(known: &WarmState, now: Nanos, servers: &[EndpointInfo]) -> Balancer {
    let mut balancer = Balancer::new(settings(), 8);
    balancer.handle(now, listing(servers), &mut Vec::new());
    balancer.restore_warm_state(known, now);
    balancer
}

#[test]
fn a_new_process_trusts_warm_state_less_with_age() {
    let (old, now) = learned(SECOND, AttemptOutcome::Success);
    let known = old.warm_state(now);
    let back: WarmState = serde_json::from_value(text(&known)).unwrap();
    assert_eq!(back, known);
    let servers = [info(1, 5), info(2, 5)];
    let cold = Balancer::new(settings(), 8);
    let plain = {
        let mut plain = cold;
        plain.handle(now, listing(&servers), &mut Vec::new());
        limit(&plain, now, 1)
    };
    let limits: Vec<f64> = [0, SECOND, 5 * SECOND, 30 * SECOND, HOUR]
        .map(|later| limit(&newcomer(&known, now + later, &servers), now + later, 1))
        .into();
    assert!(limit(&old, now, 1) > plain, "it has learned that there is room");
    assert_eq!(limits[0], limit(&old, now, 1));
    assert!(limits.is_sorted_by(|a, b| a >= b), "{limits:?}");
    assert_eq!(limits[4], plain, "an hour old it is worth nothing");
}

#[test]
fn state_of_an_earlier_endpoint_process_is_ignored() {
    let (old, now) = learned(SECOND, AttemptOutcome::Success);
    let new = newcomer(&old.warm_state(now), now, &[info(1, now), info(2, 5)]);
    let plain = newcomer(&Balancer::new(settings(), 1).warm_state(now), now, &[info(1, now), info(2, 5)]);
    assert_eq!(limit(&new, now, 1), limit(&plain, now, 1));
    assert!(limit(&new, now, 2) > limit(&plain, now, 2));
}

#[test]
fn an_ejection_is_handed_over() {
    let (old, now) = learned(SECOND, AttemptOutcome::Reset);
    let aside = |balancer: &Balancer, now| {
        balancer.is_unavailable(EndpointId(2)) && !balancer.is_unavailable(EndpointId(1)) && now > 0
    };
    let until = text(&old.warm_state(now))["servers"][1]["aside_until"].as_u64().unwrap();
    assert!(until > 0, "its failures have set it aside");
    let at = until - 1;
    let new = newcomer(&old.warm_state(at), at, &[info(1, 5), info(2, 5)]);
    assert!(aside(&new, at));
}

#[test]
fn implausible_warm_state_is_ignored() {
    let (old, now) = learned(SECOND, AttemptOutcome::Success);
    let servers = [info(1, 5), info(2, 5)];
    let plain = newcomer(&Balancer::new(settings(), 1).warm_state(now), now, &servers).warm_state(now);
    let good = text(&old.warm_state(now));
    let changes: [(&str, serde_json::Value); 5] = [
        ("/v", 2.into()),
        ("/classes", serde_json::json!([])),
        ("/classes/0/mean", (-1.0).into()),
        ("/demand", 1e12.into()),
        ("/calms/0/calm", 1e300.into()),
    ];
    for (at, value) in changes {
        let mut bad = good.clone();
        *bad.pointer_mut(at).unwrap() = value;
        let bad: WarmState = serde_json::from_value(bad).unwrap();
        assert_eq!(newcomer(&bad, now, &servers).warm_state(now), plain, "{at}");
    }
    // One endpoint's implausible state is ignored alone.
    let mut bad = good;
    bad["servers"][0]["limit"] = 1e9.into();
    let bad: WarmState = serde_json::from_value(bad).unwrap();
    let new = newcomer(&bad, now, &servers);
    assert!(limit(&new, now, 1) < 100.0 && limit(&new, now, 2) > 0.0);
    // A wrong state can't eject an endpoint for longer than this module would by itself.
    let mut bad = text(&old.warm_state(now));
    bad["servers"][0]["aside_until"] = u64::MAX.into();
    let bad: WarmState = serde_json::from_value(bad).unwrap();
    let mut new = newcomer(&bad, now, &servers);
    assert!(new.is_unavailable(EndpointId(1)));
    new.handle(now + 9 * SECOND, listing(&servers), &mut Vec::new());
    assert!(!new.is_unavailable(EndpointId(1)));
}

#[test]
fn own_observations_are_never_overridden() {
    let (old, now) = learned(SECOND, AttemptOutcome::Success);
    let (mut own, later) = learned(now, AttemptOutcome::Reset);
    let before = own.warm_state(later);
    own.restore_warm_state(&old.warm_state(now), later);
    assert_eq!(own.warm_state(later), before);
}
