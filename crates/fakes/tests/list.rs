//! Guards the instance list's lag and leaving state: members are drained on
//! what it reports.

use base::span;
use bytes::Bytes;
use fakes::{client, list};
use http::{Request, StatusCode};

fn instance(id: &str) -> list::Instance {
    list::Instance {
        id: id.to_owned(),
        address: "127.0.0.1:1".to_owned(),
        data_centre: "austin".to_owned(),
        service: Some("crew".to_owned()),
        state: list::State::Live,
    }
}

fn start() -> list::List {
    let options = list::Options {
        lag: span::Span::from_secs(3600),
        instances: vec![instance("a")],
        seed: 0,
    };
    list::List::start("127.0.0.1:0".parse().unwrap(), options).unwrap()
}

async fn read(list: &list::List) -> list::Page {
    let request = Request::get("/v1/instances").body(Bytes::new()).unwrap();
    let reply = client::send(list.address(), request).await;
    reply.unwrap().json().unwrap()
}

#[tokio::test]
async fn lagging_changes() {
    let list = start();
    list.add(instance("b"));
    list.leave("a");
    let late = read(&list).await;
    assert_eq!((late.revision, late.instances), (1, vec![instance("a")]));
    list.lag(span::Span::ZERO);
    let now = read(&list).await;
    let states = now.instances.iter().map(|instance| instance.state);
    assert_eq!(
        states.collect::<Vec<_>>(),
        [list::State::Leaving, list::State::Live]
    );
    assert_eq!(now.revision, 3);
    list.remove("a");
    assert_eq!(read(&list).await.instances, [instance("b")]);
}

#[tokio::test]
async fn replaced_remotely() {
    let list = start();
    list.lag(span::Span::ZERO);
    let body = serde_json::to_vec(&[instance("z")]).unwrap();
    let request = Request::put(list::CONTROL).body(body.into()).unwrap();
    let reply = client::send(list.address(), request).await.unwrap();
    assert_eq!(reply.status, StatusCode::NO_CONTENT);
    assert_eq!(read(&list).await.instances, [instance("z")]);
}
