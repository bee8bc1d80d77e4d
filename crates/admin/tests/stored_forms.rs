//! The book of servers taken out by hand, as its file holds it. The fixture was written by version 0.2.0, before its types
//! were renamed, and must stay readable: a server that is out stays out across a change of the process.

use std::fs;
use std::path::Path;

use pumicehead_admin::book::{Book, Stand};

fn stored() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/servers_out.json");
    fs::read_to_string(path).unwrap()
}

#[test]
fn an_older_book_is_read_and_written_as_before() {
    let mut book = Book::default();
    book.detach("s-1", 1_700_000_000_000).unwrap();
    book.detach("s 2/\"odd\"", 1_700_000_000_001).unwrap();
    book.detach("s-3", 1_700_000_000_002).unwrap();
    book.attach("s-3", 1_700_000_000_500);
    assert_eq!(book.text() + "\n", stored());
    let read = Book::parse(stored().as_bytes()).unwrap();
    assert_eq!(read, book);
    assert_eq!((read.stand("s-1", 5), read.stand("s-4", 5)), (Stand::Out, Stand::In { born_ms: 5 }));
    assert_eq!(read.stand("s-3", 5), Stand::In { born_ms: 1_700_000_000_500 });
}
