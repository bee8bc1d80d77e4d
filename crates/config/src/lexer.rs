//! The lexer: splits a text into tokens.

use logos::Logos;

use crate::diagnostic::Diagnostic;
use crate::span::{FileId, Span};

/// Longest line, in bytes.
pub const MAX_LINE_BYTES: usize = 4_096;

/// Zero-width characters.
const ZERO_WIDTH: [char; 5] = ['\u{feff}', '\u{200b}', '\u{200c}', '\u{200d}', '\u{2060}'];
/// Quotes that word processors insert instead of `"` and `'`.
const TYPOGRAPHIC_QUOTES: [char; 4] = ['\u{201c}', '\u{201d}', '\u{2018}', '\u{2019}'];

/// A token; spaces and tabs only separate tokens.
#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq)]
#[logos(skip r"[ \t]+")]
pub enum Token {
    /// The end of a line, which also ends a statement.
    #[regex(r"\r?\n")]
    Newline,
    /// From `#` to the end of the line.
    #[regex(r"#[^\r\n]*", allow_greedy = true)]
    Comment,
    /// A name or an unquoted value. `#` begins a comment only where a word could begin.
    #[regex(r##"[^ \t\r\n{};"#\x00-\x1f\x7f][^ \t\r\n{};"\x00-\x1f\x7f]*"##)]
    Word,
    /// A value in quotes, with the escapes `\"` and `\\`.
    #[regex(r#""([^"\\\r\n\x00-\x1f\x7f]|\\["\\])*""#)]
    Quoted,
    /// Opens a block.
    #[token("{")]
    Open,
    /// Closes a block.
    #[token("}")]
    Close,
    /// Ends a statement before the end of its line.
    #[token(";")]
    Semicolon,
}

/// A token and its span.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lexeme {
    /// The token.
    pub token: Token,
    /// Its position.
    pub span: Span,
}

/// Splits a text into tokens. The text must be shorter than 4 GiB.
///
/// # Errors
/// The first text that is not a token, and lines of more than [`MAX_LINE_BYTES`] bytes.
pub fn lex(file: FileId, text: &str) -> Result<Vec<Lexeme>, Diagnostic> {
    let at = |start: usize, end: usize| Span { file, start: start as u32, end: end as u32 };
    let mut start = 0;
    for line in text.split_inclusive('\n') {
        if line.len() > MAX_LINE_BYTES {
            let message =
                format!("the line has {} bytes, more than the maximum of {MAX_LINE_BYTES}", line.len());
            return Err(Diagnostic::error("line-too-long", at(start, start + 1), message));
        }
        start += line.len();
    }
    let mut lexemes = Vec::new();
    for (token, range) in Token::lexer(text).spanned() {
        let span = at(range.start, range.end);
        match token {
            Ok(Token::Word) => {
                check_word(&text[range], span)?;
                lexemes.push(Lexeme { token: Token::Word, span });
            }
            Ok(token) => lexemes.push(Lexeme { token, span }),
            Err(()) => return Err(invalid_token(text, range.start, at)),
        }
    }
    Ok(lexemes)
}

fn check_word(word: &str, span: Span) -> Result<(), Diagnostic> {
    // Pasted text may contain spaces and quotes that look like the ASCII ones.
    if let Some((offset, c)) = word.char_indices().find(|(_, c)| is_invisible(*c)) {
        let message = format!("the invisible character U+{:04X}", u32::from(c));
        let diagnostic = Diagnostic::error("invisible-character", char_span(span, offset, c), message);
        return Err(diagnostic.help("replace it with a plain space"));
    }
    if let Some((offset, c)) = word.char_indices().find(|(_, c)| TYPOGRAPHIC_QUOTES.contains(c)) {
        let message = format!("the typographic quote `{c}`");
        let diagnostic = Diagnostic::error("typographic-quote", char_span(span, offset, c), message);
        return Err(diagnostic.help("quote values with `\"`"));
    }
    Ok(())
}

fn is_invisible(c: char) -> bool {
    c.is_whitespace() || c.is_control() || ZERO_WIDTH.contains(&c)
}

/// The span of a character at a byte offset in a word.
fn char_span(word: Span, offset: usize, c: char) -> Span {
    let start = word.start + offset as u32;
    Span { start, end: start + c.len_utf8() as u32, ..word }
}

/// The error for text at `start` that is not a token.
fn invalid_token(text: &str, start: usize, span: impl Fn(usize, usize) -> Span) -> Diagnostic {
    let rest = &text[start..];
    let first = rest.chars().next().unwrap_or_default();
    let end = start + first.len_utf8();
    match first {
        '"' => invalid_quote(rest, start, span),
        '\r' => {
            Diagnostic::error("bare-carriage-return", span(start, end), "a carriage return without a newline")
                .help("end lines with a newline, or with a carriage return and a newline")
        }
        c => control_character(c, span(start, end)),
    }
}

/// The error for a malformed quoted value: an unknown escape, a control character, or no closing quote on its
/// line. `rest` begins with the opening quote, at `start`.
fn invalid_quote(rest: &str, start: usize, span: impl Fn(usize, usize) -> Span) -> Diagnostic {
    let line_end = rest.find(['\r', '\n']).unwrap_or(rest.len());
    let inside = &rest[1..line_end];
    let mut escaped = false;
    for (offset, c) in inside.char_indices() {
        let here = start + 1 + offset;
        if escaped && c != '"' && c != '\\' {
            let message = format!("the unknown escape `\\{c}`");
            let span = span(here - 1, here + c.len_utf8());
            return Diagnostic::error("unknown-escape", span, message)
                .help("the only escapes are `\\\"` and `\\\\`");
        }
        if c.is_control() && c != '\t' {
            return control_character(c, span(here, here + c.len_utf8()));
        }
        if c == '\t' {
            return Diagnostic::error("control-character", span(here, here + 1), "a tab inside quotes")
                .help("write a space");
        }
        escaped = !escaped && c == '\\';
    }
    let message = "a quoted value that is not closed on its line";
    Diagnostic::error("unclosed-quote", span(start, start + line_end), message).help("close it with `\"`")
}

fn control_character(c: char, span: Span) -> Diagnostic {
    Diagnostic::error("control-character", span, format!("the control character U+{:04X}", u32::from(c)))
        .help("remove it")
}
