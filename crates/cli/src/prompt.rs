//! Reads commands from a terminal, with history and completion.

use std::io;

use lang::{
    complete::{self, Names},
    word,
};
use rustyline::{
    Completer, Editor, Helper, Highlighter, Hinter, Validator,
    completion::Completer as Complete,
    error::ReadlineError,
    history::{DefaultHistory, History},
};
use tokio::runtime::Runtime;

use crate::{
    code::Code,
    options::Options,
    session::{Screen, Session},
};

/// Shown before each command.
const PROMPT: &str = "ebonywall> ";

/// Completes words by the grammar and the names that exist.
struct Words(Names);

impl Complete for Words {
    type Candidate = String;

    fn complete(
        &self,
        line: &str,
        position: usize,
        _: &rustyline::Context<'_>,
    ) -> rustyline::Result<(usize, Vec<String>)> {
        let completion = complete::complete(&line[..position], &self.0);
        Ok((completion.start, completion.words))
    }
}

#[derive(Completer, Helper, Highlighter, Hinter, Validator)]
struct Assistant {
    #[rustyline(Completer)]
    words: Words,
}

/// Tells whether a line may be kept in the history; one with a plain key may
/// not.
pub fn may_keep(line: &str) -> bool {
    match word::words(line) {
        Ok(words) => words.iter().all(|word| word.text != "secret"),
        Err(_) => !line.contains("secret"),
    }
}

/// Reads and runs commands until the end of the input. Commands that fail do
/// not end it.
///
/// # Errors
///
/// When the terminal or the history file cannot be used.
pub fn run(runtime: &Runtime, session: &mut Session, options: &Options) -> anyhow::Result<Code> {
    let mut editor: Editor<Assistant, DefaultHistory> = Editor::new()?;
    if let Some(file) = &options.history
        && file.exists()
    {
        editor.load_history(file)?;
    }
    refresh(runtime, session, &mut editor);
    loop {
        let line = match editor.readline(PROMPT) {
            Ok(line) => line,
            Err(ReadlineError::Interrupted) => continue,
            Err(ReadlineError::Eof) => break,
            Err(cause) => return Err(cause.into()),
        };
        if may_keep(&line) {
            editor.add_history_entry(line.as_str())?;
        }
        let mut screen = Screen {
            out: &mut io::stdout(),
            err: &mut io::stderr(),
        };
        let code = runtime.block_on(session.run(&line, &mut screen));
        if code == Code::Done {
            refresh(runtime, session, &mut editor);
        }
    }
    if let Some(file) = &options.history
        && !editor.history().is_empty()
    {
        editor.save_history(file)?;
    }
    Ok(Code::Done)
}

fn refresh(
    runtime: &Runtime,
    session: &mut Session,
    editor: &mut Editor<Assistant, DefaultHistory>,
) {
    let names = runtime.block_on(session.names());
    editor.set_helper(Some(Assistant {
        words: Words(names),
    }));
}
