//! Requests of plain HTTP clients: the routes say what they are.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, StatusCode, Uri, Version};
use pumicehead_config::explain::key_of;
use pumicehead_config::model::{Config, Idempotency, Protocol, TenantSource};
use pumicehead_config::route_table::RouteTable;
use pumicehead_policy::TenantId;
use pumicehead_policy::tenant_ids::{IdsByName, TenantIds};
use pumicehead_resources::Revision;
use pumicehead_route::{Found, Query, RequestPath, request_host};

use crate::net::admission::{Admission, AdmittedRequest, RequestError, RequestHead, ResponseStyle};
use crate::net::exchange::{ProxyRequest, UpstreamRequest};
use crate::net::header_fields;
use crate::net::pool_handle::PoolHandle;
use crate::standalone::record::Recorder;

/// A name that servers may log a request by.
const CORRELATION: HeaderName = HeaderName::from_static("x-correlation-id");

/// The routes of one revision of the configuration, with what their requests are. Immutable and `Send`: it is built off
/// the loop's thread.
pub struct RequestTable {
    revision: Revision,
    routes: Arc<RouteTable>,
    /// The service of each route, by its place among the services.
    service_of: Box<[u32]>,
    services: Box<[Service]>,
    /// Ids of the configuration's tenants, by their places.
    tenants: Box<[Option<TenantId>]>,
    /// Ids of the tenants that headers may name.
    tenants_by_name: Arc<IdsByName>,
    /// This node's entries of `Via`, of messages of HTTP/1.0 and of 1.1.
    via: [Option<HeaderValue>; 2],
}

/// A class of requests at a pool: what all routes that lead there have in common.
struct Service {
    /// Place of its pool in the configuration.
    pool: usize,
    /// Among the classes of its pool.
    class: usize,
    deadline: Duration,
    /// The header that holds an idempotency key, where the class needs one.
    keyed: Option<HeaderName>,
    /// Its servers are told a decoded path, in which an encoded slash would divide.
    decoded: bool,
}

impl Service {
    /// `classes` are the names of the pool's classes in their places.
    fn new(config: &Config, class: usize, pool: usize, classes: &[String]) -> Self {
        let class = &config.classes[class];
        let keyed = match &class.settings.idempotency {
            Idempotency::IdempotencyKey { header, .. } => HeaderName::from_bytes(header.as_bytes()).ok(),
            Idempotency::Idempotent | Idempotency::NotIdempotent => None,
        };
        Self {
            pool,
            // Every class that leads to a pool is among its own.
            class: classes.iter().position(|name| *name == class.name).unwrap_or_default(),
            deadline: Duration::from_nanos(class.settings.deadline),
            keyed,
            decoded: config.pools[pool].settings.protocol == Protocol::FastCgi,
        }
    }
}

impl RequestTable {
    /// `classes` has the names of the classes of each pool, in the order of the pool's settings; `tenants` the ids of the
    /// configuration's tenants.
    pub fn new(revision: Revision, config: &Config, classes: &[&[String]], tenants: &TenantIds) -> Self {
        let mut services = Vec::new();
        let mut places: HashMap<(usize, usize), u32> = HashMap::new();
        let service_of = config.routes.iter().map(|route| {
            let (class, pool) = (route.class, route.pool);
            *places.entry((class, pool)).or_insert_with(|| {
                services.push(Service::new(config, class, pool, classes[pool]));
                services.len() as u32 - 1
            })
        });
        Self {
            revision,
            service_of: service_of.collect(),
            services: services.into(),
            routes: Arc::new(RouteTable::new(&config.routes)),
            tenants: config.tenants.iter().map(|tenant| tenants.get(&tenant.name)).collect(),
            tenants_by_name: tenants.by_name().clone(),
            via: [Version::HTTP_10, Version::HTTP_11]
                .map(|version| header_fields::via(version, &config.node.name)),
        }
    }

    /// The routes.
    pub fn routes(&self) -> &Arc<RouteTable> {
        &self.routes
    }

    /// The service of a route.
    fn service(&self, place: usize) -> &Service {
        &self.services[self.service_of[place] as usize]
    }
}

/// One revision as requests meet it: its routes with the loops of its pools. A request takes all that it needs of it in
/// one step, so that none sees parts of two revisions.
pub struct Live {
    /// The routes.
    pub table: Arc<RequestTable>,
    /// The loop of each pool, in the order of the configuration.
    pub pools: Vec<PoolHandle>,
}

/// Knows requests by the routes that are in force.
pub struct Gateway {
    live: RefCell<Rc<Live>>,
    /// Names of requests: one part for the life of the node, one for the request.
    seed: u64,
    next: Cell<u64>,
    /// What is asked is written down here.
    recorder: Option<Recorder>,
}

impl Gateway {
    /// With the first configuration.
    pub fn new(live: Live, seed: u64, recorder: Option<Recorder>) -> Rc<Self> {
        Rc::new(Self { live: RefCell::new(Rc::new(live)), seed, next: Cell::new(0), recorder })
    }

    /// Requests from now on are admitted under this revision.
    pub fn set_live(&self, live: Live) {
        self.live.replace(Rc::new(live));
    }

    fn correlation(&self) -> String {
        let number = self.next.get();
        self.next.set(number.wrapping_add(1));
        format!("{:016x}{number:08x}", self.seed)
    }
}

