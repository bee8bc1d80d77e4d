//! Compatibility of the state file of disabled backends. The fixture was written by version 0.2.0, before the types were
//! renamed. It must stay readable, so that a disabled backend stays disabled across an upgrade.

use std::fs;
use std::path::Path;

use pumicehead_admin::disabled_backends::{BackendState, DisabledBackends};

fn stored_by_0_2_0() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/servers_out.json");
    fs::read_to_string(path).unwrap()
}

#[test]
fn state_file_format_is_the_same_as_in_version_0_2_0() {
    let mut disabled = DisabledBackends::default();
    disabled.disable("s-1", 1_700_000_000_000).unwrap();
    disabled.disable("s 2/\"odd\"", 1_700_000_000_001).unwrap();
    disabled.disable("s-3", 1_700_000_000_002).unwrap();
    disabled.enable("s-3", 1_700_000_000_500);
    assert_eq!(disabled.to_stored() + "\n", stored_by_0_2_0());
    let read = DisabledBackends::from_stored(stored_by_0_2_0().as_bytes()).unwrap();
    assert_eq!(read, disabled);
    assert_eq!(
        (read.state("s-1", 5), read.state("s-4", 5)),
        (BackendState::Disabled, BackendState::Enabled { started_ms: 5 })
    );
    assert_eq!(read.state("s-3", 5), BackendState::Enabled { started_ms: 1_700_000_000_500 });
}
