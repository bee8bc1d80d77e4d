//! Warnings about entries and values that have no effect.

use std::collections::HashSet;

use super::Checker;
use super::cross_checks::Entries;
use crate::diagnostic::Diagnostic;
use crate::model::{Class, Pool, Route, Tenant, TenantSource};
use crate::span::Span;
use crate::units::format_duration;

impl Checker<'_> {
    /// Warns about entries that no route uses. If there are no routes, only that is reported.
    pub(super) fn warn_of_unused_entries(&mut self, routes: &[&Route], entries: &Entries<'_>) {
        if routes.is_empty() {
            return;
        }
        self.warn_of_unused_pools(routes, entries.pools);
        self.warn_of_unused_classes(routes, entries.classes);
        self.warn_of_unused_tenants(routes, entries.tenants);
        self.warn_of_long_connect_timeouts(entries.pools, entries.classes);
    }

    fn warn_of_unused_pools(&mut self, routes: &[&Route], pools: &[Option<Pool>]) {
        let used: HashSet<_> = routes.iter().map(|route| route.pool).collect();
        for (_, pool) in valid(pools).filter(|(index, _)| !used.contains(index)) {
            let message = format!("no route uses the pool `{}`", pool.name);
            self.warn_of_unused(pool.spans.name, message);
        }
    }

    fn warn_of_unused_classes(&mut self, routes: &[&Route], classes: &[Option<Class>]) {
        let used: HashSet<_> = routes.iter().map(|route| route.class).collect();
        for (_, class) in valid(classes).filter(|(index, _)| !used.contains(index)) {
            let message = format!("no route uses the class `{}`", class.name);
            self.warn_of_unused(class.spans.name, message);
        }
    }

    fn warn_of_unused_tenants(&mut self, routes: &[&Route], tenants: &[Option<Tenant>]) {
        if routes.iter().any(|route| matches!(route.tenant, TenantSource::Header(_))) {
            return;
        }
        for (index, tenant) in valid(tenants) {
            if !routes.iter().any(|route| route.tenant == TenantSource::Fixed(index)) {
                let message = format!("no route uses the tenant `{}`", tenant.name);
                self.warn_of_unused(tenant.spans.name, message);
            }
        }
    }

    fn warn_of_unused(&mut self, span: Span, message: String) {
        self.report(Diagnostic::warning("unused", span, message));
    }

    /// Warns about a timeout that is longer than every deadline: it never expires in time.
    fn warn_of_long_connect_timeouts(&mut self, pools: &[Option<Pool>], classes: &[Option<Class>]) {
        let deadlines = classes.iter().flatten().map(|class| class.settings.deadline);
        let longest = deadlines.max().unwrap_or_default();
        for pool in pools.iter().flatten() {
            let timeout = pool.settings.connect_timeout;
            if timeout > longest && longest > 0 {
                let span = pool.spans.settings.get("connect-timeout").copied();
                let (timeout, longest) = (format_duration(timeout), format_duration(longest));
                let message =
                    format!("`connect-timeout` is {timeout}, longer than the longest deadline, {longest}");
                let span = span.unwrap_or(pool.spans.name);
                self.report(Diagnostic::warning("timeout-over-deadline", span, message));
            }
        }
    }
}

/// The valid entries, with their indices.
fn valid<T>(entries: &[Option<T>]) -> impl Iterator<Item = (usize, &T)> {
    entries.iter().enumerate().filter_map(|(index, entry)| Some((index, entry.as_ref()?)))
}
