//! The operators' file: what this installation switches on beyond the platform's configuration. Without it nothing of
//! what it could switch on is bound, spawned or allocated.
//!
//! TOML; an unknown field is an error. `deploy/operator.example.toml` has every field at its default, with what it means.

use std::net::SocketAddr;
use std::path::Path;

use juniperladder::{Micros, Settings};
use juniperladder_cluster::failure_detector::FailureDetectorTerms;
use juniperladder_cluster::rate_limit::RateLimitTerms;
use juniperladder_cluster::retry_budget::RetryBudgetTerms;
use juniperladder_cluster::slow_start_limit::SlowStartTerms;
use juniperladder_cluster::{ClusterConfig, NamedRateLimit, MAX_MEMBERS};
use serde::Deserialize;

/// The whole file.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Talk between balancers.
    pub peers: Peers,
    /// Limits that hold for all balancers together.
    #[serde(default)]
    pub limits: Limits,
    /// Verdicts on hosts; left out, each balancer finds out for itself alone.
    pub verdicts: Option<Verdicts>,
}

/// Verdicts on hosts: what one balancer sees of a silent host spares the others. The same in every balancer's file.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Verdicts {
    /// How many balancers have to find a host silent before others pass it by.
    pub witnesses: usize,
    /// How long a word acts after its balancer saw what it tells, in milliseconds.
    pub expiry_ms: u64,
    /// The part of all hosts that is passed by on others' word at the most.
    pub most: f64,
    /// How often a second all balancers together try a host that they pass by.
    pub tries_per_s: f64,
}

impl Default for Verdicts {
    fn default() -> Verdicts {
        Verdicts { witnesses: 3, expiry_ms: 6_000, most: 0.34, tries_per_s: 1.0 }
    }
}

/// Talk between balancers.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Where this balancer hears the others: an address on a network that only balancers reach, and a UDP port.
    pub listen: SocketAddr,
    /// The address that the others know it by; by default the one it listens at.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Members that are called first; a few that are likely to be there.
    pub seeds: Vec<SocketAddr>,
    /// Its place in the fleet, from 0; by default `position` in the settings. No two processes may have the same.
    #[serde(default)]
    pub position: Option<u32>,
}

/// Limits that hold for all balancers together. The same in every balancer's file: members whose files differ share
/// nothing.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Among how many positions each limit is divided; by default `balancers` in the settings.
    pub holders: Option<u32>,
    /// How long a loan holds after it was last asked for, in milliseconds.
    pub lease_ms: u64,
    /// By which part clocks may run faster or slower than each other.
    pub drift: f64,
    /// By how much sends may differ in the time that they take to the origin, in milliseconds: so much over a second is
    /// the stated bound.
    pub spread_ms: u64,
    /// Fetches and writes at the origin.
    pub origin: Option<Rate>,
    /// Sends to each host that warms up: what a warm one bears; the part that a cold one bears is in the settings.
    pub cold: Option<Rate>,
    /// Second tries, second copies included, as a budget over first tries.
    pub second: Option<Second>,
}

/// A budget of second tries.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields, default)]
pub struct Second {
    /// Second tries for each first try.
    pub share: f64,
    /// How many a balancer may have saved up.
    pub saved: f64,
}

impl Default for Second {
    fn default() -> Second {
        Second { share: 0.4, saved: 10.0 }
    }
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            holders: None,
            lease_ms: 2_000,
            drift: 0.001,
            spread_ms: 50,
            origin: None,
            cold: None,
            second: None,
        }
    }
}

/// A rate for all balancers together.
#[derive(Debug, Deserialize)]
#[cfg_attr(test, derive(schemars::JsonSchema))]
#[serde(deny_unknown_fields)]
pub struct Rate {
    /// Commands a second.
    pub per_s: u32,
}

/// The part of its capacity that a host has at its start where the settings say nothing of it.
const LEAST_SHARE: f64 = 0.05;

/// The name of the origin's limit.
pub const ORIGIN: &str = "origin";

impl Operator {
    /// Reads the file.
    ///
    /// # Errors
    /// One line that names the file's line, the field, and what would be right.
    pub fn read(path: &Path) -> Result<Operator, String> {
        let shown = path.display();
        let text = std::fs::read_to_string(path).map_err(|e| format!("cannot read {shown}: {e}"))?;
        Operator::parse(&text).map_err(|e| format!("{shown}: {e}"))
    }

