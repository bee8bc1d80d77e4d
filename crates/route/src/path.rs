//! Paths: what a request asks for, and what a route wants.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

use thiserror::Error;

/// Most segments of a path, a request's or a pattern's: deeper ones are no real ones, and each costs a step.
pub const MOST_SEGMENTS: usize = 64;

/// A request's path that no route may see.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PathError {
    /// It does not begin with `/`.
    #[error("the path does not begin with `/`")]
    NotAbsolute,
    /// A `.` or `..` in any encoding: a backend would read another path than was matched.
    #[error("the path holds `.` or `..` as a segment")]
    DotSegment,
    /// A `%` without two hexadecimal digits, or one that stands for a NUL.
    #[error("the path holds a malformed percent-encoding")]
    Encoding,
    /// Too many segments.
    #[error("the path has more than {MOST_SEGMENTS} segments")]
    TooDeep,
}

/// A request's path in segments, each decoded by itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestPath<'a> {
    pub(crate) segments: Vec<Cow<'a, [u8]>>,
}

impl<'a> RequestPath<'a> {
    /// Divides and decodes the path of a request target, without its query.
    ///
    /// # Errors
    /// What no route may see.
    pub fn parse(path: &'a str) -> Result<Self, PathError> {
        let rest = path.strip_prefix('/').ok_or(PathError::NotAbsolute)?;
        let mut segments = Vec::new();
        if !rest.is_empty() {
            for part in rest.split('/') {
                if segments.len() == MOST_SEGMENTS {
                    return Err(PathError::TooDeep);
                }
                let segment = decode(part)?;
                // A backend may well take a decoded slash, or a backslash, for one that divides.
                if segment.split(|&b| b == b'/' || b == b'\\').any(|part| part == b"." || part == b"..") {
                    return Err(PathError::DotSegment);
                }
                segments.push(segment);
            }
        }
        Ok(Self { segments })
    }

    /// The segment at a place, from 0; `None` past the end and where it is empty.
    #[must_use]
    pub fn segment(&self, place: usize) -> Option<&[u8]> {
        self.segments.get(place).map(AsRef::as_ref).filter(|segment| !segment.is_empty())
    }

    /// Whether a segment holds an encoded slash: decoded as a whole, this would be another path.
    #[must_use]
    pub fn holds_slash(&self) -> bool {
        self.segments.iter().any(|segment| segment.contains(&b'/'))
    }

    /// The last segment; `None` where it is empty.
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

/// A pattern that is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PatternError {
    /// It does not begin with `/`.
    #[error("a path begins with `/`")]
    NotAbsolute,
    /// Two slashes in a row.
    #[error("a path has no empty segments but a last one")]
    EmptySegment,
    /// `.` or `..`.
    #[error("`.` and `..` are no segments: requests that hold them are refused")]
    DotSegment,
    /// `*` inside a segment, or `**` before the end.
    #[error("`*` stands for one whole segment, `**` for the rest of the path at its end")]
    Star,
    /// A malformed percent-encoding.
    #[error("malformed percent-encoding")]
    Encoding,
    /// A query or fragment.
    #[error("a path holds no `?` or `#`: routes don't see the query")]
    Query,
    /// Too many segments.
    #[error("a path has at most {MOST_SEGMENTS} segments")]
    TooDeep,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Segment {
    Literal(Box<[u8]>),
    /// One that is not empty.
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

/// Paths that a route takes: `/a/b` exactly, `*` for one segment, `/**` at the end for any rest, also none.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PathPattern {
    pub(crate) segments: Vec<Segment>,
    pub(crate) rest: bool,
}

impl PathPattern {
    /// Every path.
    #[must_use]
    pub fn any() -> Self {
        Self { segments: Vec::new(), rest: true }
    }

    /// Whether it takes a path.
    #[must_use]
    pub fn matches(&self, path: &RequestPath<'_>) -> bool {
        let enough = match self.rest {
            true => path.segments.len() >= self.segments.len(),
            false => path.segments.len() == self.segments.len(),
        };
        enough && self.segments.iter().zip(&path.segments).all(|(wanted, segment)| wanted.matches(segment))
    }

    /// Whether it takes every path that the other takes.
    #[must_use]
    pub fn covers(&self, other: &Self) -> bool {
        let enough = match (self.rest, other.rest) {
            (true, _) => other.segments.len() >= self.segments.len(),
            (false, false) => other.segments.len() == self.segments.len(),
            (false, true) => false,
        };
        enough && self.segments.iter().zip(&other.segments).all(|(one, other)| one.covers(other))
    }
}

impl PathPattern {
    /// Whether some path is taken by both.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        let enough = match (self.rest, other.rest) {
            (true, true) => true,
            (true, false) => other.segments.len() >= self.segments.len(),
            (false, true) => self.segments.len() >= other.segments.len(),
            (false, false) => self.segments.len() == other.segments.len(),
        };
        let meet = |(one, other): (&Segment, &Segment)| one.covers(other) || other.covers(one);
        enough && self.segments.iter().zip(&other.segments).all(meet)
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
        if parts.len() > MOST_SEGMENTS {
            return Err(PatternError::TooDeep);
        }
        let mut segments = Vec::with_capacity(parts.len());
        for (place, &part) in parts.iter().enumerate() {
            if part.is_empty() && (rest || place + 1 < parts.len()) {
                return Err(PatternError::EmptySegment);
            }
            if part == "*" {
                segments.push(Segment::Any);
                continue;
            }
            if part.contains('*') {
                return Err(PatternError::Star);
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
                        // Unreserved and sub-delims (RFC 3986 section 2), less the star.
                        let plain = byte.is_ascii_alphanumeric() || b"-._~!$&'()+,;=:@".contains(&byte);
                        if plain { write!(f, "{}", char::from(byte)) } else { write!(f, "%{byte:02X}") }?;
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
