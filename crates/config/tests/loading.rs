//! Files that can't be read, are too large or too deeply nested, or include each other.

mod common;

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

use common::*;
use pumicehead_config::disk::Disk;
use pumicehead_config::lexer::MAX_LINE_BYTES;
use pumicehead_config::load::{MAX_FILE_BYTES, MAX_FILES, MAX_INCLUDE_DEPTH, MAX_TOTAL_BYTES};
use pumicehead_config::{Checked, ReadError, check, diagnostic};

/// The one message, by its kind.
fn only(checked: &Checked) -> (&'static str, String) {
    let shown: Vec<_> = checked.diagnostics.iter().map(|one| (one.code, one.message.clone())).collect();
    assert_eq!(shown.len(), 1, "{shown:?}");
    let drawn = diagnostic::render(&checked.sources, &checked.diagnostics[0], false);
    assert!(drawn.len() < 4_000, "a message of {} bytes", drawn.len());
    shown.into_iter().next().unwrap()
}

fn check_memory(memory: &Memory) -> Checked {
    check(memory, Path::new("main.conf"))
}

#[test]
fn a_too_long_line_gives_one_short_message() {
    let text = format!("{VALID}\n# {}\n", "x".repeat(1 << 20));
    let (code, message) = only(&check_text(&text));
    assert_eq!(code, "line-too-long");
    assert!(message.contains("1048579") && message.contains(&MAX_LINE_BYTES.to_string()), "{message}");
}

#[test]
fn too_deep_nesting_gives_one_message() {
    for text in ["a {\n".repeat(10_000), "a { ".repeat(900), "{\n".repeat(10_000)] {
        let checked = check_text(&text);
        assert!(checked.diagnostics.iter().any(|one| one.code == "too-deep"));
        assert!(checked.diagnostics.len() <= 10);
    }
    assert_eq!(only(&check_text(&("a {\n".repeat(10_000) + &"}\n".repeat(10_000)))).0, "too-deep");
    assert!(check_text(&"}\n".repeat(10_000)).diagnostics.iter().all(|one| one.code == "stray-brace"));
}

#[test]
fn a_file_that_is_included_twice_is_read_once() {
    let memory = Memory::default()
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
fn a_star_includes_matching_files_but_no_hidden_ones() {
    let memory = Memory::default()
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
    let none = Memory::default().with("main.conf", format!("{VALID}\ninclude routes/*.conf\n"));
    assert!(check_memory(&none).config.is_some());
}

#[test]
fn limits_on_included_files_are_enforced() {
    let mut chain = Memory::default().with("main.conf", "include 0.conf\n");
    for n in 0..MAX_INCLUDE_DEPTH + 5 {
        chain = chain.with(&format!("{n}.conf"), format!("include {}.conf\n", n + 1));
    }
    assert_eq!(only(&check_memory(&chain)).0, "include-chain");
    let mut many = Memory::default().with("main.conf", "include all/*.conf\n");
    for n in 0..MAX_FILES + 50 {
        many = many.with(&format!("all/{n}.conf"), "# nothing\n");
    }
    assert_eq!(only(&check_memory(&many)).0, "too-many-files");
    let mut large = Memory::default().with("main.conf", "include all/*.conf\n");
    let filler = "# filler\n".repeat(MAX_FILE_BYTES as usize / 9);
    for n in 0..=MAX_TOTAL_BYTES / filler.len() as u64 {
        large = large.with(&format!("all/{n}.conf"), &filler);
    }
    assert_eq!(only(&check_memory(&large)).0, "too-large");
}

#[test]
fn every_read_error_gives_one_message() {
    let faults = [
        ReadError::Missing,
        ReadError::Denied,
        ReadError::Directory,
        ReadError::NotRegular,
        ReadError::TooLarge(MAX_FILE_BYTES + 1),
        ReadError::Other("the disk is on fire".into()),
    ];
    for fault in faults {
        let memory = Memory::default().with("main.conf", "include a.conf\n").faulty("a.conf", fault.clone());
        let (code, message) = only(&check_memory(&memory));
        assert_eq!(code, "unreadable-file");
        assert_eq!(message, format!("can't read a.conf: {fault}"));
        let (_, message) = only(&check_memory(&Memory::default().faulty("main.conf", fault.clone())));
        assert_eq!(message, format!("can't read main.conf: {fault}"));
    }
}

fn temporary(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("hard-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

/// A pipe without a writer would hold the reader for good.
#[test]
fn pipes_devices_and_too_large_files_are_refused() {
    let directory = temporary("pipe");
    let pipe = directory.join("pipe.conf");
    assert!(Command::new("mkfifo").arg(&pipe).status().unwrap().success());
    for path in [pipe.as_path(), Path::new("/dev/zero")] {
        let (code, message) = only(&check(&Disk, path));
        assert_eq!(code, "unreadable-file");
        assert!(message.contains("no regular file"), "{message}");
    }
    let large = directory.join("large.conf");
    fs::write(&large, vec![b'\n'; MAX_FILE_BYTES as usize + 1]).unwrap();
    assert!(only(&check(&Disk, &large)).1.contains("bytes"));
    assert!(only(&check(&Disk, &directory)).1.contains("directory"));
    assert!(only(&check(&Disk, &directory.join("none"))).1.contains("no such file"));
}

/// The disk knows a file by every path that leads to it, links included.
#[test]
fn an_include_of_a_link_to_itself_is_circular() {
    let directory = temporary("link");
    let (main, link) = (directory.join("main.conf"), directory.join("link.conf"));
    fs::write(&main, "include link.conf\n").unwrap();
    std::os::unix::fs::symlink(&main, &link).unwrap();
    let (code, message) = only(&check(&Disk, &main));
    assert_eq!(code, "circular-include");
    assert!(message.contains("main.conf -> ") && message.ends_with("link.conf"), "{message}");
}

#[test]
fn byte_order_mark_and_carriage_returns_are_ignored() {
    let odd = format!("\u{feff}{}", VALID.replace('\n', "\r\n"));
    let settings = |text: &str| pumicehead_config::diff::effective_settings(&config(text)).without_spans();
    assert_eq!(settings(&odd), settings(VALID));
}
