//! The answers to operators' queries about what holds now.

use std::{collections::BTreeSet, sync::Arc};

use base::{hash, id, span};
use conf::{difference, row, state};
use fleet::member;
use lang::{
    answer::{self, Answer},
    api::{self, Refusal},
    command::{Chat, Query},
};
use place::choose;

use crate::{
    operate::{Operators, lines, lost, unread},
    operate_plan, suspects,
};

/// Bytes of change rows in one answer, which is far above the size of the
/// largest row and leaves room for the rest of the answer.
const MAX_ROWS: usize = api::MAX_ANSWER / 2;

impl Operators {
    pub(crate) async fn answer(
        &self,
        conf: Arc<state::Configuration>,
        operator: Arc<state::Operator>,
        query: Query,
    ) -> Result<Answer, Refusal> {
        match query {
            Query::Targets => self.targets().await.map(Answer::Targets),
            Query::Teams => Ok(Answer::Teams(owned(conf.teams().values()))),
            Query::Services => Ok(Answer::Services(owned(conf.services().values()))),
            Query::Rules => Ok(Answer::Rules(owned(conf.rules().values()))),
            Query::Operators => Ok(Answer::Operators(owned(conf.operators().values()))),
            Query::Overrides => Ok(Answer::Overrides(owned(conf.overrides().values()))),
            Query::Loads => self.targets().await.map(|all| Answer::Loads(loads(&all))),
            Query::Plans => {
                let platform = self.commit().await?.platform;
                let rows = operate_plan::plans(&platform).await.map_err(unread)?;
                Ok(Answer::Plans(rows.into_iter().map(|row| row.1).collect()))
            }
            Query::Quarantine => self.quarantine().await.map(Answer::Quarantine),
            Query::Configuration(version) => {
                let shown = self.at(&conf, version.unwrap_or(conf.version())).await?;
                Ok(Answer::Configuration(Box::new(shown.as_ref().clone())))
            }
            Query::Difference(from, to) => {
                let (old, new) = (self.at(&conf, from).await?, self.at(&conf, to).await?);
                let lines = lines(&difference::text(&old, &new));
                Ok(Answer::Difference(answer::Difference { from, to, lines }))
            }
            Query::Changes(last) => self.changes(last).await.map(Answer::Changes),
            Query::Lagging => {
                let mut versions = self.versions().await?;
                let own = versions.version;
                versions.list.retain(|member| member.version < own);
                Ok(Answer::Lagging(versions))
            }
            Query::Versions => self.versions().await.map(Answer::Versions),
            Query::Explain(chat) => self.explain(&conf, &chat).map(Answer::Explanation),
            Query::Record(after) => self.record(&conf, after).await.map(Answer::Record),
            Query::Me => Ok(Answer::Me(answer::Me {
                operator: operator.id.clone(),
                roles: operator.roles.iter().copied().collect(),
                version: conf.version(),
            })),
        }
    }

    async fn targets(&self) -> Result<Vec<answer::Target>, Refusal> {
        let snapshot = self.snapshot.load_full();
        let versions = self.versions().await?;
        let version = |process: &id::ProcessId| {
            let member = versions
                .list
                .iter()
                .find(|member| member.process == *process);
            member.map_or(id::Version::default(), |member| member.version)
        };
        let mut targets = Vec::new();
        for (service, group) in &snapshot.groups {
            for target in group.view.targets() {
                targets.push(answer::Target {
                    service: service.clone(),
                    target: target.id.clone(),
                    centre: target.centre.clone(),
                    standing: target.standing.to_string(),
                    weight: target.weight,
                    load: target.load,
                    cap: target.cap,
                    version: version(&target.process),
                });
            }
        }
        Ok(targets)
    }

    pub(crate) async fn quarantine(&self) -> Result<Vec<answer::Suspect>, Refusal> {
        let suspects = self
            .inspect(|node| node.exchange.suspects(node.clock.now()))
            .await?;
        let judged = suspects::judge(&suspects);
        let shown = suspects
            .into_iter()
            .filter(|entry| !entry.crashes.is_empty());
        Ok(shown
            .map(|entry| {
                let fingerprint = id::Fingerprint(entry.fingerprint);
                let targets: BTreeSet<String> = entry
                    .crashes
                    .into_iter()
                    .map(|crash| crash.target)
                    .collect();
                answer::Suspect {
                    fingerprint,
                    service: entry.service,
                    targets: targets.into_iter().collect(),
                    refused: judged.contains(&fingerprint),
                    remaining: span::Span::from_millis(entry.remaining.into()),
                }
            })
            .collect())
    }

