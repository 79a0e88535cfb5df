//! A short run of the fault soak, and the seeds that ever broke a promise.

use std::{path::Path, time::Duration};

/// Seeds that are always run; a seed that breaks a promise is added here with
/// its cause.
///
/// - 106, 134: callers that were connected and not accepted yet were reset when
///   the listener closed after SIGTERM.
/// - 136: a router that stood still answered after the caller's time; it cannot
///   know how long the request had waited, and the check allows that.
/// - 207, 423: SIGHUP ended a process that had just been started. It handles
///   signals before anything else now; one that comes even sooner ends it, and
///   it is started again, as the platform does.
const SEEDS: [u64; 6] = [1, 106, 134, 136, 207, 423];

/// Time of faults for each seed.
const CHAOS: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn seeded_soak() {
    let program = Path::new(env!("CARGO_BIN_EXE_ebonywalld"));
    for seed in SEEDS {
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
        let report = soak::run::run(program, &dir, seed, CHAOS)
            .await
            .expect("the soak runs");
        assert!(report.served > 100, "seed {seed}: {report:?}");
        assert!(report.violations.is_empty(), "seed {seed}: {report:#?}");
    }
}
