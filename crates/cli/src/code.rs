//! Exit codes.

use lang::api::Refusal;

/// How a command ended, as the exit code of the program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Code {
    /// It was carried out.
    #[default]
    Done = 0,
    /// The program itself failed, such as when a file cannot be read.
    Failed = 1,
    /// The command or an option is not valid.
    Usage = 2,
    /// It was refused: the key, the role or the configuration does not allow it.
    Refused = 3,
    /// Another change was accepted first.
    Conflict = 4,
    /// No router could be reached, or the router could not reach the table;
    /// nothing was changed.
    Unreachable = 5,
    /// It was accepted, but is not in force everywhere within the wait time.
    Timeout = 6,
    /// It is not known whether it was accepted.
    Undecided = 7,
}

impl From<&Refusal> for Code {
    fn from(refusal: &Refusal) -> Self {
        match refusal {
            Refusal::Key | Refusal::Role { .. } | Refusal::Rejected(_) => Self::Refused,
            Refusal::Conflict(_) => Self::Conflict,
            Refusal::Unavailable(_) => Self::Unreachable,
            Refusal::Undecided(_) => Self::Undecided,
        }
    }
}
