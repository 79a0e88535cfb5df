//! Options of the command line.

use std::path::PathBuf;

use base::{id, span::Span};
use bpaf::Bpaf;

/// Environment variable that names routers, separated by commas.
pub const ROUTER: &str = "EBONYWALL_ROUTER";

/// Environment variable that holds the operator's key unless another is named.
pub const KEY: &str = "EBONYWALL_KEY";

/// How answers are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Tables for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            other => Err(format!("{other:?} is not an output; write table or json")),
        }
    }
}

/// Shows and changes what an ebonywall fleet does
///
/// Without a command and a file, commands are read from the terminal; the
/// command "help" lists them. Exit codes: 0 done, 1 failed, 2 usage, 3 refused,
/// 4 conflict, 5 not reachable, 6 not in force within the wait time, 7 not
/// known whether accepted.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Address of a router's operators' listener; several are tried in turn.
    /// Default: the addresses in EBONYWALL_ROUTER, separated by commas
    #[bpaf(argument("ADDRESS"), many)]
    pub router: Vec<String>,
    /// File with the operator's key
    #[bpaf(argument("FILE"))]
    pub key_file: Option<PathBuf>,
    /// Environment variable with the operator's key, by default EBONYWALL_KEY
    #[bpaf(argument("VARIABLE"))]
    pub key_env: Option<String>,
    /// File with the certificate authority of the routers; without it, the
    /// connection has no TLS
    #[bpaf(argument("FILE"))]
    pub ca: Option<PathBuf>,
    /// Name in the routers' certificate, by default the host of the address
    #[bpaf(argument("NAME"))]
    pub server_name: Option<String>,
    /// How answers are written: table or json
    #[bpaf(argument("FORM"), fallback(Output::Table))]
    pub output: Output,
    /// Reason that is recorded with each order
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    pub why: String,
    /// Shows the difference that an order would make, and does not give it
    pub dry_run: bool,
    /// Version that the order is based on; it conflicts when another change
    /// followed that version
    #[bpaf(argument("VERSION"))]
    pub base: Option<id::Version>,
    /// Id of the command, to repeat one whose outcome is not known
    #[bpaf(argument("ID"))]
    pub command: Option<id::CommandId>,
    /// Waits until an order is in force everywhere, or until show lagging
    /// names no member
    pub wait: bool,
    /// Longest time to wait, such as 30s
    #[bpaf(argument("TIME"), fallback(Span::from_secs(30)))]
    pub wait_time: Span,
    /// Reads commands from a file, one on each line; - is the standard input
    #[bpaf(argument("FILE"))]
    pub file: Option<PathBuf>,
    /// Keeps the history of the terminal in a file
    #[bpaf(argument("FILE"))]
    pub history: Option<PathBuf>,
    /// A command, such as "show teams"
    #[bpaf(positional("COMMAND"))]
    pub line: Option<String>,
}

impl Options {
    /// Returns what is wrong with the options together, if anything is. A
    /// command id and a base are those of one order.
    pub fn check(&self) -> Option<&'static str> {
        if self.line.is_some() && self.file.is_some() {
            return Some("a command and --file do not go together");
        }
        if self.line.is_some() {
            return None;
        }
        if self.command.is_some() {
            return Some("--command needs a command in the arguments");
        }
        if self.base.is_some() {
            return Some("--base needs a command in the arguments");
        }
        None
    }
}
