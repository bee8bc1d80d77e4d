//! Broken files, each with the one message that it gets. `corpus/expected.txt` has a line for each file.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use pumicehead_config::disk::Disk;
use pumicehead_config::{Severity, check};

fn corpus() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus")
}

/// All messages of a file, one a line: place, severity, code, message, help.
fn messages(name: &str) -> Vec<String> {
    let root = corpus();
    let checked = check(&Disk, &root.join(name));
    let show = |text: &str| text.replace(&format!("{}/", root.display()), "");
    let mut lines = Vec::new();
    for one in &checked.diagnostics {
        let place = one.span.map_or_else(String::new, |span| {
            format!(
                "{}:{}",
                show(&checked.sources.path_and_line(span)),
                checked.sources.line_column(span).column
            )
        });
        let severity = if one.severity == Severity::Error { "error" } else { "warning" };
        let help = one.help.as_ref().map(|help| format!(" | {help}")).unwrap_or_default();
        let notes = one
            .notes
            .iter()
            .map(|(span, text)| format!(" | {}: {text}", show(&checked.sources.path_and_line(*span))));
        lines.push(format!(
            "{place} {severity}[{}] {}{help}{}",
            one.code,
            show(&one.message),
            notes.collect::<String>()
        ));
        // However it is drawn, it names what is wrong and where.
        let drawn = pumicehead_config::diagnostic::render(&checked.sources, one, false);
        assert!(drawn.starts_with(severity) && drawn.contains(one.message.as_str()), "{name}: {drawn}");
        if let Some(span) = one.span {
            assert!(drawn.contains(&checked.sources.path_and_line(span)), "{name}: {drawn}");
        }
    }
    assert_eq!(
        checked.config.is_some(),
        checked.diagnostics.iter().all(|one| one.severity == Severity::Warning)
    );
    lines
}

#[test]
fn every_invalid_file_gives_its_expected_message() {
    let expected = fs::read_to_string(corpus().join("expected.txt")).unwrap();
    let expected: BTreeMap<_, _> = expected.lines().filter_map(|line| line.split_once(": ")).collect();
    let mut names: Vec<_> = fs::read_dir(corpus())
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .filter(|name| name.ends_with(".conf"))
        .collect();
    names.sort();
    assert!(names.len() >= 120, "{} files", names.len());
    assert_eq!(names, expected.keys().map(|name| (*name).to_owned()).collect::<Vec<_>>());
    let mut wrong = Vec::new();
    for name in &names {
        let messages = messages(name);
        if messages != [expected[name.as_str()]] {
            wrong.push(format!("{name}: {}", messages.join("\n    ")));
        }
    }
    assert!(wrong.is_empty(), "{} files:\n{}", wrong.len(), wrong.join("\n"));
}
