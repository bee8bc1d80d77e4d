//! The text of a decision event in an exported trace.
//!
//! Dashboards match on these names, so they stay as they were first written, whatever the variants are called in code.

use std::fmt::{self, Debug, Formatter};

use pumicehead_policy::interface::EndpointId;
use pumicehead_policy::note::{Hurdles, Moved, Note, Rule, Stop};

/// Formats a decision event under its exported names.
pub(crate) struct Exported<'a>(pub &'a Note);

/// An id of an endpoint under its exported name.
struct ExportedServer(EndpointId);

/// Counts of exclusions under their exported name.
struct ExportedHurdles(Hurdles);

/// A name that is written without quotes.
struct Bare(&'static str);

/// The reason of a final answer under its exported name.
struct ExportedRule(Rule);

impl Debug for Bare {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.write_str(self.0)
    }
}

impl Debug for ExportedServer {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.debug_tuple("ServerId").field(&self.0.0).finish()
    }
}

impl Debug for ExportedHurdles {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        out.debug_tuple("Hurdles").field(&self.0.0).finish()
    }
}

impl Debug for ExportedRule {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Rule::WaitShare => out.write_str("WaitShare"),
            Rule::NearlyOut => out.write_str("NearlyOut"),
            Rule::NoTurn => out.write_str("NoTurn"),
            Rule::NoRetry(stop) => out.debug_tuple("NoRetry").field(&Bare(stop_name(stop))).finish(),
        }
    }
}

fn stop_name(stop: Stop) -> &'static str {
    match stop {
        Stop::Attempts => "Attempts",
        Stop::Effect => "Effect",
        Stop::Time => "Time",
        Stop::Budget => "Budget",
    }
}

fn moved_name(why: Moved) -> &'static str {
    match why {
        Moved::Compared => "Compared",
        Moved::Failure => "Failure",
    }
}

impl Debug for Exported<'_> {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        match self.0 {
            Note::Taken { .. }
            | Note::Held { .. }
            | Note::Picked { .. }
            | Note::NoneFits { .. }
            | Note::Over { .. } => write_request_event(self.0, out),
            Note::Limit { .. }
            | Note::Limits { .. }
            | Note::Aside { .. }
            | Note::Back { .. }
            | Note::Doubt { .. } => write_endpoint_event(self.0, out),
            Note::Overload { held } => out.debug_struct("Overload").field("held", held).finish(),
            Note::Calm => out.write_str("Calm"),
            Note::ListLost => out.write_str("ListLost"),
            Note::ListRegained => out.write_str("ListRegained"),
        }
    }
}

/// Events about one request.
fn write_request_event(event: &Note, out: &mut Formatter<'_>) -> fmt::Result {
    match event {
        Note::Taken { id, tier, worth, aim_at } => out
            .debug_struct("Taken")
            .field("id", id)
            .field("tier", tier)
            .field("worth", worth)
            .field("aim_at", aim_at)
            .finish(),
        Note::Held { id, held } => out.debug_struct("Held").field("id", id).field("held", held).finish(),
        Note::Picked { id, server, score, next, out: used, limit, hurdles } => out
            .debug_struct("Picked")
            .field("id", id)
            .field("server", &ExportedServer(*server))
            .field("score", score)
            .field("next", &next.map(|(server, score)| (ExportedServer(server), score)))
            .field("out", used)
            .field("limit", limit)
            .field("hurdles", &ExportedHurdles(*hurdles))
            .finish(),
        Note::NoneFits { id, hurdles } => {
            out.debug_struct("NoneFits").field("id", id).field("hurdles", &ExportedHurdles(*hurdles)).finish()
        }
        Note::Over { id, rule, pressure } => out
            .debug_struct("Over")
            .field("id", id)
            .field("rule", &ExportedRule(*rule))
            .field("pressure", pressure)
            .finish(),
        _ => Ok(()),
    }
}

/// Events about endpoints and their limits.
fn write_endpoint_event(event: &Note, out: &mut Formatter<'_>) -> fmt::Result {
    match event {
        Note::Limit { server, from, to, why } => out
            .debug_struct("Limit")
            .field("server", &ExportedServer(*server))
            .field("from", from)
            .field("to", to)
            .field("why", &Bare(moved_name(*why)))
            .finish(),
        Note::Limits { factor, load } => {
            out.debug_struct("Limits").field("factor", factor).field("load", load).finish()
        }
        Note::Aside { server, span } => {
            out.debug_struct("Aside").field("server", &ExportedServer(*server)).field("span", span).finish()
        }
        Note::Back { server } => out.debug_struct("Back").field("server", &ExportedServer(*server)).finish(),
        Note::Doubt { bad, all, most } => {
            out.debug_struct("Doubt").field("bad", bad).field("all", all).field("most", most).finish()
        }
        _ => Ok(()),
    }
}
