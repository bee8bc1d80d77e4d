//! Tests which pools a configuration change affects.

use std::sync::Arc;

use pumicehead_config::Files;
use pumicehead_config::model::Config;
use pumicehead_resources::Delta;

use super::*;

/// A single configuration file in memory.
struct InMemoryFile(String);

impl Files for InMemoryFile {
    fn read(&self, _: &std::path::Path) -> Result<Vec<u8>, pumicehead_config::ReadError> {
        Ok(self.0.clone().into_bytes())
    }

    fn list(&self, _: &std::path::Path) -> Result<Vec<String>, pumicehead_config::ReadError> {
        Ok(Vec::new())
    }

    fn identity(&self, path: &std::path::Path) -> std::path::PathBuf {
        path.into()
    }
}

const BASE: &str = "
    node { zones a b; zone a }
    listener public { address 127.0.0.1:8080 }
    pool one { server s { address 127.0.0.1:9001; zone a } }
    pool two { server s { address 127.0.0.1:9002; zone b } }
    pool three { server s { address 127.0.0.1:9003; zone a } }
    class read { aim 1s; deadline 2s; repeats safe }
    class submit { aim 1s; deadline 2s; repeats unsafe }
    tenant acme { share 50%; rate 100/s }
    route first { path /a/**; class read; pool one }
    route second { path /b/**; class read; pool two }
    route third { path /c/**; class submit; pool three }
";

fn config(text: &str) -> Config {
    let checked = pumicehead_config::check(&InMemoryFile(text.into()), std::path::Path::new("main.conf"));
    checked.config.expect("the configuration should be valid")
}

fn affected(from: &str, to: &str) -> AffectedPools {
    let (old, new) = (config(from).snapshot().unwrap(), config(to).snapshot().unwrap());
    let delta = old.difference(&new);
    AffectedPools::of_delta(&delta, &old, &new)
}

fn pools(names: &[&str]) -> AffectedPools {
    AffectedPools::Named(names.iter().map(|name| Arc::from(*name)).collect())
}

#[test]
fn change_affects_only_the_pools_that_use_it() {
    let cases: &[(&str, &str, &[&str])] = &[
        ("127.0.0.1:9002", "127.0.0.1:9009", &["two"]),
        ("127.0.0.1:9002; zone b", "127.0.0.1:9002; zone a", &["two"]),
        ("pool one {", "pool one { attempts 2;", &["one"]),
        ("class read { aim 1s", "class read { aim 900ms", &["one", "two"]),
        (
            "class submit { aim 1s; deadline 2s; repeats unsafe",
            "class submit { aim 1s; deadline 2s; repeats safe",
            &["three"],
        ),
        ("path /b/**; class read; pool two", "path /b/**; class read; pool three", &["two", "three"]),
        ("path /b/**; class read", "path /b/**; class submit", &["two"]),
        ("address 127.0.0.1:8080", "address 127.0.0.1:8081", &[]),
    ];
    for (from, to, expected) in cases {
        assert_eq!(affected(BASE, &BASE.replace(from, to)), pools(expected), "{from} -> {to}");
    }
}

#[test]
fn reordering_routes_affects_no_pool() {
    let first = "route first { path /a/**; class read; pool one }\n";
    let moved = BASE.replace(first, "") + first;
    assert_ne!(BASE, moved);
    assert_eq!(affected(BASE, &moved), pools(&[]));
}

#[test]
fn tenant_and_node_changes_affect_all_pools() {
    for (from, to) in
        [("rate 100/s", "rate 90/s"), ("zones a b;", "zones a b c;"), ("tenant acme", "tenant other")]
    {
        assert_eq!(affected(BASE, &BASE.replace(from, to)), AffectedPools::All, "{from} -> {to}");
    }
}

#[test]
fn unchanged_configuration_affects_no_pool() {
    let state = config(BASE).snapshot().unwrap();
    assert_eq!(AffectedPools::of_delta(&Delta::default(), &state, &state), pools(&[]));
    assert_eq!(affected(BASE, &format!("# a comment\n{BASE}")), pools(&[]));
}
