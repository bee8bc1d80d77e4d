//! Files, messages and command lines stay compatible with earlier versions, both when read and when written. Printed results
//! are compared in full.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use pumicehead_chaos::check::{MembershipSummary, ServiceSummary, Violation};
use pumicehead_chaos::fault_effects::EndpointBehavior;
use pumicehead_chaos::history::{ClientOutcome, Event, EventKind, History, MemberState};
use pumicehead_chaos::link_overhead::LinkOverhead;
use pumicehead_chaos::scenario::Scenario;
use pumicehead_chaos::stand_ins::{DiscoveryChange, ListenAddresses};
use pumicehead_testbed::program::temporary;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Seeds of the generated scenarios in `drawn.toml`.
const GENERATED_SEEDS: std::ops::RangeInclusive<u64> = 1..=60;

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn fixture_text(name: &str) -> String {
    fs::read_to_string(fixture(name)).expect("the fixture can be read")
}

/// Asserts that JSON that is read and written again is the same text.
fn assert_json_round_trips<T: Serialize + DeserializeOwned>(text: &str) {
    let value: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{text}: {error}"));
    assert_eq!(serde_json::to_string(&value).expect("it was read"), text);
}

/// Returns what the program prints to standard output for these arguments.
fn stdout_of(arguments: &[&str]) -> String {
    let done = Command::new(env!("CARGO_BIN_EXE_pumicehead-chaos"))
        .args(arguments)
        .output()
        .expect("the program starts");
    String::from_utf8(done.stdout).expect("output is UTF-8")
}

#[test]
fn a_history_file_is_written_as_it_was_read() {
    let text = fixture_text("run/history.jsonl");
    let history = History::read(text.as_bytes()).expect("a history");
    let mut written = Vec::new();
    history.write(&mut written).expect("written to memory");
    assert_eq!(String::from_utf8(written).expect("UTF-8"), text);
}

#[test]
fn a_fault_event_without_misbehaving_endpoints_is_read() {
    let line = r#"{"at":1,"what":"fault","number":0,"text":"x","begins":true,"nodes":[],"clients":false}"#;
    let history = History::read(line.as_bytes()).expect("a history");
    let mut written = Vec::new();
    history.write(&mut written).expect("written to memory");
    let expected = line.replace("false}", "false,\"liars\":[]}\n");
    assert_eq!(String::from_utf8(written).expect("UTF-8"), expected);
}

/// Covers only the written form: `History::read` does not accept the node numbers that are keys of a view's map.
#[test]
fn views_are_written_with_node_numbers_as_keys() {
    let view = |at, node, fingerprint: &str, members: [MemberState; 3]| Event {
        at,
        kind: EventKind::MembershipView {
            node,
            fingerprint: fingerprint.into(),
            members: members.into_iter().enumerate().collect(),
        },
    };
    let history = History::from_events(vec![
        view(5_000_000_000, 0, "b", [MemberState::Alive, MemberState::Suspect, MemberState::Dead]),
        view(5_500_000_000, 1, "b", [MemberState::Stalled, MemberState::Alive, MemberState::Dead]),
        view(10_000_000_000, 2, "c", [MemberState::Left, MemberState::Alive, MemberState::Alive]),
    ]);
    let mut written = Vec::new();
    history.write(&mut written).expect("written to memory");
    assert_eq!(String::from_utf8(written).expect("UTF-8"), fixture_text("views.jsonl"));
}

#[test]
fn a_scenario_file_is_written_as_it_was_read() {
    let text = fixture_text("run/scenario.toml");
    let scenario = Scenario::parse(&text).expect("a scenario");
    assert_eq!(toml::to_string(&scenario).expect("it was read"), text);
}

/// The order of random draws must not change: seeds that earlier runs reported must still generate the same scenarios.
#[test]
fn seeds_generate_the_same_scenarios_as_before() {
    let generated: String = GENERATED_SEEDS
        .map(|seed| toml::to_string(&Scenario::generate(seed, 5, 4)).expect("a scenario is TOML"))
        .collect();
    assert_eq!(generated, fixture_text("drawn.toml"));
}

