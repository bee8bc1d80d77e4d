//! Compatibility of the load generator's file formats: traces, mixes and results. The fixtures were written by version
//! 0.2.0, before its types were renamed, and must stay readable.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use pumicehead_load_generator::mix::Mix;
use pumicehead_load_generator::outcome::OUTCOMES;
use pumicehead_load_generator::report::Summary;
use pumicehead_load_generator::trace::{Format, Replay, format_of, parse, write_csv};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn stored(name: &str) -> String {
    fs::read_to_string(fixture(name)).unwrap()
}

/// Asserts that a text is equal to a stored one.
fn assert_stored_text(name: &str, text: &str) {
    assert_eq!(text, stored(name), "{name}");
}

/// Runs the program, asserts that it succeeds, and returns its standard output.
fn run(arguments: &[&str]) -> String {
    let done = Command::new(env!("CARGO_BIN_EXE_pumicehead-load")).args(arguments).output().unwrap();
    assert!(done.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&done.stderr));
    String::from_utf8(done.stdout).unwrap()
}

#[test]
fn older_traces_are_read_as_before() {
    let replay = Replay { speed: 1.0, copies: 1, allow_gaps: false };
    let traces =
        [("recorded.jsonl", Format::Json), ("recorded.csv", Format::Csv), ("access.log", Format::Log)];
    for (name, format) in traces {
        assert_eq!(format_of(&stored(name)), format, "{name}");
        let entries = parse(&stored(name), replay).unwrap();
        assert_stored_text(&format!("{name}.read.csv"), &write_csv(&entries));
    }
    let imported = run(&["import", fixture("access.log").to_str().unwrap()]);
    assert_eq!(imported, stored("access.log.read.csv"));
}

#[test]
fn an_older_mix_is_read_and_written_as_before() {
    let mix: Mix = serde_json::from_str(&stored("mix.json")).unwrap();
    mix.check().unwrap();
    assert_eq!(serde_json::to_string_pretty(&mix).unwrap() + "\n", stored("mix.json"));
    assert_stored_text("default_mix.json", &run(&["mix"]));
}

#[test]
fn older_results_are_read_and_written_as_before() {
    let summary: Summary = serde_json::from_str(&stored("results.json")).unwrap();
    assert_eq!(serde_json::to_string_pretty(&summary).unwrap() + "\n", stored("results.json"));
    assert_stored_text("results.table.txt", &summary.table());
    let file = fixture("results.json");
    let file = file.to_str().unwrap();
    assert_stored_text("results.compared.txt", &run(&["compare", "--a", file, "--b", file]));
}

#[test]
fn outcomes_keep_their_names_and_order() {
    let names =
        OUTCOMES.map(|outcome| format!("{} {}\n", outcome.name(), serde_json::to_string(&outcome).unwrap()));
    assert_stored_text("ends.txt", &names.concat());
}