    /// Reads a file's text.
    pub fn parse(text: &str) -> Result<Operator, String> {
        let operator: Operator = toml::from_str(text).map_err(|e| {
            let line = e.span().map(|span| text[..span.start.min(text.len())].matches('\n').count() + 1);
            let at = line.map_or(String::new(), |line| format!("line {line}: "));
            format!("{at}{}", e.message().replace('\n', " "))
        })?;
        operator.check().map_err(|(field, what)| {
            let name = field.rsplit('.').next().unwrap_or(field);
            let holds = |line: &&str| line.split('=').next().is_some_and(|word| word.trim() == name);
            let place = text.lines().position(|line| holds(&line));
            let at = place.map_or(String::new(), |place| format!("line {}: ", place + 1));
            format!("{at}{field}: {what}")
        })?;
        Ok(operator)
    }

    fn check(&self) -> Result<(), (&'static str, String)> {
        let limits = &self.limits;
        if self.peers.seeds.is_empty() {
            return Err(("peers.seeds", "name at least one member that others call first".into()));
        }
        if self.peers.address.unwrap_or(self.peers.listen).ip().is_unspecified() {
            return Err((
                "peers.address",
                "others cannot call 0.0.0.0; give the address that they reach".into(),
            ));
        }
        if !(500..=60_000).contains(&limits.lease_ms) {
            return Err(("limits.lease_ms", "a lease lasts from 500 to 60000 ms".into()));
        }
        if !(0.0..=0.05).contains(&limits.drift) {
            return Err(("limits.drift", "a part from 0 to 0.05".into()));
        }
        if limits.spread_ms > 1_000 {
            return Err(("limits.spread_ms", "at most 1000 ms".into()));
        }
        if limits.holders.is_some_and(|holders| holders == 0 || holders as usize > MAX_MEMBERS) {
            return Err(("limits.holders", format!("from 1 to {MAX_MEMBERS}")));
        }
        let wrong =
            |rate: &Option<Rate>| rate.as_ref().is_some_and(|rate| !(1..=1_000_000).contains(&rate.per_s));
        for (field, rate) in [("limits.origin.per_s", &limits.origin), ("limits.cold.per_s", &limits.cold)] {
            if wrong(rate) {
                return Err((field, "from 1 to 1000000 a second".into()));
            }
        }
        if let Some(second) = &limits.second {
            if !(0.0..=3.0).contains(&second.share) {
                return Err(("limits.second.share", "a part of the first tries, from 0 to 3".into()));
            }
            if !(1.0..=1_000.0).contains(&second.saved) {
                return Err(("limits.second.saved", "from 1 to 1000 of each balancer".into()));
            }
        }
        if let Some(verdicts) = &self.verdicts {
            if !(2..=16).contains(&verdicts.witnesses) {
                return Err(("verdicts.witnesses", "from 2, as nobody is believed alone, to 16".into()));
            }
            if !(2_000..=30_000).contains(&verdicts.expiry_ms) {
                return Err(("verdicts.expiry_ms", "from 2000 to 30000 ms".into()));
            }
            if !(0.0..=0.5).contains(&verdicts.most) {
                return Err(("verdicts.most", "a part of the hosts, from 0 to 0.5".into()));
            }
            if !(0.1..=20.0).contains(&verdicts.tries_per_s) {
                return Err(("verdicts.tries_per_s", "from 0.1 to 20 a second".into()));
            }
        }
        Ok(())
    }

