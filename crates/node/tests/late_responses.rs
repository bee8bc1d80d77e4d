//! Second copies of responses that come some milliseconds after the first, from an endpoint in another zone. An endpoint writes a
//! copy only while it has received nothing of the next request; on a path of 10 ms one way, a request that is sent right after
//! the response has not arrived by then. The endpoints here are the near end of such a path: they write the copy whether or
//! not the next request has come.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use pumicehead_testbed::scripted::*;

/// Time between a response and its second copy.
const COPY_DELAY: Duration = Duration::from_millis(6);
/// A copy whose thread wakes up later than this is not written.
const LATEST_COPY: Duration = Duration::from_millis(8);
/// A copy whose write took until later than this proves nothing, since connections rest for 20 ms.
const VOID_COPY: Duration = Duration::from_millis(15);
/// Rounds that a busy machine may spoil.
const MAX_ROUNDS: usize = 10;
/// Time to serve a request, for which the node would rather wait for a connection than open another one.
const SERVICE_TIME: Duration = Duration::from_millis(2);
/// Clients with a connection each.
const CLIENTS: usize = 4;
/// Requests of each client.
const REQUESTS: usize = 60;

/// Which requests an endpoint rejects as not executed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Rejections {
    None,
    /// Every second request that it receives.
    EverySecond,
}

/// When the endpoint's system sends small writes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SmallWrites {
    /// At once.
    Immediate,
    /// Once everything before is acknowledged (Nagle's algorithm).
    AfterAcknowledgement,
}

/// How an endpoint behaves.
#[derive(Clone, Copy)]
struct Behavior {
    rejections: Rejections,
    small_writes: SmallWrites,
    /// Number of responses of a connection for each that is followed by a copy.
    responses_per_copy: usize,
}

/// Copies every response at once, and rejects nothing.
const COPY_ALWAYS: Behavior =
    Behavior { rejections: Rejections::None, small_writes: SmallWrites::Immediate, responses_per_copy: 1 };

/// An endpoint that writes a second copy of every response.
#[derive(Clone)]
struct CopyingEndpoint {
    address: SocketAddr,
    behavior: Behavior,
    /// Number of requests received.
    received: Arc<AtomicUsize>,
    /// Bodies of the requests executed.
    executed: Arc<Mutex<Vec<String>>>,
    /// Number of copies written in time.
    copies: Arc<AtomicUsize>,
    /// Number of copies written so late that they prove nothing.
    void_copies: Arc<AtomicUsize>,
}

impl CopyingEndpoint {
    fn start(behavior: Behavior) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let endpoint = Self {
            address,
            behavior,
            received: Arc::default(),
            executed: Arc::default(),
            copies: Arc::default(),
            void_copies: Arc::default(),
        };
        let serving = endpoint.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let serving = serving.clone();
                thread::spawn(move || drop(serving.serve(stream.unwrap())));
            }
        });
        endpoint
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(self.behavior.small_writes == SmallWrites::Immediate)?;
        let mut input = BufReader::new(stream.try_clone()?);
        let mut responses = 0_usize;
        while let Some(message) = Message::read(&mut input) {
            let response = self.respond(&String::from_utf8_lossy(&message.body));
            thread::sleep(SERVICE_TIME);
            // The node can't have read the response earlier than this.
            let responded = Instant::now();
            stream.write_all(response.as_bytes())?;
            thread::sleep(COPY_DELAY);
            responses += 1;
            let is_copied = responses.is_multiple_of(self.behavior.responses_per_copy);
            if is_copied && responded.elapsed() < LATEST_COPY {
                stream.write_all(response.as_bytes())?;
                let is_void = responded.elapsed() >= VOID_COPY;
                let count = if is_void { &self.void_copies } else { &self.copies };
                count.fetch_add(1, Ordering::SeqCst);
            }
        }
        Ok(())
    }

    fn respond(&self, body: &str) -> String {
        let number = self.received.fetch_add(1, Ordering::SeqCst);
        if self.behavior.rejections == Rejections::EverySecond && number % 2 == 1 {
            return answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", "rejected");
        }
        self.executed.lock().unwrap().push(body.to_owned());
        answer("200 OK", "", body)
    }
}

/// Sends requests of several clients at once, each client's one after another, and returns what each body was answered with.
fn responses(node: &Node, class: &'static str) -> Vec<(String, Message)> {
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let mut connection = node.connect();
            thread::spawn(move || {
                let mut ask = |number| {
                    let body = format!("request {number} of client {client}");
                    connection.write(&request(class, &body));
                    (body, connection.read().expect("a response"))
                };
                (0..REQUESTS).map(&mut ask).collect::<Vec<_>>()
            })
        })
        .collect();
    clients.into_iter().flat_map(|client| client.join().unwrap()).collect()
}

