//! The former name of the program still works.

use std::process::Command;

/// Returns what a program prints for `--help`, which includes the name of the program.
fn help_of(program: &str) -> String {
    let done = Command::new(program).arg("--help").output().expect("the program starts");
    assert!(done.status.success());
    String::from_utf8(done.stdout).expect("help is UTF-8")
}

#[test]
fn the_former_name_runs_the_same_program() {
    let help = help_of(env!("CARGO_BIN_EXE_pumicehead-chaos"));
    assert!(help.contains("Usage: pumicehead-chaos"), "{help}");
    assert_eq!(help_of(env!("CARGO_BIN_EXE_pumicehead-storm")), help);
}
