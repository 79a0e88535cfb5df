//! The answer: what would happen to a request, and why.

use serde::{Deserialize, Serialize};

/// The explanation of a decision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the router that decided.
    pub router: String,
    /// Data centre of the router.
    pub centre: String,
    /// Version of the configuration in force, 0 if there is none.
    pub version: u64,
    /// The seed that stood for the id of the request and for random numbers.
    pub seed: u64,
    /// The rule that matches the request.
    pub rule: Option<String>,
    /// The service that the rule sends the request to.
    pub service: Option<String>,
    /// The team that the caller belongs to.
    pub team: Option<String>,
    /// Time until the response is due, in milliseconds.
    pub left_ms: Option<u64>,
    /// Whether the request would be sent.
    pub admission: Admission,
    /// The target that would be chosen, whether the request is shed or not.
    pub choice: Option<Choice>,
    /// The targets of the service.
    pub targets: Vec<Target>,
    /// What would happen if the response took long.
    pub hedge: Option<Hedge>,
}

/// Whether a request would be sent.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Admission {
    /// Whether it would be sent.
    pub admitted: bool,
    /// Why it would be refused, as in the log line `refused`.
    pub reason: Option<String>,
    /// When its caller would be told to return, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Probability of being shed because of the load.
    pub shed_probability: Option<f64>,
    /// The random number that was compared with it.
    pub random: Option<f64>,
}

/// The chosen target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice {
    /// Id of the target.
    pub target: String,
    /// Why it was chosen, as in the log line `sent`.
    pub reason: String,
    /// Expected cost in microseconds.
    pub cost_us: u64,
    /// Address from which it would fetch the parts that it has not cached.
    pub source: Option<String>,
    /// Load from which a target counted as full.
    pub spill_load: u64,
    /// Load of the eligible targets, in percent of their slots.
    pub utilization_percent: f64,
}

/// What the choice knows of a target.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Its id.
    pub id: String,
    /// Its data centre.
    pub centre: String,
    /// Estimated number of requests there.
    pub load: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// How much longer work takes there because of other workloads, in percent.
    pub contention_percent: i32,
    /// Prompt tokens that it is not known to have cached.
    pub missing_tokens: u32,
    /// Whether it is cold.
    pub cold: bool,
    /// Why the request may not run in its data centre.
    pub excluded: Option<Exclusion>,
    /// For how much longer it wants no requests, in milliseconds.
    pub paused_ms: Option<u64>,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether its circuit breaker admits no requests.
    pub blocked: bool,
    /// Expected cost in microseconds, if it is eligible.
    pub cost_us: Option<u64>,
    /// Why it is chosen or not.
    pub outcome: Outcome,
}

/// Why a request may not run in a data centre.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exclusion {
    /// The data centre is evacuated.
    Evacuated,
    /// It is outside the regions of the route or the team.
    OutsideRegions,
}

/// Why a target is chosen or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It is chosen.
    Wins,
    /// Its data centre is evacuated.
    Evacuated,
    /// Its data centre is outside the allowed regions.
    OutsideRegions,
    /// It is leaving.
    Leaving,
    /// It asked for no requests for some time.
    Paused,
    /// It is cold, and this router has no share of its limit left.
    ColdLimit,
    /// Its circuit breaker admits no requests, and enough other targets are eligible.
    Blocked,
    /// It is not in the random sample of this request.
    #[default]
    NotSampled,
    /// It counts as full, and the chosen one does not.
    Full,
    /// It costs more than the chosen one.
    CostsMore,
    /// It costs as much as the chosen one, and the seed decided.
    Tie,
}

/// Whether a request would be sent to a second target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hedge {
    /// `sent`, or why it is not, as in the log line `hedge`.
    pub outcome: String,
    /// Time after which the second target is considered, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Id of the second target.
    pub target: Option<String>,
}
