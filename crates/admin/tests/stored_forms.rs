//! The set of disabled backends as its state file holds it. The fixture was written by version 0.2.0, before the types were
//! renamed, and must stay readable: a disabled backend stays disabled across an upgrade.

use std::fs;
use std::path::Path;

use pumicehead_admin::disabled_backends::{BackendState, DisabledBackends};

fn stored() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/servers_out.json");
    fs::read_to_string(path).unwrap()
}

#[test]
fn an_older_state_file_is_read_and_written_as_before() {
    let mut disabled = DisabledBackends::default();
    disabled.disable("s-1", 1_700_000_000_000).unwrap();
    disabled.disable("s 2/\"odd\"", 1_700_000_000_001).unwrap();
    disabled.disable("s-3", 1_700_000_000_002).unwrap();
    disabled.enable("s-3", 1_700_000_000_500);
    assert_eq!(disabled.to_stored() + "\n", stored());
    let read = DisabledBackends::from_stored(stored().as_bytes()).unwrap();
    assert_eq!(read, disabled);
    assert_eq!(
        (read.state("s-1", 5), read.state("s-4", 5)),
        (BackendState::Disabled, BackendState::Enabled { started_ms: 5 })
    );
    assert_eq!(read.state("s-3", 5), BackendState::Enabled { started_ms: 1_700_000_000_500 });
}
