//! The scenarios, with the expected result of each.

use crate::scripted_backend::{Act, served};

/// A request of a client.
#[derive(Clone, Copy)]
pub(super) struct RequestTemplate {
    pub(super) method: &'static str,
    pub(super) target: &'static str,
    /// Complete header lines.
    pub(super) fields: &'static str,
    pub(super) body: &'static [u8],
}

const READ: RequestTemplate =
    RequestTemplate { method: "GET", target: "/boards/any?x=1", fields: "", body: b"" };
const SUBMIT: RequestTemplate =
    RequestTemplate { method: "POST", target: "/runs/any", fields: "", body: b"time=1:02" };
const EDIT: RequestTemplate =
    RequestTemplate { method: "PUT", target: "/edits/7", fields: "Idempotency-Key: 7\r\n", body: b"x" };

/// A request, what the servers do with it, and the result that it must have.
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    pub(super) request: RequestTemplate,
    /// What the servers do with each request, in the order of arrival at any of them; the last one is repeated.
    pub(super) acts: Vec<Act>,
    /// Number of servers.
    pub(super) servers: usize,
    /// How many of the servers refuse connections.
    pub(super) refusing: usize,
    pub(super) status: u16,
    pub(super) body: &'static str,
    /// Expected number of requests that reach servers; `None` where it is up to the balancer.
    pub(super) attempts: Option<u32>,
    /// The start of a header line that the response must have.
    pub(super) header: Option<&'static str>,
}

impl Scenario {
    fn of(
        name: &'static str,
        request: RequestTemplate,
        acts: Vec<Act>,
        status: u16,
        body: &'static str,
        attempts: u32,
    ) -> Self {
        Self {
            name,
            request,
            acts,
            servers: 2,
            refusing: 0,
            status,
            body,
            attempts: Some(attempts),
            header: None,
        }
    }

    fn header(self, header: &'static str) -> Self {
        Self { header: Some(header), ..self }
    }
}

/// Returns all scenarios.
#[must_use]
pub fn scenarios() -> Vec<Scenario> {
    [answered(), rejected_by_node(), rejected_by_servers(), broken_responses()]
        .into_iter()
        .flatten()
        .collect()
}

fn ok() -> Act {
    served("rank 1")
}

/// A rejection whose header states that the request was not executed.
fn unprocessed() -> Act {
    Act::Answer(503, "X-Unprocessed: 1\r\n", "")
}

fn error() -> Act {
    Act::Answer(500, "X-Why: disk\r\n", "broken")
}

/// Requests that servers answer.
fn answered() -> Vec<Scenario> {
    let of = Scenario::of;
    vec![
        of("a read is served", READ, vec![ok()], 200, "rank 1", 1),
        of("a submit is served", SUBMIT, vec![ok()], 200, "rank 1", 1),
        of("an edit is served", EDIT, vec![ok()], 200, "rank 1", 1),
        of("an error on a submit is final", SUBMIT, vec![error(), ok()], 500, "broken", 1)
            .header("x-why: disk"),
        of("an error on a read is retried", READ, vec![error(), ok()], 200, "rank 1", 2),
        of("an error on an edit is retried", EDIT, vec![error(), ok()], 200, "rank 1", 2),
        of("a rejected submit is retried", SUBMIT, vec![unprocessed(), ok()], 200, "rank 1", 2),
        of("a rejected read is retried", READ, vec![unprocessed(), ok()], 200, "rank 1", 2),
        of(
            "503 without x-unprocessed on a submit is final",
            SUBMIT,
            vec![Act::Answer(503, "", "busy"), ok()],
            503,
            "busy",
            1,
        ),
        of(
            "429 without x-unprocessed on a submit is final",
            SUBMIT,
            vec![Act::Answer(429, "", "slow"), ok()],
            429,
            "slow",
            1,
        ),
        of("a submit to an unresponsive server is sent once", SUBMIT, vec![Act::Silent], 504, "", 1),
        of("404 is forwarded", READ, vec![Act::Answer(404, "", "none")], 404, "none", 1),
        of("501 is forwarded", SUBMIT, vec![Act::Answer(501, "", "no")], 501, "no", 1),
        of("204 has no body", SUBMIT, vec![Act::Answer(204, "", "")], 204, "", 1),
        of("304 has no body", READ, vec![Act::Answer(304, "ETag: \"7\"\r\n", "")], 304, "", 1)
            .header("etag: \"7\""),
        of("a redirect is forwarded", READ, vec![Act::Answer(302, "Location: /other\r\n", "")], 302, "", 1)
            .header("location: /other"),
        of(
            "a response sent byte by byte is complete",
            SUBMIT,
            vec![Act::ByBytes("rank 1")],
            200,
            "rank 1",
            1,
        ),
    ]
}

/// Requests that the node rejects by itself, and a `HEAD`.
fn rejected_by_node() -> Vec<Scenario> {
    let of = Scenario::of;
    vec![
        of(
            "no route",
            RequestTemplate { target: "/nowhere", ..READ },
            vec![ok()],
            404,
            "no such class or path",
            0,
        ),
        of(
            "no route for this method",
            RequestTemplate { method: "DELETE", ..READ },
            vec![ok()],
            405,
            "method not allowed",
            0,
        ),
        of(
            "dot segments in the path",
            RequestTemplate { target: "/boards/%2e%2e/x", ..READ },
            vec![ok()],
            400,
            "the path holds `.` or `..` as a segment",
            0,
        ),
        of(
            "no idempotency key",
            RequestTemplate { fields: "", ..EDIT },
            vec![ok()],
            400,
            "header idempotency-key is missing or malformed",
            0,
        ),
        of(
            "body over the limit",
            RequestTemplate { body: &[b'x'; 70 << 10], ..SUBMIT },
            vec![ok()],
            413,
            "body too long",
            0,
        ),
        Scenario {
            header: Some("content-length: 700"),
            ..of(
                "HEAD keeps the content-length",
                RequestTemplate { method: "HEAD", ..READ },
                vec![Act::Answer(200, "Content-Length: 700\r\n", "")],
                200,
                "",
                1,
            )
        },
    ]
}

/// Servers that refuse connections or reject requests.
fn rejected_by_servers() -> Vec<Scenario> {
    let of = Scenario::of;
    vec![
        Scenario {
            refusing: 1,
            ..of("a refused connection does not fail a submit", SUBMIT, vec![ok()], 200, "rank 1", 1)
        },
        Scenario {
            servers: 0,
            refusing: 1,
            header: Some("retry-after: "),
            ..of("no reachable server: rejected", READ, vec![], 503, "", 0)
        },
        Scenario {
            attempts: None,
            header: Some("retry-after: "),
            ..of("rejected by all servers: rejected", SUBMIT, vec![unprocessed()], 503, "", 0)
        },
    ]
}

/// Incomplete or malformed responses, on a request that must not be retried and on one that may.
fn broken_responses() -> Vec<Scenario> {
    let mut list = Vec::new();
    let broken = [
        ("closes", Act::Close),
        ("truncates the body", Act::CutBody),
        ("truncates the head", Act::CutHead),
        ("sends a malformed head", Act::Garbage),
        ("sends an endless head", Act::EndlessHead),
        ("announces an oversized body", Act::TooLong),
    ];
    for (what, act) in broken {
        let name = |kind: &str| -> &'static str { format!("a server {what} on a {kind}").leak() };
        list.push(Scenario::of(name("submit"), SUBMIT, vec![act.clone(), ok()], 502, "", 1));
        list.push(Scenario::of(name("read"), READ, vec![act, ok()], 200, "rank 1", 2));
    }
    list
}
