//! Checks that involve several entries: entries that hide or conflict with others, and configurations that
//! can't serve any requests.

use std::collections::HashMap;
use std::net::SocketAddr;

use pumicehead_route::{Matcher, Methods};

use super::Checker;
use super::route::SAFE_METHODS;
use crate::diagnostic::{Diagnostic, Severity};
use crate::model::{
    Address, Class, Idempotency, KeySource, Limits, Listener, Pool, Route, Spanned, Tenant, TenantSource,
};
use crate::span::Span;
use crate::units::format_size;

/// All bodies together may take `1 / BODY_MEMORY_DIVISOR` of the memory, so the longest one must fit into
/// that.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// Tolerance for rounding errors in the sum of shares.
const SHARE_TOLERANCE: f64 = 1e-6;

/// All entries; `None` for one that is invalid.
pub(super) struct Entries<'e> {
    pub limits: &'e Spanned<Limits>,
    pub listeners: &'e [Option<Listener>],
    pub pools: &'e [Option<Pool>],
    pub classes: &'e [Option<Class>],
    pub tenants: &'e [Option<Tenant>],
    pub routes: &'e [Option<Route>],
}

impl Checker<'_> {
    /// Checks all entries together.
    pub(super) fn cross_check(&mut self, entries: &Entries<'_>) {
        self.check_limits(entries.limits);
        self.check_listeners(entries.listeners, entries.pools);
        self.check_pools(entries.pools);
        self.check_shares(entries.tenants);
        // An invalid route might use entries that seem unused, and might hide other routes.
        if entries.routes.iter().all(Option::is_some) {
            let routes: Vec<_> = entries.routes.iter().flatten().collect();
            self.check_hidden_routes(&routes);
            self.check_routes(&routes, entries.classes, entries.tenants);
            self.warn_of_unused_entries(&routes, entries);
        }
        self.check_required_kinds();
    }

    /// Checks that there is an entry of each required kind. A missing one is reported only if there is no
    /// other error.
    fn check_required_kinds(&mut self) {
        if self.diagnostics.iter().any(|diagnostic| diagnostic.severity == Severity::Error) {
            return;
        }
        for kind in ["listener", "pool", "class", "route"] {
            if self.names.get(kind).is_none_or(HashMap::is_empty) {
                let message = format!("there is no {kind}: the node can't serve any requests");
                // Only the first missing kind is reported, at the start of the first file: others mostly
                // follow from it.
                return self.report(Diagnostic::error("nothing-to-serve", Span::default(), message));
            }
        }
    }

    fn check_limits(&mut self, limits: &Spanned<Limits>) {
        let max = limits.memory_bytes / BODY_MEMORY_DIVISOR;
        let bodies = [
            ("request-body", limits.max_request_body_bytes),
            ("answer-body", limits.max_response_body_bytes),
        ];
        for (keyword, size) in bodies.into_iter().filter(|(_, size)| *size > max) {
            let settings = &limits.spans.settings;
            let span = settings.get(keyword).or(settings.get("memory")).copied().unwrap_or_default();
            let (size, memory) = (format_size(size), format_size(limits.memory_bytes));
            let max = format_size(max);
            let message = format!(
                "`{keyword}` is {size}, more than a quarter of `memory`, {memory}: at most {max} are allowed"
            );
            self.report(Diagnostic::error("body-over-memory", span, message));
        }
    }

    fn check_listeners(&mut self, listeners: &[Option<Listener>], pools: &[Option<Pool>]) {
        let listeners: Vec<_> = listeners.iter().flatten().collect();
        for (index, listener) in listeners.iter().enumerate() {
            let mut earlier = listeners[..index].iter();
            if let Some(other) = earlier.find(|other| overlap(other.address, listener.address)) {
                let message = format!(
                    "the listeners `{}` and `{}` have overlapping addresses",
                    other.name, listener.name
                );
                let note = format!("`{}` listens on {} here", other.name, other.address);
                let span = listener.spans.settings["address"];
                let diagnostic = Diagnostic::error("same-address", span, message);
                self.report(diagnostic.note(other.spans.settings["address"], note));
            }
        }
        for endpoint in pools.iter().flatten().flat_map(|pool| pool.endpoints.listed()) {
            let Address::Tcp(address) = endpoint.address else { continue };
            let own_listener = listeners.iter().find(|listener| overlap(listener.address, address));
            if let Some(listener) = own_listener {
                let message = format!("the server `{}` is this node's own listener", endpoint.name);
                let span = endpoint.spans.settings["address"];
                let diagnostic = Diagnostic::error("own-address", span, message);
                self.report(diagnostic.note(listener.spans.settings["address"], "the listener is here"));
            }
        }
    }

    /// Warns about endpoints that are in several pools.
    fn check_pools(&mut self, pools: &[Option<Pool>]) {
        let mut seen: HashMap<&Address, (&str, Span)> = HashMap::new();
        for pool in pools.iter().flatten() {
            for endpoint in pool.endpoints.listed() {
                let span = endpoint.spans.settings["address"];
                let Some((other, first)) = seen.insert(&endpoint.address, (&pool.name, span)) else {
                    continue;
                };
                let message = format!(
                    "{} is in the pools `{other}` and `{}`, which don't share their load estimates",
                    endpoint.address, pool.name
                );
                let help = "each pool estimates the capacity of the server separately; together they may overload it";
                let diagnostic = Diagnostic::warning("shared-server", span, message).help(help);
                self.report(diagnostic.note(first, "first used here"));
            }
        }
    }

    fn check_shares(&mut self, tenants: &[Option<Tenant>]) {
        let mut sum = 0.0;
        for tenant in tenants.iter().flatten() {
            sum += tenant.share;
            if sum > 1.0 + SHARE_TOLERANCE {
                let message = format!("with `{}` the tenants' shares are more than `100%`", tenant.name);
                let span = tenant.spans.settings["share"];
                return self.report(Diagnostic::error("shares-over-whole", span, message));
            }
        }
    }

    /// Checks that no route is hidden by earlier ones.
    fn check_hidden_routes(&mut self, routes: &[&Route]) {
        let matcher = Matcher::new(routes.iter().map(|route| &route.pattern));
        for (index, route) in routes.iter().enumerate() {
            let hidden_by = matcher.hidden_by(index);
            if hidden_by.is_empty() {
                continue;
            }
            let names: Vec<_> = hidden_by.iter().map(|&other| format!("`{}`", routes[other].name)).collect();
            let reason = match &names[..] {
                [one] => format!("the earlier route {one} matches all its requests"),
                _ => format!("the earlier routes {} match all its requests", names.join(" and ")),
            };
            let message = format!("the route `{}` is never taken: {reason}", route.name);
            let mut diagnostic = Diagnostic::error("hidden-route", route.spans.name, message)
                .help("move it before the routes that hide it, or remove it");
            for &other in &hidden_by {
                diagnostic = diagnostic.note(routes[other].spans.name, "matches its requests");
            }
            self.report(diagnostic);
        }
    }

    /// Checks each route against its class and its tenants.
    fn check_routes(&mut self, routes: &[&Route], classes: &[Option<Class>], tenants: &[Option<Tenant>]) {
        for route in routes {
            let Some(Some(class)) = classes.get(route.class) else { continue };
            self.check_route_key(route, class);
            self.check_route_methods(route, class);
            if let (TenantSource::Header(_), true) = (&route.tenant, tenants.is_empty()) {
                let span = route.spans.settings["tenant"];
                let message =
                    "a header names the tenant, but there are no tenants: every request would be rejected";
                self.report(Diagnostic::error("no-tenants", span, message));
            }
        }
    }

    fn check_route_key(&mut self, route: &Route, class: &Class) {
        if class.settings.ordered_by_key && route.key == KeySource::None {
            let message = format!(
                "the class `{}` is ordered by key, but the route `{}` has no `key`",
                class.name, route.name
            );
            let diagnostic = Diagnostic::error("no-key", route.spans.name, message)
                .note(class.spans.settings["order"], "the order is set here")
                .help("write, for example, `key last-segment`");
            self.report(diagnostic);
        }
    }

    fn check_route_methods(&mut self, route: &Route, class: &Class) {
        if let (Methods::Only(list), Idempotency::Idempotent) =
            (&route.pattern.methods, &class.settings.idempotency)
            && let Some(method) = list.iter().find(|method| !SAFE_METHODS.contains(method))
        {
            let span = route.spans.settings.get("method").copied().unwrap_or(route.spans.name);
            let message = format!(
                "the method {method} is used with the class `{}`, whose requests may be sent more than once",
                class.name
            );
            let note = "the class is set to `repeats safe` here";
            let diagnostic = Diagnostic::warning("unsafe-method", span, message);
            self.report(diagnostic.note(class.spans.settings["repeats"], note));
        }
    }
}

/// Whether two sockets can't listen at the same time, or a connection to one address reaches the other
/// socket.
fn overlap(one: SocketAddr, other: SocketAddr) -> bool {
    let is_any = |address: SocketAddr| address.ip().is_unspecified();
    // On most systems a socket on the unspecified IPv6 address accepts IPv4 connections as well.
    let same_ip = one.ip() == other.ip()
        || (is_any(one) || is_any(other))
            && (one.is_ipv4() == other.is_ipv4()
                || is_any(one) && one.is_ipv6()
                || is_any(other) && other.is_ipv6());
    one.port() != 0 && one.port() == other.port() && same_ip
}