    async fn versions(&self) -> Result<answer::Versions, Refusal> {
        self.inspect(|node| {
            let members = &node.exchange.members;
            let mut rows = members.rows(node.clock.now());
            rows.retain(|row| row.standing != member::Standing::Listed);
            rows.sort_by(|left, right| left.member.process.cmp(&right.member.process));
            let own = &node.settings.process;
            let version = node.history.version();
            let list = rows.into_iter().map(|row| answer::Member {
                role: match row.member.role {
                    member::Role::Router => "router".to_owned(),
                    member::Role::Agent => "agent".to_owned(),
                },
                // This process tells its version to others with the next report.
                version: match row.member.process == *own {
                    true => version,
                    false => row.member.version,
                },
                process: row.member.process,
            });
            let list: Vec<answer::Member> = list.collect();
            let lowest = list.iter().map(|member| member.version).min();
            answer::Versions {
                version,
                lowest: lowest.unwrap_or(version),
                members: u32::try_from(list.len()).unwrap_or(u32::MAX),
                list,
            }
        })
        .await
    }

    async fn changes(&self, last: u32) -> Result<Vec<row::ChangeRow>, Refusal> {
        let last = u64::from(last);
        let (from, kept) = self
            .inspect(move |node| {
                let from = id::Version(node.history.version().0.saturating_sub(last));
                (from, node.history.since(from))
            })
            .await?;
        let rows = match kept {
            Some(rows) => rows,
            None => {
                let platform = self.commit().await?.platform;
                platform.changes(from).await.map_err(unread)?
            }
        };
        let latest = fitting(rows.iter().rev());
        Ok(latest.into_iter().rev().collect())
    }

    async fn record(
        &self,
        conf: &state::Configuration,
        after: id::Version,
    ) -> Result<answer::Page, Refusal> {
        let platform = self.commit().await?.platform;
        let rows = platform.changes(after).await.map_err(unread)?;
        Ok(answer::Page {
            changes: fitting(rows.iter()),
            newest: conf.version(),
        })
    }

    async fn at(
        &self,
        conf: &Arc<state::Configuration>,
        version: id::Version,
    ) -> Result<Arc<state::Configuration>, Refusal> {
        let newest = conf.version();
        if version == newest {
            return Ok(conf.clone());
        }
        if version > newest {
            let reason = format!("version {version} does not exist; the newest is {newest}");
            return Err(Refusal::Rejected(reason));
        }
        let platform = self.commit().await?.platform;
        self.past.at(&platform, version).await.map_err(lost)
    }

    fn explain(
        &self,
        conf: &state::Configuration,
        chat: &Chat,
    ) -> Result<answer::Explanation, Refusal> {
        let share = conf
            .share(&chat.team, &chat.service)
            .ok_or_else(|| Refusal::Rejected(format!("team {} does not exist", chat.team)))?;
        if !conf.services().contains_key(&chat.service) {
            let reason = format!("service {} does not exist", chat.service);
            return Err(Refusal::Rejected(reason));
        }
        let owner = [chat.team.as_str(), chat.service.as_str(), &chat.text];
        let hash = id::ChatHash(hash::parts(owner.map(str::as_bytes)));
        let mut explanation = answer::Explanation {
            chat: hash,
            target: None,
            reason: "the service has no agents".to_owned(),
            previous: None,
            passed: Vec::new(),
            share,
        };
        let snapshot = self.snapshot.load_full();
        let Some(group) = snapshot.groups.get(&chat.service) else {
            return Ok(explanation);
        };
        let query = choose::Query {
            chat: hash,
            turns: chat.turns,
            prompt_tokens: 0,
            centre: self.centre.clone(),
            hint: None,
            refusals: Vec::new(),
        };
        let choice = choose::choose(&group.view, &query, hash.0);
        explanation.target = choice.target.map(|target| target.id.clone());
        explanation.previous = choice.previous.map(|target| target.id.clone());
        explanation.reason = choice.reason.to_string();
        let passed = choice.rejected.into_iter().map(|rejected| answer::Passed {
            target: rejected.target,
            cause: rejected.cause.to_string(),
        });
        explanation.passed = passed.collect();
        Ok(explanation)
    }
}

fn loads(targets: &[answer::Target]) -> Vec<answer::Load> {
    let mut loads: Vec<answer::Load> = Vec::new();
    for target in targets {
        let known = loads.last().map(|load| &load.service);
        if known != Some(&target.service) {
            loads.push(answer::Load {
                service: target.service.clone(),
                open: 0,
                targets: 0,
                load: 0,
                highest: 0,
                cap: 0,
            });
        }
        let Some(load) = loads.last_mut() else {
            continue;
        };
        let is_open = target.weight > 0 && matches!(target.standing.as_str(), "up" | "warming");
        load.open += u32::from(is_open);
        load.targets += 1;
        load.load += target.load;
        load.highest = load.highest.max(target.load);
        load.cap += target.cap;
    }
    loads
}

/// Returns the first rows, as far as they fit into an answer.
fn fitting<'a>(rows: impl Iterator<Item = &'a Arc<row::ChangeRow>>) -> Vec<row::ChangeRow> {
    let mut size = 0;
    rows.take_while(|row| {
        let json = serde_json::to_vec(row.as_ref());
        size += json.map_or(0, |json| json.len());
        size <= MAX_ROWS
    })
    .map(|row| row.as_ref().clone())
    .collect()
}

fn owned<'a, T: Clone + 'a>(values: impl Iterator<Item = &'a Arc<T>>) -> Vec<T> {
    values.map(|value| value.as_ref().clone()).collect()
}
