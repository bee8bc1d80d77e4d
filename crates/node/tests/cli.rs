//! The command line: what each command prints, and its exit codes.

use std::fs;
use std::path::PathBuf;
use std::process::Command;

use pumicehead_testbed::program::{built, temporary};

/// A valid configuration.
const VALID: &str = "listener public {\n    address 127.0.0.1:8080\n}\npool boards {\n    server a {\n        address 127.0.0.1:9001\n    }\n}\n\
    class read {\n    aim 600ms\n    deadline 2s\n    repeats safe\n}\nroute read {\n    path /boards/**\n    class read\n    pool boards\n}\n";

/// A temporary file, removed on drop.
struct File(PathBuf);

impl File {
    fn with(text: &str) -> Self {
        let path = temporary(".conf");
        fs::write(&path, text).unwrap();
        Self(path)
    }

    fn name(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}

/// Runs the program. Returns its exit code, standard output and standard error.
fn run(arguments: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(built("pumicehead").unwrap());
    let done = command.args(arguments).env_remove("EDGE_CONFIG").output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (done.status.code().unwrap(), text(done.stdout), text(done.stderr))
}

#[test]
fn check_distinguishes_errors_and_warnings() {
    let valid = File::with(VALID);
    assert_eq!(run(&["check", valid.name()]), (0, format!("{}: ok\n", valid.name()), String::new()));
    let invalid = File::with(&VALID.replace("600ms", "600"));
    let (code, out, err) = run(&["check", valid.name(), invalid.name()]);
    assert_eq!(code, 1);
    assert!(out.contains(&format!("{}: 1 errors", invalid.name())), "{out}");
    for part in
        ["error[unit-missing]: the time `600` has no unit", ":10:9", "    aim 600", "write `600ms` or `600s`"]
    {
        assert!(err.contains(part), "{part} in {err}");
    }
    let with_warning = File::with(&format!("{VALID}const spare 1s\n"));
    assert_eq!(run(&["check", with_warning.name()]).0, 0);
    assert_eq!(run(&["check", "--deny-warnings", with_warning.name()]).0, 1);
    assert_eq!(run(&["check", "/nowhere/at/all.conf"]).0, 1);
}

#[test]
fn json_diagnostics_are_one_object_per_line() {
    let invalid = File::with(&VALID.replace("600ms", "600").replace("pool boards\n}", "pool bords\n}"));
    let (code, out, err) = run(&["check", "--format", "json", invalid.name()]);
    assert_eq!((code, err.as_str()), (1, ""));
    let lines: Vec<serde_json::Value> = out.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 2);
    assert_eq!(
        (&lines[0]["code"], &lines[0]["line"], &lines[0]["column"]),
        (&"unit-missing".into(), &10.into(), &9.into())
    );
    assert_eq!(
        (&lines[1]["help"], &lines[1]["severity"]),
        (&"did you mean `boards`?".into(), &"error".into())
    );
    assert_eq!(lines[1]["file"], invalid.name());
}

#[test]
fn fmt_rewrites_valid_files_and_leaves_invalid_ones() {
    let unformatted = VALID.replace("    ", "\t").replace(" {", "   {  # note");
    let file = File::with(&unformatted);
    let (code, out, _) = run(&["fmt", "--check", file.name()]);
    assert_eq!((code, out), (3, format!("{}\n", file.name())));
    assert_eq!(fs::read_to_string(&file.0).unwrap(), unformatted);
    assert_eq!(run(&["fmt", file.name()]).0, 0);
    assert_eq!(fs::read_to_string(&file.0).unwrap(), VALID.replace(" {", " {  # note"));
    assert_eq!(run(&["fmt", "--check", file.name()]).0, 0);
    let invalid = File::with("pool boards {\n");
    assert_eq!(run(&["fmt", invalid.name()]).0, 1);
    assert_eq!(fs::read_to_string(&invalid.0).unwrap(), "pool boards {\n");
    assert_eq!(run(&["fmt", "/nowhere/at/all.conf"]).0, 2);
}

#[test]
fn diff_and_explain_print_their_results() {
    let (old, new) = (File::with(VALID), File::with(&VALID.replace("aim 600ms", "aim 0.7s  # slower")));
    assert_eq!(run(&["diff", old.name(), old.name()]), (0, String::new(), String::new()));
    let expected = format!("class read: aim 600ms -> 700ms ({}:10); affects route read\n", new.name());
    assert_eq!(run(&["diff", old.name(), new.name()]), (3, expected, String::new()));
    let (code, out, _) = run(&["explain", old.name(), "GET", "http://a.org/boards/any"]);
    assert_eq!(code, 0);
    assert!(out.starts_with(&format!("route read ({}:14): the first that fits", old.name())), "{out}");
    assert_eq!(run(&["explain", old.name(), "GET", "/a/../b"]).0, 2);
    let invalid = File::with("{");
    assert_eq!(run(&["diff", old.name(), invalid.name()]).0, 1);
    assert_eq!(run(&["explain", invalid.name(), "GET", "/"]).0, 1);
}

#[test]
fn run_fails_on_an_invalid_configuration_or_a_taken_address() {
    let invalid = File::with(&VALID.replace("2s", "2"));
    let (code, _, err) = run(&["run", invalid.name()]);
    assert!(code == 1 && err.contains("has no unit"), "{err}");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let file = File::with(&VALID.replace("127.0.0.1:8080", &address));
    let (code, _, err) = run(&["run", file.name()]);
    assert!(code == 2 && err.contains(&format!("listen on {address}")), "{err}");
    assert_eq!(run(&[]).0, 2);
}
