//! Trees of statements that keep every comment and place.

use crate::diag::Diagnostic;
use crate::lexer::{Lexeme, Token, lex};
use crate::span::{FileId, Span};

/// Deepest nesting of blocks: the language needs two, and a reader no more.
pub const DEEPEST: usize = 8;

/// A name or a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// Where it stands, with its quotes.
    pub span: Span,
    /// Its text, without quotes and escapes.
    pub text: Box<str>,
    /// Whether it stands in quotes: then it is no constant.
    pub quoted: bool,
}

/// What stands on lines of its own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Trivia {
    /// A comment.
    Comment(Span),
    /// One empty line or more.
    Blank,
}

/// Words, and a block where one belongs to them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// What stands before it.
    pub before: Vec<Trivia>,
    /// At least one.
    pub words: Vec<Word>,
    /// Its block. Most statements have none: so it takes no place in them.
    pub block: Option<Box<Block>>,
    /// A comment at the end of its last line.
    pub comment: Option<Span>,
}

/// What stands in braces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Block {
    /// The braces.
    pub braces: (Span, Span),
    /// A comment behind the opening one.
    pub comment: Option<Span>,
    /// The statements.
    pub statements: Vec<Statement>,
    /// What stands before the closing one.
    pub after: Vec<Trivia>,
}

impl Statement {
    /// Its first word.
    #[must_use]
    pub fn name(&self) -> &Word {
        // The parser makes no statement without words.
        &self.words[0]
    }

    /// Its words.
    #[must_use]
    pub fn span(&self) -> Span {
        self.words.iter().fold(self.name().span, |span, word| span.to(word.span))
    }
}

/// A file's statements.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tree {
    /// In order.
    pub statements: Vec<Statement>,
    /// What stands after the last.
    pub after: Vec<Trivia>,
}

/// Makes a tree of a text.
///
/// # Errors
/// What is no token, and braces that don't match. One mistake gives one message; after a brace that is missing
/// nothing more is read.
pub fn parse(file: FileId, text: &str) -> Result<Tree, Vec<Diagnostic>> {
    let lexemes = lex(file, text).map_err(|fault| vec![fault])?;
    let mut parser = Parser { text, lexemes: &lexemes, at: 0, faults: Vec::new() };
    let body = parser.body(None, 0);
    match (body, parser.faults.is_empty()) {
        (Ok(body), true) => Ok(Tree { statements: body.statements, after: body.after }),
        (Err(fault), _) => {
            parser.faults.push(fault);
            Err(parser.faults)
        }
        (Ok(_), false) => Err(parser.faults),
    }
}

struct Parser<'a> {
    text: &'a str,
    lexemes: &'a [Lexeme],
    at: usize,
    faults: Vec<Diagnostic>,
}

struct Body {
    statements: Vec<Statement>,
    after: Vec<Trivia>,
    close: Span,
}

impl Parser<'_> {
    fn next(&mut self) -> Option<Lexeme> {
        let lexeme = self.lexemes.get(self.at).copied();
        self.at += usize::from(lexeme.is_some());
        lexeme
    }

    fn peek(&self) -> Option<Token> {
        self.lexemes.get(self.at).map(|lexeme| lexeme.token)
    }

    /// Statements up to the closing brace of `open`, or to the end of the file. No deeper than [`DEEPEST`].
    fn body(&mut self, open: Option<Span>, depth: usize) -> Result<Body, Diagnostic> {
        let mut statements: Vec<Statement> = Vec::new();
        let mut before = Vec::new();
        // Newlines since the last statement or comment; the line of an opening brace is not yet over.
        let mut newlines = 0;
        loop {
            let Some(Lexeme { token, span }) = self.next() else {
                return match open {
                    None => Ok(Body { statements, after: before, close: Span::default() }),
                    Some(open) => {
                        Err(Diagnostic::error("unclosed-block", open, "a block that is never closed")
                            .help("close it with `}`"))
                    }
                };
            };
            match token {
                Token::Newline => {
                    newlines += 1;
                    let started = !statements.is_empty() || !before.is_empty();
                    if newlines == 2 && started {
                        before.push(Trivia::Blank);
                    }
                }
                Token::Semicolon => {}
                Token::Comment => {
                    let last = statements.last_mut();
                    match last.filter(|last| newlines == 0 && before.is_empty() && last.comment.is_none()) {
                        Some(last) => last.comment = Some(span),
                        None => before.push(Trivia::Comment(span)),
                    }
                    newlines = 0;
                }
                Token::Close => {
                    if open.is_some() {
                        return Ok(Body { statements, after: before, close: span });
                    }
                    self.faults
                        .push(Diagnostic::error("stray-brace", span, "`}` closes nothing").help("remove it"));
                }
                Token::Open => {
                    // The next statements belong to the block: read on as if it were there.
                    self.faults.push(
                        Diagnostic::error(
                            "stray-brace",
                            span,
                            "`{` opens a block that has no name on its line",
                        )
                        .help("put it at the end of the line that names the block"),
                    );
                    self.block(span, depth)?;
                    newlines = 0;
                }
                Token::Word | Token::Quoted => {
                    let statement = self.statement(span, token, std::mem::take(&mut before), depth)?;
                    statements.push(statement);
                    newlines = 0;
                }
            }
        }
    }

    fn block(&mut self, open: Span, depth: usize) -> Result<Block, Diagnostic> {
        if depth == DEEPEST {
            return Err(Diagnostic::error("too-deep", open, format!("blocks nested deeper than {DEEPEST}")));
        }
        let mut comment = None;
        if self.peek() == Some(Token::Comment) {
            comment = self.next().map(|lexeme| lexeme.span);
        }
        let mut body = self.body(Some(open), depth + 1)?;
        body.statements.shrink_to_fit();
        Ok(Block { braces: (open, body.close), comment, statements: body.statements, after: body.after })
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
                        // Once: a file of another language is full of them.
                        let joined = statement.words.last().is_some_and(|last| last.span.end == span.start);
                        if joined && self.faults.is_empty() {
                            let message = "a quote begins or ends inside a word";
                            self.faults.push(
                                Diagnostic::error("missing-space", span, message)
                                    .help("put a space between them, or quote the whole value"),
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
                // Ends and comments are the body's.
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
        let mut plain = String::with_capacity(inside.len());
        let mut chars = inside.chars();
        while let Some(c) = chars.next() {
            plain.push(if c == '\\' { chars.next().unwrap_or(c) } else { c });
        }
        Word { span, text: plain.into(), quoted: true }
    }
}
