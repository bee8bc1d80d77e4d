//! CGI/1.1 (RFC 3875): variables of a request and back, and the head of an answer.

use std::borrow::Cow;
use std::net::IpAddr;

use bytes::{Bytes, BytesMut};
use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, StatusCode, Uri};
use thiserror::Error;

use crate::pairs::Pair;

/// Longest head of an answer.
pub const LONGEST_HEAD: usize = 32 << 10;
/// Most fields of an answer's head.
pub const MOST_FIELDS: usize = 256;

/// A request that can't be put into variables.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// PATH_INFO is decoded (RFC 3875 section 4.1.5): an encoded slash or a NUL would be another path there.
    #[error("the path holds an encoded slash or NUL, which CGI can't tell from others")]
    Path,
}

/// What a gateway knows of a request beside its head.
#[derive(Clone, Copy, Debug)]
pub struct Around<'a> {
    /// Where the client is.
    pub peer: Option<IpAddr>,
    /// The part of the path that names the application; without a slash at its end, or empty.
    pub script: &'a str,
    /// The folder of the application's files, for SCRIPT_FILENAME; empty where there is none.
    pub root: &'a str,
    /// The length of the body.
    pub length: usize,
}

/// A variable.
pub type Variable<'a> = (Cow<'static, str>, Cow<'a, [u8]>);

/// The variables of a request (sections 4.1.1 to 4.1.18).
///
/// Fields whose names hold `_` are left out: as variables they could not be told from those with `-`, which a gateway
/// may have checked. So is `Proxy`: HTTP_PROXY is read by many libraries as their own setting.
///
/// # Errors
/// A path that can't be put into PATH_INFO.
pub fn variables<'a>(
    method: &'a Method,
    uri: &'a Uri,
    headers: &'a HeaderMap,
    around: Around<'a>,
) -> Result<Vec<Variable<'a>>, RequestError> {
    let mut list: Vec<Variable<'a>> = Vec::with_capacity(headers.len() + 16);
    let mut add = |name: &'static str, value: Cow<'a, [u8]>| list.push((Cow::Borrowed(name), value));
    let text = |text: &'a str| Cow::Borrowed(text.as_bytes());
    let path = decode(uri.path()).ok_or(RequestError::Path)?;
    let script = around.script.as_bytes();
    let under = path.strip_prefix(script).filter(|rest| rest.is_empty() || rest.starts_with(b"/"));
    let (script, info) = match under {
        Some(rest) => (around.script, rest.to_vec()),
        None => ("", path.into_owned()),
    };
    add("GATEWAY_INTERFACE", text("CGI/1.1"));
    add("SERVER_PROTOCOL", text("HTTP/1.1"));
    add("SERVER_SOFTWARE", text("pumicehead"));
    add("REQUEST_METHOD", text(method.as_str()));
    add("REQUEST_URI", text(uri.path_and_query().map_or("/", |target| target.as_str())));
    add("SCRIPT_NAME", text(script));
    add("PATH_INFO", Cow::Owned(info));
    add("QUERY_STRING", text(uri.query().unwrap_or("")));
    if !around.root.is_empty() {
        add("DOCUMENT_ROOT", text(around.root));
        add("SCRIPT_FILENAME", Cow::Owned([around.root.as_bytes(), script.as_bytes()].concat()));
    }
    let host = headers.get(header::HOST).and_then(|host| host.to_str().ok()).unwrap_or("");
    let (name, port) = match host.rsplit_once(':') {
        Some((name, port)) if !port.ends_with(']') => (name, port),
        _ => (host, "80"),
    };
    add("SERVER_NAME", text(name));
    add("SERVER_PORT", text(port));
    if let Some(peer) = around.peer {
        let peer = peer.to_canonical().to_string();
        add("REMOTE_ADDR", Cow::Owned(peer.into_bytes()));
    }
    if around.length > 0 || headers.contains_key(header::CONTENT_TYPE) || !is_bodiless(method) {
        add("CONTENT_LENGTH", Cow::Owned(around.length.to_string().into_bytes()));
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
        let joint: &[u8] = if *name == header::COOKIE { b"; " } else { b", " };
        let mut values = headers.get_all(name).iter().map(HeaderValue::as_bytes);
        let first = values.next().unwrap_or_default();
        let value = values.fold(Cow::Borrowed(first), |all, value| Cow::Owned([&all, joint, value].concat()));
        let variable = format!("HTTP_{}", name.as_str().to_ascii_uppercase().replace('-', "_"));
        list.push((Cow::Owned(variable), value));
    }
    Ok(list)
}

fn is_bodiless(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS | Method::DELETE)
}

/// A decoded path; `None` where decoding would change what divides it.
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

/// A request as a front end sent it in variables.
#[derive(Clone, Debug, PartialEq)]
pub struct FromVariables {
    /// Its method.
    pub method: Method,
    /// Its target in origin form.
    pub uri: Uri,
    /// Its fields.
    pub headers: HeaderMap,
    /// Where the client is, as the front end says.
    pub peer: Option<IpAddr>,
    /// The length that its body must have; `None` where it is not told.
    pub length: Option<u64>,
}

/// Variables that are no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum VariablesError {
    /// No method, or one that is none.
    #[error("REQUEST_METHOD is missing or malformed")]
    Method,
    /// No path.
    #[error("neither REQUEST_URI nor SCRIPT_NAME and PATH_INFO name a path")]
    Target,
    /// A length that is none.
    #[error("CONTENT_LENGTH is malformed")]
    Length,
    /// A variable that comes twice, whichever counts.
    #[error("a variable of the request comes twice")]
    Twice,
}

