//! Texts that others choose, made fit to be kept and shown.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// Longest part of a name that is kept: whole for ids of the usual forms (32 hexadecimal digits, a UUID).
pub const MAX_NAME_BYTES: usize = 48;

/// A name that somebody else chose: its beginning, and a hash of all of it, by which the whole name finds it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BoundedName {
    /// At most [`MAX_NAME_BYTES`] bytes.
    pub prefix: Box<str>,
    /// Of the whole.
    pub hash: u64,
}

impl BoundedName {
    /// Of a text of any length.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self { prefix: text[..text.floor_char_boundary(MAX_NAME_BYTES)].into(), hash: hash(text) }
    }

    /// Whether it is the name of `text`.
    #[must_use]
    pub fn matches(&self, text: &str) -> bool {
        self.hash == hash(text) && text.starts_with(&*self.prefix)
    }

    /// As it is shown.
    #[must_use]
    pub fn display(&self) -> String {
        let cut = if hash(&self.prefix) == self.hash { "" } else { "..." };
        escape(&self.prefix) + cut
    }
}

/// A hash without a seed.
#[must_use]
pub fn hash(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(text.as_bytes());
    // The hasher leaves the low bits of its last word as they come.
    pumicehead_policy::hash_ring::mix(hasher.finish())
}

/// A text without anything that steers a terminal, ends a line or passes for another sign: all of that is escaped.
#[must_use]
pub fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for sign in text.chars() {
        let steers = sign.is_control()
            || matches!(sign, '"' | '\\' | '\u{ad}' | '\u{200b}'..='\u{200f}' | '\u{2028}'..='\u{202e}' | '\u{2060}'..='\u{206f}' | '\u{feff}');
        if steers { out.extend(sign.escape_default()) } else { out.push(sign) }
    }
    out
}

/// The same for a page.
#[must_use]
pub fn escape_html(text: &str) -> String {
    escape(text).replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('\'', "&#39;")
}

#[cfg(test)]
#[path = "../tests/unit/bounded_text.rs"]
mod tests;
