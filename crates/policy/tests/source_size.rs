//! Keeps the decision module readable: the length and line width of its source files are limited.

use std::fs;
use std::path::PathBuf;

/// Maximum length of a source file, in lines.
const MAX_LINES: usize = 400;
/// Maximum line width, in characters.
const MAX_WIDTH: usize = 110;

/// Returns all source files below `src`.
fn sources() -> Vec<PathBuf> {
    let mut directories = vec![PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("src")];
    let mut files = Vec::new();
    while let Some(directory) = directories.pop() {
        for entry in fs::read_dir(directory).expect("the source directory can be listed") {
            let path = entry.expect("the directory entry can be read").path();
            if path.is_dir() {
                directories.push(path);
            } else {
                files.push(path);
            }
        }
    }
    files
}

#[test]
fn source_files_are_limited_in_length_and_width() {
    let files = sources();
    assert!(files.len() > 10, "{files:?}");
    for file in files {
        let text = fs::read_to_string(&file).expect("the source file can be read");
        let shown = file.display();
        assert!(text.lines().count() <= MAX_LINES, "{shown}: {} lines", text.lines().count());
        for (number, line) in (1..).zip(text.lines()) {
            assert!(line.chars().count() <= MAX_WIDTH, "{shown}:{number} is too wide");
        }
    }
}

#[test]
fn listed_policy_files_exist() {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file can be read");
    let listed: Vec<_> = text
        .lines()
        .filter_map(|line| line.trim().strip_prefix("\"crates/policy/")?.split_once('"'))
        .map(|(path, _)| root.join("crates/policy").join(path))
        .collect();
    assert!(listed.len() > 10, "{listed:?}");
    for path in listed {
        assert!(path.is_file(), "{} is listed but doesn't exist", path.display());
    }
}