#[test]
fn results_keep_their_json() {
    assert_json_round_trips::<ServiceSummary>(concat!(
        r#"{"asked":4,"served":[1.0,0.5,0.25],"worst":[0.1,0.2,0.3],"recovered_s":2.0,"refused":1,"failed":2,"#,
        r#""unanswered":3,"lag_us":900,"views":{"found_s":[1.5,2.5],"settled_s":3.5,"wronged":1},"#,
        r#""by_second":[[11.0,10.0],[1.0,0.0]]}"#
    ));
    assert_json_round_trips::<ServiceSummary>(concat!(
        r#"{"asked":0,"served":[1.0,1.0,1.0],"worst":[1.0,1.0,1.0],"recovered_s":null,"refused":0,"failed":0,"#,
        r#""unanswered":0,"lag_us":0,"views":null,"by_second":[]}"#
    ));
    assert_json_round_trips::<MembershipSummary>(r#"{"found_s":null,"settled_s":null,"wronged":0}"#);
    assert_json_round_trips::<Violation>(
        r#"{"checker":"none lost","at":5,"text":"request 9 at node 0 never ended"}"#,
    );
    assert_json_round_trips::<LinkOverhead>(r#"{"direct_us":20.5,"through_us":60.25}"#);
}

#[test]
fn messages_to_and_from_stand_ins_keep_their_json() {
    assert_json_round_trips::<EndpointBehavior>(r#"{"slow":1.0,"lie":null}"#);
    for lie in ["denies", "swaps", "garbles"] {
        assert_json_round_trips::<EndpointBehavior>(&format!(r#"{{"slow":5.0,"lie":"{lie}"}}"#));
    }
    for listed in ["active", "leaving"] {
        assert_json_round_trips::<DiscoveryChange>(&format!(
            r#"{{"server":1,"listed":"{listed}","dials":["127.0.0.1:80"],"born_ms":5}}"#
        ));
    }
    assert_json_round_trips::<ListenAddresses>(r#"{"listens":["127.0.0.1:80","127.0.0.1:81"]}"#);
}

#[test]
fn a_kept_run_is_checked_with_the_expected_output() {
    let directory = fixture("run");
    assert_eq!(stdout_of(&["check", directory.to_str().expect("UTF-8")]), fixture_text("check.txt"));
}

#[test]
fn a_kept_run_is_rendered_as_the_expected_page() {
    let (directory, page) = (fixture("run"), temporary(".html"));
    let path = page.to_str().expect("UTF-8");
    assert_eq!(
        stdout_of(&["report", directory.to_str().expect("UTF-8"), "--out", path]),
        format!("{path}\n")
    );
    assert_eq!(fs::read_to_string(&page).expect("the page is written"), fixture_text("report.html"));
    let _ = fs::remove_file(page);
}

#[test]
fn builtin_scenarios_are_listed_as_before() {
    assert_eq!(stdout_of(&["list"]), fixture_text("list.txt"));
}

#[test]
fn a_run_prints_its_json_fields_in_order() {
    let file = temporary(".toml");
    let text = "name = \"tiny\"\nfleet = { nodes = 1, servers = 1 }\nload = { rate = 5 }\ncalm_s = [1, 1]\n";
    fs::write(&file, text).expect("a scenario");
    let json = stdout_of(&["run", file.to_str().expect("UTF-8"), "--json", "--seed", "3"]);
    assert!(json.starts_with(r#"{"scenario":"tiny","seed":3,"asked":"#), "{json}");
    let fields = [
        "scenario",
        "seed",
        "asked",
        "served",
        "worst",
        "recovered_s",
        "refused",
        "failed",
        "unanswered",
        "lag_us",
        "views",
        "by_second",
        "finds",
    ];
    let positions: Vec<_> = fields.map(|field| json.find(&format!("\"{field}\":"))).into();
    assert!(positions.iter().all(Option::is_some) && positions.is_sorted(), "{json}");
    let parsed: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(parsed.as_object().expect("an object").len(), fields.len(), "{json}");
    let _ = fs::remove_file(file);
}

#[test]
fn commands_keep_their_flags_and_defaults() {
    let commands: [(&str, &[&str]); 11] = [
        ("run", &["<SCENARIO>", "--seed", "--keep", "--node", "--json", "--log"]),
        ("list", &["--log"]),
        ("check", &["<FOLDER>"]),
        ("hunt", &["--seconds", "--seed", "--nodes", "--servers", "--keep"]),
        ("shrink", &["<FILE>", "--node", "--plays", "--seconds"]),
        ("report", &["<FOLDER>", "--out"]),
        ("cost", &["--json"]),
        ("server", &["--number", "--epoch", "--places", "--takes-ms", "--cold-s", "--cold-from"]),
        ("discover", &["<NODES>"]),
        ("begin", &["<PROGRAM>", "[ARGUMENTS]..."]),
        ("keeper", &[]),
    ];
    for (command, flags) in commands {
        let help = stdout_of(&[command, "--help"]);
        assert!(help.contains(&format!("Usage: pumicehead-chaos {command}")), "{help}");
        for flag in flags {
            assert!(help.contains(flag), "{command} {flag}: {help}");
        }
    }
    for (command, default) in [
        ("hunt", "[default: 600]"),
        ("hunt", "[default: 1]"),
        ("hunt", "[default: 5]"),
        ("hunt", "[default: 4]"),
        ("hunt", "[default: storms]"),
        ("shrink", "[default: 3]"),
        ("shrink", "[default: 1200]"),
        ("report", "[default: storm.html]"),
        ("list", "[default: WARN]"),
    ] {
        let help = stdout_of(&[command, "--help"]);
        assert!(help.contains(default), "{command} {default}: {help}");
    }
}

#[test]
fn outcomes_keep_their_text_in_violations() {
    let texts = [
        (
            ClientOutcome::Answered { status: 504, matches_request: true },
            "Answered { status: 504, own: true }",
        ),
        (ClientOutcome::ConnectionBroken, "Broken"),
        (ClientOutcome::ConnectFailed, "NoConnection"),
        (ClientOutcome::TimedOut, "Silent"),
    ];
    for (outcome, text) in texts {
        assert_eq!(outcome.to_string(), text);
    }
}
