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
    pub fn of(head: &[Vec<u8>]) -> Self {
        let fields = |name: &str| {
            let named = head.iter().skip(1).filter_map(move |line| {
                let colon = line.iter().position(|&byte| byte == b':')?;
                line[..colon].trim_ascii().eq_ignore_ascii_case(name.as_bytes()).then(|| &line[colon + 1..])
            });
            named.collect::<Vec<_>>()
        };
        let lengths = fields("content-length");
        match (lengths.as_slice(), fields("transfer-encoding").is_empty()) {
            ([], true) => Self::Length(0),
            ([], false) => Self::Chunked,
            ([length], true) => {
                let length = str::from_utf8(length).ok().and_then(|text| text.trim().parse().ok());
                length.map_or(Self::Doubtful, Self::Length)
            }
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
