//! The standing scenarios, in the program itself.

macro_rules! standing {
    ($($name:literal),* $(,)?) => {
        /// By name, with their texts.
        pub const ALL: &[(&str, &str)] = &[$(($name, include_str!(concat!("../scenarios/", $name, ".toml")))),*];
    };
}

standing![
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Scenario;

    /// Guards that all can be played, under the names that they give themselves.
    #[test]
    fn standing_scenarios_can_be_played() {
        for (name, text) in ALL {
            assert_eq!(Scenario::parse(text).unwrap_or_else(|error| panic!("{name}: {error}")).name, *name);
        }
        assert!(ALL.is_sorted());
    }
}
