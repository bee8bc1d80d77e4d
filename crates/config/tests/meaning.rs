//! The meaning of configurations: differences, explanations, units and settings of the decision module.

mod common;

use common::*;
use pumicehead_config::diff::{DisplayChange, diff};
use pumicehead_config::explain::{Request, explain};
use pumicehead_config::units;
use pumicehead_policy::{DedupScope, Idempotency, SECOND, TenantId};

/// The differences that a change of the valid text gives, as lines.
fn changes(from: &str, to: &str) -> Vec<String> {
    assert!(VALID.contains(from), "{from}");
    let new = check_text(&VALID.replace(from, to));
    let lines = diff(&config(VALID), new.config.as_ref().expect("the changed text must be valid"));
    lines.iter().map(|change| DisplayChange { change, sources: &new.sources }.to_string()).collect()
}

#[test]
fn the_diff_shows_changes_with_position_and_affected_entries() {
    assert_eq!(
        changes("worth 10", "worth 8"),
        ["class run-submit: worth 10 -> 8 (main.conf:13); affects route submit"]
    );
    assert_eq!(
        changes("const patience 6s", "const patience 7s"),
        ["class board-read: deadline 6s -> 7s (main.conf:12); affects route old, route read"]
    );
    assert_eq!(
        changes("    warm-up 23s from 16%\n", ""),
        [
            "pool boards: warm-up 23s from 16% -> 30s from 10% (main.conf:5); affects route edit, route submit, route read"
        ]
    );
    assert_eq!(
        changes("weight 2", "weight 3"),
        [
            "server board-1 of pool boards: weight 2 -> 3 (main.conf:6); affects route edit, route submit, route read"
        ]
    );
    assert_eq!(
        changes("route old {", "route older {"),
        [
            "route old: removed (main.conf:18); affects class board-read, pool archive",
            "route older: added (main.conf:18); affects class board-read, pool archive"
        ]
    );
    assert_eq!(changes("held 500", "held 400"), ["limits: held 500 -> 400 (main.conf:20)"]);
}

#[test]
fn the_diff_ignores_layout_and_notation() {
    assert!(changes("deadline $patience", "deadline 6000ms").is_empty());
    assert!(changes("late-worth 30%", "late-worth 30.0%").is_empty());
    assert!(changes("memory 128MiB", "memory 131072KiB").is_empty());
    assert!(changes("aim 600ms; deadline 1200ms", "deadline 1.2s # later\n aim 0.6s").is_empty());
    assert!(changes("limits {", "limits {\n idle 1min\n").is_empty());
    assert!(changes("host *.old", "host *.OLD").is_empty());
    let (first, rest) = VALID.split_once("pool archive").unwrap();
    let (line, rest) = rest.split_once('\n').unwrap();
    let moved = format!("pool archive{line}\n{first}{rest}");
    assert!(diff(&config(VALID), &config(&moved)).is_empty());
}

#[test]
fn the_diff_shows_route_order_only_where_routes_overlap() {
    let route = |text: &str| VALID.lines().find(|line| line.starts_with(text)).unwrap();
    let lines = |text: &str| {
        let new = check_text(text);
        let lines = diff(&config(VALID), new.config.as_ref().expect("the changed text must be valid"));
        lines
            .iter()
            .map(|change| DisplayChange { change, sources: &new.sources }.to_string())
            .collect::<Vec<_>>()
    };
    let (edit, old) = (route("route edit"), route("route old"));
    // `old` now comes before `edit` and `submit`, but overlaps only with `submit`: `edit` matches only PUT,
    // and `old` only the safe methods of its class.
    let moved = VALID.replace(&format!("{old}\n"), "").replace(edit, &format!("{old}\n{edit}"));
    assert_eq!(lines(&moved), ["route old: now before route submit, and requests fit both (main.conf:16)"]);
    let submit = route("route submit");
    let disjoint = submit.replace("route submit", "route away").replace("/runs/**", "/away");
    let with = |before: &str, after: &str| VALID.replace(submit, &format!("{before}{submit}{after}"));
    let (one, other) = (with(&format!("{disjoint}\n"), ""), with("", &format!("\n{disjoint}")));
    assert!(diff(&config(&one), &config(&other)).is_empty());
}

