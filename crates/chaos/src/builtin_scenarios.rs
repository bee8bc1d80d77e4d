//! The scenarios that are built into the program.

/// A scenario that is built into the program.
#[derive(Clone, Copy, Debug)]
pub struct BuiltinScenario {
    /// Name on the command line; equal to the `name` in the text.
    pub name: &'static str,
    /// The scenario in TOML.
    pub text: &'static str,
}

macro_rules! builtin_scenarios {
    ($($name:literal),* $(,)?) => {
        /// All built-in scenarios, in the order of their names.
        pub const BUILTIN_SCENARIOS: &[BuiltinScenario] = &[$(BuiltinScenario {
            name: $name,
            text: include_str!(concat!("../scenarios/", $name, ".toml")),
        }),*];
    };
}

builtin_scenarios![
    "asymmetric-cut",
    "cold-while-stalled",
    "crash-under-load",
    "cut-from-servers",
    "discovery-cut-for-half",
    "drain-and-crash-loop",
    "fifty",
    "full-disk",
    "half-silent-for-half",
    "loss-and-delay",
    "lying-servers",
    "members-asymmetric",
    "members-crash",
    "members-fifty",
    "members-join",
    "members-partition",
    "members-stall",
    "one-cannot-reach-one",
    "restart-all",
    "roll",
    "slow-servers",
    "spoilt-files",
    "stall-one",
    "stall-third",
    "stalled-link",
];
