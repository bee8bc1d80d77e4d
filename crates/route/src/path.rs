//! Paths of requests, and path patterns of routes.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Most segments of a path or a pattern. Real paths have fewer, and the cost of a match grows with each
/// segment.
pub const MAX_SEGMENTS: usize = 64;

/// Why the path of a request is rejected before it is matched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PathError {
    /// It does not begin with `/`.
    #[error("the path does not begin with `/`")]
    NotAbsolute,
    /// A `.` or `..` in any encoding: a backend may resolve it and read another path than was matched.
    #[error("the path holds `.` or `..` as a segment")]
    DotSegment,
    /// A `%` without two hexadecimal digits, or an encoded NUL.
    #[error("the path holds a malformed percent-encoding")]
    Encoding,
    /// More than [`MAX_SEGMENTS`] segments.
    #[error("the path has more than {MAX_SEGMENTS} segments")]
    TooDeep,
}

/// The path of a request as segments, each percent-decoded separately.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestPath<'a> {
    pub(crate) segments: Vec<Cow<'a, [u8]>>,
}

impl<'a> RequestPath<'a> {
    /// Splits and decodes the path of a request target, given without its query.
    ///
    /// # Errors
    /// Paths that are rejected before they are matched.
    pub fn parse(path: &'a str) -> Result<Self, PathError> {
        let rest = path.strip_prefix('/').ok_or(PathError::NotAbsolute)?;
        let mut segments = Vec::new();
        if !rest.is_empty() {
            for part in rest.split('/') {
                if segments.len() == MAX_SEGMENTS {
                    return Err(PathError::TooDeep);
                }
                let segment = decode(part)?;
                // A backend may treat a decoded slash or a backslash as a separator.
                if segment.split(|&b| b == b'/' || b == b'\\').any(|part| part == b"." || part == b"..") {
                    return Err(PathError::DotSegment);
                }
                segments.push(segment);
            }
        }
        Ok(Self { segments })
    }

    /// The segment at an index, from 0; `None` past the end and for an empty segment.
    #[must_use]
    pub fn segment(&self, index: usize) -> Option<&[u8]> {
        self.segments.get(index).map(AsRef::as_ref).filter(|segment| !segment.is_empty())
    }

    /// Whether a segment contains an encoded slash: if the whole path were decoded at once, it would be
    /// another path.
    #[must_use]
    pub fn has_encoded_slash(&self) -> bool {
        self.segments.iter().any(|segment| segment.contains(&b'/'))
    }

    /// The last segment; `None` if it is empty.
    #[must_use]
    pub fn last(&self) -> Option<&[u8]> {
        self.segment(self.segments.len().checked_sub(1)?)
    }
}

fn decode(part: &str) -> Result<Cow<'_, [u8]>, PathError> {
    if !part.contains('%') {
        return Ok(Cow::Borrowed(part.as_bytes()));
    }
    let mut bytes = part.bytes();
    let mut decoded = Vec::with_capacity(part.len());
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let mut digit = || bytes.next().and_then(|digit| char::from(digit).to_digit(16));
        let (Some(high), Some(low)) = (digit(), digit()) else { return Err(PathError::Encoding) };
        match (high * 16 + low) as u8 {
            0 => return Err(PathError::Encoding),
            byte => decoded.push(byte),
        }
    }
    Ok(Cow::Owned(decoded))
}

/// Why a text is not a path pattern.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PatternError {
    /// It does not begin with `/`.
    #[error("a path must begin with `/`")]
    NotAbsolute,
    /// An empty segment before the last one, or before `**`.
    #[error("only the last segment of a path may be empty")]
    EmptySegment,
    /// A `.` or `..` segment.
    #[error("segments `.` and `..` are not allowed: requests with them are rejected")]
    DotSegment,
    /// A `*` that is only a part of a segment, or `**` before the end.
    #[error("`*` must be a whole segment, and `**` the last one")]
    Wildcard,
    /// A malformed percent-encoding.
    #[error("malformed percent-encoding")]
    Encoding,
    /// A query or fragment.
    #[error("`?` and `#` are not allowed: routes do not match the query")]
    Query,
    /// More than [`MAX_SEGMENTS`] segments.
    #[error("a path has at most {MAX_SEGMENTS} segments")]
    TooDeep,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Segment {
    Literal(Box<[u8]>),
    /// Any segment that is not empty.
    Any,
}

