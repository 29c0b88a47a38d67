//! The file of operator overrides: its format, and how it is read and written.
//!
//! The file has a line with the format's name and version, one server name a line, sorted, and a last line that shows
//! that the file was not cut off:
//!
//! ```text
//! juniperladder bans 1
//! s-00000009
//! s-0000000a
//! end
//! ```
//!
//! The name in the first line is older than the terms of the code; it stays, so that a process of either version reads
//! what the other has written.
//!
//! Guarantee: a reader finds the file as it was before a write or after it, never a part, and two processes that write at
//! the same time lose no change of either. All calls here may block on the disk.

use std::collections::BTreeMap;
use std::fs::{File, Metadata};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use thiserror::Error;

use super::OverrideState;

/// The first line: the format's name and version.
const FORMAT_HEADER: &str = "juniperladder bans 1";
/// The last line; a file without it was cut off.
const FORMAT_TRAILER: &str = "end";
/// A larger file was not written by this program: it would hold more servers than a balancer keeps.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// A name of this many bytes or more is none of discovery's.
const NAME_BYTES_LIMIT: usize = 256;

/// Why the overrides could not be read or written.
#[derive(Debug, Error)]
pub enum OverrideFileError {
    /// There is no file yet.
    #[error("there is no file of operator overrides")]
    Missing,
    /// The file is larger than any that this program writes.
    #[error("{}: {bytes} bytes, too large to be ours", path.display())]
    TooLarge {
        /// The file.
        path: PathBuf,
        /// Its size.
        bytes: u64,
    },
    /// The file was cut off, or is another program's or version's.
    #[error("{}: not a complete file of operator overrides of this version", path.display())]
    Malformed {
        /// The file.
        path: PathBuf,
    },
    /// The file may be sound, but can't be read now.
    #[error("the file of operator overrides could not be read: {0}")]
    Read(#[source] io::Error),
    /// The lock beside the file could not be had.
    #[error("the file of operator overrides could not be locked: {0}")]
    Lock(#[source] io::Error),
    /// The file could not be written.
    #[error("the file of operator overrides could not be written: {0}")]
    Write(#[source] io::Error),
}

impl OverrideFileError {
    fn from_read(error: io::Error) -> OverrideFileError {
        match error.kind() {
            io::ErrorKind::NotFound => OverrideFileError::Missing,
            _ => OverrideFileError::Read(error),
        }
    }

    /// Whether the file holds nothing that a write could destroy.
    fn may_overwrite(&self) -> bool {
        matches!(
            self,
            OverrideFileError::Missing
                | OverrideFileError::TooLarge { .. }
                | OverrideFileError::Malformed { .. }
        )
    }
}

/// Identifies one write of the file: it differs from that of any earlier or later write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileVersion {
    inode: u64,
    modified_seconds: i64,
    modified_nanoseconds: i64,
    bytes: u64,
}

impl FileVersion {
    fn from_metadata(metadata: &Metadata) -> FileVersion {
        FileVersion {
            inode: metadata.ino(),
            modified_seconds: metadata.mtime(),
            modified_nanoseconds: metadata.mtime_nsec(),
            bytes: metadata.len(),
        }
    }

    fn read(path: &Path) -> io::Result<FileVersion> {
        Ok(FileVersion::from_metadata(&std::fs::metadata(path)?))
    }
}

/// What the file holds after an update.
#[derive(Debug)]
pub struct FileContent {
    /// The names of the servers that operators have put offline, sorted.
    pub offline: Vec<String>,
    /// Which write this is.
    pub version: FileVersion,
}

/// A balancer's name as it may stand in a file's name: what is neither letter, digit, `-` nor `_` becomes `_`.
pub fn file_name_part(name: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    name.chars().map(|c| if is_plain(c) { c } else { '_' }).collect()
}

/// Writes these changes into the file and returns what it holds; none where there is nothing to change and the file is
/// the `last_seen` one. A file that is missing, malformed or too large is written anew from `own`, the caller's own
/// overrides; one that can't be read now may hold others and is left as it is.
///
/// # Errors
/// Where the file can't be locked, read or written. It is unchanged then.
pub fn update(
    path: &Path,
    own: &[String],
    changes: &BTreeMap<String, OverrideState>,
    last_seen: Option<FileVersion>,
) -> Result<Option<FileContent>, OverrideFileError> {
    if changes.is_empty() && last_seen.is_some() && FileVersion::read(path).ok() == last_seen {
        return Ok(None);
    }
    // Each write replaces the file, so that the lock is on a file beside it. It ends with this handle.
    let lock = File::create(path.with_extension("lock")).map_err(OverrideFileError::Lock)?;
    lock.lock().map_err(OverrideFileError::Lock)?;
    let stored = match read(path) {
        Ok(names) => Some(names),
        Err(error) if error.may_overwrite() => None,
        Err(error) => return Err(error),
    };
    let offline = merge(stored.as_deref().unwrap_or(own), changes);
    if stored.as_ref() != Some(&offline) {
        write(path, &offline)?;
    }
    let version = FileVersion::read(path).map_err(OverrideFileError::Read)?;
    Ok(Some(FileContent { offline, version }))
}

/// These names with the changes made to them, sorted, each once.
fn merge(names: &[String], changes: &BTreeMap<String, OverrideState>) -> Vec<String> {
    let unchanged = names.iter().filter(|name| !changes.contains_key(*name));
    let added = changes.iter().filter(|(_, state)| **state == OverrideState::Offline);
    let mut merged: Vec<String> = unchanged.chain(added.map(|(name, _)| name)).cloned().collect();
    merged.sort();
    merged.dedup();
    merged
}

/// Writes the names into a file beside it, which then replaces it.
pub(super) fn write(path: &Path, names: &[String]) -> Result<(), OverrideFileError> {
    let temporary = path.with_extension(format!("new-{}", std::process::id()));
    let written = std::fs::write(&temporary, format(names)).and_then(|()| std::fs::rename(&temporary, path));
    written.map_err(|error| {
        // A partly written file takes space that the next attempt needs.
        let _ = std::fs::remove_file(&temporary);
        OverrideFileError::Write(error)
    })
}

/// Reads the names.
///
/// # Errors
/// Where there is no such file, it isn't one of this format, or it can't be read.
pub fn read(path: &Path) -> Result<Vec<String>, OverrideFileError> {
    let bytes = std::fs::metadata(path).map_err(OverrideFileError::from_read)?.len();
    if bytes > MAX_FILE_BYTES {
        return Err(OverrideFileError::TooLarge { path: path.to_owned(), bytes });
    }
    let text = std::fs::read(path).map_err(OverrideFileError::from_read)?;
    parse(&text).ok_or_else(|| OverrideFileError::Malformed { path: path.to_owned() })
}

fn format(names: &[String]) -> String {
    let mut text = format!("{FORMAT_HEADER}\n");
    for name in names {
        text.push_str(name);
        text.push('\n');
    }
    text.push_str(FORMAT_TRAILER);
    text.push('\n');
    text
}

fn parse(bytes: &[u8]) -> Option<Vec<String>> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut lines: Vec<&str> = text.strip_suffix('\n')?.split('\n').collect();
    if lines.first() != Some(&FORMAT_HEADER) || lines.pop() != Some(FORMAT_TRAILER) {
        return None;
    }
    let names = &lines[1..];
    names
        .iter()
        .all(|name| is_server_name(name))
        .then(|| names.iter().map(|name| (*name).to_owned()).collect())
}

fn is_server_name(name: &str) -> bool {
    !name.is_empty() && name.len() < NAME_BYTES_LIMIT && name.bytes().all(|byte| byte.is_ascii_graphic())
}

#[cfg(test)]
mod tests;
