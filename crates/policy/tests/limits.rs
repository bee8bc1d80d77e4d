//! The module stays readable in a newcomer's first days: its size and width are bounded.

#[test]
fn the_module_keeps_its_length_and_width() {
    let text = include_str!("../src/policy.rs");
    let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
    assert!(lines <= 1200, "{lines} lines that are not blank");
    for (number, line) in (1..).zip(text.lines()) {
        assert!(line.chars().count() <= 110, "line {number} is too wide");
    }
    assert!(
        text.lines().next().is_some_and(|top| top.contains("src/interface.rs")),
        "it names its interface"
    );
}
