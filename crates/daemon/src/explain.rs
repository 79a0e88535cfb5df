//! Arguments of the command `explain`.

use std::{net::SocketAddr, process::ExitCode};

use bpaf::Bpaf;
use edge::explain::{
    client::{self, Output},
    query::{self, Caller, Question},
};

/// The router to ask, and the request.
#[derive(Clone, Debug, Bpaf)]
pub struct Arguments {
    /// Metrics address of the router
    #[bpaf(argument("ADDRESS"))]
    router: SocketAddr,
    /// Host of the request
    #[bpaf(argument("HOST"))]
    host: String,
    /// Path of the request
    #[bpaf(argument("PATH"))]
    path: String,
    /// Key of the caller
    #[bpaf(argument("KEY"))]
    key: Option<String>,
    /// Team of the caller, in place of a key
    #[bpaf(argument("TEAM"))]
    team: Option<String>,
    /// Parts of the prompt, ID:TOKENS joined by commas
    #[bpaf(argument("PARTS"), fallback(String::new()))]
    prompt: String,
    /// Time for which the caller still waits, in milliseconds
    #[bpaf(argument("MS"))]
    left: Option<u32>,
    /// Takes the place of the request's id and of random numbers
    #[bpaf(argument("N"), fallback(0))]
    seed: u64,
    /// table or json
    #[bpaf(argument("OUTPUT"), fallback(Output::Table))]
    output: Output,
}

impl Arguments {
    /// Asks the router and prints its answer.
    pub fn run(self) -> ExitCode {
        let caller = match (self.key, self.team) {
            (Some(_), Some(_)) => Err(query::QueryError::KeyAndTeam),
            (Some(key), None) => Ok(Caller::Key(key)),
            (None, Some(team)) => Ok(Caller::Team(team)),
            (None, None) => Ok(Caller::Anonymous),
        };
        let question = caller.and_then(|caller| {
            Ok(Question {
                host: self.host,
                path: self.path,
                caller,
                prompt: query::parts(&self.prompt)?,
                left_ms: self.left,
                seed: self.seed,
            })
        });
        match question {
            Ok(question) => client::run(self.router, &question, self.output),
            Err(error) => {
                eprintln!("{error}");
                client::USAGE.into()
            }
        }
    }
}
