//! What a node takes for its configuration, and that it serves by all of a large one.

use std::fmt::Write;

use pumicehead_testbed::program::{Standalone, memory, wait_for};
use pumicehead_testbed::scripted::{Backend, Client, ok};

/// Routes of the large configuration.
const MANY: usize = 15_000;
/// Routes of the small one.
const FEW: usize = 1_000;
/// Most bytes of resident memory for a route more. Counted, it takes at most 300; the allocator rounds up, and frees
/// whole pages only.
const MOST_RESIDENT_A_ROUTE: u64 = 600;

/// A configuration of routes of one host, the last ones for what no other takes.
fn text(routes: usize, backend: &Backend) -> String {
    let mut text = format!(
        "listener public {{ address 127.0.0.1:0 }}\n\
         pool boards {{ server a {{ address {} }} }}\n\
         class read {{ aim 5s; deadline 20s; repeats safe }}\n",
        backend.address
    );
    for number in 0..routes {
        let _ = writeln!(
            text,
            "route resource-{number} {{\n    host one.example.org\n    path /api/v1/resource-{number}/*\n    \
             class read\n    pool boards\n    key last-segment\n}}"
        );
    }
    text
}

fn status(client: &mut Client, path: &str) -> u16 {
    client.write(&format!("GET {path} HTTP/1.1\r\nHost: one.example.org\r\n\r\n"));
    client.read().expect("an answer").status()
}

/// Guards that a running node keeps its routes in a compact form and nothing of their text, places and trees: with
/// these, a route took some 6,000 bytes.
#[test]
fn an_added_route_takes_little_memory_and_is_served() {
    let backend = Backend::start(|_| ok("rank 1"));
    let small = Standalone::start(&text(FEW, &backend), 1);
    let large = Standalone::start(&text(MANY, &backend), 1);
    let mut client = Client::connect(large.address());
    for number in [0, 1, MANY / 2, MANY - 1] {
        assert_eq!(status(&mut client, &format!("/api/v1/resource-{number}/7")), 200);
    }
    assert_eq!(status(&mut client, &format!("/api/v1/resource-{MANY}/7")), 404);
    assert!(memory(small.pid()) > 0, "the system tells memory");
    let most = memory(small.pid()) + MOST_RESIDENT_A_ROUTE * (MANY - FEW) as u64;
    // Texts and trees are freed while the node serves already.
    wait_for("memory that goes back", || memory(large.pid()) <= most);
}