/// Starts a node whose endpoints are in another zone, in a deduplication group each.
fn start_node(endpoints: &[CopyingEndpoint]) -> Node {
    let hosts: Vec<_> = endpoints
        .iter()
        .zip(["a", "b"])
        .map(|(endpoint, zone)| {
            host(&format!("s-{zone}"), endpoint.address, "active")
                .replace("\"site\":\"a\"", &format!("\"site\":\"{zone}\""))
        })
        .collect();
    let replacements =
        &[("\"effect\":\"token\",\"dedup_scope\":\"all\"", "\"effect\":\"token\",\"dedup_scope\":\"zone\"")];
    Setup { endpoint_list: list(1, true, &hosts), replacements, ..Setup::of(&[]) }.start()
}

/// Endpoints and responses of a round of requests.
struct Round {
    endpoints: Vec<CopyingEndpoint>,
    responses: Vec<(String, Message)>,
}

/// Sends requests of a class to new endpoints, until a busy machine has spoiled no copy.
fn play(endpoint_count: usize, behavior: Behavior, class: &'static str) -> Round {
    for _ in 0..MAX_ROUNDS {
        let endpoints: Vec<_> = (0..endpoint_count).map(|_| CopyingEndpoint::start(behavior)).collect();
        let responses = responses(&start_node(&endpoints), class);
        let count = |copies: fn(&CopyingEndpoint) -> &AtomicUsize| -> usize {
            endpoints.iter().map(|endpoint| copies(endpoint).load(Ordering::SeqCst)).sum()
        };
        if count(|endpoint| &endpoint.void_copies) == 0 && count(|endpoint| &endpoint.copies) > 0 {
            return Round { endpoints, responses };
        }
    }
    panic!("no round of {MAX_ROUNDS} in which all copies were written in time");
}

fn assert_own_responses(responses: &[(String, Message)]) {
    let foreign: Vec<_> = responses
        .iter()
        .filter(|(body, response)| response.status() == 200 && response.body != body.as_bytes())
        .map(|(body, response)| format!("{body}: {}", String::from_utf8_lossy(&response.body)))
        .collect();
    assert!(foreign.is_empty(), "{} responses to other requests: {foreign:?}", foreign.len());
}

/// Guards against a second copy that is taken for the response to the next request on its connection, after which each
/// request on the connection gets the response to the one before.
#[test]
fn late_copy_from_another_zone_is_given_to_no_request() {
    assert_own_responses(&play(1, COPY_ALWAYS, "submit").responses);
}

/// Guards against a copy that the endpoint's system holds back until the response is acknowledged. If the node acknowledges it
/// with the next request, the copy follows at once and is taken for the response to that request.
#[test]
fn late_copy_held_back_by_the_endpoint_is_given_to_no_request() {
    // The node's system acknowledges the first responses of a connection at once.
    let behavior = Behavior {
        rejections: Rejections::None,
        small_writes: SmallWrites::AfterAcknowledgement,
        responses_per_copy: 8,
    };
    assert_own_responses(&play(1, behavior, "submit").responses);
}

/// Guards against the copy of a rejection that is taken for the rejection of the next request, which is then sent to another
/// endpoint although the first one executes it.
#[test]
fn late_copy_of_a_rejection_causes_no_second_execution() {
    assert_executed_once("submit");
}

/// Guards against the copy of a rejection that is taken for the rejection of the next request with an idempotency key, which is
/// then sent to an endpoint outside its deduplication group although the first one executes it.
#[test]
fn late_copy_of_a_rejection_sends_no_keyed_request_outside_its_group() {
    assert_executed_once("put");
}

/// Asserts that each request of a class is executed by at most one endpoint, once.
fn assert_executed_once(class: &'static str) {
    let Round { endpoints, responses } =
        play(2, Behavior { rejections: Rejections::EverySecond, ..COPY_ALWAYS }, class);
    let mut executions = BTreeMap::<String, usize>::new();
    for endpoint in &endpoints {
        for body in endpoint.executed.lock().unwrap().iter() {
            *executions.entry(body.clone()).or_default() += 1;
        }
    }
    let repeated: Vec<_> = executions.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "{} requests executed again: {repeated:?}", repeated.len());
    assert_own_responses(&responses);
}
