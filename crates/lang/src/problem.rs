//! Errors of the language: where, what is allowed and which word is nearest.

use std::{fmt, ops::Range};

/// Least similarity of a suggested word, from 0 to 1. Below it suggestions have
/// little in common with what was written.
const SIMILAR: f64 = 0.7;

/// Why a line is not a command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub struct Problem {
    /// Bytes of the line to which it applies; empty at the end of the line.
    pub span: Range<usize>,
    /// What is wrong.
    pub message: String,
    /// What may stand there.
    pub allowed: Vec<String>,
    /// The allowed word that is nearest to what was written.
    pub nearest: Option<String>,
}

impl Problem {
    /// Makes a problem without suggestions.
    pub fn new(span: Range<usize>, message: impl Into<String>) -> Self {
        Self {
            span,
            message: message.into(),
            allowed: Vec::new(),
            nearest: None,
        }
    }

    /// Adds what may stand there.
    pub fn allowed<T: Into<String>>(mut self, allowed: impl IntoIterator<Item = T>) -> Self {
        self.allowed = allowed.into_iter().map(Into::into).collect();
        self
    }

    /// Adds the allowed word that is nearest to what was written.
    pub fn near(mut self, written: &str) -> Self {
        self.nearest = nearest(written, &self.allowed);
        self
    }

    /// Shows the problem under the line.
    pub fn show(&self, line: &str) -> Shown<'_> {
        Shown {
            problem: self,
            line: line.to_owned(),
        }
    }
}

/// Returns the word that is most similar to what was written, if one is.
pub fn nearest(written: &str, words: &[String]) -> Option<String> {
    words
        .iter()
        .map(|word| (strsim::jaro_winkler(written, word), word))
        .filter(|(similarity, _)| *similarity >= SIMILAR)
        .max_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, word)| word.clone())
}

/// A problem with the line that has it.
pub struct Shown<'a> {
    problem: &'a Problem,
    line: String,
}

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem {
            span,
            message,
            allowed,
            nearest,
        } = self.problem;
        writeln!(f, "error: {message}")?;
        let start = span.start.min(self.line.len());
        let end = span.end.clamp(start, self.line.len());
        let before = self.line[..start].chars().count();
        let marks = self.line[start..end].chars().count().max(1);
        writeln!(f, "  {}", self.line)?;
        writeln!(f, "  {}{}", " ".repeat(before), "^".repeat(marks))?;
        if !allowed.is_empty() {
            writeln!(f, "allowed: {}", allowed.join(", "))?;
        }
        if let Some(nearest) = nearest {
            writeln!(f, "did you mean {nearest:?}?")?;
        }
        Ok(())
    }
}
