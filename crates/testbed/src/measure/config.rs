//! The configuration: time of a check, time of a route match, and requests lost by reloads under load.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt::Write;
use std::hint::black_box;
use std::rc::Rc;
use std::time::{Duration, Instant};
use std::{fs, io};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request};
use pumicehead_config::check;
use pumicehead_config::disk::Disk;
use pumicehead_route::{MatchResult, Matcher, Methods, RequestPath, Route, RouteQuery};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};

use super::Plan;
use crate::client::Client;
use crate::program::{StandaloneNode, build_node, temporary};
use crate::report::Report;
use crate::standin::{ServiceModel, StandIn, UNIT};

/// Routes and included files of the large configuration.
const ROUTES: usize = 10_000;
const INCLUDES: usize = 200;
/// Sizes of the compared matchers.
const SIZES: [usize; 3] = [10, 1_000, 10_000];
/// Limit of the time of a match among 10,000 routes, as a multiple of one among 10: the trie has the same depth, but does not
/// fit in the cache.
const MAX_MATCH_RATIO: f64 = 6.0;
/// Limit of the time of a check, which editors run as the user types.
const MAX_CHECK_TIME: Duration = Duration::from_secs(2);
/// Number of different queries.
const QUERIES: usize = 512;
/// Rounds of each measurement; the minimum counts, as noise of the machine only adds time.
const ROUNDS: usize = 5;
/// Pause between two reloads, in which each configuration serves requests.
const PAUSE: Duration = Duration::from_millis(50);
/// Clients that send requests during the reloads.
const CLIENTS: usize = 16;

/// Runs the measurement.
///
/// # Errors
/// Files or programs that can't be used.
pub fn measure(plan: Plan) -> io::Result<Report> {
    let mut report = Report::new("config", &["what", "routes", "figure", "unit", "beside it"]);
    check_time(&mut report)?;
    match_cost(plan, &mut report);
    reloads(plan, &mut report)?;
    Ok(report)
}

fn row(report: &mut Report, what: &str, routes: usize, figure: String, unit: &str, beside: &str) {
    report.row(&[what.into(), routes.to_string(), figure, unit.into(), beside.into()]);
}

// ---- Checks -------------------------------------------------------------------------------------

fn check_time(report: &mut Report) -> io::Result<()> {
    let folder = temporary(".d");
    fs::create_dir_all(folder.join("routes"))?;
    let base = "listener public { address 127.0.0.1:8080 }\npool boards { server a { address 127.0.0.1:9001 } }\n\
                class read { aim 600ms; deadline 2s; repeats safe }\ninclude routes/*.conf\n";
    fs::write(folder.join("main.conf"), base)?;
    for file in 0..INCLUDES {
        let mut text = String::new();
        for n in 0..ROUTES / INCLUDES {
            let number = file * ROUTES / INCLUDES + n;
            let _ = writeln!(
                text,
                "route event-{number} {{\n    host event-{}.example.org\n    path /runs/{number}/*\n    class read\n    \
                 pool boards\n}}",
                number % 500
            );
        }
        fs::write(folder.join(format!("routes/{file:03}.conf")), text)?;
    }
    let mut best = Duration::MAX;
    let mut is_valid = true;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        let checked = check(&Disk, &folder.join("main.conf"));
        best = best.min(start.elapsed());
        is_valid &= checked.config.is_some_and(|config| config.routes.len() == ROUTES);
    }
    fs::remove_dir_all(&folder)?;
    let beside = format!("{INCLUDES} includes");
    row(report, "check", ROUTES, format!("{:.1}", best.as_secs_f64() * 1e3), "ms", &beside);
    report.figure("check_ms", format!("{:.1}", best.as_secs_f64() * 1e3));
    report.claim(is_valid, "the large configuration is valid");
    report.claim(
        best <= MAX_CHECK_TIME,
        format!("a check of the large configuration takes at most {MAX_CHECK_TIME:?}"),
    );
    Ok(())
}

// ---- Matches ------------------------------------------------------------------------------------

/// Routes of many events, some limited to a method, followed by a catch-all route.
fn routes(count: usize) -> Vec<Route> {
    let route = |host: String, path: String, methods| Route {
        host: host.parse().unwrap_or(pumicehead_route::HostPattern::Any),
        path: path.parse().unwrap_or_else(|_| pumicehead_route::PathPattern::any()),
        methods,
        headers: Vec::new(),
    };
    let mut list: Vec<_> = (0..count - 1)
        .map(|n| {
            let methods = if n % 3 == 0 { Methods::Only(vec![Method::GET]) } else { Methods::Any };
            match n % 4 {
                0 => route(format!("event-{}.example.org", n / 40), format!("/runs/{n}/*"), methods),
                1 => route("*.example.org".into(), format!("/boards/{n}/**"), methods),
                2 => route("*".into(), format!("/category/{}/runner/{n}", n % 7), methods),
                _ => route(format!("*.league-{}.org", n / 40), format!("/api/*/{n}"), methods),
            }
        })
        .collect();
    list.push(route("*".into(), "/**".into(), Methods::Any));
    list
}

