//! Tests of the instance list client.

use base::span::Span;
use store::instances::{self, Instances, State};

fn instance(id: &str, service: Option<&str>) -> fakes::list::Instance {
    fakes::list::Instance {
        id: id.to_owned(),
        address: "127.0.0.1:7".to_owned(),
        data_centre: "waco".to_owned(),
        service: service.map(str::to_owned),
        state: fakes::list::State::Live,
    }
}

#[tokio::test]
async fn typed_instances() {
    let options = fakes::list::Options {
        lag: Span::ZERO,
        instances: vec![
            instance("agent-1", Some("crew")),
            instance("router-1", None),
        ],
        seed: 0,
    };
    let fake = fakes::list::List::start("127.0.0.1:0".parse().unwrap(), options).unwrap();
    fake.leave("agent-1");
    let list = Instances::new(instances::options(fake.address()));
    let page = list.read().await.unwrap();
    assert_eq!(page.revision, 2);
    assert_eq!(page.instances[0].state, State::Leaving);
    assert_eq!(page.instances[0].service, Some("crew".parse().unwrap()));
    assert_eq!(page.instances[1].service, None);
}

/// A malformed entry must cause an error, not be skipped silently.
#[tokio::test]
async fn malformed_entry() {
    let options = fakes::list::Options {
        lag: Span::ZERO,
        instances: vec![instance("no spaces", None)],
        seed: 0,
    };
    let fake = fakes::list::List::start("127.0.0.1:0".parse().unwrap(), options).unwrap();
    let list = Instances::new(instances::options(fake.address()));
    let fault = list.read().await.unwrap_err().to_string();
    assert!(fault.contains("read instances"), "{fault}");
    assert!(fault.contains("character ' ' is not allowed"), "{fault}");
}
