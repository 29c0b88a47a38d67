//! The file format compared with fixtures, and reading after writing.

use super::*;

/// An override file, byte for byte as every released version writes it.
const STORED: &str = "juniperladder bans 1\ns-00000009\ns-0000000a\nend\n";
/// An override file without overrides.
const STORED_EMPTY: &str = "juniperladder bans 1\nend\n";

/// Guards against a change of the format: the predecessor or successor process may run another version.
#[test]
fn the_file_format_is_stable() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("n0.bans");
    for (stored, names) in
        [(STORED, vec!["s-00000009".to_owned(), "s-0000000a".into()]), (STORED_EMPTY, vec![])]
    {
        std::fs::write(&path, stored).unwrap();
        assert_eq!(read(&path).unwrap(), names);
        std::fs::remove_file(&path).unwrap();
        write(&path, &names).unwrap();
        assert_eq!(std::fs::read_to_string(&path).unwrap(), stored);
    }
}

#[test]
fn changes_are_merged_in_sorted_order() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("n0.bans");
    std::fs::write(&path, STORED).unwrap();
    let changes = BTreeMap::from([
        ("s-00000009".to_owned(), OverrideState::Online),
        ("s-00000001".to_owned(), OverrideState::Offline),
    ]);
    let content = update(&path, &[], &changes, None).unwrap().unwrap();
    assert_eq!(content.offline, ["s-00000001", "s-0000000a"]);
    assert_eq!(
        std::fs::read_to_string(&path).unwrap(),
        "juniperladder bans 1\ns-00000001\ns-0000000a\nend\n"
    );
    let unchanged = update(&path, &[], &BTreeMap::new(), Some(content.version)).unwrap();
    assert!(unchanged.is_none(), "a file that has not changed since it was last read was read again");
}

#[test]
fn written_overrides_are_read_back() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("n0.bans");
    assert!(
        matches!(read(&path), Err(OverrideFileError::Missing)),
        "a missing file was not reported as missing"
    );
    write(&path, &["s-1".into(), "s-2".into()]).unwrap();
    assert_eq!(read(&path).unwrap(), ["s-1", "s-2"]);
    write(&path, &[]).unwrap();
    assert!(read(&path).unwrap().is_empty());
}

#[test]
fn a_truncated_or_foreign_file_is_malformed() {
    let complete = format!("{FORMAT_HEADER}\ns-1\n{FORMAT_TRAILER}\n");
    assert_eq!(parse(complete.as_bytes()).unwrap(), ["s-1"]);
    for cut in 0..complete.len() {
        assert!(parse(&complete.as_bytes()[..cut]).is_none(), "cut at {cut}");
    }
    for foreign in ["juniperladder bans 2\nend\n", "{}\n", "juniperladder bans 1\ns 1\nend\n", "\u{ff}"] {
        assert!(parse(foreign.as_bytes()).is_none(), "{foreign:?}");
    }
}