    /// The plan for this balancer. `bound` is where it hears its peers; position and number come from the settings where
    /// the file leaves them out.
    ///
    /// # Errors
    /// Where neither says the position.
    pub fn plan(
        &self,
        bound: SocketAddr,
        position: Option<u32>,
        settings: &Settings,
        life: u64,
        seed: u64,
    ) -> Result<ClusterConfig, String> {
        let position = self.peers.position.or(position);
        let position = position.ok_or("peers.position: the settings name no position; give one here")?;
        let holders = self.limits.holders.unwrap_or(settings.balancers).max(1);
        let (drift, spread) = (self.limits.drift, Micros::from_millis(self.limits.spread_ms));
        let terms = |rate: &Rate| RateLimitTerms {
            requests_per_s: rate.per_s,
            arrival_spread: spread,
            owners: holders,
            lease: Micros::from_millis(self.limits.lease_ms),
            clock_drift: drift,
        };
        let rules = &settings.rules;
        let share = if rules.slow_start_initial_share > 0.0 {
            rules.slow_start_initial_share.min(1.0)
        } else {
            LEAST_SHARE
        };
        let cold = |rate: &Rate| SlowStartTerms {
            rate_limit: terms(rate),
            initial_share: share,
            duration: rules.slow_start_duration,
        };
        let second = |second: &Second| RetryBudgetTerms {
            retries_per_first_attempt: second.share,
            max_saved_credits: second.saved * f64::from(holders),
            holders,
        };
        let verdicts = |verdicts: &Verdicts| FailureDetectorTerms {
            min_reporters: verdicts.witnesses,
            report_lifetime: Micros::from_millis(verdicts.expiry_ms),
            max_suspected_share: verdicts.most,
            trials_per_s: verdicts.tries_per_s,
            clock_drift: drift,
        };
        Ok(ClusterConfig {
            address: self.peers.address.unwrap_or(bound),
            incarnation: life,
            position,
            zone: settings.zone,
            seeds: self.peers.seeds.clone(),
            rate_limits: self
                .limits
                .origin
                .iter()
                .map(|rate| NamedRateLimit { name: ORIGIN.to_owned(), terms: terms(rate) })
                .collect(),
            slow_start: self.limits.cold.as_ref().map(cold),
            retry_budget: self.limits.second.as_ref().map(second),
            failure_detector: self.verdicts.as_ref().map(verdicts),
            random_seed: seed,
        })
    }

