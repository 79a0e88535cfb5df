//! Splits a line into words.

use std::ops::Range;

use chumsky::prelude::*;

use crate::problem::Problem;

/// One word of a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// The text, without quotes and escapes.
    pub text: String,
    /// Bytes of the line that the word takes.
    pub span: Range<usize>,
}

type Failed<'a> = extra::Err<Rich<'a, char>>;

/// Reads words separated by spaces. A word in double quotes may hold spaces,
/// and `\"` and `\\` stand for a quote and a backslash in it. A `#` at the
/// beginning of a word starts a comment.
fn line<'a>() -> impl Parser<'a, &'a str, Vec<Word>, Failed<'a>> {
    let space = any().filter(|c: &char| c.is_whitespace()).repeated();
    let escaped = just('\\').ignore_then(one_of("\\\"").labelled("\\ or \""));
    let quoted = none_of("\\\"")
        .or(escaped)
        .repeated()
        .collect::<String>()
        .delimited_by(just('"'), just('"').labelled("closing quote"));
    let letter = any().filter(|c: &char| !c.is_whitespace() && *c != '"');
    let first = letter.filter(|c: &char| *c != '#');
    let plain = first.then(letter.repeated()).to_slice().map(str::to_owned);
    let word = quoted.or(plain).map_with(|text, extra| {
        let span: SimpleSpan = extra.span();
        Word {
            text,
            span: span.start..span.end,
        }
    });
    let comment = just('#').then(any().repeated()).ignored();
    space
        .ignore_then(
            word.separated_by(space.at_least(1))
                .allow_trailing()
                .collect(),
        )
        .then_ignore(comment.or_not())
        .then_ignore(end())
}

/// Splits a line into words.
///
/// # Errors
///
/// When a quote is not closed, an escape is not known or a quote is in the
/// middle of a word.
pub fn words(text: &str) -> Result<Vec<Word>, Problem> {
    line().parse(text).into_result().map_err(|errors| {
        let error = errors.first().expect("a failed parse reports an error");
        problem(text, error.span().start)
    })
}

/// Explains why the text cannot be split at a place.
fn problem(text: &str, at: usize) -> Problem {
    let before = &text[..at.min(text.len())];
    let Some(found) = text[before.len()..].chars().next() else {
        return Problem::new(at..at, "the quote is not closed");
    };
    let end = at + found.len_utf8();
    if before.ends_with('\\') {
        let message = format!("escape \\{found} is not known");
        return Problem::new(at - 1..end, message).allowed(["\\\"", "\\\\"]);
    }
    match found {
        '"' => Problem::new(at..end, "a quote is in the middle of a word"),
        _ => Problem::new(at..end, "a space is needed after a quote"),
    }
}
