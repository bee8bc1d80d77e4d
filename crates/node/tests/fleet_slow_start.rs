//! The guarantee on slow start under the sum of all nodes: within the span that the settings name, no endpoint in slow start
//! gets more than N + 2 sqrt(N) + 2 requests of mean cost, where N is what the settings allow it at that time.
//!
//! Thirty node processes share the endpoints, each with its own rate of traffic, so that an endpoint gets one request a
//! second or less from one node. The capacity of an endpoint is taken as the rate of all clients over the number of
//! endpoints: less than in any deployment, so that the bound is stricter. Clients send one request at a time and never catch
//! up after a delay, so that a busy machine sends less; all requests have the same cost. The delays of a busy machine are
//! measured in this process (`SchedulingDelays`). They alone lengthen the span of the bound: on an idle machine by some
//! milliseconds of a second.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, mpsc};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use pumicehead_testbed::scripted::*;

const NODES: u32 = 30;
const ENDPOINTS: usize = 8;
/// Requests per second to a node, by the node's number modulo 3.
const RATES: [f64; 3] = [2.0, 4.0, 6.0];
/// Requests per second to an endpoint, with all clients at their rate.
const CAPACITY: f64 = (RATES[0] + RATES[1] + RATES[2]) / 3.0 * NODES as f64 / ENDPOINTS as f64;
/// Service time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// The settings of slow start.
const SLOW_START_SETTINGS: &[(&str, &str)] = &[(
    "\"rules\":{",
    "\"rules\":{\"cold_from\":0.05,\"cold_ns\":3000000000,\"fall_multiple\":2.0,\"fall_ns\":1000000000,",
)];
const WARMUP_INITIAL_FRACTION: f64 = 0.05;
const WARMUP_DURATION: Duration = Duration::from_secs(3);
const OVERLOAD_FACTOR: f64 = 2.0;
const OVERLOAD_SPAN: Duration = Duration::from_secs(1);

/// Time in which the nodes measure the load of warm endpoints.
const LEARNING_TIME: Duration = Duration::from_millis(2_500);

/// Scheduling delays of this process: each short sleep, by its end, with the time by which it was too long.
struct SchedulingDelays(Arc<Mutex<Vec<(Instant, Duration)>>>);

impl SchedulingDelays {
    /// Measures them until the value is dropped.
    fn measure() -> Self {
        const STEP: Duration = Duration::from_millis(5);
        let delays = Arc::new(Mutex::new(Vec::new()));
        let measured = Arc::downgrade(&delays);
        thread::spawn(move || {
            while let Some(measured) = measured.upgrade() {
                let due = Instant::now() + STEP;
                thread::sleep(STEP);
                let now = Instant::now();
                measured.lock().unwrap().push((now, now.saturating_duration_since(due)));
            }
        });
        Self(delays)
    }

    /// The longest delay that ended within a span.
    fn max(&self, from: Instant, to: Instant) -> Duration {
        let delays = self.0.lock().unwrap();
        let within = delays.iter().filter(|(at, _)| *at >= from && *at <= to);
        within.map(|(_, delay)| *delay).max().unwrap_or_default()
    }
}

/// The limit of an endpoint in slow start.
#[derive(Clone, Copy, Debug)]
struct SlowStartLimit {
    started: Instant,
    initial_fraction: f64,
    warmup_duration: Duration,
    overload_factor: f64,
    overload_span: Duration,
    /// Requests per second once it is warm.
    capacity: f64,
}

/// More requests within the span than the limit allows.
#[derive(Debug, PartialEq)]
struct Overload {
    /// Time of its first request after the endpoint's start.
    after: Duration,
    requests: usize,
    limit: f64,
}

impl SlowStartLimit {
    fn of(started: Instant) -> Self {
        Self {
            started,
            initial_fraction: WARMUP_INITIAL_FRACTION,
            warmup_duration: WARMUP_DURATION,
            overload_factor: OVERLOAD_FACTOR,
            overload_span: OVERLOAD_SPAN,
            capacity: CAPACITY,
        }
    }

