//! State that one process hands over to the next, and how far it is trusted.

use pumicehead_policy::*;
use pumicehead_policy::{Balancer, WarmState};

const HOUR: Nanos = 3_600 * SECOND;

fn settings() -> Settings {
    let deployment: pumicehead_policy::deployment_settings::DeploymentSettings = serde_json::from_str(
        r#"{"classes":[{"name":"read","effect":"pure","deadline_ns":2000000000,"target_ns":400000000}],
        "zones":["a"],"ceilings":{"max_attempts":3,"cancel":true}}"#,
    )
    .unwrap();
    deployment.settings().unwrap()
}

fn info(id: u32, started_at: Nanos) -> EndpointInfo {
    let (zone, cell) = (ZoneId(0), CellId(0));
    EndpointInfo { id: EndpointId(id), zone, cell, state: EndpointState::Ready, weight: 1.0, started_at }
}

fn snapshot_event(endpoints: &[EndpointInfo]) -> Event {
    Event::EndpointsUpdated(EndpointUpdate::Snapshot(endpoints.into()))
}

/// Returns a balancer that has served requests from `start` on for some seconds, with two endpoints that take
/// 25 ms each and attempts at endpoint 2 ending with `outcome_at_2`. Also returns the time after that.
fn balancer_with_history(start: Nanos, outcome_at_2: AttemptOutcome) -> (Balancer, Nanos) {
    let mut balancer = Balancer::new(settings(), 7);
    let (mut actions, mut now) = (Vec::new(), start);
    balancer.handle(now, snapshot_event(&[info(1, 5), info(2, 5)]), &mut actions);
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
        for (id, endpoint) in sent {
            let (attempt, duration) = (AttemptNo(0), SECOND / 40);
            let outcome = if endpoint.0 == 2 { outcome_at_2 } else { AttemptOutcome::Success };
            let ended = AttemptEnded { id, attempt, endpoint, outcome, duration, final_answer: true };
            balancer.handle(now, Event::AttemptEnded(ended), &mut Vec::new());
        }
    }
    (balancer, now)
}

fn as_json(warm_state: &WarmState) -> serde_json::Value {
    serde_json::to_value(warm_state).unwrap()
}

fn limit(balancer: &Balancer, now: Nanos, id: u32) -> f64 {
    let warm_state = as_json(&balancer.warm_state(now));
    let endpoint = warm_state["servers"].as_array().unwrap().iter().find(|endpoint| endpoint["id"] == id);
    endpoint.map_or(0.0, |endpoint| endpoint["limit"].as_f64().unwrap())
}

/// Returns a new balancer that knows the endpoints and has restored a warm state.
fn restored_balancer(warm_state: &WarmState, now: Nanos, endpoints: &[EndpointInfo]) -> Balancer {
    let mut balancer = Balancer::new(settings(), 8);
    balancer.handle(now, snapshot_event(endpoints), &mut Vec::new());
    balancer.restore_warm_state(warm_state, now);
    balancer
}

#[test]
fn limits_are_restored_less_the_older_the_state_is() {
    let (old_balancer, now) = balancer_with_history(SECOND, AttemptOutcome::Success);
    let warm_state = old_balancer.warm_state(now);
    let decoded: WarmState = serde_json::from_value(as_json(&warm_state)).unwrap();
    assert_eq!(decoded, warm_state);
    let endpoints = [info(1, 5), info(2, 5)];
    let new_balancer = Balancer::new(settings(), 8);
    let unrestored_limit = {
        let mut unrestored = new_balancer;
        unrestored.handle(now, snapshot_event(&endpoints), &mut Vec::new());
        limit(&unrestored, now, 1)
    };
    let limits: Vec<f64> = [0, SECOND, 5 * SECOND, 30 * SECOND, HOUR]
        .map(|later| limit(&restored_balancer(&warm_state, now + later, &endpoints), now + later, 1))
        .into();
    assert!(limit(&old_balancer, now, 1) > unrestored_limit, "the limit was raised");
    assert_eq!(limits[0], limit(&old_balancer, now, 1));
    assert!(limits.is_sorted_by(|a, b| a >= b), "{limits:?}");
    assert_eq!(limits[4], unrestored_limit, "a state that is an hour old is not trusted");
}

