//! Completion of the word at the end of a line.

use crate::grammar::{self, Form, Slot};

/// Names that exist, by the kind of place where they may stand.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Teams.
    pub teams: Vec<String>,
    /// Services.
    pub services: Vec<String>,
    /// Rules.
    pub rules: Vec<String>,
    /// Operators.
    pub operators: Vec<String>,
    /// Targets.
    pub targets: Vec<String>,
    /// Plans.
    pub plans: Vec<String>,
}

/// What may complete a line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Byte at which the completed word begins.
    pub start: usize,
    /// The words that may stand there.
    pub words: Vec<String>,
}

/// Returns what may stand at the end of the text before the cursor.
pub fn complete(before: &str, names: &Names) -> Completion {
    let start = before.rfind(char::is_whitespace).map_or(0, |at| {
        at + before[at..].chars().next().map_or(0, char::len_utf8)
    });
    let earlier: Vec<&str> = before[..start].split_whitespace().collect();
    let begun = &before[start..];
    let mut words = candidates(&earlier, begun, names);
    words.retain(|word| word.starts_with(begun));
    Completion { start, words }
}

fn candidates(earlier: &[&str], begun: &str, names: &Names) -> Vec<String> {
    match earlier {
        [] => texts(grammar::verbs().into_iter().chain(["help"])),
        ["help"] => texts(grammar::verbs()),
        [verb] => texts(grammar::of_verb(verb).iter().map(|form| form.noun)),
        [verb, noun, given @ ..] => {
            let forms = grammar::of_verb(verb);
            match forms.iter().find(|form| form.noun == *noun) {
                Some(form) => places(form, given, begun, names),
                None => Vec::new(),
            }
        }
    }
}

fn places(form: &Form, given: &[&str], begun: &str, names: &Names) -> Vec<String> {
    if let Some(slot) = form.values.get(given.len()) {
        return values(*slot, begun, names);
    }
    let pairs = &given[form.values.len()..];
    if pairs.len() % 2 == 1 {
        let field = pairs.last().and_then(|name| form.field(name));
        return field.map_or_else(Vec::new, |field| values(field.slot, begun, names));
    }
    let used: Vec<&str> = pairs.iter().step_by(2).copied().collect();
    let free = form.names().into_iter();
    texts(free.filter(|name| !used.contains(name)))
}

fn values(slot: Slot, begun: &str, names: &Names) -> Vec<String> {
    match slot {
        Slot::Team => names.teams.clone(),
        Slot::Service => names.services.clone(),
        Slot::Rule => names.rules.clone(),
        Slot::Operator => names.operators.clone(),
        Slot::Target => names.targets.clone(),
        Slot::Plan => names.plans.clone(),
        Slot::Word(words) => texts(words.iter().copied()),
        Slot::Words(words) => listed(words, begun),
        Slot::Content | Slot::Version | Slot::Text(_) => Vec::new(),
    }
}

/// Completes the last word of a list.
fn listed(words: &[&str], begun: &str) -> Vec<String> {
    let head = begun.rfind(',').map_or("", |at| &begun[..=at]);
    let used: Vec<&str> = head.split(',').collect();
    words
        .iter()
        .filter(|word| !used.contains(word))
        .map(|word| format!("{head}{word}"))
        .collect()
}

fn texts<'a>(words: impl IntoIterator<Item = &'a str>) -> Vec<String> {
    words.into_iter().map(str::to_owned).collect()
}
