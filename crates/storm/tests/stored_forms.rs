//! Scenarios and histories as files hold them. The fixtures were written by version 0.2.0, before its types were renamed,
//! and must stay readable: kept runs are checked again, and storms that were found are played again.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use pumicehead_rig::program::temporary;
use pumicehead_storm::check::{self, Service};
use pumicehead_storm::cost::Cost;
use pumicehead_storm::history::{Event, History, Holds, What};
use pumicehead_storm::scenario::Scenario;
use pumicehead_storm::stand::{Change, Hello};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn stored(name: &str) -> String {
    fs::read_to_string(fixture(name)).unwrap()
}

/// Compares a whole text with a stored one.
fn assert_stored_text(name: &str, text: &str) {
    let expected = stored(name);
    for (line, (one, other)) in text.lines().zip(expected.lines()).enumerate() {
        assert_eq!(one, other, "{name}, line {}", line + 1);
    }
    assert_eq!(text, expected, "{name}");
}

fn scenario() -> Scenario {
    Scenario::parse(&stored("run/scenario.toml")).unwrap()
}

fn history() -> History {
    History::read(stored("run/history.jsonl").as_bytes()).unwrap()
}

#[test]
fn an_older_scenario_with_every_fault_is_read_and_written_as_before() {
    assert_stored_text("run/scenario.toml", &toml::to_string(&scenario()).unwrap());
    let words: String = scenario().fault.iter().map(|fault| fault.words() + "\n").collect();
    assert_stored_text("faults.txt", &words);
}

#[test]
fn an_older_scenario_without_what_may_be_left_out_is_read_as_before() {
    let short = Scenario::parse(&stored("short.toml")).unwrap();
    assert_stored_text("short.written.toml", &toml::to_string(&short).unwrap());
}

#[test]
fn an_older_history_is_read_and_written_as_before() {
    let mut written = Vec::new();
    history().write(&mut written).unwrap();
    assert_stored_text("run/history.jsonl", &String::from_utf8(written).unwrap());
}

/// Their numbers of nodes are keys of an object, which version 0.2.0 writes and does not read.
#[test]
fn views_of_members_are_written_as_before() {
    let all = [Holds::Alive, Holds::Stalled, Holds::Suspect, Holds::Dead, Holds::Left];
    let holds = all.into_iter().enumerate().collect();
    let what = What::View { node: 2, fingerprint: "00ab".into(), holds };
    let mut written = Vec::new();
    History::of(vec![Event { at: 1_500_000_000, what }]).write(&mut written).unwrap();
    assert_stored_text("views.jsonl", &String::from_utf8(written).unwrap());
}

#[test]
fn an_older_run_is_checked_as_before() {
    let (scenario, history) = (scenario(), history());
    let finds = check::run(&scenario, &history);
    assert_stored_text("finds.json", &(serde_json::to_string_pretty(&finds).unwrap() + "\n"));
    let summary = Service::of(&scenario, &history);
    assert_stored_text("summary.json", &(serde_json::to_string_pretty(&summary).unwrap() + "\n"));
    let done = Command::new(env!("CARGO_BIN_EXE_pumicehead-storm"))
        .arg("check")
        .arg(fixture("run"))
        .output()
        .unwrap();
    assert_eq!(done.status.code(), Some(1), "{}", String::from_utf8_lossy(&done.stderr));
    assert_stored_text("checked.txt", &String::from_utf8(done.stdout).unwrap());
}

#[test]
fn an_older_run_is_reported_as_before() {
    let page = temporary(".html");
    let done = Command::new(env!("CARGO_BIN_EXE_pumicehead-storm"))
        .arg("report")
        .arg(fixture("run"))
        .arg("--out")
        .arg(&page)
        .output()
        .unwrap();
    assert!(done.status.success(), "{}", String::from_utf8_lossy(&done.stderr));
    assert_stored_text("report.html", &fs::read_to_string(&page).unwrap());
    fs::remove_file(page).unwrap();
}

/// What the parts of a storm say to each other, and what a measurement prints.
#[test]
fn lines_between_processes_are_as_before() {
    let lines = stored("lines.jsonl");
    let [hello, change, cost] = lines.lines().collect::<Vec<_>>()[..] else { panic!("{lines}") };
    let again = [
        serde_json::to_string(&serde_json::from_str::<Hello>(hello).unwrap()).unwrap(),
        serde_json::to_string(&serde_json::from_str::<Change>(change).unwrap()).unwrap(),
        serde_json::to_string(&serde_json::from_str::<Cost>(cost).unwrap()).unwrap(),
    ];
    assert_eq!(again, [hello, change, cost]);
}
