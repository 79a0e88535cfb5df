//! The figures of a placement measurement.

use std::time::Duration;

use base::time;
use hdrhistogram::Histogram;

use crate::{
    drive::{End, Turn},
    limit::Reuse,
    skew::Skew,
};

/// When a team surged.
#[derive(Clone, Copy, Debug)]
pub struct Surge {
    /// Index of the team.
    pub team: usize,
    /// When its load rose.
    pub at: time::Mono,
}

/// What a run showed.
#[derive(Clone, Debug)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Name of the deployment.
    pub deployment: String,
    /// Reuse that was achieved.
    pub reuse: Reuse,
    /// Reuse that no placement exceeds.
    pub limit: Reuse,
    /// The load against the bound.
    pub skew: Skew,
    /// Engines that crashed, and all crashes.
    pub crashed: (usize, u64),
    /// Bytes of control traffic of one router in a second.
    pub control: f64,
    /// The surge, if there was one.
    pub surge: Option<Surge>,
    /// All turns.
    pub turns: Vec<Turn>,
}

/// Time after the start of the load whose turns do not count in the surge's
/// base: all chats are new then and find nothing cached.
const WARM: time::Mono = time::Mono(6_000_000);

/// Returns quantiles of the time to the first byte, in milliseconds.
fn quantiles<'a>(turns: impl Iterator<Item = &'a Turn>) -> (u64, u64, u64) {
    let mut times = Histogram::<u64>::new(3).expect("3 digits are allowed");
    for turn in turns.filter(|turn| turn.end_state == End::Whole) {
        times.record(millis(turn.first)).ok();
    }
    let at = |quantile| times.value_at_quantile(quantile);
    (times.len(), at(0.5), at(0.99))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl Report {
    fn count(&self, end: End) -> usize {
        let ended = self.turns.iter().filter(|turn| turn.end_state == end);
        ended.count()
    }

    /// Prints the figures; the last line has key=value pairs.
    pub fn print(&self) {
        let skew = &self.skew;
        for moment in &skew.moments {
            println!("{moment}");
        }
        let course: Vec<String> = skew
            .course
            .iter()
            .map(|mean| format!("{mean:.1}"))
            .collect();
        println!("course mean={}", course.join(","));
        println!(
            "load mean={:.2} plain_skew={:.3} excess={} begun_over={} begun_excess={} time_over={:.5}",
            skew.mean, skew.plain, skew.excess, skew.begun_over, skew.begun_excess, skew.time_over
        );
        let returning = self.turns.iter().filter(|turn| turn.known > 0);
        let misses = returning
            .clone()
            .filter(|turn| 2 * turn.cached < turn.known);
        println!(
            "turns all={} returning={} missed_half={} unknown={} given={} crashed_engines={} crashes={}",
            self.turns.len(),
            returning.count(),
            misses.count(),
            self.turns.iter().map(|turn| turn.unknown).sum::<u32>(),
            self.count(End::Given),
            self.crashed.0,
            self.crashed.1
        );
        if let Some(surge) = &self.surge {
            self.print_surge(surge);
        }
        let (_, p50, p99) = quantiles(self.turns.iter());
        println!(
            "scenario={} policy={} seed={} deployment={} reuse={:.4} reuse_limit={:.4} of_limit={:.4} \
             skew={:.3} bound={:.3} over={} refused={} whole={}/{} crossed={} cut={} \
             control_bytes_per_router={:.0} p50_ms={p50} p99_ms={p99}",
            self.scenario,
            self.policy,
            self.seed,
            self.deployment,
            self.reuse.share(),
            self.limit.share(),
            self.reuse.share() / self.limit.share().max(f64::MIN_POSITIVE),
            skew.skew,
            skew.bound,
            skew.excess,
            self.turns.iter().map(|turn| turn.refused).sum::<u32>(),
            self.count(End::Whole),
            self.turns.len(),
            self.count(End::Crossed),
            self.count(End::Cut),
            self.control,
        );
    }

    /// Compares the other teams with and without the surge.
    fn print_surge(&self, surge: &Surge) {
        let start = self.turns.iter().map(|turn| turn.start.0).min();
        let warm = time::Mono(start.unwrap_or(0) + WARM.0);
        let others = || self.turns.iter().filter(|turn| turn.team != surge.team);
        let (count, p50, p99) =
            quantiles(others().filter(|turn| turn.start >= warm && turn.end < surge.at));
        let (during, p50_during, p99_during) =
            quantiles(others().filter(|turn| turn.start >= surge.at));
        let own = self.turns.iter().filter(|turn| turn.team == surge.team);
        let own = own.filter(|turn| turn.start >= surge.at);
        let (own_count, own_p50, own_p99) = quantiles(own.clone());
        let refused = |during: bool| -> u32 {
            let turns = others().filter(|turn| (turn.start >= surge.at) == during);
            turns.map(|turn| turn.refused).sum()
        };
        println!(
            "surge others_before={count} others_p50_ms={p50} others_p99_ms={p99} others_refused={} \
             others_during={during} others_p50_during_ms={p50_during} others_p99_during_ms={p99_during} \
             others_refused_during={} p99_ratio={:.3} own={own_count} own_p50_ms={own_p50} own_p99_ms={own_p99} own_refused={}",
            refused(false),
            refused(true),
            p99_during as f64 / p99.max(1) as f64,
            own.map(|turn| turn.refused).sum::<u32>(),
        );
    }
}
