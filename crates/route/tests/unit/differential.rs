//! The compact matcher against the one before it, on generated sets of routes and requests.

#[path = "reference.rs"]
mod reference;

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::{Found, HeaderRule, HostPattern, Matcher, Methods, PathPattern, Query, RequestPath, Route};

/// Routes of the largest sets.
const MANY: usize = 15_000;
/// Longest name of a configuration.
const LONGEST_NAME: usize = 64;

/// A request that is asked of both matchers.
#[derive(Clone, Debug)]
struct Request {
    host: String,
    path: String,
    method: Method,
    headers: HeaderMap,
}

impl Request {
    fn get(host: &str, path: &str) -> Self {
        Self { host: host.into(), path: path.into(), method: Method::GET, headers: HeaderMap::new() }
    }

    fn with<T>(&self, ask: impl FnOnce(&Query<'_>) -> T) -> T {
        let path = RequestPath::parse(&self.path).unwrap();
        ask(&Query { host: &self.host, path: &path, method: &self.method, headers: &self.headers })
    }
}

fn route(host: &str, path: &str, methods: Methods, headers: Vec<HeaderRule>) -> Route {
    Route { host: host.parse().unwrap(), path: path.parse().unwrap(), methods, headers }
}

fn plain(host: &str, path: &str) -> Route {
    route(host, path, Methods::Any, Vec::new())
}

fn rule(name: &str, value: Option<&str>) -> HeaderRule {
    HeaderRule { name: name.into(), value: value.map(|value| value.as_bytes().into()) }
}

/// An answer with methods as a set: their order depends on the walk.
fn unordered(found: Found) -> Found {
    let Found::Method(mut list) = found else { return found };
    list.sort_unstable_by(|one, other| one.as_str().cmp(other.as_str()));
    Found::Method(list)
}

/// A route with its methods as a set.
fn with_sorted_methods(mut route: Route) -> Route {
    if let Methods::Only(list) = &mut route.methods {
        list.sort_unstable_by(|one, other| one.as_str().cmp(other.as_str()));
        list.dedup();
    }
    route
}

/// Both matchers give the same answers, and the compact one gives the routes back.
fn assert_same(routes: &[Route], requests: &[Request]) {
    let compact = Matcher::new(routes);
    let former = reference::Matcher::new(routes.to_vec());
    assert_eq!(compact.len(), routes.len());
    for request in requests {
        let (one, other) = request.with(|query| (compact.find(query), former.find(query)));
        assert_eq!(unordered(one), unordered(other), "{request:?}");
    }
    for (place, route) in routes.iter().enumerate() {
        assert_eq!(compact.hiders(place), former.hiders(place), "of route {place}");
        assert_eq!(with_sorted_methods(compact.route(place)), with_sorted_methods(route.clone()));
    }
}

// ---- Generated sets -----------------------------------------------------------------------------

fn any_host() -> impl Strategy<Value = String> {
    let label = prop::sample::select(vec!["a", "b", "a-label-of-a-host", "org"]);
    let name = prop::collection::vec(label, 1..4).prop_map(|labels| labels.join("."));
    prop_oneof![1 => Just("*".to_owned()), 3 => name.clone(), 2 => name.prop_map(|name| format!("*.{name}"))]
}

fn any_path() -> impl Strategy<Value = String> {
    let segment = prop::sample::select(vec!["a", "b", "c", "*", "*", "%2F", "a%20b", "a.b"]);
    let end = prop::sample::select(vec!["", "/", "/**"]);
    (prop::collection::vec(segment, 0..5), end).prop_map(|(segments, end)| {
        let path = segments.iter().map(|segment| format!("/{segment}")).collect::<String>() + end;
        if path.is_empty() { "/".to_owned() } else { path }
    })
}

fn some_methods() -> Vec<Method> {
    let mut list = vec![Method::GET, Method::HEAD, Method::POST, Method::PUT, Method::DELETE];
    list.extend(["PURGE", "REPORT", "get"].map(|name| Method::from_bytes(name.as_bytes()).unwrap()));
    list
}

fn any_methods() -> impl Strategy<Value = Methods> {
    let few = prop::sample::subsequence(some_methods(), 0..4).prop_shuffle();
    prop_oneof![Just(Methods::Any), few.prop_map(Methods::Only)]
}

fn any_rules() -> impl Strategy<Value = Vec<HeaderRule>> {
    // The last one is no name of a field: it never holds.
    let name = prop::sample::select(vec!["x-a", "x-b", "accept", "X-A", "not a name"]);
    let value = prop::sample::select(vec![None, Some("1"), Some("2"), Some("a"), Some("")]);
    prop::collection::vec((name, value).prop_map(|(name, value)| rule(name, value)), 0..4)
}

fn any_route() -> impl Strategy<Value = Route> {
    (any_host(), any_path(), any_methods(), any_rules())
        .prop_map(|(host, path, methods, rules)| route(&host, &path, methods, rules))
}

fn any_headers() -> impl Strategy<Value = HeaderMap> {
    let name = prop::sample::select(vec!["x-a", "x-b", "accept"]);
    let value = prop::sample::select(vec!["1", "2", "3", "a", "", " 1 "]);
    prop::collection::vec((name, value), 0..4).prop_map(|list| {
        let mut headers = HeaderMap::new();
        for (name, value) in list {
            headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
        }
        headers
    })
}

fn any_request() -> impl Strategy<Value = Request> {
    let label = prop::sample::select(vec!["a", "b", "a-label-of-a-host", "org", "unknown"]);
    let host = prop::collection::vec(label, 0..5).prop_map(|labels| labels.join("."));
    let segment = prop::sample::select(vec!["a", "b", "c", "", "%2f", "%61", "a%20b", "a.b", "unknown"]);
    let path = prop::collection::vec(segment, 1..6)
        .prop_map(|segments| segments.iter().map(|segment| format!("/{segment}")).collect::<String>());
    let mut methods = some_methods();
    methods.extend([Method::TRACE, Method::from_bytes(b"UNKNOWN").unwrap()]);
    (host, path, prop::sample::select(methods), any_headers())
        .prop_map(|(host, path, method, headers)| Request { host, path, method, headers })
}

/// Requests that fit the path of a route, or nearly, so that many are found.
fn request_of(route: &Route) -> Request {
    let host = match &route.host {
        HostPattern::Any => "unknown".to_owned(),
        HostPattern::Exact(name) => name.to_string(),
        HostPattern::Under(name) => format!("b.{name}"),
    };
    let path = route.path.to_string().replace("**", "c/d").replace('*', "b");
    let method = match &route.methods {
        Methods::Only(list) => list.first().cloned().unwrap_or(Method::GET),
        Methods::Any => Method::PATCH,
    };
    let mut headers = HeaderMap::new();
    for rule in &route.headers {
        let value = rule.value.as_deref().unwrap_or(b"any");
        if let Ok(name) = HeaderName::from_bytes(rule.name.as_bytes()) {
            headers.append(name, HeaderValue::from_bytes(value).unwrap());
        }
    }
    Request { host, path, method, headers }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(40),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn generated_sets_match_as_before(
        routes in prop::collection::vec(any_route(), 0..40),
        mut requests in prop::collection::vec(any_request(), 1..20),
    ) {
        requests.extend(routes.iter().map(request_of));
        assert_same(&routes, &requests);
    }

    /// The order of routes changes and nothing else.
    #[test]
    fn an_order_that_changes_matches_as_before(
        (routes, shuffled) in prop::collection::vec(any_route(), 1..30)
            .prop_flat_map(|routes| (Just(routes.clone()), Just(routes).prop_shuffle())),
    ) {
        let requests: Vec<_> = routes.iter().map(request_of).collect();
        assert_same(&routes, &requests);
        assert_same(&shuffled, &requests);
    }
}

// ---- Large sets ---------------------------------------------------------------------------------

/// A name of the longest length that ends in a number.
fn long_name(number: usize) -> String {
    format!("{number:x>LONGEST_NAME$}")
}

fn requests_of(routes: &[Route]) -> Vec<Request> {
    routes.iter().step_by(7).map(request_of).collect()
}

#[test]
fn many_routes_of_one_host_match_as_before() {
    let mut routes: Vec<_> = (0..MANY - 1)
        .map(|number| match number % 3 {
            0 => plain("one.example.org", &format!("/orders/{number}")),
            1 => plain("one.example.org", &format!("/orders/{number}/*/items")),
            _ => plain("one.example.org", &format!("/{number}/**")),
        })
        .collect();
    routes.push(plain("one.example.org", "/**"));
    let mut requests = requests_of(&routes);
    requests.push(Request::get("one.example.org", "/orders/unknown"));
    requests.push(Request::get("other.example.org", "/orders/0"));
    assert_same(&routes, &requests);
}

#[test]
fn many_routes_of_one_path_match_as_before() {
    // Fewer: each is compared with all before it when hidden ones are looked for.
    let conditional = |number: usize| {
        let rules = vec![rule("x-tenant", Some(&number.to_string())), rule("x-version", None)];
        route("one.example.org", "/orders/*", Methods::Only(vec![Method::GET]), rules)
    };
    let mut routes: Vec<_> = (0..MANY / 15).map(conditional).collect();
    routes.push(route("*", "/orders/*", Methods::Only(vec![Method::POST]), Vec::new()));
    assert_same(&routes, &requests_of(&routes));
}

#[test]
fn the_longest_names_match_as_before() {
    let routes: Vec<_> = (0..MANY / 10)
        .map(|number| {
            let name = long_name(number);
            let host = format!("{}.{}.{name}", long_name(number % 7), long_name(number % 3));
            let rules = vec![rule(&name, Some(&name))];
            route(&host, &format!("/{name}/*/{name}"), Methods::Only(vec![Method::GET]), rules)
        })
        .collect();
    assert_same(&routes, &requests_of(&routes));
}

#[test]
fn a_reversed_order_of_many_routes_matches_as_before() {
    let mut routes: Vec<_> = (0..MANY / 2)
        .flat_map(|number| {
            let host = format!("host-{}.example.org", number % 50);
            [plain(&host, &format!("/a/{number}")), plain("*.example.org", &format!("/a/{}", number / 2))]
        })
        .collect();
    let requests = requests_of(&routes);
    assert_same(&routes, &requests);
    routes.reverse();
    assert_same(&routes, &requests);
}

#[test]
fn the_deepest_path_is_given_back() {
    // A request that fits it has two segments more.
    let path: PathPattern = ("/a/*".repeat(crate::MOST_SEGMENTS / 2 - 1) + "/**").parse().unwrap();
    let deep = Route { path, ..plain("*", "/") };
    assert_same(std::slice::from_ref(&deep), &[request_of(&deep), Request::get("", "/a/b")]);
}

// ---- Memory -------------------------------------------------------------------------------------

/// The aim for all of a route is 300 bytes; its patterns may take half of it.
const MOST_BYTES_A_ROUTE: usize = 150;

/// Routes as a large site has them: 15,000 of some 400 hosts, most with a parameter, some with conditions.
fn realistic(count: usize) -> Vec<Route> {
    let safe = || Methods::Only(vec![Method::GET, Method::HEAD, Method::OPTIONS]);
    (0..count)
        .map(|number| {
            let host = format!("service-{}.region-{}.example.org", number / 38, number % 3);
            match number % 5 {
                0 => route(&host, &format!("/api/v1/resource-{number}/*"), safe(), Vec::new()),
                1 => route(&host, &format!("/api/v1/resource-{number}/*/items/**"), safe(), Vec::new()),
                2 => {
                    let post = Methods::Only(vec![Method::POST]);
                    route(&host, &format!("/api/v2/resource-{number}"), post, Vec::new())
                }
                3 => {
                    let rules = vec![rule("x-api-version", Some("2"))];
                    route(&host, &format!("/boards/{number}/**"), Methods::Any, rules)
                }
                _ => {
                    let wild = format!("*.customer-{number}.example.org");
                    route(&wild, "/api/v1/*/reports", safe(), Vec::new())
                }
            }
        })
        .collect()
}

#[test]
fn a_route_takes_at_most_so_many_bytes() {
    let bytes_a_route = |count: usize| {
        let matcher = Matcher::new(realistic(count));
        assert_eq!(matcher.len(), count);
        matcher.memory_bytes() / count
    };
    let sizes = [1_000, 4_000, 8_000, MANY].map(bytes_a_route);
    println!("bytes a route with 1,000, 4,000, 8,000 and 15,000 routes: {sizes:?}");
    assert!(sizes.iter().all(|&bytes| bytes <= MOST_BYTES_A_ROUTE), "{sizes:?}");
    let (least, most) = (sizes.iter().min().unwrap(), sizes.iter().max().unwrap());
    // The hash table of names doubles in steps: it takes 8 to 16 bytes a name.
    assert!(most * 2 <= least * 3, "linear in the number of routes: {sizes:?}");
}

#[test]
fn the_memory_of_the_largest_names_is_counted_once() {
    let name = long_name(0);
    let routes: Vec<_> = (0..MANY).map(|number| plain(&name, &format!("/{name}/{number}"))).collect();
    let bytes = Matcher::new(routes).memory_bytes();
    assert!(bytes / MANY <= MOST_BYTES_A_ROUTE, "{bytes}");
}
