//! The matcher compared with checking every route in turn, and the parsing of hosts and paths.

use http::{HeaderMap, HeaderValue, Method};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use pumicehead_route::*;

fn route(host: &str, path: &str, methods: &[Method], headers: &[(&str, Option<&str>)]) -> Route {
    Route {
        host: host.parse().unwrap(),
        path: path.parse().unwrap(),
        methods: if methods.is_empty() { Methods::Any } else { Methods::Only(methods.to_vec()) },
        headers: headers
            .iter()
            .map(|(name, value)| HeaderRule {
                name: (*name).into(),
                value: value.map(|v| v.as_bytes().into()),
            })
            .collect(),
    }
}

fn find(matcher: &Matcher, host: &str, path: &str, method: &Method, headers: &HeaderMap) -> MatchResult {
    let path = RequestPath::parse(path).unwrap();
    matcher.find(&RouteQuery { host, path: &path, method, headers })
}

/// The expected result of a match, found by checking every route.
fn check_every_route(routes: &[Route], query: &RouteQuery<'_>) -> MatchResult {
    let mismatches: Vec<_> = routes.iter().map(|route| route.mismatch(query)).collect();
    if let Some(index) = mismatches.iter().position(Option::is_none) {
        return MatchResult::Route(index);
    }
    let mut allowed = Vec::new();
    for (route, mismatch) in routes.iter().zip(mismatches) {
        if let (Some(Mismatch::Method), Methods::Only(list)) = (mismatch, &route.methods) {
            allowed.extend(list.iter().cloned());
        }
    }
    if allowed.is_empty() { MatchResult::NoMatch } else { MatchResult::MethodNotAllowed(allowed) }
}

fn sorted(found: MatchResult) -> MatchResult {
    match found {
        MatchResult::MethodNotAllowed(mut list) => {
            list.sort_by(|one, other| one.as_str().cmp(other.as_str()));
            list.dedup();
            MatchResult::MethodNotAllowed(list)
        }
        other => other,
    }
}

fn any_route() -> impl Strategy<Value = Route> {
    let host = prop::sample::select(vec!["*", "a.org", "b.org", "*.a.org", "*.x.a.org", "*.org"]);
    let segment = prop::sample::select(vec!["a", "b", "c", "*", "%2F"]);
    let path = (prop::collection::vec(segment, 0..4), prop::sample::select(vec!["", "/", "/**"]));
    let path = path.prop_map(|(segments, end)| {
        let start = segments.iter().map(|s| format!("/{s}")).collect::<String>() + end;
        if start.is_empty() { "/".to_owned() } else { start }
    });
    let methods = prop::sample::subsequence(vec![Method::GET, Method::HEAD, Method::POST], 0..=3);
    let header = prop::sample::select(vec![
        ("x-a", None),
        ("x-a", Some("1")),
        ("x-a", Some("2")),
        ("x-b", Some("1")),
        ("x-b", None),
    ]);
    (host, path, methods, prop::collection::vec(header, 0..3))
        .prop_map(|(host, path, methods, headers)| route(host, &path, &methods, &headers))
}