/// Makes a request of variables. HTTP_* become fields, but HTTP_PROXY, which no client may set. What can't be a field
/// is left out.
///
/// # Errors
/// What is missing or malformed, and any of the variables read here that comes twice.
pub fn request(list: &[Pair]) -> Result<FromVariables, VariablesError> {
    let get = |name: &str| {
        let mut found = list.iter().filter(|(known, _)| known == name.as_bytes()).map(|(_, value)| value);
        match (found.next(), found.next()) {
            (_, Some(_)) => Err(VariablesError::Twice),
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
    // A front end may hand on an absolute target; its host is in HTTP_HOST as well.
    let uri: Uri = target.parse().map_err(|_| VariablesError::Target)?;
    let path = uri.path_and_query().filter(|path| path.as_str().starts_with('/')).cloned();
    let uri = Uri::from(path.ok_or(VariablesError::Target)?);
    let length = match get("CONTENT_LENGTH")? {
        None => None,
        Some(value) => {
            let digits = value.iter().all(u8::is_ascii_digit);
            let number =
                std::str::from_utf8(value).ok().filter(|_| digits).and_then(|text| text.parse().ok());
            Some(number.ok_or(VariablesError::Length)?)
        }
    };
    let peer = get("REMOTE_ADDR")?.and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
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
    Ok(FromVariables { method, uri, headers, peer, length })
}

/// A target of its decoded parts, encoded again where a path must be.
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

/// The head of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct AnswerHead {
    /// Its status.
    pub status: StatusCode,
    /// Its fields, without `Status`.
    pub headers: HeaderMap,
}

/// An answer that is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AnswerError {
    /// No end to its head.
    #[error("a head of more than {LONGEST_HEAD} bytes")]
    HeadTooLong,
    /// Too many fields.
    #[error("a head of more than {MOST_FIELDS} fields")]
    TooManyFields,
    /// A line that is no field.
    #[error("a line of the head is no field")]
    Field,
    /// A `Status` that is none, is one of 100 to 199, or comes twice.
    #[error("a malformed Status")]
    Status,
    /// None of `Content-Type`, `Location` and `Status` (section 6.2.1).
    #[error("a head without Content-Type, Location or Status")]
    Bare,
}

/// Reads the head of an answer, however it is split.
#[derive(Debug, Default)]
pub struct HeadReader {
    buffer: BytesMut,
    /// Bytes of the buffer in which there is no end.
    seen: usize,
}

impl HeadReader {
    /// Takes a part of an answer; gives the head and what follows it once the head has ended.
    ///
    /// # Errors
    /// A head that is none, or too long.
    pub fn feed(&mut self, part: &[u8]) -> Result<Option<(AnswerHead, Bytes)>, AnswerError> {
        self.buffer.extend_from_slice(part);
        let Some((head, body)) = end(&self.buffer, self.seen) else {
            if self.buffer.len() > LONGEST_HEAD {
                return Err(AnswerError::HeadTooLong);
            }
            self.seen = self.buffer.len().saturating_sub(3);
            return Ok(None);
        };
        if head > LONGEST_HEAD {
            return Err(AnswerError::HeadTooLong);
        }
        let mut all = std::mem::take(&mut self.buffer);
        let rest = all.split_off(body).freeze();
        Ok(Some((read_head(&all[..head])?, rest)))
    }
}

/// Where the head ends and the body begins: behind an empty line, with either kind of newline.
fn end(bytes: &[u8], from: usize) -> Option<(usize, usize)> {
    // A head may be empty but for its end, which is no head.
    for (start, empty) in [(0, 1), (0, 2)] {
        if bytes.get(start..empty).is_some_and(|line| line == b"\n" || line == b"\r\n") {
            return Some((0, empty));
        }
    }
    let mut at = from;
    while let Some(newline) = bytes[at..].iter().position(|&b| b == b'\n').map(|place| at + place) {
        match &bytes[newline + 1..] {
            [b'\n', ..] => return Some((newline + 1, newline + 2)),
            [b'\r', b'\n', ..] => return Some((newline + 1, newline + 3)),
            _ => at = newline + 1,
        }
    }
    None
}

fn read_head(head: &[u8]) -> Result<AnswerHead, AnswerError> {
    let (mut status, mut headers) = (None, HeaderMap::new());
    for (count, line) in head.split(|&b| b == b'\n').filter(|line| !line.trim_ascii().is_empty()).enumerate()
    {
        if count == MOST_FIELDS {
            return Err(AnswerError::TooManyFields);
        }
        let colon = line.iter().position(|&b| b == b':').ok_or(AnswerError::Field)?;
        let name = HeaderName::from_bytes(&line[..colon]).map_err(|_| AnswerError::Field)?;
        let value = line[colon + 1..].trim_ascii();
        if name == "status" {
            let code = value.get(..3).and_then(|code| StatusCode::from_bytes(code).ok());
            let ends = value.get(3).is_none_or(|&b| b == b' ');
            let code = code.filter(|code| ends && status.is_none() && !code.is_informational());
            status = Some(code.ok_or(AnswerError::Status)?);
            continue;
        }
        let value = HeaderValue::from_bytes(value).map_err(|_| AnswerError::Field)?;
        headers.append(name, value);
    }
    let status = match status {
        Some(status) => status,
        // Section 6.2.3; a local one (6.2.2) is left to the client as well, which may ask again where a gateway
        // must not.
        None if headers.contains_key(header::LOCATION) => StatusCode::FOUND,
        None if headers.contains_key(header::CONTENT_TYPE) => StatusCode::OK,
        None => return Err(AnswerError::Bare),
    };
    Ok(AnswerHead { status, headers })
}

/// Writes the head of an answer.
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
