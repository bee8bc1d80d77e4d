//! What requests are: classes, keys, sites, body sizes, and how long clients wait.

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::schedule::{Schedule, unit};
use crate::trace::Entry;
use crate::{Nanos, SECOND};

/// Most keys of a class.
const MOST_KEYS: usize = 10_000_000;

/// A class of requests. Times in milliseconds, as the file has them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name; the first part of the path on the platform.
    pub name: String,
    /// Share of requests, against the other classes'.
    pub share: f64,
    /// Method.
    pub method: String,
    /// Path; `{key}` stands for the key.
    pub path: String,
    /// An answer later than this is late.
    pub aim_ms: u64,
    /// How long a client waits at most.
    pub deadline_ms: u64,
    /// How many keys there are.
    #[serde(default = "one")]
    pub keys: usize,
    /// How much the popular ones are asked more: the exponent of Zipf's law, 0 for all alike.
    #[serde(default)]
    pub zipf: f64,
    /// Bytes of the body, least and most.
    #[serde(default)]
    pub body: (usize, usize),
    /// An idempotency key goes with it.
    #[serde(default)]
    pub keyed: bool,
}

fn one() -> usize {
    1
}

/// What requests are drawn from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Classes, at least one.
    pub classes: Vec<Class>,
    /// Accounts, drawn alike; where there are some, each request names one.
    #[serde(default)]
    pub accounts: Vec<String>,
    /// `Host` of requests, drawn alike.
    #[serde(default)]
    pub sites: Vec<String>,
    /// Clients ask once more, under a new id, after a refusal or a failure.
    #[serde(default)]
    pub retry: bool,
    /// Least and most share of its deadline after which a client gives up.
    #[serde(default = "patience")]
    pub patience: (f64, f64),
}

fn patience() -> (f64, f64) {
    (0.7, 1.0)
}

/// A mix that can't be drawn from.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("mix: {0}")]
pub struct MixError(String);

impl Default for Mix {
    /// Reads and submits as the ranking service has them.
    fn default() -> Self {
        let class = |name: &str, share, method: &str, path: &str, aim_ms, deadline_ms, body| Class {
            name: name.into(),
            share,
            method: method.into(),
            path: path.into(),
            aim_ms,
            deadline_ms,
            keys: 1_000,
            zipf: 1.0,
            body,
            keyed: false,
        };
        Self {
            classes: vec![
                class("board-read", 0.56, "GET", "/boards/{key}", 1_200, 6_000, (0, 0)),
                class("run-submit", 0.44, "POST", "/runs/{key}", 600, 1_200, (100, 400)),
            ],
            accounts: Vec::new(),
            sites: Vec::new(),
            retry: false,
            patience: patience(),
        }
    }
}

impl Mix {
    /// Checks that it can be drawn from.
    ///
    /// # Errors
    /// The first value that can't be.
    pub fn check(&self) -> Result<(), MixError> {
        let fault = |text: String| Err(MixError(text));
        if self.classes.is_empty() {
            return fault("no classes".into());
        }
        let (least, most) = self.patience;
        if !(0.0 < least && least <= most && most <= 1.0) {
            return fault("`patience` is two shares, the least first, over 0 and up to 1".into());
        }
        for class in &self.classes {
            let name = &class.name;
            if !(class.share.is_finite() && class.share > 0.0) {
                return fault(format!("{name}: `share` is not over 0"));
            }
            if class.aim_ms == 0 || class.deadline_ms == 0 {
                return fault(format!("{name}: an aim or a deadline of 0"));
            }
            if class.keys == 0 || class.keys > MOST_KEYS || !(0.0..=10.0).contains(&class.zipf) {
                return fault(format!("{name}: `keys` is 1 to {MOST_KEYS}, `zipf` 0 to 10"));
            }
            if class.body.0 > class.body.1 || class.body.1 > 64 << 20 {
                return fault(format!("{name}: `body` is least and most, at most 64 MiB"));
            }
            if class.method.parse::<hyper::Method>().is_err() || !class.path.starts_with('/') {
                return fault(format!("{name}: no method, or a path without `/`"));
            }
        }
        Ok(())
    }
}

/// A request to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    /// Its number in the schedule.
    pub number: u64,
    /// Its intended time.
    pub at: Nanos,
    /// Its class.
    pub class: usize,
    /// Its target.
    pub path: String,
    /// Its method, where the trace has one of its own.
    pub method: Option<String>,
    /// Its account, among the mix's.
    pub account: Option<usize>,
    /// Its site, among the mix's.
    pub site: Option<usize>,
    /// Bytes of its body.
    pub body: usize,
    /// How long its client waits from the intended time.
    pub patience: Nanos,
}

