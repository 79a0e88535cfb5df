//! Checks of settings that concern several values: missing parts of a role,
//! ranges, and pairs that exclude each other.

use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
};

use base::{rate::ByteRate, size::Size, span::Span};

use crate::{
    settings::{Role, Settings},
    state::Kind,
};

/// A key and what is wrong with its value.
pub(crate) type Fault = (&'static str, String);

impl Settings {
    /// Returns the first problem.
    pub(crate) fn check(&self) -> Result<(), Fault> {
        self.check_role()?;
        self.check_addresses()?;
        self.check_limits()?;
        self.check_process()?;
        self.check_files()
    }

    fn check_role(&self) -> Result<(), Fault> {
        match self.role {
            Role::Router => self.check_router(),
            Role::Agent => self.check_agent(),
        }
    }

    fn check_router(&self) -> Result<(), Fault> {
        if self.listen.callers.is_none() {
            return Err(("listen.callers", "a router needs this address".to_owned()));
        }
        if self.listen.operators.is_none() {
            return Err(("listen.operators", "a router needs this address".to_owned()));
        }
        if self.hint_secret.is_none() {
            return Err(("hint_secret", "a router needs this secret".to_owned()));
        }
        if self.agent.is_some() {
            return Err(("agent", "a router has no target".to_owned()));
        }
        Ok(())
    }

    fn check_agent(&self) -> Result<(), Fault> {
        let Some(agent) = &self.agent else {
            return Err(("agent", "an agent needs this object".to_owned()));
        };
        if self.listen.callers.is_some() {
            return Err(("listen.callers", "an agent accepts no callers".to_owned()));
        }
        if self.listen.operators.is_some() {
            let problem = "an agent accepts no operators".to_owned();
            return Err(("listen.operators", problem));
        }
        if let Some(slots) = agent.slots.filter(|slots| !(1..=100_000).contains(slots)) {
            return Err(("agent.slots", format!("{slots} is out of range")));
        }
        if agent.orders.is_some() && agent.kind == Kind::Plain {
            let problem = "a plain service accepts no orders".to_owned();
            return Err(("agent.orders", problem));
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), Fault> {
        if self.advertise.ip().is_unspecified() || self.advertise.port() == 0 {
            let problem = format!("{} cannot be reached by other processes", self.advertise);
            return Err(("advertise", problem));
        }
        if self.seeds.contains(&self.advertise) {
            let problem = format!("{} is this process's own address", self.advertise);
            return Err(("seeds", problem));
        }
        self.check_listeners()
    }

    /// Refuses two listeners on one port, which would fail only when the second
    /// one is opened. Port 0 is a free port each time.
    fn check_listeners(&self) -> Result<(), Fault> {
        let listeners = [
            ("listen.callers", self.listen.callers),
            ("listen.peers", Some(self.listen.peers)),
            ("listen.operators", self.listen.operators),
            ("listen.health", Some(self.listen.health)),
        ];
        for (index, (key, address)) in listeners.iter().enumerate() {
            let clash = listeners[..index]
                .iter()
                .find(|(_, other)| clashes(*address, *other));
            if let (Some((other, _)), Some(address)) = (clash, address) {
                return Err((key, format!("{address} is already used by {other}")));
            }
        }
        Ok(())
    }

    /// A request travels to the agent in one frame of at most 4 MiB + 64 KiB, so
    /// the largest body and the largest head must fit into it together.
    fn check_limits(&self) -> Result<(), Fault> {
        const KIB: u64 = 1024;
        let limits = &self.limits;
        within("limits.body", limits.body, Size(KIB), Size(4 * KIB * KIB))?;
        within("limits.header", limits.header, Size(KIB), Size(48 * KIB))?;
        within("limits.connections", limits.connections, 1, 1_000_000)?;
        let least = Span::from_millis(100);
        within(
            "limits.header_time",
            limits.header_time,
            least,
            Span::from_secs(60),
        )?;
        within(
            "limits.body_time",
            limits.body_time,
            least,
            Span::from_secs(600),
        )?;
        let day = Span::from_secs(24 * 3600);
        within("limits.deadline", limits.deadline, Span::from_secs(1), day)?;
        let arrival = limits.header_time.max(limits.body_time);
        if limits.deadline <= arrival {
            let problem = format!(
                "{} is not above the time {arrival} that a request may take to arrive",
                limits.deadline
            );
            return Err(("limits.deadline", problem));
        }
        Ok(())
    }

    fn check_process(&self) -> Result<(), Fault> {
        within("threads", self.threads, 1, 256)?;
        within(
            "control_rate",
            self.control_rate,
            ByteRate(1024),
            ByteRate(1024 * 1024),
        )?;
        let least = Span::from_millis(100);
        within("settle_time", self.settle_time, least, Span::from_secs(60))?;
        if self.settle_time >= self.limits.deadline {
            let problem = format!(
                "{} is not below limits.deadline, {}",
                self.settle_time, self.limits.deadline
            );
            return Err(("settle_time", problem));
        }
        let day = Span::from_secs(24 * 3600);
        within("drain_time", self.drain_time, Span::from_secs(1), day)?;
        if self.log.trim().is_empty() {
            return Err(("log", "the filter is empty".to_owned()));
        }
        Ok(())
    }

    fn check_files(&self) -> Result<(), Fault> {
        let mut files: Vec<(&'static str, &PathBuf)> = Vec::new();
        if let Some(callers) = &self.tls.callers {
            files.push(("tls.callers.certificate", &callers.certificate));
            files.push(("tls.callers.key", &callers.key));
        }
        if let Some(peers) = &self.tls.peers {
            files.push(("tls.peers.certificate", &peers.certificate));
            files.push(("tls.peers.key", &peers.key));
            files.push(("tls.peers.authority", &peers.authority));
        }
        files.extend(self.bootstrap.iter().map(|file| ("bootstrap", file)));
        match files.into_iter().find(|(_, file)| !file.is_file()) {
            Some((key, file)) => Err((key, format!("file {} does not exist", file.display()))),
            None => Ok(()),
        }
    }
}

fn within<T: PartialOrd + fmt::Display>(
    key: &'static str,
    value: T,
    least: T,
    most: T,
) -> Result<(), Fault> {
    match value >= least && value <= most {
        true => Ok(()),
        false => Err((key, format!("{value} is out of range"))),
    }
}

fn clashes(one: Option<SocketAddr>, other: Option<SocketAddr>) -> bool {
    let (Some(one), Some(other)) = (one, other) else {
        return false;
    };
    let same_ip = |a: IpAddr, b: IpAddr| a == b || a.is_unspecified() || b.is_unspecified();
    one.port() != 0 && one.port() == other.port() && same_ip(one.ip(), other.ip())
}