impl Segment {
    fn matches(&self, segment: &[u8]) -> bool {
        match self {
            Self::Literal(literal) => **literal == *segment,
            Self::Any => !segment.is_empty(),
        }
    }

    fn covers(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Any, Self::Any) => true,
            (Self::Any, Self::Literal(literal)) => !literal.is_empty(),
            (Self::Literal(one), Self::Literal(other)) => one == other,
            (Self::Literal(_), Self::Any) => false,
        }
    }
}

/// The paths that a route matches: `/a/b` exactly, with `*` for any one segment, and with `/**` at the end
/// for any number of further segments, including none.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PathPattern {
    pub(crate) segments: Vec<Segment>,
    /// Whether further segments may follow: the pattern ends with `/**`.
    pub(crate) rest: bool,
}

impl PathPattern {
    /// Matches every path.
    #[must_use]
    pub fn any() -> Self {
        Self { segments: Vec::new(), rest: true }
    }

    /// Whether it matches a path.
    #[must_use]
    pub fn matches(&self, path: &RequestPath<'_>) -> bool {
        let length_fits = match self.rest {
            true => path.segments.len() >= self.segments.len(),
            false => path.segments.len() == self.segments.len(),
        };
        length_fits
            && self.segments.iter().zip(&path.segments).all(|(pattern, segment)| pattern.matches(segment))
    }

    /// Whether it matches every path that `other` matches.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        let length_fits = match (self.rest, other.rest) {
            (true, _) => other.segments.len() >= self.segments.len(),
            (false, false) => other.segments.len() == self.segments.len(),
            (false, true) => false,
        };
        length_fits && self.segments.iter().zip(&other.segments).all(|(one, other)| one.covers(other))
    }
}

impl PathPattern {
    /// Whether some path matches both patterns.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        let length_fits = match (self.rest, other.rest) {
            (true, true) => true,
            (true, false) => other.segments.len() >= self.segments.len(),
            (false, true) => self.segments.len() >= other.segments.len(),
            (false, false) => self.segments.len() == other.segments.len(),
        };
        let segments_overlap = |(one, other): (&Segment, &Segment)| one.covers(other) || other.covers(one);
        length_fits && self.segments.iter().zip(&other.segments).all(segments_overlap)
    }
}

impl FromStr for PathPattern {
    type Err = PatternError;

    fn from_str(text: &str) -> Result<Self, PatternError> {
        let rest = text.strip_prefix('/').ok_or(PatternError::NotAbsolute)?;
        if rest.contains(['?', '#']) {
            return Err(PatternError::Query);
        }
        if rest.is_empty() {
            return Ok(Self { segments: Vec::new(), rest: false });
        }
        let parts: Vec<_> = rest.split('/').collect();
        let (parts, rest) = match parts.split_last() {
            Some((&"**", parts)) => (parts, true),
            _ => (&parts[..], false),
        };
        if parts.len() > MAX_SEGMENTS {
            return Err(PatternError::TooDeep);
        }
        let mut segments = Vec::with_capacity(parts.len());
        for (index, &part) in parts.iter().enumerate() {
            if part.is_empty() && (rest || index + 1 < parts.len()) {
                return Err(PatternError::EmptySegment);
            }
            if part == "*" {
                segments.push(Segment::Any);
                continue;
            }
            if part.contains('*') {
                return Err(PatternError::Wildcard);
            }
            let literal = decode(part).map_err(|_| PatternError::Encoding)?;
            if literal.split(|&b| b == b'/' || b == b'\\').any(|part| part == b"." || part == b"..") {
                return Err(PatternError::DotSegment);
            }
            segments.push(Segment::Literal(literal.into()));
        }
        Ok(Self { segments, rest })
    }
}

impl fmt::Display for PathPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for segment in &self.segments {
            f.write_str("/")?;
            match segment {
                Segment::Any => f.write_str("*")?,
                Segment::Literal(literal) => {
                    for &byte in literal {
                        // Unreserved characters and sub-delims (RFC 3986 section 2) without `*`, also `:` and
                        // `@`.
                        let is_literal = byte.is_ascii_alphanumeric() || b"-._~!$&'()+,;=:@".contains(&byte);
                        if is_literal {
                            write!(f, "{}", char::from(byte))
                        } else {
                            write!(f, "%{byte:02X}")
                        }?;
                    }
                }
            }
        }
        match (self.rest, self.segments.is_empty()) {
            (true, _) => f.write_str("/**"),
            (false, true) => f.write_str("/"),
            (false, false) => Ok(()),
        }
    }
}
