//! State that a process takes over from the one before: the handover record and the disabled backends.

use std::env;
use std::path::PathBuf;
use std::rc::Rc;

use pumicehead_policy::WarmState;
use tracing::warn;

use super::state_file::StateFile;
use super::warm_state_handover::HandoverFile;
use crate::net::admin_overrides::AdminOverrides;
use crate::net::clock::unix_ns;
use crate::net::pool_loop::WARM_STATE_MAX_AGE;

/// Folder for state files and recordings, from the environment.
pub fn state_folder() -> Option<PathBuf> {
    env::var_os("TMPDIR").map(PathBuf::from)
}

/// State of an earlier process, and the files it came from.
pub struct RestoredState {
    /// Backends disabled by operators, and names that were ever listed.
    pub overrides: Rc<AdminOverrides>,
    /// What the decision module had learned.
    pub warm_state: Option<WarmState>,
    /// The node is in lame-duck mode.
    pub lame_duck: bool,
    /// Where the next process finds the handover record, if one may start beside this one.
    pub handover_file: Option<HandoverFile>,
    /// State file of the disabled backends.
    pub state_file: Option<StateFile>,
}

impl RestoredState {
    /// Reads the files of a node. The handover is read and written only where processes overlap, and the state file
    /// is read only where admin commands can change it.
    pub fn read(node: &str, overlaps: bool, has_admin: bool) -> Self {
        let folder = state_folder();
        let overrides = Rc::new(AdminOverrides::default());
        let handover_file =
            folder.as_ref().filter(|_| overlaps).map(|folder| HandoverFile::new(folder, node));
        let record = handover_file.as_ref().and_then(HandoverFile::read);
        // An old record's mode is not taken over: the node has been without a process since, and operators have moved on.
        let lame_duck = record
            .as_ref()
            .is_some_and(|record| record.lame_duck && record.warm_state.age(unix_ns()) <= WARM_STATE_MAX_AGE);
        for name in record.iter().flat_map(|record| &record.known_backends) {
            overrides.known.borrow_mut().add(name);
        }
        let mut state_file = folder.map(|folder| StateFile::new(&folder, node));
        if let Some(state_file) = state_file.as_mut().filter(|_| has_admin) {
            match state_file.read_if_changed() {
                Ok(disabled) => *overrides.disabled.borrow_mut() = disabled.unwrap_or_default(),
                Err(error) => warn!(target: "admin", %error, "disabled backends not read"),
            }
        }
        let warm_state = record.map(|record| record.warm_state);
        Self { overrides, warm_state, lame_duck, handover_file, state_file }
    }
}
