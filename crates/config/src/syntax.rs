//! The parser: converts tokens to a tree of statements, with all comments and spans.

use crate::diagnostic::Diagnostic;
use crate::lexer::{Lexeme, Token, lex};
use crate::span::{FileId, Span};

/// Deepest nesting of blocks. The language needs two levels.
pub const MAX_BLOCK_DEPTH: usize = 8;

/// A name or a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// Its position, including quotes.
    pub span: Span,
    /// Its text, with quotes removed and escapes replaced.
    pub text: Box<str>,
    /// Whether it is quoted. A quoted word never refers to a constant.
    pub quoted: bool,
}

/// A comment or an empty line between statements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trivia {
    /// A comment.
    Comment(Span),
    /// One or more empty lines.
    Blank,
}

/// One or more words, and possibly a block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// Comments and empty lines before it.
    pub before: Vec<Trivia>,
    /// Its words; at least one.
    pub words: Vec<Word>,
    /// Its block. Boxed because most statements have none.
    pub block: Option<Box<Block>>,
    /// A comment at the end of its last line.
    pub comment: Option<Span>,
}

/// Statements in braces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// The opening brace.
    pub open_brace: Span,
    /// The closing brace.
    pub close_brace: Span,
    /// A comment after the opening brace.
    pub comment: Option<Span>,
    /// The statements.
    pub statements: Vec<Statement>,
    /// Comments and empty lines before the closing brace.
    pub after: Vec<Trivia>,
}

impl Statement {
    /// Its first word.
    #[must_use]
    pub fn name(&self) -> &Word {
        self.words.first().expect("a statement has at least one word")
    }

    /// The span of its words.
    #[must_use]
    pub fn span(&self) -> Span {
        self.words.iter().fold(self.name().span, |span, word| span.to(word.span))
    }
}

/// A file's statements.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    /// The statements in order.
    pub statements: Vec<Statement>,
    /// Comments and empty lines after the last statement.
    pub after: Vec<Trivia>,
}

/// Parses a text.
///
/// # Errors
/// Text that is not a token, and unbalanced braces. Each mistake is reported once; parsing ends at an
/// unclosed block.
pub fn parse(file: FileId, text: &str) -> Result<Tree, Vec<Diagnostic>> {
    let lexemes = lex(file, text).map_err(|diagnostic| vec![diagnostic])?;
    let mut parser = Parser { text, lexemes: &lexemes, position: 0, diagnostics: Vec::new() };
    let body = parser.body(None, 0);
    match (body, parser.diagnostics.is_empty()) {
        (Ok(body), true) => Ok(Tree { statements: body.statements, after: body.trivia }),
        (Err(diagnostic), _) => {
            parser.diagnostics.push(diagnostic);
            Err(parser.diagnostics)
        }
        (Ok(_), false) => Err(parser.diagnostics),
    }
}

fn unclosed_block(open: Span) -> Diagnostic {
    Diagnostic::error("unclosed-block", open, "the block is never closed").help("close it with `}`")
}

struct Parser<'a> {
    text: &'a str,
    lexemes: &'a [Lexeme],
    /// Index of the next lexeme.
    position: usize,
    diagnostics: Vec<Diagnostic>,
}

/// The statements of a block or a file, while they are parsed.
#[derive(Default)]
struct Body {
    statements: Vec<Statement>,
    /// Comments and empty lines after the last statement.
    trivia: Vec<Trivia>,
    /// Newlines since the last statement or comment; 0 on the line of an opening brace.
    newlines: usize,
    /// The closing brace.
    close_brace: Span,
}

impl Body {
    /// Adds a newline. Several empty lines are kept as one, and none at the start.
    fn add_newline(&mut self) {
        self.newlines += 1;
        let started = !self.statements.is_empty() || !self.trivia.is_empty();
        if self.newlines == 2 && started {
            self.trivia.push(Trivia::Blank);
        }
    }

    /// Adds a comment: to the last statement if it is on the same line, else as a separate line.
    fn add_comment(&mut self, span: Span) {
        let same_line = self.newlines == 0 && self.trivia.is_empty();
        let last = self.statements.last_mut();
        match last.filter(|last| same_line && last.comment.is_none()) {
            Some(last) => last.comment = Some(span),
            None => self.trivia.push(Trivia::Comment(span)),
        }
        self.newlines = 0;
    }
}