    /// The limit N + 2 sqrt(N) + 2 of a span that starts at `from` and is longer by `delay`, with the capacity that the
    /// endpoint has at `from`.
    fn max_requests(&self, from: Instant, delay: Duration) -> f64 {
        let age = from.saturating_duration_since(self.started).as_secs_f64();
        let fraction =
            self.initial_fraction + (1.0 - self.initial_fraction) * age / self.warmup_duration.as_secs_f64();
        let span = (self.overload_span + delay).as_secs_f64();
        let allowed = self.overload_factor * fraction.min(1.0) * self.capacity * span;
        allowed + 2.0 * allowed.sqrt() + 2.0
    }

    /// Returns the first overload among requests with these arrival times, which are in order.
    fn find_overload(
        &self,
        arrivals: &[Instant],
        delay: impl Fn(Instant, Instant) -> Duration,
    ) -> Option<Overload> {
        let in_slow_start = arrivals.iter().filter(|at| **at < self.started + self.warmup_duration);
        in_slow_start.enumerate().find_map(|(first, &from)| {
            let requests = arrivals[first..].iter().take_while(|at| **at < from + self.overload_span).count();
            let limit = self.max_requests(from, delay(from, from + self.overload_span));
            (requests as f64 > limit).then(|| Overload { after: from - self.started, requests, limit })
        })
    }
}

