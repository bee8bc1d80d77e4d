//! CGI/1.1 (RFC 3875): conversion between requests and variables, and the head of a response.

use std::borrow::Cow;
use std::net::IpAddr;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode, Uri};
use thiserror::Error;

use crate::pairs::Pair;

/// Maximum length of the head of a response, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 << 10;
/// Maximum number of fields in the head of a response.
pub const MAX_HEAD_FIELDS: usize = 256;

/// Why a request can't be expressed in variables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The path contains an encoded slash or NUL, or an invalid escape. PATH_INFO is decoded (RFC 3875 section 4.1.5),
    /// so that an encoded slash or NUL would result in a different path there.
    #[error(
        "path contains an encoded slash or NUL, or an invalid escape, and can't be expressed in PATH_INFO"
    )]
    Path,
}

/// What a gateway knows about a request besides its head.
#[derive(Clone, Copy, Debug)]
pub struct GatewayContext<'a> {
    /// Address of the client.
    pub client_address: Option<IpAddr>,
    /// The part of the path that identifies the application (SCRIPT_NAME), without a trailing slash; may be empty.
    pub script_name: &'a str,
    /// Directory of the application's files (DOCUMENT_ROOT), for SCRIPT_FILENAME; empty if there is none.
    pub document_root: &'a str,
    /// Length of the body, in bytes.
    pub body_length: usize,
}

/// Name and value of a variable.
pub type Variable<'a> = (Cow<'static, str>, Cow<'a, [u8]>);

/// Returns the variables of a request (sections 4.1.1 to 4.1.18).
///
/// Header fields with `_` in their names are left out: as variables they could not be distinguished from fields with
/// `-`, which a gateway may have checked. `Proxy` is left out as well, because many libraries read HTTP_PROXY as their
/// own proxy setting.
///
/// # Errors
/// If the path can't be expressed in PATH_INFO.
pub fn variables<'a>(
    method: &'a Method,
    uri: &'a Uri,
    headers: &'a HeaderMap,
    context: GatewayContext<'a>,
) -> Result<Vec<Variable<'a>>, RequestError> {
    let mut list: Vec<Variable<'a>> = Vec::with_capacity(headers.len() + 16);
    let mut add = |name: &'static str, value: Cow<'a, [u8]>| list.push((Cow::Borrowed(name), value));
    let text = |text: &'a str| Cow::Borrowed(text.as_bytes());
    let path = decode(uri.path()).ok_or(RequestError::Path)?;
    let script = context.script_name.as_bytes();
    let under = path.strip_prefix(script).filter(|rest| rest.is_empty() || rest.starts_with(b"/"));
    let (script, path_info) = match under {
        Some(rest) => (context.script_name, rest.to_vec()),
        None => ("", path.into_owned()),
    };
    add("GATEWAY_INTERFACE", text("CGI/1.1"));
    add("SERVER_PROTOCOL", text("HTTP/1.1"));
    add("SERVER_SOFTWARE", text("pumicehead"));
    add("REQUEST_METHOD", text(method.as_str()));
    add("REQUEST_URI", text(uri.path_and_query().map_or("/", |target| target.as_str())));
    add("SCRIPT_NAME", text(script));
    add("PATH_INFO", Cow::Owned(path_info));
    add("QUERY_STRING", text(uri.query().unwrap_or("")));
    if !context.document_root.is_empty() {
        add("DOCUMENT_ROOT", text(context.document_root));
        add("SCRIPT_FILENAME", Cow::Owned([context.document_root.as_bytes(), script.as_bytes()].concat()));
    }
    let host = headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    let (name, port) = match host.rsplit_once(':') {
        Some((name, port)) if !port.ends_with(']') => (name, port),
        _ => (host, "80"),
    };
    add("SERVER_NAME", text(name));
    add("SERVER_PORT", text(port));
    if let Some(peer) = context.client_address {
        let peer = peer.to_canonical().to_string();
        add("REMOTE_ADDR", Cow::Owned(peer.into_bytes()));
    }
    if context.body_length > 0 || headers.contains_key(header::CONTENT_TYPE) || !is_bodiless(method) {
        add("CONTENT_LENGTH", Cow::Owned(context.body_length.to_string().into_bytes()));
    }
    if let Some(kind) = headers.get(header::CONTENT_TYPE) {
        add("CONTENT_TYPE", Cow::Borrowed(kind.as_bytes()));
    }
    for name in headers.keys() {
        if *name == header::CONTENT_TYPE || *name == header::CONTENT_LENGTH || *name == "proxy" {
            continue;
        }
        if name.as_str().contains('_') {
            continue;
        }
        let separator: &[u8] = if *name == header::COOKIE { b"; " } else { b", " };
        let mut values = headers.get_all(name).iter().map(HeaderValue::as_bytes);
        let first = values.next().unwrap_or_default();
        let value =
            values.fold(Cow::Borrowed(first), |all, value| Cow::Owned([&all, separator, value].concat()));
        let variable = format!("HTTP_{}", name.as_str().to_ascii_uppercase().replace('-', "_"));
        list.push((Cow::Owned(variable), value));
    }
    Ok(list)
}

