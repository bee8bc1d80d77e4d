//! Messages about a configuration: how they are kept, shown to people and handed to editors.

use annotate_snippets::{AnnotationKind, Group, Level, Renderer, Snippet};
use serde::Serialize;

use crate::span::{Sources, Span};

/// Widest message; longer source lines are cut around the place.
const WIDTH: usize = 120;
/// Most messages that are shown: past these the reader begins with the first anyway.
pub const MOST_SHOWN: usize = 100;

/// Whether a configuration can be used in spite of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// It can't.
    Error,
    /// It can, but hardly as meant.
    Warning,
}

/// One mistake.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// How bad it is.
    pub severity: Severity,
    /// A name for the kind of mistake that stays the same between versions.
    pub code: &'static str,
    /// Where; `None` where a file can't even be read.
    pub span: Option<Span>,
    /// What is wrong.
    pub message: String,
    /// How to mend it.
    pub help: Option<String>,
    /// Other places that have to do with it.
    pub notes: Vec<(Span, String)>,
}

impl Diagnostic {
    /// An error at a place.
    pub fn error(code: &'static str, span: Span, message: impl Into<String>) -> Self {
        Self {
            severity: Severity::Error,
            code,
            span: Some(span),
            message: message.into(),
            help: None,
            notes: Vec::new(),
        }
    }

    /// A warning at a place.
    pub fn warning(code: &'static str, span: Span, message: impl Into<String>) -> Self {
        Self { severity: Severity::Warning, ..Self::error(code, span, message) }
    }

    /// With a way to mend it.
    #[must_use]
    pub fn help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// With another place.
    #[must_use]
    pub fn note(mut self, span: Span, text: impl Into<String>) -> Self {
        self.notes.push((span, text.into()));
        self
    }
}

/// Orders messages by place and leaves one for each place and kind: a constant with a mistake that is used in five
/// places has one mistake.
pub fn settle(diagnostics: &mut Vec<Diagnostic>) {
    diagnostics.sort_by_key(|one| one.span);
    diagnostics
        .dedup_by(|next, first| next.span.is_some() && (next.span, next.code) == (first.span, first.code));
}

/// As text for people, with the source lines.
#[must_use]
pub fn render(sources: &Sources, diagnostic: &Diagnostic, styled: bool) -> String {
    let level = match diagnostic.severity {
        Severity::Error => Level::ERROR,
        Severity::Warning => Level::WARNING,
    };
    let title = level.primary_title(diagnostic.message.as_str()).id(diagnostic.code);
    let mut group = Group::with_title(title);
    if let Some(span) = diagnostic.span {
        group = snippet(group, sources, span, AnnotationKind::Primary, None);
    }
    for (span, text) in &diagnostic.notes {
        group = snippet(group, sources, *span, AnnotationKind::Context, Some(text));
    }
    if let Some(help) = &diagnostic.help {
        group = group.element(Level::HELP.message(help.as_str()));
    }
    let renderer = if styled { Renderer::styled() } else { Renderer::plain() };
    renderer.term_width(WIDTH).render(&[group])
}

fn snippet<'a>(
    group: Group<'a>,
    sources: &'a Sources,
    span: Span,
    kind: AnnotationKind,
    label: Option<&'a String>,
) -> Group<'a> {
    let Some(source) = sources.get(span.file) else { return group };
    let text = &source.text;
    let boundary = |mut at: usize| {
        at = at.min(text.len());
        while !text.is_char_boundary(at) {
            at -= 1;
        }
        at
    };
    // Only the lines in question are handed over: files may have megabytes.
    let start = boundary(span.start as usize);
    let first = text[..start].rfind('\n').map_or(0, |newline| newline + 1);
    let rest = text[start..].find('\n').map_or(text.len(), |newline| start + newline);
    let (from, to) =
        (boundary(first.max(start.saturating_sub(WIDTH * 4))), boundary(rest.min(start + WIDTH * 4)));
    let end = boundary((span.end as usize).clamp(start, to)).max(start);
    let line = sources.place(span).line;
    let mut annotation = kind.span(start - from..end - from);
    if let Some(label) = label {
        annotation = annotation.label(label.as_str());
    }
    let snippet = Snippet::source(&text[from..to]).line_start(line).path(source.path.display().to_string());
    group.element(snippet.annotation(annotation))
}

/// The same for programs: one object a message.
#[derive(Debug, Serialize)]
pub struct Json<'a> {
    file: String,
    line: usize,
    column: usize,
    end_line: usize,
    end_column: usize,
    severity: Severity,
    code: &'a str,
    message: &'a str,
    help: Option<&'a str>,
    notes: Vec<JsonNote<'a>>,
}

#[derive(Debug, Serialize)]
struct JsonNote<'a> {
    file: String,
    line: usize,
    column: usize,
    message: &'a str,
}

/// A message as an object; lines and columns count from 1, and are 0 where there is no place.
#[must_use]
pub fn json<'a>(sources: &Sources, diagnostic: &'a Diagnostic) -> Json<'a> {
    let file = |span: Span| sources.get(span.file).map(|s| s.path.display().to_string()).unwrap_or_default();
    let start = diagnostic.span.map(|span| sources.place(span));
    let end = diagnostic.span.map(|span| sources.place(Span { start: span.end, ..span }));
    Json {
        file: diagnostic.span.map(file).unwrap_or_default(),
        line: start.map_or(0, |place| place.line),
        column: start.map_or(0, |place| place.column),
        end_line: end.map_or(0, |place| place.line),
        end_column: end.map_or(0, |place| place.column),
        severity: diagnostic.severity,
        code: diagnostic.code,
        message: &diagnostic.message,
        help: diagnostic.help.as_deref(),
        notes: diagnostic
            .notes
            .iter()
            .map(|(span, message)| {
                let place = sources.place(*span);
                JsonNote { file: file(*span), line: place.line, column: place.column, message }
            })
            .collect(),
    }
}

/// The known word nearest to one, if any is near.
#[must_use]
pub fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let distance = |known: &str| strsim::damerau_levenshtein(&word.to_lowercase(), &known.to_lowercase());
    let ranked = known.into_iter().map(|known| (distance(known), known));
    // Long words may be off by more; what shares nothing is no help.
    ranked
        .min()
        .filter(|(distance, known)| *distance <= (known.len().max(3) / 3).max(1))
        .map(|(_, known)| known)
}
