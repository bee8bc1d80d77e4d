//! The decisions of one node: which server gets a request, whether it is tried again, what is refused.
//!
//! Free of I/O and of clocks: a host feeds [`Event`]s with their times to [`Balancer::handle`] and carries out
//! the [`Action`]s it gets back, in order. `interface` has both, `policy` every decision, `state` the records
//! that it keeps, `tenants` what it keeps of tenants, and `boot` the settings as a deployment writes them.

pub mod advice;
pub mod boot;
pub mod interface;
pub mod meter;
pub mod note;
pub mod peers;
pub mod policy;
mod state;
pub mod tenant_ids;
pub mod tenant_shares;
mod tenants;
mod timer;
pub mod turns;

pub use interface::{Action, Event, Settings};
pub use note::Note;
pub use policy::Balancer;
pub use tenants::{KEPT_STATES, MOST_STATES};
