//! Starts a whole deployment with stand-ins in one process and prints a curl
//! line that works: `local [perdana|marshals]`. Ends on Ctrl-C.

use bench::deploy;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let name = std::env::args().nth(1).unwrap_or("perdana".to_owned());
    let deployment = deploy::named(&name)?;
    roles::logs::init(&std::env::var("LOG").unwrap_or("warn".to_owned()));
    let running = deploy::Running::start(deployment.clone(), deploy::Options::default()).await?;
    let router = running.callers()[0];
    let team = deployment.teams[0].0;
    let key = deploy::key(team);
    println!(
        "{name}: {} engines, {} instances of {}, {} routers",
        deployment.engines, deployment.instances, deployment.plain.0, deployment.routers
    );
    println!("\nA chat:\n");
    println!(
        "  curl -N http://{router}/v1/chat/completions -H 'Authorization: Bearer {key}' \\\n    \
         -H 'Content-Type: application/json' \\\n    \
         -d '{{\"model\":\"{}\",\"stream\":true,\"messages\":[{{\"role\":\"user\",\"content\":\"Draft a short brief.\"}}]}}'",
        deployment.model
    );
    println!("\nA call that runs at most once:\n");
    println!(
        "  curl -i http://{router}{} -H 'Authorization: Bearer {key}' \\\n    \
         -H 'Idempotency-Key: example-1' -d '{{\"item\":42}}'",
        deployment.plain.1
    );
    if let Some(operators) = running.routers[0].settings.listen.operators {
        let key = deploy::OPERATOR_KEY;
        println!("\nAn operator's query:\n");
        println!(
            "  EBONYWALL_KEY={key} cargo run -q --bin ebonywall -- --router {operators} 'show targets'"
        );
    }
    println!("\nCtrl-C stops everything.");
    tokio::signal::ctrl_c().await?;
    running.stop().await;
    Ok(())
}
