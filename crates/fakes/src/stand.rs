//! Starts a stand-in by name, for a process that runs nothing else.

use std::{io, net::SocketAddr, str::FromStr};

use serde::de::DeserializeOwned;

use crate::{engine, list, object, service, table, weights};

/// The kinds of stand-ins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
    /// The table.
    Table,
    /// The object store.
    Objects,
    /// The instance list.
    List,
    /// The weight store.
    Weights,
}

/// Reports a name that is no kind of stand-in.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no stand-in; use engine, service, table, objects, list or weights")]
pub struct KindError(String);

impl FromStr for Kind {
    type Err = KindError;

    fn from_str(text: &str) -> Result<Self, KindError> {
        match text {
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            "table" => Ok(Self::Table),
            "objects" => Ok(Self::Objects),
            "list" => Ok(Self::List),
            "weights" => Ok(Self::Weights),
            _ => Err(KindError(text.to_owned())),
        }
    }
}

/// A running stand-in of any kind; it stops when dropped.
#[derive(Debug)]
pub enum Stand {
    /// A model engine.
    Engine(engine::Engine),
    /// A plain service.
    Service(service::Service),
    /// The table.
    Table(table::Table),
    /// The object store.
    Objects(object::Objects),
    /// The instance list.
    List(list::List),
    /// The weight store.
    Weights(weights::Weights),
}

impl Stand {
    /// Starts a stand-in with options in JSON; `{}` stands for the defaults.
    pub fn start(kind: Kind, listen: SocketAddr, options: &str) -> io::Result<Self> {
        Ok(match kind {
            Kind::Engine => Self::Engine(engine::Engine::start(listen, parse(options)?)?),
            Kind::Service => Self::Service(service::Service::start(listen, parse(options)?)?),
            Kind::Table => Self::Table(table::Table::start(listen, &parse(options)?)?),
            Kind::Objects => Self::Objects(object::Objects::start(listen, &parse(options)?)?),
            Kind::List => Self::List(list::List::start(listen, parse(options)?)?),
            Kind::Weights => Self::Weights(weights::Weights::start(listen, parse(options)?)?),
        })
    }

    /// Returns the address on which the stand-in accepts requests.
    pub fn address(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.address(),
            Self::Service(service) => service.address(),
            Self::Table(table) => table.address(),
            Self::Objects(objects) => objects.address(),
            Self::List(list) => list.address(),
            Self::Weights(weights) => weights.address(),
        }
    }
}

fn parse<T: DeserializeOwned>(options: &str) -> io::Result<T> {
    serde_json::from_str(options).map_err(io::Error::other)
}
