//! State that a process takes over from the previous one: the handover record and the disabled backends.

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

/// Directory for state files and recordings: `TMPDIR`, if set.
pub fn state_directory() -> Option<PathBuf> {
    env::var_os("TMPDIR").map(PathBuf::from)
}

/// State of an earlier process, and the files that hold it.
pub struct RestoredState {
    /// Backends disabled by operators, and the names of all backends that have ever been listed.
    pub overrides: Rc<AdminOverrides>,
    /// What the decision module of the earlier process had learned.
    pub warm_state: Option<WarmState>,
    /// Whether the node is in lame-duck mode.
    pub lame_duck: bool,
    /// File with the handover record for the next process, if processes may overlap.
    pub handover_file: Option<HandoverFile>,
    /// State file of the disabled backends.
    pub state_file: Option<StateFile>,
}

impl RestoredState {
    /// Reads the files of a node. The handover file is used only if processes of the node may overlap, and the state file is
    /// read only if admin commands can change it.
    pub fn read(node: &str, processes_overlap: bool, has_admin: bool) -> Self {
        let directory = state_directory();
        let overrides = Rc::new(AdminOverrides::default());
        let handover_file = directory
            .as_ref()
            .filter(|_| processes_overlap)
            .map(|directory| HandoverFile::new(directory, node));
        let record = handover_file.as_ref().and_then(HandoverFile::read);
        // Lame-duck mode is not restored from an old record: the node has had no process since then, so the operator's
        // command is out of date.
        let lame_duck = record
            .as_ref()
            .is_some_and(|record| record.lame_duck && record.warm_state.age(unix_ns()) <= WARM_STATE_MAX_AGE);
        for name in record.iter().flat_map(|record| &record.known_backends) {
            overrides.known.borrow_mut().add(name);
        }
        let mut state_file = directory.map(|directory| StateFile::new(&directory, node));
        if let Some(state_file) = state_file.as_mut().filter(|_| has_admin) {
            match state_file.read_if_changed() {
                Ok(disabled) => *overrides.disabled.borrow_mut() = disabled.unwrap_or_default(),
                Err(error) => warn!(target: "admin", %error, "state file of disabled backends not read"),
            }
        }
        let warm_state = record.map(|record| record.warm_state);
        Self { overrides, warm_state, lame_duck, handover_file, state_file }
    }
}
