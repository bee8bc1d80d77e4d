//! Invalid and dubious configurations. `corpus/expected.txt` has the one diagnostic that each file must give.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use pumicehead_config::disk::Disk;
use pumicehead_config::{Severity, check};

fn corpus() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus")
}

/// All diagnostics of a file as lines: position, severity, code, message, help and notes.
fn diagnostics_of(name: &str) -> Vec<String> {
    let root = corpus();
    let checked = check(&Disk, &root.join(name));
    let strip_root = |text: &str| text.replace(&format!("{}/", root.display()), "");
    let mut lines = Vec::new();
    for diagnostic in &checked.diagnostics {
        let position = diagnostic.span.map_or_else(String::new, |span| {
            format!(
                "{}:{}",
                strip_root(&checked.sources.path_and_line(span)),
                checked.sources.line_column(span).column
            )
        });
        let severity = if diagnostic.severity == Severity::Error { "error" } else { "warning" };
        let help = diagnostic.help.as_ref().map(|help| format!(" | {help}")).unwrap_or_default();
        let notes = diagnostic
            .notes
            .iter()
            .map(|(span, text)| format!(" | {}: {text}", strip_root(&checked.sources.path_and_line(*span))));
        lines.push(format!(
            "{position} {severity}[{}] {}{help}{}",
            diagnostic.code,
            strip_root(&diagnostic.message),
            notes.collect::<String>()
        ));
        // The rendered text must contain the severity, the message and the position.
        let rendered = pumicehead_config::diagnostic::render(&checked.sources, diagnostic, false);
        assert!(
            rendered.starts_with(severity) && rendered.contains(diagnostic.message.as_str()),
            "{name}: {rendered}"
        );
        if let Some(span) = diagnostic.span {
            assert!(rendered.contains(&checked.sources.path_and_line(span)), "{name}: {rendered}");
        }
    }
    assert_eq!(
        checked.config.is_some(),
        checked.diagnostics.iter().all(|diagnostic| diagnostic.severity == Severity::Warning)
    );
    lines
}

#[test]
fn every_file_gives_exactly_its_expected_diagnostic() {
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
    let mut mismatches = Vec::new();
    for name in &names {
        let messages = diagnostics_of(name);
        if messages != [expected[name.as_str()]] {
            mismatches.push(format!("{name}: {}", messages.join("\n    ")));
        }
    }
    assert!(mismatches.is_empty(), "{} files:\n{}", mismatches.len(), mismatches.join("\n"));
}
