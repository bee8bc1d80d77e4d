//! Compatibility of keywords, digests, differences, explanations and JSON diagnostics. The fixtures were
//! written for version 0.2.0, before its types were renamed, and must stay valid: configuration files keep
//! their keywords, and nodes of both versions show the same digest for the same configuration.

use std::fs;
use std::path::{Path, PathBuf};

use pumicehead_config::diff::{DisplayChange, diff};
use pumicehead_config::disk::Disk;
use pumicehead_config::explain::{Request, explain};
use pumicehead_config::{Checked, check, diagnostic};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// Asserts that a text equals that of a fixture.
fn assert_equals_fixture(name: &str, text: &str) {
    let expected = fs::read_to_string(fixture(name)).unwrap();
    for (line, (one, other)) in text.lines().zip(expected.lines()).enumerate() {
        assert_eq!(one, other, "{name}, line {}", line + 1);
    }
    assert_eq!(text, expected, "{name}");
}

fn checked(name: &str) -> Checked {
    check(&Disk, &fixture(name))
}

/// Removes the directory of the fixtures, which differs between machines.
fn without_directory(text: &str) -> String {
    text.replace(&format!("{}/", fixture("").display().to_string().trim_end_matches('/')), "")
}

#[test]
fn digests_are_stable() {
    let mut text = String::new();
    for name in ["example.conf", "every_setting.conf", "other.conf"] {
        let digest = checked(name).config.unwrap().snapshot().unwrap().digest();
        text += &format!("{name} {digest} {}\n", digest.short());
    }
    assert_equals_fixture("digests.txt", &text);
}

#[test]
fn texts_of_differences_are_stable() {
    let (old, new) = (checked("every_setting.conf"), checked("other.conf"));
    let changes = diff(old.config.as_ref().unwrap(), new.config.as_ref().unwrap());
    let mut text = String::new();
    for change in &changes {
        let removed = change.kind == pumicehead_config::diff::ChangeKind::Removed;
        let sources = if removed { &old.sources } else { &new.sources };
        text += &format!("{}\n", DisplayChange { change, sources });
    }
    assert_equals_fixture("differences.txt", &without_directory(&text));
}

#[test]
fn texts_of_explanations_are_stable() {
    let checked = checked("every_setting.conf");
    let requests: [(&str, &[&str]); 6] = [
        ("PUT http://a.org/runs/7", &["Idempotency-Key: k"]),
        ("POST http://a.org/runs/7/x", &["X-Account: acme"]),
        ("POST http://a.org/runs/7/x", &["X-Account: nobody"]),
        ("PATCH http://a.org/patches/3", &["X-Kind: small", "X-Any: 1"]),
        ("GET http://x.old.example.org/boards/a%20b", &[]),
        ("GET http://a.org/boards/any?page=2", &[]),
    ];
    let mut text = String::new();
    for (request, headers) in requests {
        let headers: Vec<_> = headers.iter().map(|header| (*header).to_owned()).collect();
        let parsed = Request::parse(request, &headers).unwrap();
        text += &format!("{request}\n");
        text += &explain(checked.config.as_ref().unwrap(), &checked.sources, &parsed).unwrap();
    }
    assert_equals_fixture("explanations.txt", &without_directory(&text));
}

#[test]
fn json_diagnostics_are_stable() {
    let checked = checked("broken.conf");
    let lines = checked
        .diagnostics
        .iter()
        .map(|one| serde_json::to_string(&diagnostic::json(&checked.sources, one)).unwrap() + "\n");
    assert_equals_fixture("diagnostics.jsonl", &without_directory(&lines.collect::<String>()));
}
