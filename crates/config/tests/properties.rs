//! Properties of the formatter, the parser and snapshots for arbitrary texts.

mod common;

use common::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use pumicehead_config::diff::{diff, effective_settings};
use pumicehead_config::format::format;
use pumicehead_config::span::FileId;
use pumicehead_config::syntax::parse;

fn cases(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// The valid text with an unusual layout; `gaps` selects the separators between tokens.
fn unusual_layout(gaps: &[u8]) -> String {
    let mut gaps = gaps.iter().copied().cycle();
    let mut gap = move || gaps.next().unwrap_or_default();
    let mut out = String::new();
    for statement in VALID.split_inclusive(['\n', ';', '{', '}']) {
        let (words, end) = statement.split_at(statement.len() - 1);
        for word in words.split_whitespace() {
            out.push_str([" ", "   ", "\t", " \t "][usize::from(gap() % 4)]);
            out.push_str(word);
        }
        match end {
            "{" => {
                out.push_str([" {", " {\n", " { # opens\n", " {\n\n\n# first\n\n"][usize::from(gap() % 4)])
            }
            "}" => out.push_str(["}", "\n}", "\n# last\n}", "\n\n}  # closed\n"][usize::from(gap() % 4)]),
            _ => out.push_str(
                ["\n", ";", "; # end\n", "\r\n\r\n\r\n# alone\r\n", "\n  # \u{e9}t\u{e9} { \" ;\n"]
                    [usize::from(gap() % 5)],
            ),
        }
    }
    out
}

fn comments(text: &str) -> Vec<&str> {
    let inside = text.lines().filter_map(|line| line.find('#').map(|index| line[index..].trim_end()));
    inside.collect()
}

proptest! {
    #![proptest_config(cases(400))]

    #[test]
    fn the_formatter_is_idempotent_and_keeps_meaning_and_comments(gaps in prop::collection::vec(any::<u8>(), 1..300)) {
        let text = unusual_layout(&gaps);
        let once = format(&text).unwrap();
        prop_assert_eq!(&format(&once).unwrap(), &once);
        prop_assert_eq!(effective_settings(&config(&once)).without_spans(), effective_settings(&config(VALID)).without_spans());
        prop_assert_eq!(effective_settings(&config(&text)).without_spans(), effective_settings(&config(VALID)).without_spans());
        prop_assert_eq!(comments(&once), comments(&text));
        prop_assert!(!once.contains("\n\n\n") && !once.contains(" \n") && !once.contains('\r'));
        prop_assert!(diff(&config(&text), &config(&once)).is_empty());
    }

    #[test]
    fn snapshots_are_equal_for_equal_meaning(gaps in prop::collection::vec(any::<u8>(), 1..300)) {
        let (usual, unusual) = (config(VALID).snapshot().unwrap(), config(&unusual_layout(&gaps)).snapshot().unwrap());
        prop_assert_eq!(&usual, &unusual);
        prop_assert_eq!(usual.digest(), unusual.digest());
        prop_assert!(usual.difference(&unusual).is_empty());
    }

    #[test]
    fn arbitrary_bytes_give_diagnostics_and_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let checked = pumicehead_config::check(&MemoryFiles::default().with("main.conf", &bytes), std::path::Path::new("main.conf"));
        prop_assert!(checked.config.is_none());
        for one in &checked.diagnostics {
            prop_assert!(!pumicehead_config::diagnostic::render(&checked.sources, one, false).is_empty());
            prop_assert!(serde_json::to_string(&pumicehead_config::diagnostic::json(&checked.sources, one)).is_ok());
        }
    }

    #[test]
    fn arbitrary_tokens_give_diagnostics_and_no_panic(
        tokens in prop::collection::vec(
            prop::sample::select(vec![
                "{", "}", ";", "\n", "\"", "\"a\"", "#c\n", "\\", "pool", "class", "route", "server", "limits", "const",
                "$a", "a", "include", "main.conf", "*", "aim", "1s", "99999999999h", "path", "/x/**", "repeats", "safe",
                "\u{feff}", "\u{e9}", "\r", "\r\n", "\u{0}", "address", "127.0.0.1:1", "discovery", "-1%", "key", "segment",
            ]),
            0..80,
        ),
        joint in prop::sample::select(vec!["", " "]),
    ) {
        let text = tokens.join(joint);
        let checked = check_text(&text);
        prop_assert_eq!(checked.config.is_none(), checked.diagnostics.iter().any(|one| one.severity == pumicehead_config::Severity::Error));
        if let Ok(once) = format(&text) {
            prop_assert_eq!(&format(&once).unwrap(), &once);
            prop_assert!(parse(FileId(0), &once).is_ok());
        }
    }

    /// After one word of the valid text is replaced, the result is invalid or differs from the original.
    #[test]
    fn a_changed_word_is_reported_or_shown_in_the_diff(at in 0usize..130, word in "[a-z0-9%/*.:-]{1,8}") {
        let words: Vec<_> = VALID.split(' ').collect();
        let at = at % words.len();
        let old = words[at];
        let mut changed = words.clone();
        changed[at] = &word;
        let text = changed.join(" ");
        let checked = check_text(&text);
        match checked.config {
            None => prop_assert!(!checked.diagnostics.is_empty()),
            Some(new) => {
                let same = diff(&config(VALID), &new).is_empty();
                prop_assert!(!same || old.is_empty() || old == word, "{:?} -> {:?}", old, word);
            }
        }
    }
}

#[test]
fn a_configuration_does_not_differ_from_itself() {
    assert!(diff(&config(VALID), &config(VALID)).is_empty());
}
