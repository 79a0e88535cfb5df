//! One clock for all stand-ins of a process, so that their records compare.

use std::sync::LazyLock;

use base::time;

static CLOCK: LazyLock<time::Clock> = LazyLock::new(time::Clock::start);

/// Returns the present point in time.
pub fn now() -> time::Mono {
    CLOCK.now()
}

/// Sleeps until the given point in time.
pub async fn sleep_until(at: time::Mono) {
    tokio::time::sleep(at.since(now()).duration()).await;
}
