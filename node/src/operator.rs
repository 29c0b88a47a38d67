//! The operators' file: what this installation switches on beyond the platform's configuration. Without it nothing of
//! what it could switch on is bound, spawned or allocated.
//!
//! TOML; an unknown field is an error. `deploy/operator.example.toml` has every field at its default, with what it means.

use std::net::SocketAddr;
use std::path::Path;

use juniperladder_cluster::shares::Terms;
use juniperladder_cluster::{Plan, MOST_MEMBERS};
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
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { holders: None, lease_ms: 2_000, drift: 0.001, spread_ms: 50, origin: None }
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
        if limits.holders.is_some_and(|holders| holders == 0 || holders as usize > MOST_MEMBERS) {
            return Err(("limits.holders", format!("from 1 to {MOST_MEMBERS}")));
        }
        if limits.origin.as_ref().is_some_and(|rate| rate.per_s == 0 || rate.per_s > 1_000_000) {
            return Err(("limits.origin.per_s", "from 1 to 1000000 a second".into()));
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
        balancers: u32,
        life: u64,
        seed: u64,
    ) -> Result<Plan, String> {
        let position = self.peers.position.or(position);
        let position = position.ok_or("peers.position: the settings name no position; give one here")?;
        let terms = |rate: &Rate| Terms {
            whole: rate.per_s,
            holders: self.limits.holders.unwrap_or(balancers).max(1),
            lease: self.limits.lease_ms * 1_000,
            drift: self.limits.drift,
        };
        Ok(Plan {
            address: self.peers.address.unwrap_or(bound),
            life,
            position,
            seeds: self.peers.seeds.clone(),
            limits: self.limits.origin.iter().map(|rate| (ORIGIN.to_owned(), terms(rate))).collect(),
            seed,
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
        ] {
            fields.extend(part.as_object().unwrap().keys().cloned());
        }
        assert!(fields.len() >= 11);
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

    #[test]
    fn a_broken_file_is_one_line_with_line_field_and_remedy() {
        let whole = EXAMPLE.replace("# [limits.origin]", "[limits.origin]").replace("# per_s", "per_s");
        assert_eq!(Operator::parse(&whole).unwrap().limits.origin.unwrap().per_s, 400);
        let cases = [
            ("lease_ms = 2000", "lease_ms = 5", "limits.lease_ms: a lease lasts from 500"),
            ("lease_ms = 2000", "leasems = 5", "unknown field `leasems`, expected one of"),
            ("per_s = 400", "per_s = -4", "invalid value"),
            ("per_s = 400", "per_s = 0", "limits.origin.per_s: from 1"),
            ("drift = 0.001", "drift = 2.0", "limits.drift: a part from 0"),
        ];
        for (sound, broken, told) in cases {
            let line = whole.lines().position(|line| line.starts_with(sound)).unwrap() + 1;
            let problem = Operator::parse(&whole.replace(sound, broken)).unwrap_err();
            assert!(problem.starts_with(&format!("line {line}: ")) && problem.contains(told), "{problem}");
            assert!(!problem.contains('\n'));
        }
        assert!(Operator::parse("").unwrap_err().contains("peers"));
    }

    #[test]
    fn the_plan_takes_from_the_settings_what_the_file_leaves_out() {
        let text = "[peers]\nlisten = \"127.0.0.1:7946\"\nseeds = [\"127.0.0.1:7946\"]\n[limits.origin]\nper_s = 400\n";
        let operator = Operator::parse(text).unwrap();
        let bound = "127.0.0.1:7946".parse().unwrap();
        let plan = operator.plan(bound, Some(3), 100, 1, 1).unwrap();
        assert_eq!((plan.position, plan.limits[0].1.holders, plan.limits[0].1.own(3)), (3, 100, 4));
        assert!(operator.plan(bound, None, 100, 1, 1).unwrap_err().contains("position"));
        assert_eq!(operator.bound(), 1.05);
    }
}
