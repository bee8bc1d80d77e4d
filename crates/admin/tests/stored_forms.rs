//! The book of servers taken out by hand, as its file holds it. The fixture was written by version 0.2.0, before its types
//! were renamed, and must stay readable: a server that is out stays out across a change of the process.

use std::fs;
use std::path::Path;

use pumicehead_admin::disabled_backends::{BackendState, DisabledBackends};

fn stored() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/servers_out.json");
    fs::read_to_string(path).unwrap()
}

#[test]
fn an_older_book_is_read_and_written_as_before() {
    let mut book = DisabledBackends::default();
    book.disable("s-1", 1_700_000_000_000).unwrap();
    book.disable("s 2/\"odd\"", 1_700_000_000_001).unwrap();
    book.disable("s-3", 1_700_000_000_002).unwrap();
    book.enable("s-3", 1_700_000_000_500);
    assert_eq!(book.to_stored() + "\n", stored());
    let read = DisabledBackends::from_stored(stored().as_bytes()).unwrap();
    assert_eq!(read, book);
    assert_eq!(
        (read.state("s-1", 5), read.state("s-4", 5)),
        (BackendState::Disabled, BackendState::Enabled { started_ms: 5 })
    );
    assert_eq!(read.state("s-3", 5), BackendState::Enabled { started_ms: 1_700_000_000_500 });
}
