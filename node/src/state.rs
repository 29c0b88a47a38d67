//! What a process leaves for the one that replaces it: the servers out by hand, in a small versioned file in
//! `$TMPDIR`, written whole or not at all, and read with care.

use std::collections::BTreeMap;
use std::fs::{File, Metadata};
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// The first line: what the file is, and its version.
const HEADER: &str = "juniperladder bans 1";
/// The last line: a file without it was cut off.
const END: &str = "end";
/// More than this is no file of ours.
const MOST: u64 = 1 << 20;

/// A name as it may stand in a file's name.
pub fn safe(name: &str) -> String {
    name.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' || c == '_' { c } else { '_' }).collect()
}

/// Writes the names: to a file beside it, then renamed over it, so that a reader finds the old or the new.
pub fn write(path: &Path, names: &[String]) -> std::io::Result<()> {
    let mut text = format!("{HEADER}\n");
    for name in names {
        text.push_str(name);
        text.push('\n');
    }
    text.push_str(END);
    text.push('\n');
    let beside = path.with_extension(format!("new-{}", std::process::id()));
    let written = std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, path));
    if written.is_err() {
        // What could not be written whole takes room that the next try needs.
        let _ = std::fs::remove_file(&beside);
    }
    written
}

/// Which writing of the file was seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    inode: u64,
    seconds: i64,
    nanos: i64,
    size: u64,
}

impl Stamp {
    fn of(found: &Metadata) -> Stamp {
        Stamp { inode: found.ino(), seconds: found.mtime(), nanos: found.mtime_nsec(), size: found.len() }
    }
}

/// Brings these changes (out, or back) into the file and returns the names in it, sorted, and its stamp; none where
/// nothing is to be changed and the file is the one last seen. A file that is missing, cut off or foreign is written anew from
/// the caller's own names; one that can't be read now may hold others, and stays. Two processes may do so at the same time: each
/// change is made under a lock.
pub fn bring_up_to_date(
    path: &Path,
    own: &[String],
    changes: &BTreeMap<String, bool>,
    seen: Option<Stamp>,
) -> std::io::Result<Option<(Vec<String>, Stamp)>> {
    if changes.is_empty() && seen.is_some() && std::fs::metadata(path).map(|m| Stamp::of(&m)).ok() == seen {
        return Ok(None);
    }
    // The lock lies beside the file, as that is another one after each change, and ends with this handle.
    let lock = File::create(path.with_extension("lock"))?;
    lock.lock()?;
    let found = match read(path) {
        Ok(names) => Some(names),
        Err(Unread::Missing | Unread::NotOurs(_)) => None,
        Err(Unread::Failed(problem)) => return Err(problem),
    };
    let mut names = found.clone().unwrap_or_else(|| own.to_vec());
    names.retain(|name| changes.get(name) != Some(&false));
    names.extend(changes.iter().filter(|(_, out)| **out).map(|(name, _)| name.clone()));
    names.sort();
    names.dedup();
    if found.as_ref() != Some(&names) {
        write(path, &names)?;
    }
    Ok(Some((names, Stamp::of(&std::fs::metadata(path)?))))
}

/// Why a file of bans gives no names.
#[derive(Debug)]
pub enum Unread {
    /// There is none.
    Missing,
    /// It is cut off, of another program or version, or too large; with what is wrong.
    NotOurs(String),
    /// It could not be read this time.
    Failed(std::io::Error),
}

impl From<std::io::Error> for Unread {
    fn from(problem: std::io::Error) -> Unread {
        match problem.kind() {
            std::io::ErrorKind::NotFound => Unread::Missing,
            _ => Unread::Failed(problem),
        }
    }
}

impl std::fmt::Display for Unread {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unread::Missing => write!(out, "there is no file of bans"),
            Unread::NotOurs(what) => write!(out, "{what}"),
            Unread::Failed(problem) => write!(out, "the file of bans could not be read: {problem}"),
        }
    }
}

/// Reads the names.
pub fn read(path: &Path) -> Result<Vec<String>, Unread> {
    let size = std::fs::metadata(path)?.len();
    if size > MOST {
        return Err(Unread::NotOurs(format!("{}: {size} bytes, too large to be ours", path.display())));
    }
    let bytes = std::fs::read(path)?;
    let cut = || Unread::NotOurs(format!("{}: not a whole file of bans of this version", path.display()));
    parse(&bytes).ok_or_else(cut)
}

fn parse(bytes: &[u8]) -> Option<Vec<String>> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut lines: Vec<&str> = text.strip_suffix('\n')?.split('\n').collect();
    if lines.first() != Some(&HEADER) || lines.pop() != Some(END) {
        return None;
    }
    let names = &lines[1..];
    let sound =
        |name: &&str| !name.is_empty() && name.len() < 256 && name.bytes().all(|b| b.is_ascii_graphic());
    names.iter().all(sound).then(|| names.iter().map(|name| (*name).to_owned()).collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bans_outlive_the_process_that_wrote_them() {
        let dir = std::env::temp_dir().join(format!("juniperladder-state-test-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let path = dir.join("n0.bans");
        assert!(read(&path).is_err(), "none yet");
        write(&path, &["s-1".into(), "s-2".into()]).unwrap();
        assert_eq!(read(&path).unwrap(), ["s-1", "s-2"]);
        write(&path, &[]).unwrap();
        assert!(read(&path).unwrap().is_empty());
        std::fs::remove_dir_all(&dir).unwrap();
    }

    #[test]
    fn a_cut_or_foreign_file_is_none() {
        let whole = format!("{HEADER}\ns-1\n{END}\n");
        assert_eq!(parse(whole.as_bytes()).unwrap(), ["s-1"]);
        for cut in 0..whole.len() {
            assert!(parse(&whole.as_bytes()[..cut]).is_none(), "cut at {cut}");
        }
        for foreign in ["juniperladder bans 2\nend\n", "{}\n", "juniperladder bans 1\ns 1\nend\n", "\u{ff}"] {
            assert!(parse(foreign.as_bytes()).is_none(), "{foreign:?}");
        }
    }
}