type RequestParts = (&'static str, String, Method, HeaderMap);

fn any_query() -> impl Strategy<Value = RequestParts> {
    let host = prop::sample::select(vec!["", "a.org", "b.org", "x.a.org", "y.x.a.org", "org", "c.com"]);
    let segment = prop::sample::select(vec!["a", "b", "c", "", "%2f", "%61"]);
    let path = prop::collection::vec(segment, 1..5)
        .prop_map(|segments| segments.iter().map(|s| format!("/{s}")).collect::<String>());
    let method = prop::sample::select(vec![Method::GET, Method::HEAD, Method::POST, Method::PUT]);
    let header = prop::sample::select(vec![("x-a", "1"), ("x-a", "2"), ("x-a", "3"), ("x-b", "1")]);
    let headers = prop::collection::vec(header, 0..3).prop_map(|list| {
        let mut headers = HeaderMap::new();
        for (name, value) in list {
            headers.append(name, HeaderValue::from_static(value));
        }
        headers
    });
    (host, path, method, headers)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: RngSeed::Fixed(9), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_matcher_finds_what_checking_every_route_finds(
        routes in prop::collection::vec(any_route(), 0..40),
        queries in prop::collection::vec(any_query(), 1..20),
    ) {
        let matcher = Matcher::new(routes.clone());
        for (host, path, method, headers) in &queries {
            let path = RequestPath::parse(path).unwrap();
            let query = RouteQuery { host, path: &path, method, headers };
            prop_assert_eq!(sorted(matcher.find(&query)), sorted(check_every_route(&routes, &query)));
        }
    }

    #[test]
    fn a_hidden_route_is_never_found(
        routes in prop::collection::vec(any_route(), 1..12),
        queries in prop::collection::vec(any_query(), 1..40),
    ) {
        let matcher = Matcher::new(routes.clone());
        for (host, path, method, headers) in &queries {
            let path = RequestPath::parse(path).unwrap();
            if let MatchResult::Route(index) = matcher.find(&RouteQuery { host, path: &path, method, headers }) {
                prop_assert_eq!(matcher.hidden_by(index), Vec::<usize>::new());
            }
        }
    }

    #[test]
    fn a_pattern_parses_back_from_its_text(one in any_route()) {
        prop_assert_eq!(&one.path.to_string().parse::<PathPattern>().unwrap(), &one.path);
        prop_assert_eq!(&one.host.to_string().parse::<HostPattern>().unwrap(), &one.host);
    }

    #[test]
    fn arbitrary_paths_and_hosts_do_not_panic(path in "\\PC*", host in "\\PC*") {
        let _ = RequestPath::parse(&path);
        let _ = path.parse::<PathPattern>();
        let _ = request_host(&host).map(|host| host.into_owned());
        let _ = host.parse::<HostPattern>();
    }
}

#[test]
fn the_first_matching_route_is_found() {
    let matcher = Matcher::new(vec![
        route("*", "/board/*", &[Method::GET], &[]),
        route("a.org", "/board/top", &[], &[]),
        route("*", "/**", &[Method::GET], &[]),
    ]);
    let none = HeaderMap::new();
    assert_eq!(find(&matcher, "a.org", "/board/top", &Method::GET, &none), MatchResult::Route(0));
    assert_eq!(find(&matcher, "a.org", "/board/top", &Method::PUT, &none), MatchResult::Route(1));
    assert_eq!(find(&matcher, "a.org", "/", &Method::GET, &none), MatchResult::Route(2));
    assert_eq!(
        find(&matcher, "b.org", "/x", &Method::PUT, &none),
        MatchResult::MethodNotAllowed(vec![Method::GET])
    );
    assert_eq!(find(&Matcher::default(), "", "/", &Method::GET, &none), MatchResult::NoMatch);
}

#[test]
fn hidden_routes_list_the_routes_that_hide_them() {
    let matcher = Matcher::new(vec![
        route("*.org", "/a/**", &[Method::GET], &[]),
        route("*.org", "/a/**", &[Method::POST], &[]),
        route("x.org", "/a/b", &[Method::GET, Method::POST], &[]),
        route("x.org", "/a/b", &[Method::GET], &[("x-a", Some("1"))]),
        route("x.org", "/a/b", &[], &[]),
        route("x.org", "/c/*", &[], &[("x-a", None)]),
        route("x.org", "/c/d", &[], &[("x-a", Some("1")), ("x-b", None)]),
        route("x.org", "/c/", &[], &[("x-a", None)]),
        route("*", "/**", &[], &[]),
        route("x.org", "/z", &[], &[]),
        route("*.x.org", "/a/*/**", &[Method::POST], &[]),
    ]);
    let hidden_by: Vec<_> = (0..11).map(|index| matcher.hidden_by(index)).collect();
    let none = Vec::new();
    assert_eq!(hidden_by[..2], [none.clone(), none.clone()]);
    assert_eq!(hidden_by[2], [0, 1]);
    assert_eq!(hidden_by[3], [0]);
    assert_eq!(hidden_by[4..6], [none.clone(), none.clone()]);
    assert_eq!(hidden_by[6], [5]);
    assert_eq!(hidden_by[7..9], [none.clone(), none.clone()]);
    assert_eq!(hidden_by[9], [8]);
    assert_eq!(hidden_by[10], [1]);
}

#[test]
fn ambiguous_and_malformed_paths_are_rejected() {
    for path in ["/a/../b", "/..", "/.", "/a/%2e%2E/b", "/a/.%2e", "/a%2F..%2Fb", "/a%5C..%5Cb", "/a\\..\\b"]
    {
        assert_eq!(RequestPath::parse(path), Err(PathError::DotSegment), "{path}");
    }
    for path in ["/%", "/%4", "/%zz", "/a%00b"] {
        assert_eq!(RequestPath::parse(path), Err(PathError::Encoding), "{path}");
    }
    assert_eq!(RequestPath::parse("a"), Err(PathError::NotAbsolute));
    assert_eq!(RequestPath::parse("*"), Err(PathError::NotAbsolute));
    assert_eq!(RequestPath::parse(&"/a".repeat(MAX_SEGMENTS + 1)), Err(PathError::TooDeep));
    assert!(RequestPath::parse("/a...b/.../%2F").is_ok());
}

#[test]
fn encoded_slashes_are_no_separators_and_empty_segments_are_kept() {
    let matcher = Matcher::new(vec![
        route("*", "/a/*", &[], &[]),
        route("*", "/a/b/c", &[], &[]),
        route("*", "/e/**", &[], &[]),
    ]);
    let none = HeaderMap::new();
    let get = |path: &str| find(&matcher, "", path, &Method::GET, &none);
    assert_eq!(get("/a/b%2Fc"), MatchResult::Route(0));
    assert_eq!(get("/a/b/c"), MatchResult::Route(1));
    assert_eq!(get("/a//c"), MatchResult::NoMatch);
    assert_eq!(get("/a/"), MatchResult::NoMatch);
    assert_eq!(get("//a/b"), MatchResult::NoMatch);
    assert_eq!(get("/e//x"), MatchResult::Route(2));
    assert_eq!(get("/e"), MatchResult::Route(2));
    assert_eq!(get("/%65/x"), MatchResult::Route(2));
    assert_eq!(get("/E/x"), MatchResult::NoMatch);
}

#[test]
fn hosts_are_parsed_without_port_case_and_trailing_dot() {
    assert_eq!(request_host("Board.EXAMPLE.org.:8080").unwrap(), "board.example.org");
    assert_eq!(request_host("[2001:DB8::1]:80").unwrap(), "[2001:db8::1]");
    assert_eq!(request_host("").unwrap(), "");
    for bad in ["a b", "a/b", "a:b", "a@b", "[::1", "[x]", "a..b", "a:123456", "\u{e9}.org"] {
        assert!(request_host(bad).is_err(), "{bad}");
    }
    assert_eq!(request_host(&"a".repeat(254)), Err(HostError::TooLong));
    for bad in ["", "a:80", "*.", "*.*", "a*b", "*a.org"] {
        assert!(bad.parse::<HostPattern>().is_err(), "{bad}");
    }
    assert!(HostPattern::Subdomains("a.org".into()).matches("x.a.org"));
    assert!(!HostPattern::Subdomains("a.org".into()).matches("a.org"));
    assert!(!HostPattern::Subdomains("a.org".into()).matches("xa.org"));
}

#[test]
fn each_kind_of_bad_pattern_has_its_error() {
    let error = |text: &str| text.parse::<PathPattern>().unwrap_err();
    assert_eq!(error("a"), PatternError::NotAbsolute);
    assert_eq!(error("/a//b"), PatternError::EmptySegment);
    assert_eq!(error("/a//**"), PatternError::EmptySegment);
    assert_eq!(error("/a/../b"), PatternError::DotSegment);
    assert_eq!(error("/a/%2e"), PatternError::DotSegment);
    assert_eq!(error("/a/b*"), PatternError::Wildcard);
    assert_eq!(error("/**/b"), PatternError::Wildcard);
    assert_eq!(error("/%4"), PatternError::Encoding);
    assert_eq!(error("/a?x"), PatternError::Query);
    assert_eq!(error(&"/a".repeat(MAX_SEGMENTS + 1)), PatternError::TooDeep);
}