/// An endpoint that records the arrival time of each request.
struct Endpoint {
    backend: Backend,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl Endpoint {
    fn start() -> Self {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let recorded = arrivals.clone();
        let backend = Backend::start(move |_| {
            recorded.lock().unwrap().push(Instant::now());
            thread::sleep(SERVICE_TIME);
            ok("done")
        });
        Self { backend, arrivals }
    }

    fn arrivals_since(&self, from: Instant) -> Vec<Instant> {
        let mut arrivals: Vec<_> =
            self.arrivals.lock().unwrap().iter().copied().filter(|at| *at >= from).collect();
        arrivals.sort();
        arrivals
    }

    /// Its entry in the endpoint list, with its start as Unix time.
    fn entry(&self, name: usize, born_ms: u128) -> String {
        host(&format!("s-{name}"), self.backend.address, "active")
            .replace("\"born_ms\":0", &format!("\"born_ms\":{born_ms}"))
    }
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// Thirty nodes with their clients and their watches of discovery.
struct Fleet {
    watches: Vec<mpsc::Sender<String>>,
    seq: u32,
    stopped: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
    _nodes: Vec<Node>,
}

impl Fleet {
    fn start(endpoints: &[Endpoint]) -> Self {
        let discovery = Discovery::start();
        let entries: Vec<_> =
            endpoints.iter().enumerate().map(|(name, endpoint)| endpoint.entry(name, 0)).collect();
        let nodes: Vec<_> = (0..NODES)
            .map(|number| {
                let position = Some(FleetPosition { number, nodes: NODES });
                let known = list(1, true, &entries);
                let address = discovery.address;
                let changes = SLOW_START_SETTINGS;
                Setup {
                    endpoint_list: known,
                    discovery: address,
                    position,
                    replacements: changes,
                    ..Setup::of(&[])
                }
                .start()
            })
            .collect();
        let watches = nodes.iter().map(|_| discovery.next().1).collect();
        let stopped = Arc::new(AtomicBool::new(false));
        let clients =
            nodes.iter().zip(0..).map(|(node, number)| send_at_rate(node, number, &stopped)).collect();
        Self { watches, seq: 1, stopped, clients, _nodes: nodes }
    }

    /// Sends all nodes a delta of the endpoint list at the same time.
    fn update_endpoints(&mut self, entries: &[String]) {
        self.seq += 1;
        for watch in &self.watches {
            watch.send(list(self.seq, false, entries)).unwrap();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.clients.drain(..).for_each(|client| drop(client.join()));
    }
}

/// Starts a client of one node, which sends at most the node's rate and does not catch up after a delay.
fn send_at_rate(node: &Node, number: usize, stopped: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (address, stopped) = (node.address, stopped.clone());
    let pause = Duration::from_secs_f64(1.0 / RATES[number % RATES.len()]);
    thread::spawn(move || {
        // Clients don't send at the same time.
        thread::sleep(pause.mul_f64(number as f64 / f64::from(NODES)));
        let mut client = Client::connect(address);
        while !stopped.load(Ordering::SeqCst) {
            client.write(&request("submit", "x"));
            let answer = client.read().expect("a response");
            assert!(matches!(answer.status(), 200 | 503), "{answer:?}");
            thread::sleep(pause);
        }
    })
}

/// One endpoint restarts under its name, then three start together, one of them new; all nodes learn of it at the same time.
/// The same fleet and check find an overload where the nodes are not told that an endpoint has restarted.
#[test]
fn no_endpoint_in_slow_start_gets_more_than_its_limit() {
    let delays = SchedulingDelays::measure();
    let max_delay = |from, to| delays.max(from, to);
    let mut endpoints: Vec<_> = (0..ENDPOINTS).map(|_| Endpoint::start()).collect();
    let mut fleet = Fleet::start(&endpoints);
    thread::sleep(LEARNING_TIME);
    for restarted in [vec![0], vec![1, 2, ENDPOINTS]] {
        for &name in &restarted {
            // A restarted endpoint has a new address: only nodes that have the update send requests there.
            match endpoints.get_mut(name) {
                Some(endpoint) => *endpoint = Endpoint::start(),
                None => endpoints.push(Endpoint::start()),
            }
        }
        let (started, born_ms) = (Instant::now(), now_ms());
        let entries: Vec<_> = restarted.iter().map(|&name| endpoints[name].entry(name, born_ms)).collect();
        fleet.update_endpoints(&entries);
        thread::sleep(WARMUP_DURATION);
        for &name in &restarted {
            let arrivals = endpoints[name].arrivals_since(started);
            let overload = SlowStartLimit::of(started).find_overload(&arrivals, max_delay);
            assert_eq!(overload, None, "endpoint {name} of {restarted:?}, {} requests", arrivals.len());
            // Without any requests the limit would prove nothing.
            let warm = endpoints[ENDPOINTS - 1].arrivals_since(started).len();
            assert!(
                arrivals.len() * 20 > warm,
                "endpoint {name} of {restarted:?}: {} requests, a warm endpoint {warm}",
                arrivals.len()
            );
        }
    }
    // An endpoint of whose start the nodes are not told gets the requests of a warm one.
    let started = Instant::now();
    wait_for("an overload", || {
        let arrivals = endpoints[3].arrivals_since(started);
        SlowStartLimit::of(started).find_overload(&arrivals, max_delay).is_some()
    });
}

/// Tests the check itself: one request more than the limit in any span of the warm-up is an overload; as many requests as
/// the limit, or one more in a span that is longer, are none.
#[test]
fn one_request_over_the_slow_start_limit_is_found() {
    let (started, no_delay) = (Instant::now(), |_, _| Duration::ZERO);
    let limit = SlowStartLimit::of(started);
    for age in [0, 700, 1_500] {
        let from = started + Duration::from_millis(age);
        let most = limit.max_requests(from, Duration::ZERO) as u32;
        let spread = |count: u32, span: Duration| -> Vec<_> {
            (0..count).map(|n| from + span.mul_f64(f64::from(n) / f64::from(count))).collect()
        };
        assert_eq!(limit.find_overload(&spread(most, OVERLOAD_SPAN), no_delay), None, "{age}");
        assert_eq!(limit.find_overload(&spread(most + 1, OVERLOAD_SPAN * 2), no_delay), None, "{age}");
        let overload = limit.find_overload(&spread(most + 1, OVERLOAD_SPAN), no_delay).expect("an overload");
        assert_eq!((overload.after.as_millis(), overload.requests), (u128::from(age), most as usize + 1));
    }
}
