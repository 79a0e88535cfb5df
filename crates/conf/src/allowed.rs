//! What each key of the settings allows, for errors.

const ALLOWED: &[(&str, &str)] = &[
    (
        "process",
        "an id of letters, digits, '.', '_' and '-', at most 64 characters",
    ),
    ("role", "router or agent"),
    (
        "data_centre",
        "an id of letters, digits, '.', '_' and '-', at most 64 characters",
    ),
    (
        "listen",
        "an object with peers and health, and for a router callers and operators",
    ),
    ("advertise", "an IP address and a port, not 0.0.0.0 or ::"),
    ("seeds", "a list of IP addresses with ports"),
    ("platform", "an object with table, objects and instances"),
    ("tls", "an object with callers and peers"),
    ("tls.callers", "an object with certificate and key"),
    ("tls.peers", "an object with certificate, key and authority"),
    ("limits.body", "a size of 1KiB to 4MiB, such as \"1MiB\""),
    (
        "limits.header",
        "a size of 1KiB to 48KiB, such as \"16KiB\"",
    ),
    ("limits.connections", "1 to 1000000"),
    (
        "limits.header_time",
        "a time of 100ms to 1min, such as \"5s\"",
    ),
    (
        "limits.body_time",
        "a time of 100ms to 10min, such as \"30s\"",
    ),
    (
        "limits.deadline",
        "a time of 1s to 24h, above limits.header_time and limits.body_time",
    ),
    ("threads", "1 to 256"),
    (
        "control_rate",
        "a byte rate of 1KiB/s to 1MiB/s, such as \"5KiB/s\"",
    ),
    (
        "settle_time",
        "a time of 100ms to 1min, below limits.deadline",
    ),
    ("drain_time", "a time of 1s to 24h, such as \"10min\""),
    ("statsd", "an IP address and a port"),
    ("log", "a filter such as \"info\" or \"info,router=debug\""),
    (
        "hint_secret",
        "a text of 32 to 128 characters, required for a router, the same for all routers",
    ),
    (
        "bootstrap",
        "the name of a file with a JSON list of changes",
    ),
    (
        "agent",
        "an object with target, address, service and kind, for role agent only",
    ),
    ("agent.kind", "engine or plain"),
    ("agent.slots", "1 to 100000"),
    ("agent.weight", "1 to 10000, where 100 is normal"),
    ("agent.target", "the id of the target"),
    ("agent.service", "the id of a service of the configuration"),
];

/// What keys that end in an address allow.
const ALLOWED_ADDRESS: &str = "an IP address and a port, such as \"127.0.0.1:7001\"";

/// What keys that name a file of a certificate allow.
const ALLOWED_FILE: &str = "the name of a PEM file, relative to the directory of the settings file";

const FILES: &[&str] = &[
    "tls.callers.certificate",
    "tls.callers.key",
    "tls.peers.certificate",
    "tls.peers.key",
    "tls.peers.authority",
];

const ADDRESSES: &[&str] = &[
    "listen.callers",
    "listen.peers",
    "listen.operators",
    "listen.health",
    "platform.table",
    "platform.objects",
    "platform.instances",
    "agent.address",
    "agent.orders",
];

/// Returns what a key allows, or its nearest enclosing key.
pub(crate) fn allowed(key: &str) -> Option<&'static str> {
    if ADDRESSES.contains(&key) {
        return Some(ALLOWED_ADDRESS);
    }
    if FILES.contains(&key) {
        return Some(ALLOWED_FILE);
    }
    let own = ALLOWED.iter().find(|(name, _)| *name == key);
    match (own, key.rsplit_once('.')) {
        (Some((_, text)), _) => Some(text),
        (None, Some((outer, _))) => allowed(outer),
        (None, None) => None,
    }
}