    /// What is stated for each limit: the most in any second, as a multiple of the whole.
    pub fn bound(&self) -> f64 {
        1.0 + self.limits.spread_ms as f64 / 1e3
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const EXAMPLE: &str = include_str!("../../deploy/operator.example.toml");

    #[test]
    fn the_example_has_every_field_and_says_the_defaults() {
        let example = Operator::parse(EXAMPLE).unwrap();
        let defaults = Limits::default();
        let Limits { lease_ms, drift, spread_ms, .. } = example.limits;
        assert_eq!((lease_ms, drift, spread_ms), (defaults.lease_ms, defaults.drift, defaults.spread_ms));
        let schema = serde_json::to_value(schemars::schema_for!(Operator)).unwrap();
        let mut fields = Vec::new();
        for part in [
            &schema["properties"],
            &schema["$defs"]["Peers"]["properties"],
            &schema["$defs"]["Limits"]["properties"],
            &schema["$defs"]["Second"]["properties"],
            &schema["$defs"]["Verdicts"]["properties"],
        ] {
            fields.extend(part.as_object().unwrap().keys().cloned());
        }
        assert!(fields.len() >= 19);
        for field in fields {
            assert!(EXAMPLE.contains(&field), "the example does not name {field}");
        }
    }

    /// `deploy/operator.schema.json` is what the types say; write it anew with `JUNIPERLADDER_WRITE=1`.
    #[test]
    fn the_schema_is_that_of_the_types() {
        let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../deploy/operator.schema.json");
        let schema = serde_json::to_string_pretty(&schemars::schema_for!(Operator)).unwrap() + "\n";
        if std::env::var_os("JUNIPERLADDER_WRITE").is_some() {
            std::fs::write(path, &schema).unwrap();
        }
        assert_eq!(std::fs::read_to_string(path).unwrap(), schema);
    }

    /// The example with all that it leaves out switched on.
    fn uncommented() -> String {
        let on = |line: &str| match line.strip_prefix("# ") {
            Some(rest) if rest.starts_with('[') || rest.contains(" = ") && !rest.contains('`') => {
                rest.to_owned()
            }
            _ => line.to_owned(),
        };
        EXAMPLE.lines().map(|line| on(line) + "\n").collect()
    }

    #[test]
    fn what_the_example_leaves_out_is_shown_at_its_default() {
        let whole = Operator::parse(&uncommented()).unwrap();
        let (second, verdicts) = (whole.limits.second.unwrap(), whole.verdicts.unwrap());
        let defaults = (Second::default(), Verdicts::default());
        assert_eq!((second.share, second.saved), (defaults.0.share, defaults.0.saved));
        let Verdicts { witnesses, expiry_ms, most, tries_per_s } = verdicts;
        let all = (defaults.1.witnesses, defaults.1.expiry_ms, defaults.1.most, defaults.1.tries_per_s);
        assert_eq!((witnesses, expiry_ms, most, tries_per_s), all);
        assert_eq!(whole.limits.cold.unwrap().per_s, 100);
    }

    #[test]
    fn a_broken_file_is_one_line_with_line_field_and_remedy() {
        let whole = uncommented();
        assert_eq!(Operator::parse(&whole).unwrap().limits.origin.unwrap().per_s, 400);
        let cases = [
            ("lease_ms = 2000", "lease_ms = 5", "limits.lease_ms: a lease lasts from 500"),
            ("lease_ms = 2000", "leasems = 5", "unknown field `leasems`, expected one of"),
            ("per_s = 400", "per_s = -4", "invalid value"),
            ("per_s = 400", "per_s = 0", "limits.origin.per_s: from 1"),
            ("drift = 0.001", "drift = 2.0", "limits.drift: a part from 0"),
            ("share = 0.4", "share = 40", "limits.second.share: a part"),
            ("witnesses = 3", "witnesses = 1", "verdicts.witnesses: from 2, as nobody"),
            ("most = 0.34", "most = 0.9", "verdicts.most: a part of the hosts"),
            ("expiry_ms = 6000", "expiry_ms = 100", "verdicts.expiry_ms: from 2000"),
        ];
        for (sound, broken, told) in cases {
            let line = whole.lines().position(|line| line.starts_with(sound)).unwrap() + 1;
            let problem = Operator::parse(&whole.replace(sound, broken)).unwrap_err();
            assert!(problem.starts_with(&format!("line {line}: ")) && problem.contains(told), "{problem}");
            assert!(!problem.contains('\n'));
        }
        assert!(Operator::parse("").unwrap_err().contains("peers"));
    }

    fn settings() -> Settings {
        Settings {
            balancers: 100,
            zone: 1,
            classes: vec![],
            tenants: vec![],
            mode: juniperladder::CacheMode::Aside(1),
            subscribe: true,
            weighted: false,
            tick: juniperladder::Micros(5_000),
            limits: juniperladder::Limits {
                max_attempts: 3,
                max_retry_after: juniperladder::Micros(0),
                retry_after: false,
                may_duplicate: true,
            },
            rules: juniperladder::Rules {
                discovery_poll_interval: juniperladder::Micros(1),
                slow_start_initial_share: 0.25,
                slow_start_duration: juniperladder::Micros(10_000_000),
            },
        }
    }

    #[test]
    fn all_that_the_file_names_is_in_the_plan() {
        let operator = Operator::parse(&uncommented()).unwrap();
        let plan = operator.plan("127.0.0.1:7946".parse().unwrap(), None, &settings(), 1, 1).unwrap();
        let (cold, second) = (plan.slow_start.unwrap(), plan.retry_budget.unwrap());
        assert_eq!(
            (cold.rate_limit.requests_per_s, cold.initial_share, cold.duration),
            (100, 0.25, Micros::from_secs(10))
        );
        assert_eq!(
            (second.retries_per_first_attempt, second.max_saved_credits, second.holders),
            (0.4, 1_000.0, 100)
        );
        assert_eq!((plan.failure_detector.unwrap().report_lifetime, plan.zone), (Micros::from_secs(6), 1));
    }

    #[test]
    fn the_plan_takes_from_the_settings_what_the_file_leaves_out() {
        let text = "[peers]\nlisten = \"127.0.0.1:7946\"\nseeds = [\"127.0.0.1:7946\"]\n[limits.origin]\nper_s = 400\n";
        let operator = Operator::parse(text).unwrap();
        let bound = "127.0.0.1:7946".parse().unwrap();
        let settings = settings();
        let plan = operator.plan(bound, Some(3), &settings, 1, 1).unwrap();
        assert!(plan.slow_start.is_none() && plan.retry_budget.is_none() && plan.failure_detector.is_none());
        assert_eq!(
            (plan.position, plan.rate_limits[0].terms.owners, plan.rate_limits[0].terms.owned_tokens(3)),
            (3, 100, 4)
        );
        assert!(operator.plan(bound, None, &settings, 1, 1).unwrap_err().contains("position"));
        assert_eq!(operator.bound(), 1.05);
    }
}