/// Returns whether requests with this method usually have no body.
fn is_bodiless(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS | Method::DELETE)
}

/// Percent-decodes a path. Returns `None` if it contains an encoded slash or NUL, which would change its segments, or
/// an invalid escape.
fn decode(path: &str) -> Option<Cow<'_, [u8]>> {
    if !path.contains('%') {
        return Some(Cow::Borrowed(path.as_bytes()));
    }
    let mut bytes = path.bytes();
    let mut out = Vec::with_capacity(path.len());
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let mut digit = || bytes.next().and_then(|digit| char::from(digit).to_digit(16));
        match (digit()? * 16 + digit()?) as u8 {
            0 | b'/' => return None,
            byte => out.push(byte),
        }
    }
    Some(Cow::Owned(out))
}

/// A request that a front end has sent as variables.
#[derive(Clone, Debug, PartialEq)]
pub struct ParsedRequest {
    /// Method.
    pub method: Method,
    /// Target in origin form.
    pub uri: Uri,
    /// Header fields.
    pub headers: HeaderMap,
    /// Address of the client according to the front end.
    pub client_address: Option<IpAddr>,
    /// Length that the body must have, in bytes; `None` if it is not stated.
    pub body_length: Option<u64>,
}

/// Why variables are not a valid request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VariablesError {
    /// The method is missing or malformed.
    #[error("REQUEST_METHOD is missing or malformed")]
    Method,
    /// There is no valid path.
    #[error("neither REQUEST_URI nor SCRIPT_NAME with PATH_INFO is a valid path")]
    Target,
    /// The length is malformed.
    #[error("CONTENT_LENGTH is malformed")]
    Length,
    /// A variable occurs more than once, so that its value is ambiguous.
    #[error("a variable of the request occurs more than once")]
    Repeated,
}

