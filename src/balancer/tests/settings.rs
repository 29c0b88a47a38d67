//! Tests of unusable settings, and of the deploy file's list of the files of the decision core.

use super::*;

#[test]
fn requests_are_answered_despite_unusable_settings_and_unknown_ids() {
    let mut unusable = idempotent_settings();
    unusable.classes.clear();
    unusable.balancers = 0;
    unusable.min_batch_interval = Micros(0);
    unusable.limits.max_attempts = 0;
    unusable.rules = Rules {
        discovery_poll_interval: Micros(0),
        slow_start_initial_share: f64::NAN,
        slow_start_duration: Micros(0),
    };
    unusable.has_comparable_weights = true;
    let mut list = endpoints(3);
    for (endpoint, weight) in list.iter_mut().zip([f64::NAN, 0.0, -1.0]) {
        endpoint.weight = weight;
    }
    let mut balancer = new_balancer(unusable.clone(), &list);
    let unknown_ids = Request { class: 99, tenant: 99, key: None, ..request(1, 10, 1) };
    assert!(sent_to(&handle(&mut balancer, 10, Event::Request(unknown_ids.clone()))).is_some());
    let mut empty = new_balancer(unusable, &[]);
    assert_eq!(
        handle(&mut empty, 10, Event::Request(unknown_ids)).len(),
        1,
        "a request must be answered at once if there is no server"
    );
    handle(&mut empty, 10, completed(77, 9, ServerId(5), AttemptResult::Rejected));
    handle(&mut empty, 10, Event::Timer(u64::MAX));
}

/// Guards against unusable settings that are not replaced by usable ones, so that a division by zero leaves
/// requests open.
#[test]
fn unusable_settings_lose_no_request() {
    for (balancers, initial_share) in [(0, 0.0), (u32::MAX, f64::NAN), (1, f64::INFINITY)] {
        let mut unusable = idempotent_settings();
        unusable.balancers = balancers;
        unusable.rules.slow_start_initial_share = initial_share;
        unusable.rules.slow_start_duration = Micros(0);
        unusable.classes.clear();
        let mut balancer = new_balancer(unusable, &endpoints(3));
        for n in 0..50 {
            let now = SECOND + n * 10_000;
            let to = sent_to(&handle(&mut balancer, now, Event::Request(request(n, now, n)))).expect("sent");
            handle(&mut balancer, now + 5_000, completed(n, 0, to, AttemptResult::Timeout));
        }
        assert!(balancer.open_requests.is_empty());
    }
}

/// The deploy file lists all files of the decision core, whose lines have at most 110 characters, and the
/// first lines of balancer.rs name the files of the events and actions.
#[test]
fn deploy_file_lists_every_file_of_the_decision_core() {
    let root = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let deploy = include_str!("../../../deploy/balancer.toml");
    let policy = deploy
        .lines()
        .find(|line| line.starts_with("policy"))
        .expect("the deploy file must have a policy list");
    let names: Vec<&str> = policy.split('"').skip(1).step_by(2).collect();
    let files: Vec<String> =
        names.iter().map(|name| std::fs::read_to_string(root.join(name)).expect(name)).collect();
    let folder = std::fs::read_dir(root.join("src/balancer")).expect("src/balancer must be readable");
    let count = folder.filter(|entry| entry.as_ref().is_ok_and(|entry| entry.path().is_file())).count();
    assert_eq!(
        files.len(),
        count - 1,
        "the list must contain balancer.rs and all files in src/balancer but tests.rs and limit_view.rs"
    );
    for entry in std::fs::read_dir(root.join("src/balancer")).expect("src/balancer must be readable") {
        let file = entry.expect("an entry").file_name().into_string().expect("a name");
        let decides = file.ends_with(".rs") && file != "tests.rs" && file != "limit_view.rs";
        let path = format!("src/balancer/{file}");
        assert!(!decides || names.contains(&path.as_str()), "{path} is not listed");
    }
    let lines = || files.iter().flat_map(|text| text.lines());
    assert!(lines().all(|line| line.chars().count() <= 110));
    for types in ["src/event.rs", "src/action.rs"] {
        assert!(files[0].lines().take(3).any(|line| line.contains(types)));
    }
}
