//! Admission of plain HTTP requests according to the configured routes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode, Uri, Version};
use pumicehead_config::explain::key_of;
use pumicehead_config::model::TenantSource;
use pumicehead_policy::TenantId;
use pumicehead_route::{MatchResult, RequestPath, RouteQuery, request_host};
use tokio::time::Instant;

use super::request_table::{RequestTable, RouteTarget};
use super::traffic_recorder::TrafficRecorder;
use crate::net::admission::{Admission, AdmittedRequest, RequestError, RequestHead, ResponseStyle};
use crate::net::exchange::{ProxyRequest, UpstreamRequest};
use crate::net::header_fields;
use crate::net::pool_handle::PoolHandle;

/// Header with an id that endpoints may use to log a request.
const CORRELATION_ID: HeaderName = HeaderName::from_static("x-correlation-id");
/// `Via` entry of a node whose name is not allowed in a `Via` field.
const DEFAULT_VIA: HeaderValue = HeaderValue::from_static("1.1 pumicehead");

/// The routing state of one revision. A request takes a reference to it once, so that it never sees parts of two revisions.
pub struct RoutingState {
    /// Lookup tables with the routes.
    pub table: Arc<RequestTable>,
    /// Pool handles, in the order of the configuration.
    pub pools: Vec<PoolHandle>,
}

/// Admits requests according to the routes in force.
pub struct RouteAdmission {
    routing: RefCell<Rc<RoutingState>>,
    /// Prefix of all correlation ids of this process.
    id_prefix: u64,
    next_id: Cell<u64>,
    traffic_recorder: Option<TrafficRecorder>,
}

/// Result of routing a request.
struct RoutedRequest {
    /// Index of the pool in the configuration.
    pool: usize,
    class: usize,
    deadline: Duration,
    tenant: Option<TenantId>,
    ordering_key: Option<Vec<u8>>,
}

impl RouteAdmission {
    /// Creates the admission with the routing state of the first revision.
    pub fn new(routing: RoutingState, id_prefix: u64, traffic_recorder: Option<TrafficRecorder>) -> Rc<Self> {
        let routing = RefCell::new(Rc::new(routing));
        Rc::new(Self { routing, id_prefix, next_id: Cell::new(0), traffic_recorder })
    }

    /// Switches to another revision for requests that arrive after this call.
    pub fn set_routing(&self, routing: RoutingState) {
        self.routing.replace(Rc::new(routing));
    }

    fn next_correlation_id(&self) -> String {
        let number = self.next_id.get();
        self.next_id.set(number.wrapping_add(1));
        format!("{:016x}{number:08x}", self.id_prefix)
    }

    fn record_traffic(&self, head: &RequestHead<'_>) {
        let Some(recorder) = &self.traffic_recorder else { return };
        let target = head.uri.path_and_query().map_or("", |target| target.as_str());
        let length = head.headers.get(header::CONTENT_LENGTH).and_then(|length| length.to_str().ok());
        let length = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
        recorder.record(head.method.as_str(), target, length);
    }
}

impl Admission for RouteAdmission {
    fn admit(&self, mut head: RequestHead<'_>) -> Result<AdmittedRequest, RequestError> {
        self.record_traffic(&head);
        let routing = self.routing.borrow().clone();
        let table = &routing.table;
        if matches!(*head.method, Method::TRACE | Method::CONNECT) {
            // TRACE would show a client the fields that other hops added; CONNECT is for proxies that clients choose.
            return Err(RequestError::NotImplemented);
        }
        if *head.method == Method::OPTIONS && is_final_recipient(&mut head)? {
            return Err(RequestError::LocalResponse(StatusCode::NO_CONTENT));
        }
        let authority = authority(&head)?;
        let routed = route(table, &head, &authority)?;
        let correlation_id = self.next_correlation_id();
        let (method, uri) = (head.method.clone(), head.uri);
        let headers = forwarded_headers(table, head, &authority, &correlation_id)?;
        let upstream =
            UpstreamRequest { method, uri: origin_form(uri)?, headers, ..UpstreamRequest::default() };
        let request = ProxyRequest {
            correlation_id: correlation_id.into(),
            class: routed.class,
            tenant: routed.tenant,
            cost_hint: None,
            ordering_key: routed.ordering_key,
            revision: Some(table.revision().0),
            received_at: Instant::now(),
            time_left: routed.deadline,
            body_read_time: Duration::ZERO,
            upstream,
        };
        // Responses of all endpoints count as HTTP/1.1, since the node has parsed them completely.
        let via = table.via(Version::HTTP_11).unwrap_or(DEFAULT_VIA);
        let pool = routing.pools[routed.pool].clone();
        Ok(AdmittedRequest { pool, request, style: ResponseStyle::Gateway(via), requires_empty_body: false })
    }
}