/// Converts variables to a request. HTTP_* variables become header fields, except HTTP_PROXY, which clients must not be
/// able to set. Variables that are not valid as a field are left out.
///
/// # Errors
/// If a variable read here is missing, malformed or occurs more than once.
pub fn parse_request(list: &[Pair]) -> Result<ParsedRequest, VariablesError> {
    let get = |name: &str| {
        let mut found = list.iter().filter(|(known, _)| known == name.as_bytes()).map(|(_, value)| value);
        match (found.next(), found.next()) {
            (_, Some(_)) => Err(VariablesError::Repeated),
            (value, None) => Ok(value.filter(|value| !value.is_empty())),
        }
    };
    let method = get("REQUEST_METHOD")?.ok_or(VariablesError::Method)?;
    let method = Method::from_bytes(method).map_err(|_| VariablesError::Method)?;
    let target = match get("REQUEST_URI")? {
        Some(target) => target.clone(),
        None => target(get("SCRIPT_NAME")?, get("PATH_INFO")?, get("QUERY_STRING")?),
    };
    let target = std::str::from_utf8(&target).map_err(|_| VariablesError::Target)?;
    // A front end may pass on a target in absolute form; its host is also in HTTP_HOST.
    let uri: Uri = target.parse().map_err(|_| VariablesError::Target)?;
    let path = uri.path_and_query().filter(|path| path.as_str().starts_with('/')).cloned();
    let uri = Uri::from(path.ok_or(VariablesError::Target)?);
    let body_length = match get("CONTENT_LENGTH")? {
        None => None,
        Some(value) => {
            let digits = value.iter().all(u8::is_ascii_digit);
            let number =
                std::str::from_utf8(value).ok().filter(|_| digits).and_then(|text| text.parse().ok());
            Some(number.ok_or(VariablesError::Length)?)
        }
    };
    let client_address = get("REMOTE_ADDR")?.and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
    let mut headers = HeaderMap::new();
    let mut add = |name: &[u8], value: &Bytes| {
        if let (Ok(name), Ok(value)) =
            (HeaderName::from_bytes(name), HeaderValue::from_maybe_shared(value.clone()))
        {
            headers.append(name, value);
        }
    };
    for (name, value) in list {
        if name.as_ref() == b"HTTP_PROXY" {
            continue;
        }
        if let Some(field) = name.strip_prefix(b"HTTP_") {
            let field: Vec<u8> =
                field.iter().map(|&b| if b == b'_' { b'-' } else { b.to_ascii_lowercase() }).collect();
            add(&field, value);
        }
    }
    if let Some(kind) = get("CONTENT_TYPE")? {
        add(b"content-type", kind);
    }
    if !headers.contains_key(header::HOST)
        && let Some(name) = get("SERVER_NAME")?
    {
        let host = match get("SERVER_PORT")? {
            Some(port) if port.as_ref() != b"80" => [name, &b":"[..], port].concat().into(),
            _ => name.clone(),
        };
        if let Ok(host) = HeaderValue::from_maybe_shared(host) {
            headers.insert(header::HOST, host);
        }
    }
    Ok(ParsedRequest { method, uri, headers, client_address, body_length })
}

/// Builds a target from the decoded parts of its path, which are percent-encoded again, and its query.
fn target(script: Option<&Bytes>, info: Option<&Bytes>, query: Option<&Bytes>) -> Bytes {
    let mut out = BytesMut::new();
    for byte in [script, info].into_iter().flatten().flat_map(|part| part.iter()) {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' => out.extend_from_slice(&[*byte]),
            _ if b"/-._~!$&'()*+,;=:@".contains(byte) => out.extend_from_slice(&[*byte]),
            byte => out.extend_from_slice(format!("%{byte:02X}").as_bytes()),
        }
    }
    if let Some(query) = query {
        out.extend_from_slice(b"?");
        out.extend_from_slice(query);
    }
    out.freeze()
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq)]
pub struct CgiResponseHead {
    /// Status code.
    pub status: StatusCode,
    /// Header fields without `Status`.
    pub headers: HeaderMap,
}

/// Why the head of a response is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ResponseHeadError {
    /// The head is too long.
    #[error("response head exceeds {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// The head has too many fields.
    #[error("response head has more than {MAX_HEAD_FIELDS} fields")]
    TooManyFields,
    /// A line is not a valid field.
    #[error("response head contains a line that is not a valid field")]
    Field,
    /// `Status` is malformed, in the range 100 to 199, or occurs more than once.
    #[error("response head has an invalid or repeated Status")]
    Status,
    /// The head has none of `Content-Type`, `Location` and `Status` (section 6.2.1).
    #[error("response head has none of Content-Type, Location and Status")]
    NoStatus,
}

/// Decodes the head of a response from input that may be split anywhere.
#[derive(Debug, Default)]
pub struct HeadReader {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that need not be searched for the end of the head again.
    seen: usize,
}

