//! Names of subjects and symptoms in the JSON of `pumicehead why`. They must not change when a variant is
//! renamed.

use super::{Subject, Symptom};
use crate::event::PoolId;

impl Subject {
    /// Returns its name in the JSON of `pumicehead why`.
    #[must_use]
    pub fn exported_name(self) -> String {
        match self {
            Self::Endpoint(pool, endpoint) => format!("Server({}, {endpoint})", exported_pool(pool)),
            Self::Class(pool, class) => format!("Class({}, {class})", exported_pool(pool)),
            Self::Pool(pool) => format!("Pool({})", exported_pool(pool)),
            Self::Node => "Node".to_owned(),
            Self::Clients(pool) => format!("Clients({})", exported_pool(pool)),
        }
    }
}

fn exported_pool(pool: PoolId) -> String {
    format!("PoolId({})", pool.0)
}

impl Symptom {
    /// Returns its name in the JSON of `pumicehead why`.
    #[must_use]
    pub fn exported_name(self) -> &'static str {
        match self {
            Self::Unresponsive => "Silent",
            Self::ConnectionResets => "Resets",
            Self::ErrorResponses => "Errors",
            Self::RejectsRequests => "TurnsAway",
            Self::Unreachable => "Unreachable",
            Self::SlowResponses => "Slow",
            Self::SlowConnects => "SlowToConnect",
            Self::ObjectiveTooShort => "TooTight",
            Self::DescriptorsExhausted => "Descriptors",
            Self::RequestLimitReached => "Held",
            Self::Overloaded => "Crowded",
            Self::KeyOrderWaits => "Turns",
            Self::ClientDisconnects => "Leave",
            Self::BodyFailures => "Bodies",
            Self::Other => "Other",
        }
    }
}
