//! Configurations and what is said of them: keywords, fingerprints, messages for editors. The fixtures were
//! written for version 0.2.0, before its types were renamed, and must stay readable: files of operators keep
//! their words, and nodes of both versions show one digest for one configuration.

use std::fs;
use std::path::{Path, PathBuf};

use pumicehead_config::diff::{DisplayChange, diff};
use pumicehead_config::disk::Disk;
use pumicehead_config::explain::{Request, explain};
use pumicehead_config::{Checked, check, diagnostic};

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// Compares a whole text with a stored one.
fn assert_stored_text(name: &str, text: &str) {
    let expected = fs::read_to_string(fixture(name)).unwrap();
    for (line, (one, other)) in text.lines().zip(expected.lines()).enumerate() {
        assert_eq!(one, other, "{name}, line {}", line + 1);
    }
    assert_eq!(text, expected, "{name}");
}

fn checked(name: &str) -> Checked {
    check(&Disk, &fixture(name))
}

/// Without the folder of the fixtures, which differs by machine.
fn without_folder(text: &str) -> String {
    text.replace(&format!("{}/", fixture("").display().to_string().trim_end_matches('/')), "")
}

#[test]
fn configurations_have_the_same_digests() {
    let mut text = String::new();
    for name in ["example.conf", "every_setting.conf", "other.conf"] {
        let digest = checked(name).config.unwrap().snapshot().unwrap().digest();
        text += &format!("{name} {digest} {}\n", digest.short());
    }
    assert_stored_text("digests.txt", &text);
}

#[test]
fn differences_are_told_in_the_same_words() {
    let (old, new) = (checked("every_setting.conf"), checked("other.conf"));
    let changes = diff(old.config.as_ref().unwrap(), new.config.as_ref().unwrap());
    let mut text = String::new();
    for change in &changes {
        let removed = change.kind == pumicehead_config::diff::ChangeKind::Removed;
        let sources = if removed { &old.sources } else { &new.sources };
        text += &format!("{}\n", DisplayChange { change, sources });
    }
    assert_stored_text("differences.txt", &without_folder(&text));
}

#[test]
fn requests_are_explained_in_the_same_words() {
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
    assert_stored_text("explained.txt", &without_folder(&text));
}

#[test]
fn messages_for_editors_keep_their_fields() {
    let checked = checked("broken.conf");
    let lines = checked
        .diagnostics
        .iter()
        .map(|one| serde_json::to_string(&diagnostic::json(&checked.sources, one)).unwrap() + "\n");
    assert_stored_text("messages.jsonl", &without_folder(&lines.collect::<String>()));
}
