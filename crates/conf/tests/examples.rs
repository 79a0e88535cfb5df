//! Guards the example deployments: each file loads, each deployment is complete,
//! and its processes agree with each other and with the bootstrap configuration.

use std::{
    collections::BTreeSet,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
};

use conf::{
    settings::{self, Role, Settings},
    state::Configuration,
    value::KeyHash,
};

const DEPLOYMENTS: [&str; 2] = ["perdana", "marshals"];

fn directory(deployment: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    root.join(deployment)
}

/// Loads every file of a deployment but the bootstrap configuration.
fn load(deployment: &str) -> Vec<Settings> {
    let entries = fs::read_dir(directory(deployment)).unwrap();
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    paths.sort();
    paths
        .iter()
        .filter(|path| !path.ends_with("bootstrap.json"))
        .map(|path| settings::load(path).unwrap_or_else(|error| panic!("{error}")))
        .collect()
}

fn bootstrap(deployment: &str) -> Configuration {
    let path = directory(deployment).join("bootstrap.json");
    let changes = settings::load_bootstrap(&path).unwrap_or_else(|error| panic!("{error}"));
    let start = Configuration::default();
    changes.iter().fold(start, |configuration, change| {
        configuration.apply(change).unwrap()
    })
}

#[test]
fn all_load() {
    for deployment in DEPLOYMENTS {
        let all = load(deployment);
        let routers = all.iter().filter(|one| one.role == Role::Router);
        assert_eq!(routers.count(), 3, "{deployment}");
        let centres: BTreeSet<_> = all.iter().map(|one| &one.data_centre).collect();
        assert_eq!(centres.len(), 3, "{deployment}");
        let ids: BTreeSet<_> = all.iter().map(|one| &one.process).collect();
        assert_eq!(ids.len(), all.len(), "{deployment}");
    }
}

#[test]
fn addresses_differ() {
    let mut used: BTreeSet<SocketAddr> = BTreeSet::new();
    for one in DEPLOYMENTS.into_iter().flat_map(load) {
        let listen = &one.listen;
        let own = [
            listen.callers,
            Some(listen.peers),
            listen.operators,
            Some(listen.health),
        ];
        for address in own.into_iter().flatten() {
            assert!(address.ip().is_loopback(), "{address} of {}", one.process);
            assert!(used.insert(address), "{address} of {}", one.process);
        }
        assert_eq!(one.advertise, listen.peers);
    }
}

#[test]
fn seeds_exist() {
    for deployment in DEPLOYMENTS {
        let all = load(deployment);
        let peers: BTreeSet<SocketAddr> = all.iter().map(|one| one.advertise).collect();
        for one in &all {
            assert!(!one.seeds.is_empty(), "{}", one.process);
            assert!(
                one.seeds.iter().all(|seed| peers.contains(seed)),
                "{}",
                one.process
            );
        }
        let routers = all.iter().filter(|one| one.role == Role::Router);
        let secrets: BTreeSet<String> = routers
            .map(|one| format!("{:?}", one.hint_secret.as_ref().unwrap().as_bytes()))
            .collect();
        assert_eq!(secrets.len(), 1, "{deployment}");
    }
}

#[test]
fn bootstrap_agrees() {
    for deployment in DEPLOYMENTS {
        let configuration = bootstrap(deployment);
        for one in load(deployment) {
            let Some(agent) = one.agent else { continue };
            let service = configuration.services().get(&agent.service).unwrap();
            assert_eq!(service.kind, agent.kind, "{}", one.process);
        }
        for team in configuration.teams().values() {
            let key = format!("{deployment}-example-{}", team.id);
            assert_eq!(
                configuration.team_of(&KeyHash::of(&key)).unwrap().id,
                team.id
            );
        }
        for operator in configuration.operators().values() {
            let key = format!("{deployment}-example-{}", operator.id);
            let found = configuration.operator_of(&KeyHash::of(&key)).unwrap();
            assert_eq!(found.id, operator.id);
        }
        let chat = configuration.route("POST", "/v1/chat/completions", None);
        assert!(chat.is_some(), "{deployment}");
    }
}