#[test]
fn an_explanation_contains_route_class_deadline_pool_tenant_and_key() {
    let checked = check_text(VALID);
    let config = checked.config.unwrap();
    let explain_request = |text: &str, headers: &[&str]| {
        let headers: Vec<_> = headers.iter().map(|&line| line.to_owned()).collect();
        Request::parse(text, &headers).map(|request| explain(&config, &checked.sources, &request).unwrap())
    };
    let text =
        explain_request("PUT http://Rankings.example.org/runs/any%25?x=1", &["Idempotency-Key: 1"]).unwrap();
    for part in [
        "route edit (main.conf:16)",
        "class run-edit",
        "deadline 2s, aim 600ms",
        "pool boards",
        "tenant acme",
        "key any%\n",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
    let text = explain_request("POST /runs/7", &["X-Account: other"]).unwrap();
    assert!(text.contains("route submit") && text.contains("is no tenant: 400"), "{text}");
    assert!(text.contains("passed over: route edit (main.conf:16): its methods are others"), "{text}");
    assert!(
        explain_request("DELETE /x", &[])
            .unwrap()
            .starts_with("no route: 405, with Allow: GET, HEAD, OPTIONS")
    );
    assert!(explain_request("GET http://a.old.example.org", &[]).unwrap().contains("route old"));
    for bad in
        ["", "GET", "GET x y z", "GET http://a/../b", "GET http://a/%2e%2e/b", "GET http://a b/", "G@T /"]
    {
        assert!(explain_request(bad, &[]).is_err(), "{bad}");
    }
    assert!(explain_request("GET /", &["no header"]).is_err());
}

#[test]
fn settings_of_the_decision_module_match_the_file() {
    let config = config(VALID);
    assert_eq!(config.classes_of(0), [0, 1, 2]);
    assert_eq!(config.classes_of(1), [0]);
    let boards = config.settings(0);
    assert_eq!(boards.check(), Ok(()));
    assert_eq!((boards.warmup_initial_fraction, boards.warmup_duration), (0.16, 23 * SECOND));
    assert_eq!((boards.overload_multiple, boards.overload_duration), (4.0, SECOND * 3 / 2));
    assert_eq!(
        (boards.classes[1].priority_weight, boards.classes[1].idempotency),
        (10.0, Idempotency::NotIdempotent)
    );
    assert_eq!(
        boards.classes[2].idempotency,
        Idempotency::IdempotencyKey { scope: DedupScope::Zone, window: 300 * SECOND }
    );
    assert!(boards.classes[2].ordered_by_key && !boards.classes[0].ordered_by_key);
    let tenant = boards.tenants.get(TenantId(0)).expect("the tenant must be at the first position");
    assert_eq!((tenant.share, tenant.allowance_per_s), (0.2, 100.0));
    assert_eq!((boards.zone_count, config.settings(1).classes.len()), (2, 1));
}

#[test]
fn units_are_parsed_exactly() {
    assert_eq!(units::parse_duration("1.5s"), Ok(1_500_000_000));
    assert_eq!(units::parse_duration("0.000001ms").map_err(|error| error.code), Ok(1));
    assert_eq!(units::parse_duration("2d"), Ok(172_800 * SECOND));
    assert_eq!(units::parse_size("1.5KiB"), Ok(1_536));
    assert_eq!(units::parse_size("64KB"), Ok(64_000));
    assert_eq!(units::parse_share("12.5%"), Ok(0.125));
    assert_eq!(units::parse_rate("90/min"), Ok(1.5));
    assert_eq!(units::format_duration(90 * SECOND), "90s");
    assert_eq!(units::format_duration(120 * SECOND), "2min");
    assert_eq!(units::format_size(64 << 10), "64KiB");
    assert_eq!(units::format_size(64_000), "64KB");
}
