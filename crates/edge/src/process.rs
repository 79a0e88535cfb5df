//! Runs the router as a process, until it is told to stop.

use std::{
    fs,
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use anyhow::Context;
use base::span;
use platform::settings::{self, Settings};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time::{Instant, sleep},
};

use crate::{control, front::Front, logs, metrics, ready, shared::Shared};

/// Time after SIGTERM in which the platform may still send new callers: two
/// missed answers, one a second, and their way here.
const ROTATION_TIME: Duration = Duration::from_millis(2_600);

/// Time before SIGKILL at which the process ends by itself.
const GRACE_MARGIN: span::Span = span::Span::from_millis(200);

/// Time between two reads of the settings file, which may change without a
/// signal.
const REREAD_PAUSE: Duration = Duration::from_secs(2);

/// Time between two looks at whether requests remain.
const LOOK: Duration = Duration::from_millis(50);

/// Runs the router with the platform's settings file.
///
/// # Errors
///
/// When the settings cannot be read or an address cannot be bound.
pub fn run(filter: &str) -> anyhow::Result<()> {
    // A signal that comes before its handler ends the process.
    let traffic_runtime = runtime()?;
    let signals = traffic_runtime.block_on(async { Signals::new() })?;
    let _logs = logs::init(filter);
    let path = settings::path();
    let text = fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    let settings = Settings::decode(&text)?;
    tracing::info!(event = "start", process = %settings.process, centre = %settings.centre);
    let shared = Shared::new(settings);
    let control = runtime()?;
    let following = shared.clone();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control.block_on(control::run(following)))
        .context("start control thread")?;
    traffic_runtime.block_on(traffic(shared, signals))
}

/// The signals that the process handles.
struct Signals {
    reload: Signal,
    terminate: Signal,
}

impl Signals {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            reload: signal(SignalKind::hangup()).context("listen for SIGHUP")?,
            terminate: signal(SignalKind::terminate()).context("listen for SIGTERM")?,
        })
    }
}

/// Puts changed bounds in force; addresses cannot change while the process
/// runs.
fn reread(shared: &Shared) {
    let path = settings::path();
    let text = match fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            tracing::warn!(event = "settings_unreadable", path = %path.display(), %error);
            return;
        }
    };
    match Settings::decode(&text) {
        Ok(settings) if settings.bounds != **shared.bounds.load() => {
            tracing::info!(event = "reload", bounds = ?settings.bounds);
            shared.set_bounds(settings.bounds);
        }
        Ok(_) => {}
        Err(fault) => tracing::warn!(event = "settings_unreadable", %fault),
    }
}

fn runtime() -> anyhow::Result<Runtime> {
    Builder::new_current_thread()
        .enable_all()
        .build()
        .context("start runtime")
}

async fn traffic(shared: Arc<Shared>, mut signals: Signals) -> anyhow::Result<()> {
    let (close, closing) = watch::channel(false);
    let front = Front::serve(shared.clone(), closing).await?;
    ready::serve(shared.clone()).await?;
    metrics::serve(shared.clone()).await?;
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.reload.recv() => reread(&shared),
            () = sleep(REREAD_PAUSE) => reread(&shared),
        }
    }
    let stopped = Instant::now();
    tracing::info!(
        event = "stop",
        active = front.active.load(Ordering::Relaxed)
    );
    shared.stopping.store(true, Ordering::Relaxed);
    sleep(ROTATION_TIME).await;
    close.send_replace(true);
    let grace = shared.bounds.load().grace_period.as_micros() - GRACE_MARGIN.as_micros();
    let end = stopped + Duration::from_micros(grace);
    while front.connections.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        sleep(LOOK).await;
    }
    tracing::info!(
        event = "stopped",
        active = front.active.load(Ordering::Relaxed)
    );
    Ok(())
}
