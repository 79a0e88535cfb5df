//! Malformed, truncated or altered messages between routers and streams from
//! targets cause no panic, and the state they create stays bounded.

use std::{collections::BTreeMap, net::SocketAddr};

use base::{cores::Cores, span::Span, time::Mono};
use edge::{
    events::EventBuffer,
    exchange::Exchange,
    relays::{self, CentreHash, Router},
    update::{self, CachedPart, Snapshot, Update},
};
use proptest::prelude::*;
use prost::Message;

/// Number of cases for each property. PROPTEST_CASES overrides it.
const CASES: u32 = 400;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: std::env::var("PROPTEST_CASES")
            .ok()
            .and_then(|cases| cases.parse().ok())
            .unwrap_or(CASES),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn exchange(relays: bool) -> Exchange {
    let own = Router {
        address: address(0),
        rank: relays::rank(address(0)),
        centre: CentreHash(1),
        share: Cores(90),
        uses_relays: false,
    };
    let peers = if relays { 60 } else { 5 };
    let seeds: Vec<_> = (1..peers).map(address).collect();
    let mut exchange = Exchange::new(own, 1, &seeds);
    for peer in 1..peers {
        let update = Update {
            run: u64::from(peer) + 10,
            sequence: 1,
            centre: u64::from(peer % 3),
            ..Update::default()
        };
        exchange.receive(Mono(1), address(peer), &update);
    }
    exchange.round(Mono(1_000), &BTreeMap::new());
    exchange
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_340))
}

fn any_update() -> impl Strategy<Value = Update> {
    let numbers = prop_oneof![Just(0), Just(1), Just(u64::MAX), any::<u64>()];
    let small = prop_oneof![Just(0), Just(1), Just(u32::MAX), any::<u32>()];
    let lists = (
        prop::collection::vec(any::<u32>(), 0..20),
        prop::collection::vec(small.clone(), 0..20),
    );
    let numbers = (numbers.clone(), numbers.clone(), numbers.clone(), numbers);
    let small = (small.clone(), small.clone(), small.clone(), small);
    (lists, numbers, small, any::<(i32, bool, bool, bool)>()).prop_map(
        |(lists, (run, sequence, centre, changed), (part, parts, cover, share), rest)| Update {
            targets: lists.0,
            counts: lists.1,
            run,
            sequence,
            centre,
            last_change: changed,
            shard: part,
            shards: parts,
            coverage: cover,
            share,
            scope: rest.0 % 5,
            wants_totals: rest.1,
            reads_table: rest.2,
            uses_relays: rest.3,
            ..Update::default()
        },
    )
}

proptest! {
    #![proptest_config(config())]

    /// Arbitrary bytes are either decoded or rejected with an error.
    #[test]
    fn any_datagram(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        if let Ok(update) = Update::decode(&bytes[..]) {
            exchange(true).receive(Mono(2_000), address(1), &update);
        }
        let _ = Snapshot::decode(&bytes[..]);
        let _ = update::inflate(&bytes);
    }

    /// A message with one altered byte is either accepted or rejected, without a
    /// panic.
    #[test]
    fn altered_datagram(update in any_update(), at in any::<prop::sample::Index>(), byte: u8) {
        let mut bytes = update.encode_to_vec();
        if !bytes.is_empty() {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        if let Ok(update) = Update::decode(&bytes[..]) {
            exchange(false).receive(Mono(2_000), address(1), &update);
        }
    }

    /// Whatever messages arrive, the next round of messages can be composed, and
    /// their number is bounded.
    #[test]
    fn any_messages(all in prop::collection::vec((1..60_u8, any_update()), 1..30), relays: bool) {
        let mut exchange = exchange(relays);
        let mut now = Mono(2_000);
        for (peer, update) in all {
            now = now + Span::from_millis(20);
            exchange.receive(now, address(peer), &update);
            let outgoing = exchange.round(now, &BTreeMap::from([(7, 3)]));
            prop_assert!(outgoing.len() < 200, "{}", outgoing.len());
            exchange.freshness(now);
            exchange.relayed_change(now);
        }
    }

    /// Events come out complete and in order, however the stream is split.
    #[test]
    fn split_events(ids in prop::collection::btree_set(1..10_000_u64, 1..20), cuts in prop::collection::vec(1..40_usize, 1..50)) {
        let whole: String = ids.iter().map(|id| format!("id: {id}\ndata: x\n\n")).collect();
        let mut buffer = EventBuffer::new(None);
        let mut rest = whole.as_bytes();
        let mut out = Vec::new();
        for cut in cuts.iter().cycle() {
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            let completed = buffer.push(piece);
            prop_assert_eq!(completed.error, None);
            out.extend_from_slice(&completed.events);
            prop_assert!(out.is_empty() || out.ends_with(b"\n\n"));
            rest = after;
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(out, whole.as_bytes());
        prop_assert!(!buffer.has_partial());
    }

    /// Arbitrary bytes of a stream are forwarded unchanged up to the first fault.
    #[test]
    fn any_stream(pieces in prop::collection::vec(prop::collection::vec(prop_oneof![Just(b'\n'), Just(b':'), Just(b'i'), Just(b'd'), any::<u8>()], 0..50), 0..30)) {
        let mut buffer = EventBuffer::new(Some(3));
        let mut out = Vec::new();
        for piece in &pieces {
            let completed = buffer.push(piece);
            out.extend_from_slice(&completed.events);
            if completed.error.is_some() {
                break;
            }
        }
        prop_assert!(pieces.concat().starts_with(&out));
    }

    /// A stream is resumed after the last event that was forwarded, wherever an event of
    /// another stream comes in it and however its bytes are split.
    #[test]
    fn stray_events(last in 1..20_u64, after in 0..20_u64, stray in 1..30_u64, cuts in prop::collection::vec(1..200_usize, 1..50)) {
        let event = |id: u64, text: &str| format!("id: {id}\ndata: {text}\n\n");
        let mut whole: Vec<_> = (1..=last).map(|id| event(id, "own")).collect();
        whole.insert(after.min(last) as usize, event(stray, "stray"));
        let whole = whole.concat();
        let mut buffer = EventBuffer::new(None);
        let mut rest = whole.as_bytes();
        let mut out = Vec::new();
        for cut in cuts.iter().cycle() {
            let (piece, after) = rest.split_at((*cut).min(rest.len()));
            let completed = buffer.push(piece);
            out.extend_from_slice(&completed.events);
            rest = after;
            if rest.is_empty() || completed.error.is_some() {
                break;
            }
        }
        let out = String::from_utf8(out).expect("text");
        let mut ids = out.lines().filter_map(|line| line.strip_prefix("id: "));
        prop_assert_eq!(ids.next_back().map(|id| id.parse().expect("a number")), buffer.last_id());
        prop_assert!(whole.starts_with(&out));
    }

    /// A configuration and the cached parts survive encoding and decoding of a
    /// snapshot.
    #[test]
    fn snapshot_roundtrip(config in prop::collection::vec(any::<u8>(), 0..2_000), target: u64, part: u64) {
        let snapshot = Snapshot {
            config: update::deflate(&config).expect("deflates"),
            cached: vec![CachedPart { target, part }],
            ..Snapshot::default()
        };
        let read = Snapshot::decode(&snapshot.encode_to_vec()[..]).expect("decodes");
        prop_assert_eq!(&update::inflate(&read.config).expect("inflates")[..], &config[..]);
        prop_assert_eq!(read.cached, snapshot.cached);
    }
}
