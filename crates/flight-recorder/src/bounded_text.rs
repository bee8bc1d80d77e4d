//! Untrusted text, bounded for storage and escaped for display.

use std::hash::Hasher;

use rustc_hash::FxHasher;

/// Greatest length of a stored name, in bytes: enough for 32 hexadecimal digits or a UUID.
pub const MAX_NAME_BYTES: usize = 48;

/// An untrusted name: its prefix, and a hash of the whole name for comparison.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BoundedName {
    /// At most [`MAX_NAME_BYTES`] bytes.
    pub prefix: Box<str>,
    /// Hash of the whole name.
    pub hash: u64,
}

impl BoundedName {
    /// Shortens a name of any length.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self { prefix: text[..text.floor_char_boundary(MAX_NAME_BYTES)].into(), hash: hash(text) }
    }

    /// Whether it was created from `text`.
    #[must_use]
    pub fn matches(&self, text: &str) -> bool {
        self.hash == hash(text) && text.starts_with(&*self.prefix)
    }

    /// Returns the escaped prefix, followed by `...` if the name is longer.
    #[must_use]
    pub fn display(&self) -> String {
        let cut = if hash(&self.prefix) == self.hash { "" } else { "..." };
        escape(&self.prefix) + cut
    }
}

/// Returns a hash without a seed, which is the same in every process; recordings store it.
#[must_use]
pub fn hash(text: &str) -> u64 {
    let mut hasher = FxHasher::default();
    hasher.write(text.as_bytes());
    // The hasher does not mix the low bits of its last word.
    pumicehead_policy::hash_ring::mix64(hasher.finish())
}

/// Escapes control characters, quotes and characters that are invisible or change the direction of text.
#[must_use]
pub fn escape(text: &str) -> String {
    let mut out = String::with_capacity(text.len());
    for character in text.chars() {
        let is_unsafe = character.is_control()
            || matches!(character, '"' | '\\' | '\u{ad}' | '\u{200b}'..='\u{200f}' | '\u{2028}'..='\u{202e}' | '\u{2060}'..='\u{206f}' | '\u{feff}');
        if is_unsafe { out.extend(character.escape_default()) } else { out.push(character) }
    }
    out
}

/// Escapes text for HTML.
#[must_use]
pub fn escape_html(text: &str) -> String {
    escape(text).replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('\'', "&#39;")
}

#[cfg(test)]
#[path = "../tests/unit/bounded_text.rs"]
mod tests;
