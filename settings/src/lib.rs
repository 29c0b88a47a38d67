//! The settings object of a site. The simulator's first message and a balancer's configuration hold the same
//! one, so the adapter and the real balancer read it here, and the module is told the same by both.
//!
//! Keys that are absent have the value that makes least of them; [`Env::check`] tells which of those a real
//! balancer cannot do without.

use juniperladder::{Class, Effect, Group, Limits, Micros, Mode, Rules, Settings, Tenant};
use serde::Deserialize;

/// The settings as they are written; times are in microseconds.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Env {
    az: u32,
    balancers: u32,
    /// The classes of command.
    pub categories: Vec<Category>,
    extra: Extra,
    /// The names of the machine kinds.
    pub kinds: Vec<String>,
    /// What the site permits.
    pub limits: EnvLimits,
    membership_mode: String,
    /// The tenants; a site may name none.
    pub orgs: Vec<Org>,
    /// This instance's place among all, from 0.
    pub position: Option<u32>,
    rules: EnvRules,
    tick: u64,
    weights: String,
    /// The names of the zones.
    pub zones: Vec<String>,
}

/// One class of command.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Category {
    /// Its name.
    pub name: String,
    aim: u64,
    aim_stretch: f64,
    effect: String,
    give_up: u64,
    group: String,
    late_worth: f64,
    window: u64,
    worth: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct Extra {
    mode: String,
    origin_kind: Option<i64>,
}

/// What a site permits.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct EnvLimits {
    /// How long a host keeps an idle connection.
    pub conn_idle: u64,
    /// How long a connection may take to come up.
    pub connect_timeout: u64,
    max_attempts: u32,
    max_retry_after: u64,
    may_duplicate: bool,
    retry_after: bool,
}

/// A tenant.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
pub struct Org {
    /// Its name.
    pub name: String,
    allowance_per_s: f64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct EnvRules {
    ask_within: u64,
    cold_share: f64,
    warm_up: u64,
    drain_grace: u64,
}

impl Env {
    /// What the module is told.
    pub fn settings(&self) -> Settings {
        let origin = self.extra.origin_kind.and_then(|kind| u32::try_from(kind).ok());
        Settings {
            balancers: self.balancers,
            zone: self.az,
            classes: self.categories.iter().map(Category::class).collect(),
            tenants: self.orgs.iter().map(|org| Tenant { allowance_per_s: org.allowance_per_s }).collect(),
            mode: match origin {
                Some(kind) if self.extra.mode == "aside" => Mode::Aside(kind),
                _ => Mode::Through,
            },
            subscribe: self.membership_mode == "subscribe",
            weighted: matches!(self.weights.as_str(), "nominal" | "rough"),
            tick: Micros(self.tick),
            limits: Limits {
                max_attempts: self.limits.max_attempts,
                max_retry_after: Micros(self.limits.max_retry_after),
                retry_after: self.limits.retry_after,
                may_duplicate: self.limits.may_duplicate,
            },
            rules: Rules {
                ask_within: Micros(self.rules.ask_within),
                cold_share: self.rules.cold_share,
                warm_up: Micros(self.rules.warm_up),
            },
        }
    }

    /// How long after a host's drain or end was told something new may still go there.
    pub fn drain_grace(&self) -> Micros {
        Micros(self.rules.drain_grace)
    }

    /// Names the first thing missing that a real balancer needs: a misspelt key must not become a zero.
    pub fn check(&self) -> Result<(), String> {
        let needed = [
            ("categories", !self.categories.is_empty()),
            ("categories[].name", self.categories.iter().all(|c| !c.name.is_empty())),
            ("categories[].aim", self.categories.iter().all(|c| c.aim > 0)),
            ("categories[].give-up", self.categories.iter().all(|c| c.give_up > 0)),
            ("orgs[].name", self.orgs.iter().all(|org| !org.name.is_empty())),
            ("kinds", !self.kinds.is_empty()),
            ("zones", !self.zones.is_empty()),
            ("tick", self.tick > 0),
            ("limits.conn-idle", self.limits.conn_idle > 0),
            ("limits.connect-timeout", self.limits.connect_timeout > 0),
            ("limits.max-attempts", self.limits.max_attempts > 0),
            ("rules.ask-within", self.rules.ask_within > 0),
            ("rules.warm-up", self.rules.warm_up > 0),
        ];
        match needed.iter().find(|(_, there)| !there) {
            Some((name, _)) => Err(format!("settings: {name} is missing or empty")),
            None => Ok(()),
        }
    }
}

impl Category {
    fn class(&self) -> Class {
        Class {
            aim: Micros(self.aim),
            aim_stretch: self.aim_stretch,
            deadline: Micros(self.give_up),
            effect: match self.effect.as_str() {
                "pure" => Effect::Safe,
                "token" => Effect::Keyed,
                _ => Effect::Unsafe,
            },
            group: match self.group.as_str() {
                "zone" => Group::Zone,
                "cell" => Group::Cell,
                _ => Group::All,
            },
            window: Micros(self.window),
            worth: self.worth,
            late_worth: self.late_worth,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SOUND: &str = r#"{"az":1,"unknown-key":[1],"kinds":["a","b","origin"],"zones":["x","y"],"tick":5000,
        "categories":[{"name":"put","aim":1200000,"give-up":3000000,"effect":"token","group":"cell"}],
        "extra":{"mode":"aside","origin-kind":2},"weights":"rough","membership-mode":"subscribe",
        "limits":{"conn-idle":1,"connect-timeout":1,"max-attempts":3},"rules":{"ask-within":1,"warm-up":1}}"#;

    fn read(text: &str) -> Env {
        serde_json::from_str(text).unwrap()
    }

    #[test]
    fn words_are_mapped_to_the_modules_values() {
        let settings = read(SOUND).settings();
        let class = &settings.classes[0];
        assert_eq!(
            (class.effect, class.group, class.deadline),
            (Effect::Keyed, Group::Cell, Micros(3_000_000))
        );
        assert_eq!((settings.mode, settings.zone), (Mode::Aside(2), 1));
        assert!(settings.subscribe && settings.weighted);
        assert_eq!(read(&SOUND.replace("aside", "through")).settings().mode, Mode::Through);
    }

    /// A tenant without a name would be whoever names none.
    #[test]
    fn a_tenant_has_a_name() {
        let with = |orgs: &str| read(&SOUND.replacen('{', &format!("{{\"orgs\":{orgs},"), 1)).check();
        assert_eq!(with(r#"[{"name":"acme","allowance-per-s":3}]"#), Ok(()));
        assert!(with(r#"[{"nmae":"acme","allowance-per-s":3}]"#).unwrap_err().contains("orgs[].name"));
    }

    #[test]
    fn a_misspelt_key_is_named() {
        assert_eq!(read(SOUND).check(), Ok(()));
        for (key, name) in [("rules", "rules.ask-within"), ("give-up", "give-up"), ("kinds", "kinds")] {
            let problem = read(&SOUND.replace(&format!("\"{key}\""), "\"misspelt\"")).check().unwrap_err();
            assert!(problem.contains(name), "{problem}");
        }
    }
}