struct MatchQuery {
    host: String,
    path: String,
}

fn queries(count: usize, rng: &mut Pcg64Mcg) -> Vec<MatchQuery> {
    let drawn = (0..QUERIES).map(|_| {
        let n = rng.next_u64() as usize % count;
        let (host, path) = match n % 4 {
            0 => (format!("event-{}.example.org", n / 40), format!("/runs/{n}/splits")),
            1 => ("a.b.example.org".into(), format!("/boards/{n}/any/percent")),
            2 => ("rankings.example.net".into(), format!("/category/{}/runner/{n}", n % 7)),
            _ => (format!("x.league-{}.org", n / 40), format!("/api/v1/{n}")),
        };
        MatchQuery { host, path }
    });
    drawn.collect()
}

fn match_cost(plan: Plan, report: &mut Report) {
    let mut rng = Pcg64Mcg::seed_from_u64(plan.seed);
    let headers = HeaderMap::new();
    let mut set = |size: usize| {
        let routes = routes(size);
        (Matcher::new(&routes), routes, queries(size, &mut rng))
    };
    let sets = SIZES.map(&mut set);
    let mut fast = [f64::MAX; SIZES.len()];
    let mut plain = [f64::MAX; SIZES.len()];
    let mut same = true;
    // In turn, so that noise of the machine affects all sizes alike.
    for _ in 0..ROUNDS * if plan.long { 5 } else { 1 } {
        for (place, (matcher, routes, asked)) in sets.iter().enumerate() {
            let all = |find: &dyn Fn(&RouteQuery<'_>) -> Option<usize>, times: usize| {
                let start = Instant::now();
                let mut sum = 0;
                for _ in 0..times {
                    for MatchQuery { host, path } in asked {
                        let Ok(path) = RequestPath::parse(path) else { continue };
                        let query = RouteQuery { host, path: &path, method: &Method::GET, headers: &headers };
                        sum += black_box(find(&query)).unwrap_or_default();
                    }
                }
                (start.elapsed().as_secs_f64() * 1e9 / (times * asked.len()) as f64, sum / times)
            };
            let compiled = |query: &RouteQuery<'_>| match matcher.find(query) {
                MatchResult::Route(place) => Some(place),
                MatchResult::MethodNotAllowed(_) | MatchResult::NoMatch => None,
            };
            let naive =
                |query: &RouteQuery<'_>| routes.iter().position(|route| route.mismatch(query).is_none());
            let (cost, found) = all(&compiled, 200);
            let (plain_cost, plain_found) = all(&naive, if SIZES[place] > 1_000 { 1 } else { 20 });
            fast[place] = fast[place].min(cost);
            plain[place] = plain[place].min(plain_cost);
            same &= found == plain_found;
        }
    }
    for (place, size) in SIZES.into_iter().enumerate() {
        let beside = format!("{:.0} ns by linear search", plain[place]);
        row(report, "match", size, format!("{:.0}", fast[place]), "ns", &beside);
    }
    let ratio = fast[SIZES.len() - 1] / fast[0];
    report.figure("match_ns_10", format!("{:.0}", fast[0]));
    report.figure("match_ns_1000", format!("{:.0}", fast[1]));
    report.figure("match_ns_10000", format!("{:.0}", fast[2]));
    report.figure("match_ratio", format!("{ratio:.2}"));
    report.claim(same, "the matcher finds the same routes as a linear search");
    report.claim(
        ratio <= MAX_MATCH_RATIO,
        format!("a match among 10,000 routes takes at most {MAX_MATCH_RATIO} times as long as a match among 10 routes"),
    );
}

// ---- Reloads ------------------------------------------------------------------------------------

/// One of two configurations, which differ in everything that a reload can change except the listener that clients use.
fn text(servers: &[StandIn], other: bool) -> String {
    let address = |n: usize| servers[n].address;
    let second = if other { String::new() } else { format!("server b {{ address {} }}", address(1)) };
    let worth = if other { 8 } else { 10 };
    let moved = if other { "other" } else { "boards" };
    let extra = if other { "listener extra { address 127.0.0.1:0 }" } else { "" };
    format!(
        "listener public {{ address 127.0.0.1:0 }}\n{extra}\n\
         pool boards {{ server a {{ address {} }}\n {second} }}\n\
         pool other {{ server c {{ address {} }}\n server d {{ address {} }} }}\n\
         class read {{ aim 5s; deadline 10s; repeats safe }}\n\
         class submit {{ aim 5s; deadline 10s; worth {worth}; repeats unsafe }}\n\
         route moved {{ path /moved/**; class read; pool {moved} }}\n\
         route read {{ path /boards/**; class read; pool other }}\n\
         route submit {{ path /runs/**; method POST; class submit; pool boards }}\n",
        address(0),
        address(2),
        address(3),
    )
}

