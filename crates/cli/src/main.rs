//! The operators' command line.

use std::{
    fs,
    io::{self, Read},
    process,
};

use anyhow::Context;
use bpaf::ParseFailure;
use cli::{
    code::Code,
    connect::{Client, Tls},
    options::{self, Options},
    prompt,
    session::{Screen, Session},
};
use lang::{api::Key, command::Command, parse, render};

/// Columns of the text that explains options.
const COLUMNS: usize = 80;

fn main() {
    let code = match options::options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => run(options).unwrap_or_else(|error| {
            eprintln!("error: {error:#}");
            Code::Failed
        }),
        Err(failure) => {
            failure.print_message(COLUMNS);
            match failure {
                ParseFailure::Stderr(_) => Code::Usage,
                _ => Code::Done,
            }
        }
    };
    process::exit(code as i32);
}

fn run(options: Options) -> anyhow::Result<Code> {
    if let Some(problem) = options.check() {
        eprintln!("error: {problem}");
        return Ok(Code::Usage);
    }
    if let Some(text) = options.line.as_deref().and_then(help) {
        print!("{text}");
        return Ok(Code::Done);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()?;
    let key = match key(&options) {
        Ok(key) => key,
        Err(error) => {
            eprintln!("error: {error:#}");
            return Ok(Code::Usage);
        }
    };
    let tls = match &options.ca {
        Some(authority) => Some(Tls::new(authority, options.server_name.clone())?),
        None => None,
    };
    let client = Client::new(routers(&options), key, tls);
    let mut session = Session::new(client, options.clone());
    let text = match (&options.line, &options.file) {
        (Some(line), _) => line.clone(),
        (None, Some(file)) if file.as_os_str() == "-" => {
            let mut text = String::new();
            io::stdin().read_to_string(&mut text)?;
            text
        }
        (None, Some(file)) => {
            fs::read_to_string(file).with_context(|| format!("read {}", file.display()))?
        }
        (None, None) => return prompt::run(&runtime, &mut session, &options),
    };
    let mut screen = Screen {
        out: &mut io::stdout(),
        err: &mut io::stderr(),
    };
    let code = match options.line {
        Some(line) => runtime.block_on(session.run(&line, &mut screen)),
        None => runtime.block_on(session.run_all(&text, &mut screen)),
    };
    Ok(code)
}

/// Returns the text of a help command, which needs neither a router nor a key.
fn help(line: &str) -> Option<String> {
    match parse::parse(line) {
        Ok(Some(line)) => match line.command {
            Command::Help(verb) => Some(render::help(verb.as_deref())),
            _ => None,
        },
        _ => None,
    }
}

fn routers(options: &Options) -> Vec<String> {
    if !options.router.is_empty() {
        return options.router.clone();
    }
    let named = std::env::var(options::ROUTER).unwrap_or_default();
    let routers = named.split(',').map(str::trim);
    routers
        .filter(|router| !router.is_empty())
        .map(str::to_owned)
        .collect()
}

fn key(options: &Options) -> anyhow::Result<Key> {
    let text = match &options.key_file {
        Some(file) => {
            fs::read_to_string(file).with_context(|| format!("read key {}", file.display()))?
        }
        None => {
            let name = options.key_env.as_deref().unwrap_or(options::KEY);
            std::env::var(name).with_context(|| format!("read key from variable {name}"))?
        }
    };
    Ok(Key(text.trim().to_owned()))
}
