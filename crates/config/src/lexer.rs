//! Tokens.

use logos::Logos;

use crate::diag::Diagnostic;
use crate::span::{FileId, Span};

/// Longest line: no setting comes near, and an editor shows none longer.
pub const LONGEST_LINE: usize = 4_096;

/// A token; spaces and tabs only part them.
#[derive(Logos, Clone, Copy, Debug, PartialEq, Eq)]
#[logos(skip r"[ \t]+")]
pub enum Token {
    /// The end of a line, and so of a statement.
    #[regex(r"\r?\n")]
    Newline,
    /// From `#` to the end of the line.
    #[regex(r"#[^\r\n]*", allow_greedy = true)]
    Comment,
    /// A name or a value without quotes. `#` begins a comment only where a word could begin.
    #[regex(r##"[^ \t\r\n{};"#\x00-\x1f\x7f][^ \t\r\n{};"\x00-\x1f\x7f]*"##)]
    Word,
    /// A value in quotes; `\"` and `\\` stand for themselves.
    #[regex(r#""([^"\\\r\n\x00-\x1f\x7f]|\\["\\])*""#)]
    Quoted,
    /// Opens a block.
    #[token("{")]
    Open,
    /// Closes a block.
    #[token("}")]
    Close,
    /// Ends a statement before its line does.
    #[token(";")]
    Semicolon,
}

/// A token and its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lexeme {
    /// What.
    pub token: Token,
    /// Where.
    pub span: Span,
}

/// The tokens of a text. The text must be shorter than 4 GiB.
///
/// # Errors
/// The first thing that is no token, and lines of more than [`LONGEST_LINE`] bytes.
pub fn lex(file: FileId, text: &str) -> Result<Vec<Lexeme>, Diagnostic> {
    let at = |start: usize, end: usize| Span { file, start: start as u32, end: end as u32 };
    let mut start = 0;
    for line in text.split_inclusive('\n') {
        if line.len() > LONGEST_LINE {
            let message = format!("a line of {} bytes; the longest may have {LONGEST_LINE}", line.len());
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
            Err(()) => return Err(no_token(text, range.start, at)),
        }
    }
    Ok(lexemes)
}

fn check_word(word: &str, span: Span) -> Result<(), Diagnostic> {
    // Pasted text brings spaces that look like spaces and quotes that look like quotes.
    let odd = |c: &char| {
        c.is_whitespace() || c.is_control() || "\u{feff}\u{200b}\u{200c}\u{200d}\u{2060}".contains(*c)
    };
    if let Some((place, c)) = word.char_indices().find(|(_, c)| odd(c)) {
        let start = span.start + place as u32;
        let span = Span { start, end: start + c.len_utf8() as u32, ..span };
        let message = format!("the invisible character U+{:04X}", u32::from(c));
        return Err(
            Diagnostic::error("invisible-character", span, message).help("replace it by a plain space")
        );
    }
    if let Some((place, c)) =
        word.char_indices().find(|(_, c)| "\u{201c}\u{201d}\u{2018}\u{2019}".contains(*c))
    {
        let start = span.start + place as u32;
        let span = Span { start, end: start + c.len_utf8() as u32, ..span };
        let message = format!("the typographic quote `{c}`");
        return Err(Diagnostic::error("typographic-quote", span, message).help("quote values with `\"`"));
    }
    Ok(())
}

fn no_token(text: &str, start: usize, at: impl Fn(usize, usize) -> Span) -> Diagnostic {
    let rest = &text[start..];
    let first = rest.chars().next().unwrap_or_default();
    let end = start + first.len_utf8();
    match first {
        '"' => {
            let line = rest.find(['\r', '\n']).unwrap_or(rest.len());
            let inside = &rest[1..line];
            let mut escaped = false;
            for (place, c) in inside.char_indices() {
                let here = start + 1 + place;
                if escaped && c != '"' && c != '\\' {
                    let message = format!("`\\{c}` stands for nothing");
                    let span = at(here - 1, here + c.len_utf8());
                    return Diagnostic::error("unknown-escape", span, message)
                        .help("only `\\\"` and `\\\\` are written with a backslash");
                }
                if c.is_control() && c != '\t' {
                    return control(c, at(here, here + c.len_utf8()));
                }
                if c == '\t' {
                    return Diagnostic::error("control-character", at(here, here + 1), "a tab inside quotes")
                        .help("write a space");
                }
                escaped = !escaped && c == '\\';
            }
            Diagnostic::error(
                "unclosed-quote",
                at(start, start + line),
                "a quote that its line does not close",
            )
            .help("close it with `\"`")
        }
        '\r' => {
            Diagnostic::error("bare-carriage-return", at(start, end), "a carriage return without a newline")
                .help("end lines with a newline, or with both")
        }
        c => control(c, at(start, end)),
    }
}

fn control(c: char, span: Span) -> Diagnostic {
    Diagnostic::error("control-character", span, format!("the control character U+{:04X}", u32::from(c)))
        .help("remove it")
}