#[derive(Default)]
struct Tally {
    requests: Cell<u64>,
    rejected: Cell<u64>,
    lost: RefCell<Vec<String>>,
    /// Units of submits that were served.
    served: RefCell<Vec<String>>,
    stopped: Cell<bool>,
}

fn reloads(plan: Plan, report: &mut Report) -> io::Result<()> {
    build_node()?;
    let local = "127.0.0.1:0".parse().map_err(io::Error::other)?;
    let servers =
        (0..4).map(|_| StandIn::start(local, ServiceModel::default())).collect::<io::Result<Vec<_>>>()?;
    let count = if plan.long { 500 } else { 50 };
    let mut node = StandaloneNode::start(&text(&servers, false), 1);
    let address = node.address();
    let tally = Rc::new(Tally::default());
    let start = Instant::now();
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| spawn_local(run_client(address, client, plan.seed, tally.clone())))
            .collect();
        for reload in 0..count {
            node.replace(&text(&servers, reload % 2 == 0));
            node.signal("HUP");
            let until = Instant::now() + Duration::from_secs(20);
            while node.count_log_lines("reload: done") <= reload && Instant::now() < until {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            tokio::time::sleep(PAUSE).await;
        }
        tally.stopped.set(true);
        for client in clients {
            let _ = client.await;
        }
    });
    let took = start.elapsed();
    let done = node.count_log_lines("reload: done");
    let mut effects: HashMap<String, u32> = HashMap::new();
    for server in &servers {
        let record = server.record.lock().map_err(|_| io::Error::other("a thread of a stand-in panicked"))?;
        for (unit, times) in &record.effects {
            *effects.entry(unit.clone()).or_default() += times;
        }
    }
    let twice = effects.values().filter(|&&times| times > 1).count();
    let without_effect = tally.served.borrow().iter().filter(|unit| !effects.contains_key(*unit)).count();
    let (lost, refused) = (tally.lost.borrow().len(), tally.rejected.get());
    let beside =
        format!("{} requests, {refused} refused, in {:.1} s", tally.requests.get(), took.as_secs_f64());
    row(report, &format!("requests lost over {done} reloads"), 3, lost.to_string(), "requests", &beside);
    report.figure("reloads", done);
    report.figure("requests", tally.requests.get());
    report.figure("lost", lost);
    report.figure("refused", refused);
    report.figure("effects_twice", twice);
    let first = tally.lost.borrow().first().cloned().unwrap_or_else(|| "none".into());
    report.claim(lost == 0, format!("no request is lost; first lost request: {first}"));
    report.claim(
        twice == 0 && without_effect == 0,
        "each served submit took effect once, and no request took effect twice",
    );
    report.claim(done == count, format!("{count} reloads are done: {done}"));
    report.claim(
        tally.requests.get() > count as u64 * CLIENTS as u64,
        "clients send requests during all reloads",
    );
    report.claim(node.is_running(), "the node still runs");
    Ok(())
}

/// Runs a client that sends one request at a time until the reloads are over.
async fn run_client(address: std::net::SocketAddr, number: usize, seed: u64, tally: Rc<Tally>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed.wrapping_add(number as u64));
    let mut client = Client::new(address);
    let mut n = 0u64;
    while !tally.stopped.get() {
        n += 1;
        let unit = format!("{number}-{n}");
        let (method, path) = match rng.next_u64() % 3 {
            0 => (Method::POST, "/runs/any"),
            1 => (Method::GET, "/moved/top"),
            _ => (Method::GET, "/boards/top"),
        };
        let submit = method == Method::POST;
        let request = Request::builder().method(method).uri(path).header("host", "a").header(UNIT, &unit);
        let Ok(request) = request.body(Full::new(Bytes::from_static(b"time=1:02"))) else { return };
        tally.requests.set(tally.requests.get() + 1);
        match client.request(request).await {
            Ok(response) if response.status().is_success() => {
                // A stand-in's response has the unit of its request.
                if !String::from_utf8_lossy(response.body()).contains(&unit) {
                    tally.lost.borrow_mut().push(format!("{unit}: response of another request"));
                }
                if submit {
                    tally.served.borrow_mut().push(unit);
                }
            }
            Ok(response) if response.status() == 503 => tally.rejected.set(tally.rejected.get() + 1),
            Ok(response) => tally.lost.borrow_mut().push(format!("{unit}: {}", response.status())),
            Err(error) => tally.lost.borrow_mut().push(format!("{unit}: {error}")),
        }
    }
}
