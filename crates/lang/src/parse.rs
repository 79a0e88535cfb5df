//! Turns a line into a typed command.

use std::collections::BTreeMap;

use crate::{
    build::Given,
    command::Command,
    grammar::{self, Form},
    problem::Problem,
    word::{self, Word},
};

/// Most bytes of a command; longer texts are no commands of an operator.
pub const MAX_LINE: usize = 16 * 1024;

/// A line as a typed command.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The command.
    pub command: Command,
    /// The reason that the line gives for an order.
    pub why: Option<String>,
}

impl Line {
    fn plain(command: Command) -> Self {
        Self { command, why: None }
    }
}

/// Parses a line. An empty line or a comment gives none.
///
/// # Errors
///
/// Returns where the line is wrong and what is allowed there.
pub fn parse(text: &str) -> Result<Option<Line>, Problem> {
    if text.len() > MAX_LINE {
        let message = format!("a command has at most {MAX_LINE} bytes");
        return Err(Problem::new(0..0, message));
    }
    let words = word::words(text)?;
    let Some(verb) = words.first() else {
        return Ok(None);
    };
    if verb.text == "help" {
        return help(&words).map(Line::plain).map(Some);
    }
    let forms = grammar::of_verb(&verb.text);
    if forms.is_empty() {
        let verbs = grammar::verbs().into_iter().chain(["help"]);
        return Err(unknown("verb", verb, verbs));
    }
    let nouns = forms.iter().map(|form| form.noun);
    let Some(noun) = words.get(1) else {
        let message = format!("{} needs a noun", verb.text);
        return Err(Problem::new(end(text), message).allowed(nouns));
    };
    let Some(form) = forms.iter().find(|form| form.noun == noun.text) else {
        return Err(unknown("noun", noun, nouns));
    };
    let given = given(form, &words[2..], text)?;
    let command = (form.build)(&given)?;
    let why = given.why.map(|word| word.text.clone());
    Ok(Some(Line { command, why }))
}

/// Returns the place after the last word.
fn end(text: &str) -> std::ops::Range<usize> {
    let end = text.trim_end().len() + 1;
    end..end
}

fn unknown<'a>(what: &str, word: &Word, allowed: impl Iterator<Item = &'a str>) -> Problem {
    let message = format!("{what} {:?} is not known", word.text);
    Problem::new(word.span.clone(), message)
        .allowed(allowed)
        .near(&word.text)
}

fn help(words: &[Word]) -> Result<Command, Problem> {
    match words {
        [_] => Ok(Command::Help(None)),
        [_, verb] if grammar::verbs().contains(&verb.text.as_str()) => {
            Ok(Command::Help(Some(verb.text.clone())))
        }
        [_, verb, ..] => Err(unknown("verb", verb, grammar::verbs().into_iter())),
        [] => Ok(Command::Help(None)),
    }
}

fn given<'a>(form: &'static Form, words: &'a [Word], text: &str) -> Result<Given<'a>, Problem> {
    let mut rest = words.iter();
    let mut values = Vec::new();
    for slot in form.values {
        let Some(word) = rest.next() else {
            let message = format!("{} {} needs {}", form.verb, form.noun, slot.name());
            return Err(Problem::new(end(text), message).allowed([slot.name()]));
        };
        values.push(word);
    }
    let mut pairs = BTreeMap::new();
    let mut names = BTreeMap::new();
    let mut why = None;
    while let Some(name) = rest.next() {
        if name.text == grammar::WHY && form.is_order() {
            why = Some(reason(name, rest.next(), why, text)?);
            continue;
        }
        let Some(field) = form.field(&name.text) else {
            return Err(unknown_field(form, name));
        };
        let Some(value) = rest.next() else {
            let message = format!("field {} needs a value", field.name);
            return Err(Problem::new(end(text), message).allowed([field.slot.name()]));
        };
        names.insert(field.name, name);
        if pairs.insert(field.name, value).is_some() {
            return Err(twice(name));
        }
    }
    let missing: Vec<&str> = form
        .fields
        .iter()
        .filter(|field| field.needed && !pairs.contains_key(field.name))
        .map(|field| field.name)
        .collect();
    if !missing.is_empty() {
        let needed = missing.join(" and ");
        let message = format!("{} {} needs {needed}", form.verb, form.noun);
        return Err(Problem::new(end(text), message).allowed(missing));
    }
    Ok(Given {
        form,
        values,
        pairs,
        names,
        why,
        end: end(text),
    })
}

fn reason<'a>(
    name: &Word,
    value: Option<&'a Word>,
    known: Option<&Word>,
    text: &str,
) -> Result<&'a Word, Problem> {
    if known.is_some() {
        return Err(twice(name));
    }
    value.ok_or_else(|| {
        let message = format!("field {} needs a value", name.text);
        Problem::new(end(text), message).allowed(["TEXT"])
    })
}

fn twice(name: &Word) -> Problem {
    let message = format!("field {} is given twice", name.text);
    Problem::new(name.span.clone(), message)
}

fn unknown_field(form: &Form, name: &Word) -> Problem {
    if form.names().is_empty() {
        let message = format!("{} {} ends before {:?}", form.verb, form.noun, name.text);
        return Problem::new(name.span.clone(), message);
    }
    unknown("field", name, form.names().into_iter())
}
