//! Names that operators typed before a rename still work.

use std::process::Command;

/// What a program prints for `--help`, with the name it calls itself by.
fn help_of(program: &str) -> String {
    let done = Command::new(program).arg("--help").output().expect("the program starts");
    assert!(done.status.success());
    String::from_utf8(done.stdout).expect("help is UTF-8")
}

#[test]
fn the_program_answers_to_its_former_name() {
    let today = help_of(env!("CARGO_BIN_EXE_pumicehead-chaos"));
    assert!(today.contains("Usage: pumicehead-chaos"), "{today}");
    assert_eq!(help_of(env!("CARGO_BIN_EXE_pumicehead-storm")), today);
}
