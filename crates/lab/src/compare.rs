//! Plays several cases at once on all cores.

use indicatif::{ParallelProgressIterator, ProgressBar, ProgressStyle};
use rayon::iter::{IntoParallelIterator, ParallelIterator};

use crate::{
    arrivals::{self, Arrival},
    outcome::Outcome,
    play,
    policy::Policy,
    site::Site,
};

/// One play to make.
#[derive(Clone, Debug)]
pub struct Case {
    /// The site.
    pub site: Site,
    /// The policy.
    pub policy: Policy,
    /// The seed.
    pub seed: u64,
    /// What was set otherwise than in the site file, if anything.
    pub setting: String,
    /// Requests that were read from a file; none are generated then.
    pub arrivals: Option<Vec<Arrival>>,
}

/// Plays cases; the outcomes are in their order. `shows` draws a progress bar on
/// standard error.
pub fn play(cases: Vec<Case>, shows: bool) -> Vec<Outcome> {
    let bar = match shows {
        true => ProgressBar::new(cases.len() as u64).with_style(style()),
        false => ProgressBar::hidden(),
    };
    cases
        .into_par_iter()
        .progress_with(bar)
        .map(|case| case.play())
        .collect()
}

fn style() -> ProgressStyle {
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} plays, {elapsed}");
    style.unwrap_or_else(|_| ProgressStyle::default_bar())
}

impl Case {
    fn play(self) -> Outcome {
        let arrivals = match self.arrivals {
            Some(arrivals) => arrivals,
            None => arrivals::generate(&self.site, self.seed),
        };
        let mut outcome = play::play(&self.site, &arrivals, self.policy, self.seed);
        outcome.setting = self.setting;
        outcome
    }
}

/// The mean of several outcomes of one policy and setting.
#[derive(Clone, Debug, PartialEq)]
pub struct Mean {
    /// The policy.
    pub policy: String,
    /// The setting.
    pub setting: String,
    /// Number of outcomes.
    pub plays: usize,
    /// Part of the worth that was earned: mean, least and most.
    pub worth: [f64; 3],
    /// Parts of all requests.
    pub timely: f64,
    /// As above.
    pub late: f64,
    /// As above.
    pub refused: f64,
    /// Requests that failed or whose callers left.
    pub lost: f64,
    /// Part of the sends to targets over the bound.
    pub over: f64,
    /// Tokens of shared parts that were read, and tokens that were fetched, for
    /// each request.
    pub reread: f64,
    /// As above.
    pub fetched: f64,
    /// Milliseconds to the first event that 95 in 100 requests do not exceed.
    pub most: f64,
    /// Bytes a second that a router sends to others.
    pub bytes: f64,
}

/// Sums up outcomes by policy and setting, in the order in which these come first.
pub fn means(outcomes: &[Outcome], site: &Site) -> Vec<Mean> {
    let mut groups: Vec<(&str, &str, Vec<&Outcome>)> = Vec::new();
    for outcome in outcomes {
        let found = groups.iter_mut().find(|(policy, setting, _)| {
            *policy == outcome.policy.as_str() && *setting == outcome.setting.as_str()
        });
        match found {
            Some((_, _, group)) => group.push(outcome),
            None => groups.push((&outcome.policy, &outcome.setting, vec![outcome])),
        }
    }
    let groups = groups.into_iter();
    groups
        .map(|(policy, setting, group)| mean(policy, setting, &group, site))
        .collect()
}

fn mean(policy: &str, setting: &str, group: &[&Outcome], site: &Site) -> Mean {
    let average = |of: &dyn Fn(&Outcome) -> f64| {
        group.iter().map(|outcome| of(outcome)).sum::<f64>() / group.len() as f64
    };
    let part = |of: &dyn Fn(&Outcome) -> u32| {
        average(&|outcome| f64::from(of(outcome)) / f64::from(outcome.all.asked.max(1)))
    };
    let worths = group.iter().map(|outcome| outcome.worth());
    let least = worths.clone().fold(f64::INFINITY, f64::min);
    let most = worths.fold(f64::NEG_INFINITY, f64::max);
    let router_seconds = site.length.as_secs_f64() * site.routers.count as f64;
    Mean {
        policy: policy.to_owned(),
        setting: setting.to_owned(),
        plays: group.len(),
        worth: [average(&Outcome::worth), least, most],
        timely: part(&|outcome| outcome.all.timely),
        late: part(&|outcome| outcome.all.late),
        refused: part(&|outcome| outcome.all.refused),
        lost: part(&|outcome| outcome.all.failed + outcome.all.left),
        over: average(&|outcome| f64::from(outcome.over) / f64::from(outcome.sends.max(1))),
        reread: average(&|outcome| outcome.shared as f64 / f64::from(outcome.all.asked.max(1))),
        fetched: average(&|outcome| outcome.fetched as f64 / f64::from(outcome.all.asked.max(1))),
        most: average(&|outcome| outcome.all.most),
        bytes: average(&|outcome| outcome.bytes as f64 / router_seconds),
    }
}

impl std::fmt::Display for Mean {
    /// Writes the mean as a line of a table; [`HEAD`] names the columns.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self {
            policy,
            setting,
            plays,
            worth: [worth, least, most],
            ..
        } = self;
        write!(
            f,
            "{policy:8} {setting:24} {plays:5} {worth:6.3} {least:6.3} {most:6.3} {:7.3} {:6.3} \
             {:7.3} {:6.3} {:6.4} {:8.0} {:8.0} {:8.0} {:9.0}",
            self.timely,
            self.late,
            self.refused,
            self.lost,
            self.over,
            self.reread,
            self.fetched,
            self.most,
            self.bytes,
        )
    }
}

/// Names the columns of a table of means.
pub const HEAD: &str = "policy   setting                  plays  worth  least   most  timely   \
                        late refused   lost   over   reread  fetched   p95_ms bytes_s_r";
