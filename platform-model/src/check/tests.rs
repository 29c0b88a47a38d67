//! Problems reported for invalid experiment files.

use crate::reader::{read, tests::VALID_EXPERIMENT};

fn problems(appended: &str) -> Vec<String> {
    read(&format!("{VALID_EXPERIMENT}{appended}"), &[])
        .err()
        .unwrap_or_default()
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn valid_faults_have_no_problems() {
    let text = "[[fault]]\nat = 1\nfor = 2\nwhat = \"cut\"\nbetween = [\"balancers:0-4\", \"hosts\"]\n\
        [[fault]]\nat = 5\nwhat = \"kill\"\nwho = \"balancers:70%\"\nback = 1\n\
        [[fault]]\nat = 9\nfor = 2\nwhat = \"freeze\"\nwho = \"balancers:70%\"\n";
    assert_eq!(problems(text), [""; 0]);
}

#[test]
fn each_problem_names_line_field_and_remedy() {
    let cases = [
        ("[[fault]]\nat = -1\nwhat = \"origin-slow\"\ntimes = 2\n", "line 11: fault 1: at", "0 s or later"),
        ("[[fault]]\nat = 1\nwhat = \"kill\"\nwho = \"balancers:12\"\n", "line 13: fault 1: who", "0 to 9"),
        (
            "[[fault]]\nat = 1\nwhat = \"kill\"\nwho = \"hosts:1\"\n",
            "line 13: fault 1: who",
            "name balancers",
        ),
        (
            "[[fault]]\nat = 1\nwhat = \"slow\"\nwho = \"hosts:1\"\n",
            "line 10: fault 1: times",
            "requires this field",
        ),
        (
            "[[fault]]\nat = 1\nwhat = \"failing\"\nwho = \"hosts:1\"\nshare = 1.5\n",
            "line 14: fault 1: share",
            "1",
        ),
        ("[[fault]]\nat = 1\nwhat = \"kill\"\nwho = \"zone:1\"\nms = 3\n", "line 14: fault 1: ms", "no such"),
        (
            "[[fault]]\nat = 1\nwhat = \"repeat\"\nbetween = [\"balancers\", \"hosts\"]\nshare = 0.1\n",
            "between",
            "TCP",
        ),
        ("[[fault]]\nat = 1\nwhat = \"cut\"\nbetween = [\"hosts\", \"origin\"]\n", "between", "no link"),
        ("[[fault]]\nat = 99\nwhat = \"discovery-down\"\n", "line 11: fault 1: at", "ended, at 40 s"),
        (
            "[[fault]]\nat = 1\nfor = 9\nwhat = \"drain\"\nwho = \"hosts:1\"\n\
             [[fault]]\nat = 5\nwhat = \"gone\"\nwho = \"hosts:0-2\"\n",
            "line 17: fault 2: what",
            "contradicts fault 1",
        ),
    ];
    for (text, location, remedy) in cases {
        let found = problems(text);
        assert!(
            found.iter().any(|problem| problem.contains(location) && problem.contains(remedy)),
            "{text}\n{found:?}"
        );
    }
    let invalid = VALID_EXPERIMENT.replace("rate = 100", "rate = -3").replace("zones = 3", "zones = 0");
    let found: Vec<String> = read(&invalid, &[]).unwrap_err().iter().map(ToString::to_string).collect();
    assert!(
        found[0].starts_with("line 6: fleet.zones") && found[1].starts_with("line 8: load.rate"),
        "{found:?}"
    );
}