#[test]
fn state_of_an_earlier_endpoint_process_is_ignored() {
    let (old_balancer, now) = balancer_with_history(SECOND, AttemptOutcome::Success);
    let restored = restored_balancer(&old_balancer.warm_state(now), now, &[info(1, now), info(2, 5)]);
    let unrestored =
        restored_balancer(&Balancer::new(settings(), 1).warm_state(now), now, &[info(1, now), info(2, 5)]);
    assert_eq!(limit(&restored, now, 1), limit(&unrestored, now, 1));
    assert!(limit(&restored, now, 2) > limit(&unrestored, now, 2));
}

#[test]
fn an_ejection_is_handed_over() {
    let (old_balancer, now) = balancer_with_history(SECOND, AttemptOutcome::Reset);
    let is_ejected_alone = |balancer: &Balancer, now| {
        balancer.is_unavailable(EndpointId(2)) && !balancer.is_unavailable(EndpointId(1)) && now > 0
    };
    let ejected_until = as_json(&old_balancer.warm_state(now))["servers"][1]["aside_until"].as_u64().unwrap();
    assert!(ejected_until > 0, "its failures have ejected it");
    let at = ejected_until - 1;
    let restored = restored_balancer(&old_balancer.warm_state(at), at, &[info(1, 5), info(2, 5)]);
    assert!(is_ejected_alone(&restored, at));
}

#[test]
fn implausible_warm_state_is_ignored() {
    let (old_balancer, now) = balancer_with_history(SECOND, AttemptOutcome::Success);
    let endpoints = [info(1, 5), info(2, 5)];
    let unrestored =
        restored_balancer(&Balancer::new(settings(), 1).warm_state(now), now, &endpoints).warm_state(now);
    let valid = as_json(&old_balancer.warm_state(now));
    let changes: [(&str, serde_json::Value); 5] = [
        ("/v", 2.into()),
        ("/classes", serde_json::json!([])),
        ("/classes/0/mean", (-1.0).into()),
        ("/demand", 1e12.into()),
        ("/calms/0/calm", 1e300.into()),
    ];
    for (at, value) in changes {
        let mut invalid = valid.clone();
        *invalid.pointer_mut(at).unwrap() = value;
        let invalid: WarmState = serde_json::from_value(invalid).unwrap();
        assert_eq!(restored_balancer(&invalid, now, &endpoints).warm_state(now), unrestored, "{at}");
    }
    // The implausible state of one endpoint is ignored by itself.
    let mut invalid = valid;
    invalid["servers"][0]["limit"] = 1e9.into();
    let invalid: WarmState = serde_json::from_value(invalid).unwrap();
    let restored = restored_balancer(&invalid, now, &endpoints);
    assert!(limit(&restored, now, 1) < 100.0 && limit(&restored, now, 2) > 0.0);
    // A wrong state can't eject an endpoint for longer than the module itself would.
    let mut invalid = as_json(&old_balancer.warm_state(now));
    invalid["servers"][0]["aside_until"] = u64::MAX.into();
    let invalid: WarmState = serde_json::from_value(invalid).unwrap();
    let mut restored = restored_balancer(&invalid, now, &endpoints);
    assert!(restored.is_unavailable(EndpointId(1)));
    restored.handle(now + 9 * SECOND, snapshot_event(&endpoints), &mut Vec::new());
    assert!(!restored.is_unavailable(EndpointId(1)));
}

#[test]
fn own_observations_are_not_overridden() {
    let (old_balancer, now) = balancer_with_history(SECOND, AttemptOutcome::Success);
    let (mut balancer, later) = balancer_with_history(now, AttemptOutcome::Reset);
    let before = balancer.warm_state(later);
    balancer.restore_warm_state(&old_balancer.warm_state(now), later);
    assert_eq!(balancer.warm_state(later), before);
}
