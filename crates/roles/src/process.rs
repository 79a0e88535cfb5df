//! Runs one role as a whole process, until it is told to stop.

use anyhow::{Context, bail};
use conf::settings::{Role, Settings};
use place::policy;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::{agent, logs, router};

/// Runs the role that the settings name; SIGTERM and SIGINT begin a graceful
/// shutdown.
///
/// # Errors
///
/// When the settings are for the other role, an address cannot be bound or a
/// file cannot be read.
pub fn run(settings: Settings, role: Role) -> anyhow::Result<()> {
    if settings.role != role {
        bail!("settings are for role {}, not {role}", settings.role);
    }
    logs::init(&settings.log);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.threads)
        .enable_all()
        .build()
        .context("start runtime")?;
    runtime.block_on(async {
        let stop = CancellationToken::new();
        tokio::spawn(cancel_on_signal(stop.clone()));
        match role {
            Role::Router => router::start(settings, tuning(), stop).await?.await,
            Role::Agent => agent::start(settings, stop).await?.await,
        }
        Ok(())
    })
}

/// Prompt tokens from which a KV cache is imported rather than computed again.
/// A failed import costs one short call.
const IMPORT_TOKENS: u32 = 1024;

fn tuning() -> policy::Tuning {
    policy::Tuning {
        import_tokens: Some(IMPORT_TOKENS),
        ..policy::Tuning::default()
    }
}

async fn cancel_on_signal(stop: CancellationToken) {
    let terminate = signal(SignalKind::terminate());
    let interrupt = signal(SignalKind::interrupt());
    let (Ok(mut terminate), Ok(mut interrupt)) = (terminate, interrupt) else {
        tracing::error!(event = "signals_unavailable");
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop.cancel();
}
