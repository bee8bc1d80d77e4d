//! Requests that lie unread behind the one that is being served when their client closes the connection.

use std::net::Shutdown;
use std::thread;
use std::time::Duration;

use pumicehead_testbed::scripted::*;

/// Requests of the client: more bytes than the kernel receives before the node reads on, so that the close lies behind them.
const REQUESTS: usize = 2_000;
/// Time that the endpoint takes for each request.
const SERVICE_TIME: Duration = Duration::from_millis(500);
/// Time after a close from which on none of the client's requests may be sent.
const CLOSE_SLACK: Duration = Duration::from_millis(100);

/// Guards against requests that are sent after their client has closed its side of the connection.
#[test]
fn unread_requests_are_not_sent_after_the_close() {
    let backend = Backend::start(|_| {
        thread::sleep(SERVICE_TIME);
        ok("done")
    });
    let node = Setup::of(&[&backend]).start();
    wait_for("the endpoint", || node.ask(&request("submit", "x")).status() == 200);
    let mut client = node.connect();
    let texts: String = (0..REQUESTS).map(|_| request("submit", "x")).collect();
    client.write(&texts);
    client.stream().shutdown(Shutdown::Write).unwrap();
    thread::sleep(CLOSE_SLACK);
    let sent_before = backend.count();
    thread::sleep(SERVICE_TIME * 4);
    assert_eq!(backend.count(), sent_before, "requests sent after the close");
}
