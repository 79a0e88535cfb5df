//! Runs the router as a process until it receives SIGTERM.

use std::{
    fs,
    sync::{Arc, atomic::Ordering},
    thread,
    time::Duration,
};

use anyhow::Context;
use place::hedge::Fraction;
use platform::settings::{self, Settings};
use tokio::{
    runtime::{Builder, Runtime},
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time::sleep,
};

use crate::{control, logs, metrics, ready, server::Server, shared::Shared};

/// Interval at which the settings file is read again, because it may change without
/// a SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Runs the router with the platform's settings file; `filter` selects the log
/// events that are written, `hedging` is the part of the requests that may be sent to
/// a second target while the first still works on them.
///
/// # Errors
///
/// When the settings cannot be read or an address cannot be bound.
pub fn run(filter: &str, hedging: Fraction) -> anyhow::Result<()> {
    // Without a handler, SIGHUP and SIGTERM end the process immediately, so the handlers
    // are installed first.
    let traffic_runtime = runtime()?;
    let signals = traffic_runtime.block_on(async { Signals::new() })?;
    let _logs = logs::init(filter);
    let path = settings::path();
    let text = fs::read_to_string(&path).with_context(|| format!("read {}", path.display()))?;
    let settings = Settings::decode(&text)?;
    tracing::info!(event = "start", process = %settings.process, centre = %settings.centre);
    let shared = Shared::new(settings);
    shared.set_hedging(hedging);
    let control = runtime()?;
    let control_shared = shared.clone();
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control.block_on(control::run(control_shared)))
        .context("start control thread")?;
    traffic_runtime.block_on(serve_traffic(shared, signals))
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

/// Reads the settings file and applies changed bounds. Changes to addresses need a
/// restart.
fn reload_settings(shared: &Shared) {
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

async fn serve_traffic(shared: Arc<Shared>, mut signals: Signals) -> anyhow::Result<()> {
    let (close, closing) = watch::channel(false);
    let server = Server::serve(shared.clone(), closing).await?;
    ready::serve(shared.clone()).await?;
    metrics::serve(shared.clone()).await?;
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.reload.recv() => reload_settings(&shared),
            () = sleep(RELOAD_INTERVAL) => reload_settings(&shared),
        }
    }
    tracing::info!(
        event = "stop",
        active = server.active.load(Ordering::Relaxed)
    );
    server.stop(&close).await;
    tracing::info!(
        event = "stopped",
        active = server.active.load(Ordering::Relaxed)
    );
    Ok(())
}
