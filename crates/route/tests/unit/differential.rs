//! The compact matcher compared with the reference matcher, on generated sets of routes and requests.

#[path = "reference.rs"]
mod reference;

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::{
    HeaderRule, HostPattern, MatchResult, Matcher, Methods, PathPattern, RequestPath, Route, RouteQuery,
};

/// Number of routes of the largest sets.
const LARGE_SET: usize = 15_000;
/// Longest name that a configuration may have.
const MAX_NAME_LENGTH: usize = 64;

/// A request that is matched by both matchers.
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

    fn with_query<T>(&self, run: impl FnOnce(&RouteQuery<'_>) -> T) -> T {
        let path = RequestPath::parse(&self.path).unwrap();
        run(&RouteQuery { host: &self.host, path: &path, method: &self.method, headers: &self.headers })
    }
}

fn route(host: &str, path: &str, methods: Methods, headers: Vec<HeaderRule>) -> Route {
    Route { host: host.parse().unwrap(), path: path.parse().unwrap(), methods, headers }
}

fn route_on_path(host: &str, path: &str) -> Route {
    route(host, path, Methods::Any, Vec::new())
}

fn rule(name: &str, value: Option<&str>) -> HeaderRule {
    HeaderRule { name: name.into(), value: value.map(|value| value.as_bytes().into()) }
}

/// The result with sorted methods: their order depends on the order of the search.
fn with_sorted_allowed_methods(found: MatchResult) -> MatchResult {
    let MatchResult::MethodNotAllowed(mut list) = found else { return found };
    list.sort_unstable_by(|one, other| one.as_str().cmp(other.as_str()));
    MatchResult::MethodNotAllowed(list)
}

/// A route with its methods sorted and without duplicates.
fn with_sorted_methods(mut route: Route) -> Route {
    if let Methods::Only(list) = &mut route.methods {
        list.sort_unstable_by(|one, other| one.as_str().cmp(other.as_str()));
        list.dedup();
    }
    route
}

