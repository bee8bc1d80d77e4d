//! Names that operators typed before a rename still work.

use std::process::Command;

/// What a program prints for `--help`, with the name it calls itself by.
fn help_of(program: &str) -> String {
    output_of(program, &["--help"])
}

fn output_of(program: &str, arguments: &[&str]) -> String {
    let done = Command::new(program).args(arguments).output().expect("the program starts");
    assert!(done.status.success());
    String::from_utf8(done.stdout).expect("help is UTF-8")
}

#[test]
fn the_program_answers_to_its_former_name() {
    let today = help_of(env!("CARGO_BIN_EXE_pumicehead-testbed"));
    assert!(today.contains("Usage: pumicehead-testbed"), "{today}");
    assert_eq!(help_of(env!("CARGO_BIN_EXE_pumicehead-rig")), today);
}

#[test]
fn verbs_answer_to_their_former_names() {
    let program = env!("CARGO_BIN_EXE_pumicehead-testbed");
    for (former, today) in [("eyes", "recorder"), ("storm", "chaos"), ("view", "membership")] {
        let help = output_of(program, &[today, "--help"]);
        assert!(help.contains(&format!("Usage: pumicehead-testbed {today}")), "{help}");
        assert_eq!(output_of(program, &[former, "--help"]), help, "{former}");
        let listed =
            help_of(program).lines().any(|line| line.trim_start().starts_with(&format!("{former} ")));
        assert!(!listed, "{former} is hidden");
    }
}