impl Admission for Gateway {
    fn admit(&self, mut head: RequestHead<'_>) -> Result<AdmittedRequest, RequestError> {
        if let Some(recorder) = &self.recorder {
            let target = head.uri.path_and_query().map_or("", |target| target.as_str());
            let length = head.headers.get(header::CONTENT_LENGTH).and_then(|length| length.to_str().ok());
            let length = length.and_then(|length| length.trim().parse().ok()).unwrap_or(0);
            recorder.note(head.method.as_str(), target, length);
        }
        let live = self.live.borrow().clone();
        if matches!(*head.method, Method::TRACE | Method::CONNECT) {
            // TRACE shows a client what others added; CONNECT is for proxies that clients choose.
            return Err(RequestError::NotImplemented);
        }
        if *head.method == Method::OPTIONS && ends_here(&mut head)? {
            return Err(RequestError::LocalResponse(StatusCode::NO_CONTENT));
        }
        let authority = authority(&head)?;
        let target = |text: String| RequestError::AmbiguousTarget(text);
        let host = request_host(&authority).map_err(|fault| target(format!("the host is {fault}")))?;
        let path = RequestPath::parse(head.uri.path()).map_err(|fault| target(fault.to_string()))?;
        let query = Query { host: &host, path: &path, method: head.method, headers: &head.headers };
        let table = &live.table;
        let place = match table.routes.matcher().find(&query) {
            Found::Route(place) => place,
            Found::Method(allowed) => return Err(RequestError::MethodNotAllowed(allowed)),
            Found::Nothing => return Err(RequestError::UnknownTarget),
        };
        let service = table.service(place);
        if service.decoded && path.holds_slash() {
            return Err(RequestError::UnknownTarget);
        }
        if let Some(name) = &service.keyed {
            one(&head.headers, name)?;
        }
        let tenant = match table.routes.tenant(place) {
            TenantSource::None => None,
            TenantSource::Fixed(place) => table.tenants[*place],
            TenantSource::Header(name) => {
                let missing = || RequestError::InvalidHeader(name.clone().into());
                let field = HeaderName::from_bytes(name.as_bytes()).map_err(|_| missing())?;
                let value = std::str::from_utf8(one(&head.headers, &field)?).ok();
                let known = value.and_then(|value| table.tenants_by_name.get(value)).copied();
                Some(known.ok_or_else(missing)?)
            }
        };
        let correlation = self.correlation();
        let key = key_of(table.routes.key(place), &query);
        let mut headers = head.headers;
        headers.insert(
            header::HOST,
            HeaderValue::from_str(&authority).map_err(|_| RequestError::InvalidHeader("host".into()))?,
        );
        header_fields::strip_hop_by_hop(&mut headers);
        append(&mut headers, header::VIA, table.via[usize::from(head.version != Version::HTTP_10)].clone());
        append(&mut headers, header::FORWARDED, header_fields::forwarded(head.client_ip, Some(&authority)));
        if !headers.contains_key(&CORRELATION) {
            append(&mut headers, CORRELATION, HeaderValue::from_bytes(correlation.as_bytes()).ok());
        }
        let call = UpstreamRequest {
            method: head.method.clone(),
            uri: origin_form(head.uri)?,
            headers,
            ..UpstreamRequest::default()
        };
        let ask = ProxyRequest {
            correlation_id: correlation.into(),
            class: service.class,
            tenant,
            cost_hint: None,
            ordering_key: key,
            revision: Some(table.revision.0),
            time_left: service.deadline,
            body_read_time: Duration::ZERO,
            upstream: call,
        };
        // The server's answer is one of HTTP/1.1 whatever it speaks: the node has taken it whole.
        let via = table.via[1].clone().unwrap_or(HeaderValue::from_static("1.1 pumicehead"));
        let core = live.pools[service.pool].clone();
        Ok(AdmittedRequest {
            pool: core,
            request: ask,
            style: ResponseStyle::Gateway(via),
            must_be_empty: false,
        })
    }
}

/// The host that a request names, with its port: of an absolute target, or else its one `Host` field (RFC 9112
/// sections 3.2 and 3.2.2). A client of HTTP/1.0 needs none.
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
    let path = uri.path_and_query().cloned();
    let fault = |_| RequestError::AmbiguousTarget("the target can't be read".into());
    path.map_or_else(
        || Ok(Uri::from_static("/")),
        |path| Uri::builder().path_and_query(path).build().map_err(fault),
    )
}

/// Whether an OPTIONS request is for this node, by its target or since it may go no further (RFC 9110 sections
/// 9.3.7 and 7.6.2); else its count of hops goes down.
fn ends_here(head: &mut RequestHead<'_>) -> Result<bool, RequestError> {
    if head.uri.path() == "*" {
        return Ok(true);
    }
    let Some(hops) = head.headers.get(header::MAX_FORWARDS) else { return Ok(false) };
    let hops: Option<u32> = hops.to_str().ok().and_then(|hops| hops.trim().parse().ok());
    let hops = hops.ok_or(RequestError::InvalidHeader("max-forwards".into()))?;
    if let Some(left) = hops.checked_sub(1) {
        head.headers.insert(header::MAX_FORWARDS, left.into());
    }
    Ok(hops == 0)
}

/// The one value of a field: who reads on may take another of two.
fn one<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<&'a [u8], RequestError> {
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
