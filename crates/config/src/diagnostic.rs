//! Errors and warnings about a configuration, as text with source lines and as JSON.

use annotate_snippets::{AnnotationKind, Group, Level, Renderer, Snippet};
use serde::Serialize;

use crate::span::{LineColumn, Sources, Span};

/// Width of a message in columns; longer source lines are truncated around the span.
const MAX_WIDTH: usize = 120;
/// Maximum number of diagnostics that are printed.
pub const MAX_SHOWN: usize = 100;

/// Whether a configuration with this problem can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// It can't be used.
    Error,
    /// It can be used, but probably not as intended.
    Warning,
}

/// An error or a warning about a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Whether the configuration can be used.
    pub severity: Severity,
    /// Identifies the kind of problem; stable between versions.
    pub code: &'static str,
    /// Where the problem is; `None` if the first file can't be read.
    pub span: Option<Span>,
    /// What is wrong.
    pub message: String,
    /// How to correct it.
    pub help: Option<String>,
    /// Related positions, each with a text.
    pub notes: Vec<(Span, String)>,
}

impl Diagnostic {
    /// An error at a span.
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

    /// A warning at a span.
    pub fn warning(code: &'static str, span: Span, message: impl Into<String>) -> Self {
        Self { severity: Severity::Warning, ..Self::error(code, span, message) }
    }

    /// Adds a hint how to correct it.
    #[must_use]
    pub fn help(mut self, help: impl Into<String>) -> Self {
        self.help = Some(help.into());
        self
    }

    /// Adds a related position.
    #[must_use]
    pub fn note(mut self, span: Span, text: impl Into<String>) -> Self {
        self.notes.push((span, text.into()));
        self
    }
}

/// Sorts diagnostics by span and keeps one for each span and code: a mistake in a constant is reported once,
/// however often the constant is used.
pub fn sort_and_dedup(diagnostics: &mut Vec<Diagnostic>) {
    diagnostics.sort_by_key(|diagnostic| diagnostic.span);
    diagnostics
        .dedup_by(|next, first| next.span.is_some() && (next.span, next.code) == (first.span, first.code));
}

/// Renders a diagnostic as text with its source lines.
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
    renderer.term_width(MAX_WIDTH).render(&[group])
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
    // Only the line of the span is passed to the renderer: files may have megabytes.
    let start = boundary(span.start as usize);
    let first = text[..start].rfind('\n').map_or(0, |newline| newline + 1);
    let rest = text[start..].find('\n').map_or(text.len(), |newline| start + newline);
    let (from, to) =
        (boundary(first.max(start.saturating_sub(MAX_WIDTH * 4))), boundary(rest.min(start + MAX_WIDTH * 4)));
    let end = boundary((span.end as usize).clamp(start, to)).max(start);
    let line = sources.line_column(span).line;
    let mut annotation = kind.span(start - from..end - from);
    if let Some(label) = label {
        annotation = annotation.label(label.as_str());
    }
    let snippet = Snippet::source(&text[from..to]).line_start(line).path(source.path.display().to_string());
    group.element(snippet.annotation(annotation))
}

/// A diagnostic as a JSON object.
#[derive(Debug, Serialize)]
pub struct JsonDiagnostic<'a> {
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

/// Converts a diagnostic to a JSON object. Lines and columns count from 1; they are 0 if there is no span.
#[must_use]
pub fn json<'a>(sources: &Sources, diagnostic: &'a Diagnostic) -> JsonDiagnostic<'a> {
    let file = |span: Span| sources.get(span.file).map(|s| s.path.display().to_string()).unwrap_or_default();
    let start = diagnostic.span.map(|span| sources.line_column(span));
    let end = diagnostic.span.map(|span| sources.line_column(Span { start: span.end, ..span }));
    JsonDiagnostic {
        file: diagnostic.span.map(file).unwrap_or_default(),
        line: start.map_or(0, |position| position.line),
        column: start.map_or(0, |position| position.column),
        end_line: end.map_or(0, |position| position.line),
        end_column: end.map_or(0, |position| position.column),
        severity: diagnostic.severity,
        code: diagnostic.code,
        message: &diagnostic.message,
        help: diagnostic.help.as_deref(),
        notes: diagnostic
            .notes
            .iter()
            .map(|(span, message)| {
                let LineColumn { line, column } = sources.line_column(*span);
                JsonNote { file: file(*span), line, column, message }
            })
            .collect(),
    }
}

/// The known word that a misspelled word is most similar to, if any is similar enough to suggest.
#[must_use]
pub fn nearest<'a>(word: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let distance = |known: &str| strsim::damerau_levenshtein(&word.to_lowercase(), &known.to_lowercase());
    let ranked = known.into_iter().map(|known| (distance(known), known));
    // Longer words may have more typing errors. Words with less in common are not suggested.
    ranked
        .min()
        .filter(|(distance, known)| *distance <= (known.len().max(3) / 3).max(1))
        .map(|(_, known)| known)
}