/// Finds the route of a request and derives the pool, class, deadline, tenant and ordering key from it.
fn route(
    table: &RequestTable,
    head: &RequestHead<'_>,
    authority: &str,
) -> Result<RoutedRequest, RequestError> {
    let host = request_host(authority)
        .map_err(|error| RequestError::AmbiguousTarget(format!("the host is {error}")))?;
    let path = RequestPath::parse(head.uri.path())
        .map_err(|error| RequestError::AmbiguousTarget(error.to_string()))?;
    let query = RouteQuery { host: &host, path: &path, method: head.method, headers: &head.headers };
    let route = match table.routes().matcher().find(&query) {
        MatchResult::Route(route) => route,
        MatchResult::MethodNotAllowed(allowed) => return Err(RequestError::MethodNotAllowed(allowed)),
        MatchResult::NoMatch => return Err(RequestError::UnknownTarget),
    };
    let target: &RouteTarget = table.target(route);
    if target.decodes_path && path.has_encoded_slash() {
        return Err(RequestError::UnknownTarget);
    }
    if let Some(name) = &target.idempotency_key_header {
        single_value(&head.headers, name)?;
    }
    Ok(RoutedRequest {
        pool: target.pool,
        class: target.class,
        deadline: target.deadline,
        tenant: tenant(table, route, &head.headers)?,
        ordering_key: key_of(table.routes().key(route), &query),
    })
}

fn tenant(table: &RequestTable, route: usize, headers: &HeaderMap) -> Result<Option<TenantId>, RequestError> {
    match table.routes().tenant(route) {
        TenantSource::None => Ok(None),
        TenantSource::Fixed(index) => Ok(table.tenant(*index)),
        TenantSource::Header(name) => {
            let invalid = || RequestError::InvalidHeader(name.clone().into());
            let field = HeaderName::from_bytes(name.as_bytes()).map_err(|_| invalid())?;
            let value = std::str::from_utf8(single_value(headers, &field)?).ok();
            let known = value.and_then(|value| table.tenant_by_name(value));
            known.map(Some).ok_or_else(invalid)
        }
    }
}

/// Returns the fields that are forwarded to the endpoint: the end-to-end fields, and those that a gateway adds.
fn forwarded_headers(
    table: &RequestTable,
    head: RequestHead<'_>,
    authority: &str,
    correlation_id: &str,
) -> Result<HeaderMap, RequestError> {
    let mut headers = head.headers;
    let host = HeaderValue::from_str(authority).map_err(|_| RequestError::InvalidHeader("host".into()))?;
    headers.insert(header::HOST, host);
    header_fields::strip_hop_by_hop(&mut headers);
    append(&mut headers, header::VIA, table.via(head.version));
    append(&mut headers, header::FORWARDED, header_fields::forwarded(head.client_ip, Some(authority)));
    if !headers.contains_key(&CORRELATION_ID) {
        append(&mut headers, CORRELATION_ID, HeaderValue::from_bytes(correlation_id.as_bytes()).ok());
    }
    Ok(headers)
}

/// Returns the host of a request, with its port if it names one: from a target in absolute form, otherwise from the single
/// `Host` field (RFC 9112 sections 3.2 and 3.2.2). An HTTP/1.0 request needs no `Host` field.
fn authority(head: &RequestHead<'_>) -> Result<String, RequestError> {
    let mut hosts = head.headers.get_all(header::HOST).iter();
    let field = match (hosts.next(), hosts.next()) {
        (Some(host), None) => host.to_str().map_err(|_| RequestError::InvalidHeader("host".into()))?,
        (None, _) if head.version == Version::HTTP_10 => "",
        _ => return Err(RequestError::InvalidHeader("host".into())),
    };
    Ok(head.uri.authority().map_or(field, |authority| authority.as_str()).to_owned())
}

fn origin_form(uri: &Uri) -> Result<Uri, RequestError> {
    if uri.authority().is_none() {
        return Ok(uri.clone());
    }
    let Some(path) = uri.path_and_query().cloned() else { return Ok(Uri::from_static("/")) };
    let built = Uri::builder().path_and_query(path).build();
    built.map_err(|_| RequestError::AmbiguousTarget("the target can't be read".into()))
}

/// Whether an OPTIONS request is for this node, because its target is `*` or because `Max-Forwards` is 0 (RFC 9110 sections
/// 9.3.7 and 7.6.2). Otherwise decrements `Max-Forwards`, if present.
fn is_final_recipient(head: &mut RequestHead<'_>) -> Result<bool, RequestError> {
    if head.uri.path() == "*" {
        return Ok(true);
    }
    let Some(hops) = head.headers.get(header::MAX_FORWARDS) else { return Ok(false) };
    let hops: Option<u32> = hops.to_str().ok().and_then(|hops| hops.trim().parse().ok());
    let hops = hops.ok_or(RequestError::InvalidHeader("max-forwards".into()))?;
    if let Some(remaining_hops) = hops.checked_sub(1) {
        head.headers.insert(header::MAX_FORWARDS, remaining_hops.into());
    }
    Ok(hops == 0)
}

/// Returns the value of a field that must occur exactly once. If there were two, the endpoint might use the other one.
fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a [u8], RequestError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (Some(value), None) if !value.as_bytes().trim_ascii().is_empty() => Ok(value.as_bytes().trim_ascii()),
        _ => Err(RequestError::InvalidHeader(name.as_str().to_owned().into())),
    }
}

fn append(headers: &mut HeaderMap, name: HeaderName, value: Option<HeaderValue>) {
    if let Some(value) = value {
        headers.append(name, value);
    }
}
