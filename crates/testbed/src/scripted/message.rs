//! HTTP/1.1 messages as scripted peers read them.

use std::io::BufRead;

/// An HTTP/1.1 request or response as it was received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub first: String,
    /// Header lines, with names in lower case.
    pub headers: Vec<String>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
    }

    /// Returns the status code of a response, or 0 where the first line has none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Reads a message with its body; `None` when the connection ends first.
    pub fn read(input: &mut impl BufRead) -> Option<Self> {
        let mut message = Self::read_head(input)?;
        let length = message.header("content-length").map_or(0, |text| text.parse().unwrap());
        message.body = vec![0; length];
        input.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// Reads a chunked body; `None` when the connection ends before its last chunk.
    pub fn read_chunks(input: &mut impl BufRead) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            input.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            input.read_exact(&mut chunk).ok()?;
            if size == 0 {
                return Some(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    /// Reads a message without a body, whatever its `Content-Length`; `None` when the connection ends first.
    pub fn read_head(input: &mut impl BufRead) -> Option<Self> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if input.read_line(&mut line).ok()? == 0 {
                return None;
            }
            match line.trim_end() {
                "" => break,
                text => lines.push(text.to_owned()),
            }
        }
        let first = lines.remove(0);
        let lower_case_name =
            |line: String| line.split_once(':').map(|(name, value)| name.to_lowercase() + ":" + value);
        Some(Self { first, headers: lines.into_iter().filter_map(lower_case_name).collect(), body: vec![] })
    }
}
