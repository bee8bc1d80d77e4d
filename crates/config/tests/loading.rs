//! Files that can't be read, are too large or too deeply nested, or include each other in a cycle.

mod common;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use common::*;
use pumicehead_config::disk::Disk;
use pumicehead_config::lexer::MAX_LINE_BYTES;
use pumicehead_config::load::{MAX_FILE_BYTES, MAX_FILES, MAX_INCLUDE_DEPTH, MAX_TOTAL_BYTES};
use pumicehead_config::{Checked, ReadError, check, diagnostic};

/// The code and the message of the only diagnostic.
fn single_diagnostic(checked: &Checked) -> (&'static str, String) {
    let shown: Vec<_> = checked.diagnostics.iter().map(|one| (one.code, one.message.clone())).collect();
    assert_eq!(shown.len(), 1, "{shown:?}");
    let rendered = diagnostic::render(&checked.sources, &checked.diagnostics[0], false);
    assert!(rendered.len() < 4_000, "the rendered text has {} bytes", rendered.len());
    shown.into_iter().next().unwrap()
}

fn check_memory(memory: &MemoryFiles) -> Checked {
    check(memory, Path::new("main.conf"))
}

#[test]
fn a_too_long_line_gives_one_short_diagnostic() {
    let text = format!("{VALID}\n# {}\n", "x".repeat(1 << 20));
    let (code, message) = single_diagnostic(&check_text(&text));
    assert_eq!(code, "line-too-long");
    assert!(message.contains("1048579") && message.contains(&MAX_LINE_BYTES.to_string()), "{message}");
}

#[test]
fn too_deep_nesting_is_reported_without_a_flood_of_diagnostics() {
    for text in ["a {\n".repeat(10_000), "a { ".repeat(900), "{\n".repeat(10_000)] {
        let checked = check_text(&text);
        assert!(checked.diagnostics.iter().any(|one| one.code == "too-deep"));
        assert!(checked.diagnostics.len() <= 10);
    }
    assert_eq!(
        single_diagnostic(&check_text(&("a {\n".repeat(10_000) + &"}\n".repeat(10_000)))).0,
        "too-deep"
    );
    assert!(check_text(&"}\n".repeat(10_000)).diagnostics.iter().all(|one| one.code == "stray-brace"));
}

#[test]
fn a_file_that_is_included_twice_is_read_once() {
    let memory = MemoryFiles::default()
        .with("main.conf", "include left.conf\ninclude dir/right.conf\n")
        .with("left.conf", "include shared.conf\n")
        .with("dir/right.conf", "include ../shared.conf\n")
        .with("shared.conf", VALID);
    let checked = check_memory(&memory);
    assert!(checked.diagnostics.is_empty(), "{:?}", checked.diagnostics);
    assert_eq!(checked.config.unwrap().routes.len(), 4);
    assert_eq!(checked.sources.len(), 4);
}

#[test]
fn a_wildcard_includes_matching_files_except_for_hidden_ones() {
    let memory = MemoryFiles::default()
        .with("main.conf", "include routes/*.conf\n")
        .with("routes/10-a.conf", VALID)
        .with(
            "routes/20-b.conf",
            "route last { host b.org; path /z; method POST; class run-submit; pool boards }\n",
        )
        .with("routes/.hidden.conf", "nonsense\n")
        .with("routes/notes.txt", "nonsense\n")
        .with("routes/30-c.conf.swp", "nonsense\n");
    let config = check_memory(&memory).config.unwrap();
    assert_eq!(config.routes.last().unwrap().name, "last");
    let none = MemoryFiles::default().with("main.conf", format!("{VALID}\ninclude routes/*.conf\n"));
    assert!(check_memory(&none).config.is_some());
}

#[test]
fn limits_on_included_files_are_enforced() {
    let mut chain = MemoryFiles::default().with("main.conf", "include 0.conf\n");
    for n in 0..MAX_INCLUDE_DEPTH + 5 {
        chain = chain.with(&format!("{n}.conf"), format!("include {}.conf\n", n + 1));
    }
    assert_eq!(single_diagnostic(&check_memory(&chain)).0, "include-chain");
    let mut many = MemoryFiles::default().with("main.conf", "include all/*.conf\n");
    for n in 0..MAX_FILES + 50 {
        many = many.with(&format!("all/{n}.conf"), "# nothing\n");
    }
    assert_eq!(single_diagnostic(&check_memory(&many)).0, "too-many-files");
    let mut large = MemoryFiles::default().with("main.conf", "include all/*.conf\n");
    let filler = "# filler\n".repeat(MAX_FILE_BYTES as usize / 9);
    for n in 0..=MAX_TOTAL_BYTES / filler.len() as u64 {
        large = large.with(&format!("all/{n}.conf"), &filler);
    }
    assert_eq!(single_diagnostic(&check_memory(&large)).0, "too-large");
}

#[test]
fn every_read_error_gives_one_diagnostic() {
    let errors = [
        ReadError::Missing,
        ReadError::Denied,
        ReadError::Directory,
        ReadError::NotRegular,
        ReadError::TooLarge(MAX_FILE_BYTES + 1),
        ReadError::Other("input/output error".into()),
    ];
    for error in errors {
        let memory =
            MemoryFiles::default().with("main.conf", "include a.conf\n").with_error("a.conf", error.clone());
        let (code, message) = single_diagnostic(&check_memory(&memory));
        assert_eq!(code, "unreadable-file");
        assert_eq!(message, format!("can't read a.conf: {error}"));
        let (_, message) =
            single_diagnostic(&check_memory(&MemoryFiles::default().with_error("main.conf", error.clone())));
        assert_eq!(message, format!("can't read main.conf: {error}"));
    }
}

fn temporary_directory(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("loading-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

/// Opening a pipe without a writer would block forever, so it must be rejected before it is opened.
#[test]
fn pipes_devices_and_too_large_files_are_rejected() {
    let directory = temporary_directory("pipe");
    let pipe = directory.join("pipe.conf");
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    for path in [pipe.as_path(), Path::new("/dev/zero")] {
        let (code, message) = single_diagnostic(&check(&Disk, path));
        assert_eq!(code, "unreadable-file");
        assert!(message.contains("not a regular file"), "{message}");
    }
    let large = directory.join("large.conf");
    fs::write(&large, vec![b'\n'; MAX_FILE_BYTES as usize + 1]).unwrap();
    assert!(single_diagnostic(&check(&Disk, &large)).1.contains("bytes"));
    assert!(single_diagnostic(&check(&Disk, &directory)).1.contains("directory"));
    assert!(single_diagnostic(&check(&Disk, &directory.join("none"))).1.contains("no such file"));
}

/// `Disk` identifies a file by every path to it, including symbolic links.
#[test]
fn an_include_of_a_link_to_itself_is_circular() {
    let directory = temporary_directory("link");
    let (main, link) = (directory.join("main.conf"), directory.join("link.conf"));
    fs::write(&main, "include link.conf\n").unwrap();
    std::os::unix::fs::symlink(&main, &link).unwrap();
    let (code, message) = single_diagnostic(&check(&Disk, &main));
    assert_eq!(code, "circular-include");
    assert!(message.contains("main.conf -> ") && message.ends_with("link.conf"), "{message}");
}

#[test]
fn byte_order_mark_and_carriage_returns_are_ignored() {
    let with_bom_and_crlf = format!("\u{feff}{}", VALID.replace('\n', "\r\n"));
    let settings = |text: &str| pumicehead_config::diff::effective_settings(&config(text)).without_spans();
    assert_eq!(settings(&with_bom_and_crlf), settings(VALID));
}
