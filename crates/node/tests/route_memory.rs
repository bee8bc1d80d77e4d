//! Memory that a node needs for the routes of its configuration.

use std::fmt::Write;

use pumicehead_testbed::program::{StandaloneNode, memory, wait_for};
use pumicehead_testbed::scripted::{Backend, Client, ok};

/// Routes of the large configuration.
const LARGE_ROUTES: usize = 15_000;
/// Routes of the small configuration.
const SMALL_ROUTES: usize = 1_000;
/// Limit of the resident memory for each additional route, in bytes. By the sizes of its data a route takes 300 at most; the
/// allocator rounds up, and returns whole pages only.
const MAX_RESIDENT_PER_ROUTE: u64 = 600;

/// A configuration with this many routes of one host.
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
    client.read().expect("a response").status()
}

/// Guards that a running node keeps its routes in a compact form, without their text, source positions and syntax trees: with
/// these, a route took some 6,000 bytes. Requests are served by all routes.
#[test]
fn an_added_route_takes_little_memory_and_is_served() {
    let backend = Backend::start(|_| ok("rank 1"));
    let small = StandaloneNode::start(&text(SMALL_ROUTES, &backend), 1);
    let large = StandaloneNode::start(&text(LARGE_ROUTES, &backend), 1);
    let mut client = Client::connect(large.address());
    for number in [0, 1, LARGE_ROUTES / 2, LARGE_ROUTES - 1] {
        assert_eq!(status(&mut client, &format!("/api/v1/resource-{number}/7")), 200);
    }
    assert_eq!(status(&mut client, &format!("/api/v1/resource-{LARGE_ROUTES}/7")), 404);
    assert!(memory(small.pid()) > 0, "the system does not report resident memory");
    let limit = memory(small.pid()) + MAX_RESIDENT_PER_ROUTE * (LARGE_ROUTES - SMALL_ROUTES) as u64;
    // Texts and syntax trees are freed while the node already serves requests.
    wait_for("resident memory to fall", || memory(large.pid()) <= limit);
}
