//! Reads a request's body, and checks how its head says where that ends.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::net::admission::Bad;

/// How a request's head says where its body ends.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length, or there is none.
    Length(u64),
    /// In chunks.
    Chunked,
    /// In more than one way.
    Doubtful,
}

impl Framing {
    /// Read from the head as it came.
    pub fn of(head: &[u8]) -> Self {
        let lines = head.split(|&byte| byte == b'\n').map(<[u8]>::trim_ascii_end);
        // After the request's line, ahead of which empty ones are allowed.
        let fields = lines.skip_while(|line| line.is_empty()).skip(1);
        let (mut length, mut lengths, mut chunked) = (None, 0, false);
        for line in fields {
            let Some(colon) = line.iter().position(|&byte| byte == b':') else { continue };
            let (name, value) = (line[..colon].trim_ascii(), &line[colon + 1..]);
            if name.eq_ignore_ascii_case(b"content-length") {
                length = str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok());
                lengths += 1;
            } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
                chunked = true;
            }
        }
        match (lengths, chunked) {
            (0, false) => Self::Length(0),
            (0, true) => Self::Chunked,
            (1, false) => length.map_or(Self::Doubtful, Self::Length),
            _ => Self::Doubtful,
        }
    }

    /// Bytes of the body, as far as is known.
    pub fn body(self) -> u64 {
        if let Self::Length(length) = self { length } else { u64::MAX }
    }
}

/// A whole body of at most so many bytes.
///
/// # Errors
/// One that is longer or breaks off.
pub async fn collect(mut body: Incoming, longest: usize) -> Result<Bytes, Bad> {
    if body.size_hint().lower() > longest as u64 {
        return Err(Bad::TooLong);
    }
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Bad::Broken)?.into_data() else { continue };
        if whole.len() + data.len() > longest {
            return Err(Bad::TooLong);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.into())
}
