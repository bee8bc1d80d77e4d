//! The scenarios that are built into the program.

use pumicehead_chaos::builtin_scenarios::BUILTIN_SCENARIOS;
use pumicehead_chaos::scenario::Scenario;

#[test]
fn builtin_scenarios_are_valid_sorted_and_named_like_their_files() {
    for builtin in BUILTIN_SCENARIOS {
        let scenario =
            Scenario::parse(builtin.text).unwrap_or_else(|error| panic!("{}: {error}", builtin.name));
        assert_eq!(scenario.name, builtin.name);
    }
    assert!(BUILTIN_SCENARIOS.is_sorted_by_key(|builtin| builtin.name));
}
