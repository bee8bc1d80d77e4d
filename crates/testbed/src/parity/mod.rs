//! Scenarios that must have the same result over HTTP and FastCGI, for clients and for servers: the same final response, the
//! same number of attempts and of effects.

mod scenarios;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crate::program::StandaloneNode;
use crate::scripted::refusing;
use crate::scripted_backend::{Act, Protocol, ProtocolClient, Script, ScriptedBackends, ScriptedRequest};
use scenarios::RequestTemplate;
pub use scenarios::{Scenario, scenarios};

/// Scenarios that run at the same time; most of their time is spent waiting.
const CONCURRENT_SCENARIOS: usize = 4;
/// Time allowed for the last message to a server, such as an abort, to arrive before the record is read.
const ARRIVAL_TIME: Duration = Duration::from_millis(20);

/// The result of a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedResult {
    /// Status code of the final response.
    pub status: u16,
    /// Body of the final response.
    pub body: Vec<u8>,
    /// The header line that the scenario requires, where the response has it.
    pub fields: Vec<String>,
    /// Complete requests that reached servers.
    pub attempts: u32,
    /// Complete requests with an effect.
    pub effects: u32,
}

/// The results of a scenario.
pub struct ScenarioResults {
    /// The scenario's name.
    pub name: &'static str,
    /// One for each of [`protocol_pairs`], in their order.
    pub observed: Vec<ObservedResult>,
    /// Deviations from the expected result or from the first pair's result, with scenario and protocols.
    pub differences: Vec<String>,
}

/// A node's configuration with the protocols of clients and servers; `more` is appended.
#[must_use]
pub fn node_config_text(front: Protocol, back: Protocol, servers: &[SocketAddr], more: &str) -> String {
    let one = |(n, address): (usize, &SocketAddr)| format!("server s{n} {{ address {address} }}\n");
    let servers: String = servers.iter().enumerate().map(one).collect();
    format!(
        "listener public {{ address 127.0.0.1:0; protocol {} }}\n\
         pool boards {{ protocol {}\n {servers} }}\n\
         class read {{ aim 1s; deadline 3s; repeats safe }}\n\
         class submit {{ aim 500ms; deadline 1500ms; worth 10; repeats unsafe }}\n\
         class edit {{ aim 1s; deadline 3s; repeats keyed by Idempotency-Key within pool for 5min }}\n\
         route submit {{ path /runs/**; method POST; class submit; pool boards }}\n\
         route edit {{ path /edits/*; method PUT; class edit; pool boards }}\n\
         route read {{ path /boards/**; class read; pool boards }}\n\
         {more}",
        front.name(),
        back.name(),
    )
}

/// A script that indexes `acts` by the number of the request; the last one is repeated.
#[must_use]
pub fn script(acts: Vec<Act>) -> Script {
    Arc::new(move |request: &ScriptedRequest| {
        let index = (request.number as usize).min(acts.len().saturating_sub(1));
        acts.get(index).cloned().unwrap_or(Act::Close)
    })
}

/// All pairs of a client protocol and a server protocol.
pub fn protocol_pairs() -> impl Iterator<Item = (Protocol, Protocol)> {
    Protocol::ALL.into_iter().flat_map(|front| Protocol::ALL.map(|back| (front, back)))
}

/// Runs a scenario over a pair of protocols.
///
/// # Panics
/// Where no node starts.
#[must_use]
pub fn run_scenario(scenario: &Scenario, front: Protocol, back: Protocol) -> ObservedResult {
    let backends = ScriptedBackends::new(script(scenario.acts.clone()));
    let listening = scenario.servers - scenario.refusing.min(scenario.servers);
    let mut servers: Vec<_> = (0..listening).map(|_| backends.start(back)).collect();
    servers.extend((0..scenario.refusing).map(|_| refusing()));
    let node = StandaloneNode::start(&node_config_text(front, back, &servers, ""), 1);
    let mut client = ProtocolClient::connect(node.address(), front).unwrap();
    let RequestTemplate { method, target, fields, body } = scenario.request;
    let answer = client.ask(method, target, &format!("X-Unit: 1\r\n{fields}"), body);
    let total = |map: &BTreeMap<String, u32>| map.values().sum();
    thread::sleep(ARRIVAL_TIME);
    let record = backends.seen();
    let header = scenario.header.and_then(|start| answer.fields.iter().find(|line| line.starts_with(start)));
    ObservedResult {
        status: answer.status,
        fields: header.into_iter().cloned().collect(),
        body: answer.body,
        attempts: total(&record.attempts),
        effects: total(&record.effects),
    }
}

/// Runs a scenario over all pairs of protocols.
#[must_use]
pub fn compare(scenario: &Scenario) -> ScenarioResults {
    let mut results = ScenarioResults { name: scenario.name, observed: Vec::new(), differences: Vec::new() };
    for (front, back) in protocol_pairs() {
        let seen = run_scenario(scenario, front, back);
        let pairing = format!("{} ({front:?} to {back:?})", scenario.name);
        let expected = (scenario.status, scenario.body.as_bytes());
        if (seen.status, &seen.body[..]) != expected || scenario.header.is_some() != (seen.fields.len() == 1)
        {
            results.differences.push(format!("{pairing}: {seen:?}"));
        } else if scenario.attempts.is_some_and(|attempts| attempts != seen.attempts) {
            results.differences.push(format!("{pairing}: {} attempts", seen.attempts));
        }
        let first = results.observed.first().filter(|first| scenario.attempts.is_some() && **first != seen);
        if let Some(first) = first {
            results.differences.push(format!("{pairing}: {seen:?}, but {first:?} before"));
        }
        results.observed.push(seen);
    }
    results
}

/// Runs all scenarios over all pairs of protocols, some scenarios at a time. The results are in the order of [`scenarios`].
///
/// # Panics
/// Where no node starts.
#[must_use]
pub fn compare_all() -> Vec<ScenarioResults> {
    let scenarios = scenarios();
    let next = AtomicUsize::new(0);
    let mut results: Vec<_> = thread::scope(|scope| {
        let worker = || {
            let mut own = Vec::new();
            loop {
                let index = next.fetch_add(1, Ordering::SeqCst);
                let Some(scenario) = scenarios.get(index) else { return own };
                own.push((index, compare(scenario)));
            }
        };
        let workers: Vec<_> = (0..CONCURRENT_SCENARIOS).map(|_| scope.spawn(worker)).collect();
        workers.into_iter().flat_map(|worker| worker.join().expect("scenario thread panicked")).collect()
    });
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, results)| results).collect()
}