/// Where requests come from.
#[derive(Clone)]
pub enum Plan {
    /// Drawn.
    Drawn {
        /// When.
        schedule: Schedule,
        /// What.
        mix: Mix,
        /// For the draws.
        rng: Pcg64Mcg,
        /// Zipf's law summed up, by class.
        popularity: Vec<Vec<f64>>,
        /// Requests so far.
        number: u64,
    },
    /// Recorded: what of it is left, first last.
    Recorded {
        /// Entries in reverse.
        entries: Vec<Entry>,
        /// Classes.
        mix: Mix,
        /// Requests so far.
        number: u64,
    },
}

impl Plan {
    /// Draws requests of a mix at the times of a schedule.
    #[must_use]
    pub fn drawn(schedule: Schedule, mix: Mix, seed: u64) -> Self {
        let popularity = mix.classes.iter().map(|class| zipf(class.keys, class.zipf)).collect();
        // Apart from the schedule's draws: another mix comes at the same times.
        let rng = Pcg64Mcg::seed_from_u64(seed ^ 0x6d69_7865_645f_7365);
        Self::Drawn { schedule, mix, rng, popularity, number: 0 }
    }

    /// Plays recorded requests; each is of the first class with its method and the start of its path, or of the
    /// first class.
    #[must_use]
    pub fn recorded(mut entries: Vec<Entry>, mix: Mix) -> Self {
        entries.reverse();
        Self::Recorded { entries, mix, number: 0 }
    }

    /// The mix.
    #[must_use]
    pub fn mix(&self) -> &Mix {
        match self {
            Self::Drawn { mix, .. } | Self::Recorded { mix, .. } => mix,
        }
    }
}

impl Iterator for Plan {
    type Item = Planned;

    fn next(&mut self) -> Option<Planned> {
        match self {
            Self::Drawn { schedule, mix, rng, popularity, number } => {
                let at = schedule.next()?;
                let all: f64 = mix.classes.iter().map(|class| class.share).sum();
                let mut drawn = unit(rng) * all;
                let class = mix.classes.iter().position(|class| {
                    drawn -= class.share;
                    drawn < 0.0
                });
                let class = class.unwrap_or(mix.classes.len() - 1);
                let told = &mix.classes[class];
                let key = rank(&popularity[class], unit(rng));
                let mut one_of = |count: usize| (count > 0).then(|| (unit(rng) * count as f64) as usize);
                let (account, site) = (one_of(mix.accounts.len()), one_of(mix.sites.len()));
                let body = told.body.0 + (unit(rng) * (told.body.1 - told.body.0 + 1) as f64) as usize;
                let (least, most) = mix.patience;
                let share = least + (most - least) * unit(rng);
                *number += 1;
                Some(Planned {
                    number: *number - 1,
                    at,
                    class,
                    path: told.path.replace("{key}", &key.to_string()),
                    method: None,
                    account,
                    site,
                    body,
                    patience: (told.deadline_ms as f64 * 1e6 * share) as Nanos,
                })
            }
            Self::Recorded { entries, mix, number } => {
                let entry = entries.pop()?;
                let start = |class: &Class| class.path.split('{').next().unwrap_or_default().to_owned();
                let fits =
                    |class: &Class| class.method == entry.method && entry.path.starts_with(&start(class));
                let class = mix.classes.iter().position(fits).unwrap_or(0);
                *number += 1;
                Some(Planned {
                    number: *number - 1,
                    at: entry.at,
                    class,
                    path: entry.path,
                    method: Some(entry.method),
                    account: None,
                    site: None,
                    body: entry.body,
                    patience: mix.classes[class].deadline_ms * (SECOND / 1_000),
                })
            }
        }
    }
}

/// Sums of Zipf's law, up to 1.
fn zipf(keys: usize, exponent: f64) -> Vec<f64> {
    let mut sum = 0.0;
    let mut sums: Vec<f64> = (1..=keys)
        .map(|rank| {
            sum += (rank as f64).powf(-exponent);
            sum
        })
        .collect();
    sums.iter_mut().for_each(|part| *part /= sum);
    sums
}

fn rank(sums: &[f64], drawn: f64) -> usize {
    sums.partition_point(|sum| *sum <= drawn).min(sums.len().saturating_sub(1))
}
