//! Former names of the program and its verbs still work, so that operators' scripts don't break.

use std::process::Command;

/// Returns the output of a program for `--help`, which has the program's name.
fn help_of(program: &str) -> String {
    output_of(program, &["--help"])
}

fn output_of(program: &str, arguments: &[&str]) -> String {
    let done = Command::new(program).args(arguments).output().expect("program failed to start");
    assert!(done.status.success());
    String::from_utf8(done.stdout).expect("output is not UTF-8")
}

#[test]
fn program_works_under_its_former_name() {
    let today = help_of(env!("CARGO_BIN_EXE_pumicehead-testbed"));
    assert!(today.contains("Usage: pumicehead-testbed"), "{today}");
    assert_eq!(help_of(env!("CARGO_BIN_EXE_pumicehead-rig")), today);
}

#[test]
fn verbs_work_under_their_former_names() {
    let program = env!("CARGO_BIN_EXE_pumicehead-testbed");
    for (former, today) in [("eyes", "recorder"), ("storm", "chaos"), ("view", "membership")] {
        let help = output_of(program, &[today, "--help"]);
        assert!(help.contains(&format!("Usage: pumicehead-testbed {today}")), "{help}");
        assert_eq!(output_of(program, &[former, "--help"]), help, "{former}");
        let listed =
            help_of(program).lines().any(|line| line.trim_start().starts_with(&format!("{former} ")));
        assert!(!listed, "{former} must be hidden");
    }
}