impl HeadReader {
    /// Decodes a part of a response. Returns the head and the bytes after it once the head is complete.
    ///
    /// # Errors
    /// If the head is malformed or exceeds a limit.
    pub fn feed(&mut self, part: &[u8]) -> Result<Option<(CgiResponseHead, Bytes)>, ResponseHeadError> {
        self.buffer.extend_from_slice(part);
        let Some((head, body)) = end(&self.buffer, self.seen) else {
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ResponseHeadError::HeadTooLong);
            }
            self.seen = self.buffer.len().saturating_sub(3);
            return Ok(None);
        };
        if head > MAX_HEAD_BYTES {
            return Err(ResponseHeadError::HeadTooLong);
        }
        let mut all = std::mem::take(&mut self.buffer);
        let rest = all.split_off(body).freeze();
        Ok(Some((read_head(&all[..head])?, rest)))
    }
}

/// Returns the offsets at which the head ends and the body begins. An empty line separates them; lines end with LF or
/// CRLF.
fn end(bytes: &[u8], from: usize) -> Option<(usize, usize)> {
    // The output may start with the empty line; the empty head is rejected later.
    for (start, empty) in [(0, 1), (0, 2)] {
        if bytes.get(start..empty).is_some_and(|line| line == b"\n" || line == b"\r\n") {
            return Some((0, empty));
        }
    }
    let mut at = from;
    while let Some(newline) = bytes[at..].iter().position(|&b| b == b'\n').map(|offset| at + offset) {
        match &bytes[newline + 1..] {
            [b'\n', ..] => return Some((newline + 1, newline + 2)),
            [b'\r', b'\n', ..] => return Some((newline + 1, newline + 3)),
            _ => at = newline + 1,
        }
    }
    None
}

fn read_head(head: &[u8]) -> Result<CgiResponseHead, ResponseHeadError> {
    let (mut status, mut headers) = (None, HeaderMap::new());
    for (count, line) in head.split(|&b| b == b'\n').filter(|line| !line.trim_ascii().is_empty()).enumerate()
    {
        if count == MAX_HEAD_FIELDS {
            return Err(ResponseHeadError::TooManyFields);
        }
        let colon = line.iter().position(|&b| b == b':').ok_or(ResponseHeadError::Field)?;
        let name = HeaderName::from_bytes(&line[..colon]).map_err(|_| ResponseHeadError::Field)?;
        let value = line[colon + 1..].trim_ascii();
        if name == "status" {
            let code = value.get(..3).and_then(|code| StatusCode::from_bytes(code).ok());
            let ends = value.get(3).is_none_or(|&b| b == b' ');
            let code = code.filter(|code| ends && status.is_none() && !code.is_informational());
            status = Some(code.ok_or(ResponseHeadError::Status)?);
            continue;
        }
        let value = HeaderValue::from_bytes(value).map_err(|_| ResponseHeadError::Field)?;
        headers.append(name, value);
    }
    let status = match status {
        Some(status) => status,
        // A redirect by the client (section 6.2.3). A local redirect (6.2.2) is left to the client as well, because the
        // client may repeat the request where a gateway must not.
        None if headers.contains_key(header::LOCATION) => StatusCode::FOUND,
        None if headers.contains_key(header::CONTENT_TYPE) => StatusCode::OK,
        None => return Err(ResponseHeadError::NoStatus),
    };
    Ok(CgiResponseHead { status, headers })
}

/// Appends the head of a response to `out`.
pub fn put_head(out: &mut BytesMut, status: StatusCode, headers: &HeaderMap) {
    let reason = status.canonical_reason().unwrap_or("Status");
    out.extend_from_slice(format!("Status: {} {reason}\r\n", status.as_u16()).as_bytes());
    for (name, value) in headers {
        out.extend_from_slice(name.as_str().as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    }
    out.extend_from_slice(b"\r\n");
}