impl Parser<'_> {
    fn next(&mut self) -> Option<Lexeme> {
        let lexeme = self.lexemes.get(self.position).copied();
        self.position += usize::from(lexeme.is_some());
        lexeme
    }

    fn peek(&self) -> Option<Token> {
        self.lexemes.get(self.position).map(|lexeme| lexeme.token)
    }

    /// Parses statements up to the closing brace of `open`, or to the end of the file.
    fn body(&mut self, open: Option<Span>, depth: usize) -> Result<Body, Diagnostic> {
        let mut body = Body::default();
        loop {
            let Some(Lexeme { token, span }) = self.next() else {
                return match open {
                    None => Ok(body),
                    Some(open) => Err(unclosed_block(open)),
                };
            };
            match token {
                Token::Newline => body.add_newline(),
                Token::Semicolon => {}
                Token::Comment => body.add_comment(span),
                Token::Close if open.is_some() => return Ok(Body { close_brace: span, ..body }),
                Token::Close => {
                    let diagnostic = Diagnostic::error("stray-brace", span, "`}` has no matching `{`");
                    self.diagnostics.push(diagnostic.help("remove it"));
                }
                Token::Open => {
                    // The following statements belong to the block: parse it as if it had a name.
                    let message = "`{` without the name of a block on its line";
                    let diagnostic = Diagnostic::error("stray-brace", span, message);
                    let help = "move it to the end of the line with the name of the block";
                    self.diagnostics.push(diagnostic.help(help));
                    self.block(span, depth)?;
                    body.newlines = 0;
                }
                Token::Word | Token::Quoted => {
                    let before = std::mem::take(&mut body.trivia);
                    let statement = self.statement(span, token, before, depth)?;
                    body.statements.push(statement);
                    body.newlines = 0;
                }
            }
        }
    }

    fn block(&mut self, open: Span, depth: usize) -> Result<Block, Diagnostic> {
        if depth == MAX_BLOCK_DEPTH {
            return Err(Diagnostic::error(
                "too-deep",
                open,
                format!("blocks nested deeper than {MAX_BLOCK_DEPTH}"),
            ));
        }
        let mut comment = None;
        if self.peek() == Some(Token::Comment) {
            comment = self.next().map(|lexeme| lexeme.span);
        }
        let mut body = self.body(Some(open), depth + 1)?;
        body.statements.shrink_to_fit();
        Ok(Block {
            open_brace: open,
            close_brace: body.close_brace,
            comment,
            statements: body.statements,
            after: body.trivia,
        })
    }

    fn statement(
        &mut self,
        span: Span,
        token: Token,
        before: Vec<Trivia>,
        depth: usize,
    ) -> Result<Statement, Diagnostic> {
        let mut statement =
            Statement { before, words: vec![self.word(span, token)], block: None, comment: None };
        loop {
            match self.peek() {
                Some(token @ (Token::Word | Token::Quoted)) => {
                    if let Some(Lexeme { span, .. }) = self.next() {
                        // Reported only once: a file in another language has many such words.
                        let joined = statement.words.last().is_some_and(|last| last.span.end == span.start);
                        if joined && self.diagnostics.is_empty() {
                            let message = "a quote begins or ends inside a word";
                            self.diagnostics.push(
                                Diagnostic::error("missing-space", span, message)
                                    .help("insert a space, or quote the whole value"),
                            );
                        }
                        statement.words.push(self.word(span, token));
                    }
                }
                Some(Token::Open) => {
                    statement.words.shrink_to_fit();
                    if let Some(Lexeme { span, .. }) = self.next() {
                        statement.block = Some(Box::new(self.block(span, depth)?));
                    }
                    return Ok(statement);
                }
                // `body` handles ends of statements and comments.
                _ => {
                    statement.words.shrink_to_fit();
                    return Ok(statement);
                }
            }
        }
    }

    fn word(&self, span: Span, token: Token) -> Word {
        let text = &self.text[span.range()];
        if token == Token::Word {
            return Word { span, text: text.into(), quoted: false };
        }
        let inside = text.strip_prefix('"').and_then(|text| text.strip_suffix('"')).unwrap_or(text);
        let mut unescaped = String::with_capacity(inside.len());
        let mut chars = inside.chars();
        while let Some(c) = chars.next() {
            unescaped.push(if c == '\\' { chars.next().unwrap_or(c) } else { c });
        }
        Word { span, text: unescaped.into(), quoted: true }
    }
}
