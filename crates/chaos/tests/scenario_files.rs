//! Scenario files: a written scenario is read back unchanged, and scenarios that can't be run are rejected.

use pumicehead_chaos::scenario::Scenario;

const VALID: &str = r#"
    name = "x"
    fleet = { nodes = 3, servers = 4 }
    load = { rate = 60 }
    calm_s = [3, 5]
    [[fault]]
    at_s = 0
    for_s = 5
    kind = "stall"
    nodes = [1]
    [[fault]]
    at_s = 1
    for_s = 2
    kind = "link"
    from = { nodes = [0] }
    to = "discovery"
    door = "silent"
    back = { cut = true }
"#;

#[test]
fn a_written_scenario_is_read_back_unchanged() {
    let scenario = Scenario::parse(VALID).unwrap();
    assert_eq!((scenario.faults_end_s(), scenario.duration_s()), (8.0, 13.0));
    assert_eq!(scenario.faults[1].kind.nodes(), [0]);
    assert_eq!(Scenario::parse(&toml::to_string(&scenario).unwrap()).unwrap(), scenario);
}

#[test]
fn generated_scenarios_are_valid_and_the_same_for_a_seed() {
    for seed in 0..300 {
        let generated = Scenario::generate(seed, 5, 4);
        assert!(generated.faults.len() >= 2);
        assert_eq!(Scenario::parse(&toml::to_string(&generated).unwrap()).unwrap(), generated, "seed {seed}");
        assert_eq!(Scenario::generate(seed, 5, 4), generated);
    }
}

/// The error message for each wrong value must name the value.
#[test]
fn scenarios_that_cannot_be_run_are_rejected_with_a_reason() {
    for (from, to, reason) in [
        ("nodes = 3", "nodes = 51", "fleet.nodes"),
        ("nodes = 3", "nodes = 0", "fleet.nodes"),
        ("rate = 60", "rate = 6000", "load.rate"),
        ("nodes = [1]", "nodes = [3]", "fault 1: there is no node 3"),
        ("nodes = [1]", "nodes = []", "fault 1: it names no node"),
        ("for_s = 5", "for_s = -1", "fault 1: `for_s`"),
        ("for_s = 5", "for_s = nan", "fault 1: `for_s`"),
        ("for_s = 5", "for_s = 1e9", "the whole run"),
        ("\"discovery\"", "\"clients\"", "fault 2: connections go"),
        ("cut = true", "loss = 1.0", "fault 2: `loss`"),
        ("cut = true", "los = 0.5", "unknown field"),
        ("\"stall\"", "\"stale\"", "unknown variant"),
    ] {
        let text = VALID.replacen(from, to, 1);
        let error = Scenario::parse(&text).expect_err(to).to_string();
        assert!(error.contains(reason), "{to}: {error}");
    }
}
