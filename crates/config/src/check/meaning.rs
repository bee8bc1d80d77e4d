//! What entries mean together: what hides, collides, can't be reached or is of no use.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

use pumicehead_route::{Matcher, Methods};

use super::Check;
use super::blocks::SAFE;
use crate::diag::Diagnostic;
use crate::model::{
    Address, Class, KeyOf, Limits, Listener, Members, Pool, Repeats, Route, Tenant, TenantOf,
};
use crate::span::Span;
use crate::units::{show_size, show_time};

/// Bodies may take this part of the memory together: the rest is for connections and requests.
const BODY_SHARE: u64 = 4;
/// Shares that miss the whole by less than this are meant to meet it.
const ROUNDING: f64 = 1e-6;

impl Check<'_> {
    pub(super) fn look(
        &mut self,
        limits: &Limits,
        listeners: &[Option<Listener>],
        pools: &[Option<Pool>],
        classes: &[Option<Class>],
        tenants: &[Option<Tenant>],
        routes: &[Option<Route>],
    ) {
        self.look_at_limits(limits);
        self.look_at_listeners(listeners, pools);
        self.look_at_pools(pools);
        self.look_at_shares(tenants);
        // With an entry missing, what it would have used is not unused.
        if routes.iter().all(Option::is_some) {
            let routes: Vec<_> = routes.iter().flatten().collect();
            self.look_for_hidden(&routes);
            self.look_at_routes(&routes, classes, tenants);
            self.look_for_unused(&routes, pools, classes, tenants);
        }
        self.look_for_gaps();
    }

    /// Something to serve, and somewhere to serve it. Told only where nothing else is wrong.
    fn look_for_gaps(&mut self) {
        if self.diagnostics.iter().any(|one| one.severity == crate::Severity::Error) {
            return;
        }
        for kind in ["listener", "pool", "class", "route"] {
            if self.names.get(kind).is_none_or(HashMap::is_empty) {
                let message = format!("there is no {kind}: the node could serve nothing");
                // One at a time, at the start of the first file: the first gap explains most of the others.
                return self.say(Diagnostic::error("nothing-to-serve", Span::default(), message));
            }
        }
    }

    fn look_at_limits(&mut self, limits: &Limits) {
        let bodies = [("request-body", limits.request_body), ("answer-body", limits.answer_body)];
        for (name, size) in bodies {
            let most = limits.memory / BODY_SHARE;
            if size > most {
                let span = limits.at.values.get(name).or(limits.at.values.get("memory"));
                let (size, memory, most) = (show_size(size), show_size(limits.memory), show_size(most));
                let message =
                    format!("`{name}` is {size}, but of the memory, {memory}, bodies get a quarter, {most}");
                self.say(Diagnostic::error("body-over-memory", span.copied().unwrap_or_default(), message));
            }
        }
    }

    fn look_at_listeners(&mut self, listeners: &[Option<Listener>], pools: &[Option<Pool>]) {
        let listeners: Vec<_> = listeners.iter().flatten().collect();
        for (place, listener) in listeners.iter().enumerate() {
            let at = listener.at.values["address"];
            if let Some(other) =
                listeners[..place].iter().find(|other| overlap(other.address, listener.address))
            {
                let message =
                    format!("the listeners `{}` and `{}` on one address", other.name, listener.name);
                let note = format!("`{}` listens on {} here", other.name, other.address);
                let diagnostic = Diagnostic::error("same-address", at, message);
                self.say(diagnostic.note(other.at.values["address"], note));
            }
        }
        for pool in pools.iter().flatten() {
            let Members::Static(servers) = &pool.members else { continue };
            for server in servers {
                let Address::Tcp(address) = server.address else { continue };
                let own = listeners.iter().find(|listener| overlap(listener.address, address));
                if let Some(listener) = own {
                    let message = format!("the server `{}` is this node's own listener", server.name);
                    let diagnostic = Diagnostic::error("own-address", server.at.values["address"], message);
                    self.say(diagnostic.note(listener.at.values["address"], "the listener is here"));
                }
            }
        }
    }

    fn look_at_pools(&mut self, pools: &[Option<Pool>]) {
        let mut seen: HashMap<&Address, (&str, Span)> = HashMap::new();
        for pool in pools.iter().flatten() {
            let Members::Static(servers) = &pool.members else { continue };
            for server in servers {
                let at = server.at.values["address"];
                let Some((other, first)) = seen.insert(&server.address, (&pool.name, at)) else { continue };
                let message = format!(
                    "{} is in the pools `{other}` and `{}`, which don't know of each other",
                    server.address, pool.name
                );
                let help =
                    "each pool learns by itself how much the server takes; together they may send too much";
                let diagnostic = Diagnostic::warning("shared-server", at, message).help(help);
                self.say(diagnostic.note(first, "the other is here"));
            }
        }
    }

    fn look_at_shares(&mut self, tenants: &[Option<Tenant>]) {
        let mut sum = 0.0;
        for tenant in tenants.iter().flatten() {
            sum += tenant.share;
            if sum > 1.0 + ROUNDING {
                let message = format!("with `{}` the tenants' shares are more than `100%`", tenant.name);
                return self.say(Diagnostic::error("shares-over-whole", tenant.at.values["share"], message));
            }
        }
    }

    fn look_for_hidden(&mut self, routes: &[&Route]) {
        let matcher = Matcher::new(routes.iter().map(|route| &route.pattern));
        for (place, route) in routes.iter().enumerate() {
            let hiders = matcher.hiders(place);
            if hiders.is_empty() {
                continue;
            }
            let names: Vec<_> = hiders.iter().map(|&hider| format!("`{}`", routes[hider].name)).collect();
            let message = format!(
                "the route `{}` is never taken: earlier ones, {}, take all of it",
                route.name,
                names.join(" and ")
            );
            let message = match &names[..] {
                [one] => {
                    format!("the route `{}` is never taken: {one}, before it, takes all of it", route.name)
                }
                _ => message,
            };
            let mut diagnostic = Diagnostic::error("hidden-route", route.at.name, message)
                .help("put it before the one that hides it, or remove it");
            for &hider in &hiders {
                diagnostic = diagnostic.note(routes[hider].at.name, "takes its requests");
            }
            self.say(diagnostic);
        }
    }

    fn look_at_routes(&mut self, routes: &[&Route], classes: &[Option<Class>], tenants: &[Option<Tenant>]) {
        for route in routes {
            let Some(Some(class)) = classes.get(route.class) else { continue };
            if class.ordered && route.key == KeyOf::None {
                let message = format!(
                    "the class `{}` keeps order by key, but the route `{}` has none",
                    class.name, route.name
                );
                let diagnostic = Diagnostic::error("no-key", route.at.name, message);
                let note = "order is asked for here";
                self.say(
                    diagnostic.note(class.at.values["order"], note).help("write `key last-segment`, say"),
                );
            }
            if let (Methods::Only(list), Repeats::Safe) = (&route.pattern.methods, &class.repeats)
                && let Some(method) = list.iter().find(|method| !SAFE.contains(method))
            {
                let span = route.at.values.get("method").copied().unwrap_or(route.at.name);
                let message = format!(
                    "{method} to the class `{}`, whose requests may be sent more than once",
                    class.name
                );
                let note = "repeats are said to be safe here";
                let diagnostic = Diagnostic::warning("unsafe-method", span, message);
                self.say(diagnostic.note(class.at.values["repeats"], note));
            }
            if let (TenantOf::Header(_), true) = (&route.tenant, tenants.is_empty()) {
                let span = route.at.values["tenant"];
                let message =
                    "a header names the tenant, but there are no tenants: every request would be turned away";
                self.say(Diagnostic::error("no-tenants", span, message));
            }
        }
    }

    fn look_for_unused(
        &mut self,
        routes: &[&Route],
        pools: &[Option<Pool>],
        classes: &[Option<Class>],
        tenants: &[Option<Tenant>],
    ) {
        if routes.is_empty() {
            return;
        }
        let used: HashSet<_> = routes.iter().map(|route| route.pool).collect();
        for (place, pool) in pools.iter().enumerate() {
            if let Some(pool) = pool.as_ref().filter(|_| !used.contains(&place)) {
                let message = format!("no route leads to the pool `{}`", pool.name);
                self.say(Diagnostic::warning("unused", pool.at.name, message));
            }
        }
        let used: HashSet<_> = routes.iter().map(|route| route.class).collect();
        for (place, class) in classes.iter().enumerate() {
            if let Some(class) = class.as_ref().filter(|_| !used.contains(&place)) {
                let message = format!("no route gives the class `{}`", class.name);
                self.say(Diagnostic::warning("unused", class.at.name, message));
            }
        }
        let by_header = routes.iter().any(|route| matches!(route.tenant, TenantOf::Header(_)));
        for (place, tenant) in tenants.iter().enumerate() {
            let fixed = routes.iter().any(|route| route.tenant == TenantOf::Fixed(place));
            if let Some(tenant) = tenant.as_ref().filter(|_| !by_header && !fixed) {
                let message = format!("no route gives the tenant `{}`", tenant.name);
                self.say(Diagnostic::warning("unused", tenant.at.name, message));
            }
        }
        let longest = classes.iter().flatten().map(|class| class.deadline).max().unwrap_or_default();
        for pool in pools.iter().flatten() {
            if pool.connect_timeout > longest && longest > 0 {
                let span = pool.at.values.get("connect-timeout").copied().unwrap_or(pool.at.name);
                let (connect, longest) = (show_time(pool.connect_timeout), show_time(longest));
                let message =
                    format!("`connect-timeout` is {connect}, longer than every deadline, {longest} at most");
                self.say(Diagnostic::warning("timeout-over-deadline", span, message));
            }
        }
    }
}

/// Whether two sockets can't both listen, or a connection to one reaches the other.
fn overlap(one: SocketAddr, other: SocketAddr) -> bool {
    let wild = |address: SocketAddr| address.ip().is_unspecified();
    // The unspecified address of IPv6 takes IPv4 as well on most systems.
    let same_ip = one.ip() == other.ip()
        || (wild(one) || wild(other))
            && (one.is_ipv4() == other.is_ipv4()
                || wild(one) && one.is_ipv6()
                || wild(other) && other.is_ipv6());
    one.port() != 0 && one.port() == other.port() && same_ip
}