/// Asserts that both matchers give the same results, and that the compact one restores the routes.
fn assert_matches_like_reference(routes: &[Route], requests: &[Request]) {
    let compact = Matcher::new(routes);
    let expected = reference::Matcher::new(routes.to_vec());
    assert_eq!(compact.len(), routes.len());
    for request in requests {
        let (one, other) = request.with_query(|query| (compact.find(query), expected.find(query)));
        assert_eq!(with_sorted_allowed_methods(one), with_sorted_allowed_methods(other), "{request:?}");
    }
    for (index, route) in routes.iter().enumerate() {
        assert_eq!(compact.hidden_by(index), expected.hidden_by(index), "route {index}");
        assert_eq!(with_sorted_methods(compact.route(index)), with_sorted_methods(route.clone()));
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
    // The last one is not a valid field name: the condition is never met.
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

/// A request that matches a route in most cases, so that many searches find one.
fn request_of(route: &Route) -> Request {
    let host = match &route.host {
        HostPattern::Any => "unknown".to_owned(),
        HostPattern::Exact(name) => name.to_string(),
        HostPattern::Subdomains(name) => format!("b.{name}"),
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
    fn generated_routes_match_like_the_reference(
        routes in prop::collection::vec(any_route(), 0..40),
        mut requests in prop::collection::vec(any_request(), 1..20),
    ) {
        requests.extend(routes.iter().map(request_of));
        assert_matches_like_reference(&routes, &requests);
    }

    #[test]
    fn reordered_routes_match_like_the_reference(
        (routes, shuffled) in prop::collection::vec(any_route(), 1..30)
            .prop_flat_map(|routes| (Just(routes.clone()), Just(routes).prop_shuffle())),
    ) {
        let requests: Vec<_> = routes.iter().map(request_of).collect();
        assert_matches_like_reference(&routes, &requests);
        assert_matches_like_reference(&shuffled, &requests);
    }
}

// ---- Large sets ---------------------------------------------------------------------------------

/// A name of the greatest length that ends with a number.
fn long_name(number: usize) -> String {
    format!("{number:x>MAX_NAME_LENGTH$}")
}

fn requests_of(routes: &[Route]) -> Vec<Request> {
    routes.iter().step_by(7).map(request_of).collect()
}

#[test]
fn many_routes_of_one_host_match_like_the_reference() {
    let mut routes: Vec<_> = (0..LARGE_SET - 1)
        .map(|number| match number % 3 {
            0 => route_on_path("one.example.org", &format!("/orders/{number}")),
            1 => route_on_path("one.example.org", &format!("/orders/{number}/*/items")),
            _ => route_on_path("one.example.org", &format!("/{number}/**")),
        })
        .collect();
    routes.push(route_on_path("one.example.org", "/**"));
    let mut requests = requests_of(&routes);
    requests.push(Request::get("one.example.org", "/orders/unknown"));
    requests.push(Request::get("other.example.org", "/orders/0"));
    assert_matches_like_reference(&routes, &requests);
}

#[test]
fn many_routes_of_one_path_match_like_the_reference() {
    // Fewer routes: the search for hidden routes compares each with all earlier ones.
    let conditional = |number: usize| {
        let rules = vec![rule("x-tenant", Some(&number.to_string())), rule("x-version", None)];
        route("one.example.org", "/orders/*", Methods::Only(vec![Method::GET]), rules)
    };
    let mut routes: Vec<_> = (0..LARGE_SET / 15).map(conditional).collect();
    routes.push(route("*", "/orders/*", Methods::Only(vec![Method::POST]), Vec::new()));
    assert_matches_like_reference(&routes, &requests_of(&routes));
}

#[test]
fn routes_with_the_longest_names_match_like_the_reference() {
    let routes: Vec<_> = (0..LARGE_SET / 10)
        .map(|number| {
            let name = long_name(number);
            let host = format!("{}.{}.{name}", long_name(number % 7), long_name(number % 3));
            let rules = vec![rule(&name, Some(&name))];
            route(&host, &format!("/{name}/*/{name}"), Methods::Only(vec![Method::GET]), rules)
        })
        .collect();
    assert_matches_like_reference(&routes, &requests_of(&routes));
}

#[test]
fn many_routes_in_reverse_order_match_like_the_reference() {
    let mut routes: Vec<_> = (0..LARGE_SET / 2)
        .flat_map(|number| {
            let host = format!("host-{}.example.org", number % 50);
            [
                route_on_path(&host, &format!("/a/{number}")),
                route_on_path("*.example.org", &format!("/a/{}", number / 2)),
            ]
        })
        .collect();
    let requests = requests_of(&routes);
    assert_matches_like_reference(&routes, &requests);
    routes.reverse();
    assert_matches_like_reference(&routes, &requests);
}

#[test]
fn the_deepest_path_is_restored() {
    // A request that matches it has two more segments.
    let path: PathPattern = ("/a/*".repeat(crate::MAX_SEGMENTS / 2 - 1) + "/**").parse().unwrap();
    let deep = Route { path, ..route_on_path("*", "/") };
    assert_matches_like_reference(
        std::slice::from_ref(&deep),
        &[request_of(&deep), Request::get("", "/a/b")],
    );
}

// ---- Memory -------------------------------------------------------------------------------------

/// A route may take 300 bytes in all; its pattern may take half of that.
const MAX_BYTES_PER_ROUTE: usize = 150;

/// Routes like those of a large site: 15,000 routes of about 400 services and of many customer domains, most
/// with a path parameter, some with header conditions.
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
                    let wildcard_host = format!("*.customer-{number}.example.org");
                    route(&wildcard_host, "/api/v1/*/reports", safe(), Vec::new())
                }
            }
        })
        .collect()
}

#[test]
fn memory_per_route_stays_below_the_limit() {
    let bytes_per_route = |count: usize| {
        let matcher = Matcher::new(realistic(count));
        assert_eq!(matcher.len(), count);
        matcher.memory_bytes() / count
    };
    let sizes = [1_000, 4_000, 8_000, LARGE_SET].map(bytes_per_route);
    println!("bytes per route with 1,000, 4,000, 8,000 and 15,000 routes: {sizes:?}");
    assert!(sizes.iter().all(|&bytes| bytes <= MAX_BYTES_PER_ROUTE), "{sizes:?}");
    let (min, max) = (sizes.iter().min().unwrap(), sizes.iter().max().unwrap());
    // The hash table of names doubles when it grows, so it takes 8 to 16 bytes per name.
    assert!(max * 2 <= min * 3, "memory must grow linearly with the number of routes: {sizes:?}");
}

#[test]
fn a_name_shared_by_many_routes_is_stored_once() {
    let name = long_name(0);
    let routes: Vec<_> =
        (0..LARGE_SET).map(|number| route_on_path(&name, &format!("/{name}/{number}"))).collect();
    let bytes = Matcher::new(routes).memory_bytes();
    assert!(bytes / LARGE_SET <= MAX_BYTES_PER_ROUTE, "{bytes}");
}
