//! Body framing in the head of an HTTP request.

/// How the end of a request's body is determined.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length in bytes; 0 if there is no body.
    Length(u64),
    /// By chunked encoding.
    Chunked,
    /// The head states it more than once, in more than one way, or malformed, so that the body may contain another
    /// request.
    Ambiguous,
}

impl BodyFraming {
    /// Parses the head as it was received.
    pub fn parse(head: &[u8]) -> Self {
        let lines = head.split(|&byte| byte == b'\n').map(<[u8]>::trim_ascii_end);
        // The fields follow the request line, which may be preceded by empty lines.
        let fields = lines.skip_while(|line| line.is_empty()).skip(1);
        let mut length = None;
        let mut lengths = 0;
        let mut chunked = false;
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
            (1, false) => length.map_or(Self::Ambiguous, Self::Length),
            _ => Self::Ambiguous,
        }
    }

    /// Returns the length of the body in bytes, or `u64::MAX` if it is not stated.
    pub fn body_length(self) -> u64 {
        if let Self::Length(length) = self { length } else { u64::MAX }
    }
}
