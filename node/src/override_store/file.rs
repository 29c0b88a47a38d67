//! The file of operator overrides: its format, and reading and writing it.
//!
//! The file has a first line with the format's name and version, one server name per line in sorted order, and a last
//! line that shows that the file is complete:
//!
//! ```text
//! juniperladder bans 1
//! s-00000009
//! s-0000000a
//! end
//! ```
//!
//! The name `bans` in the first line predates the terms in the code. It is kept so that old and new versions can read each
//! other's files.
//!
//! Guarantee: writes are atomic for readers, and concurrent writes of two processes lose no change. All functions here may
//! block on the disk.

use std::collections::BTreeMap;
use std::fs::{File, Metadata};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use thiserror::Error;

use super::OverrideState;

/// The first line: the format's name and version.
const FORMAT_HEADER: &str = "juniperladder bans 1";
/// The last line; a file without it is truncated.
const FORMAT_TRAILER: &str = "end";
/// The maximum file size. A larger file would hold more servers than a balancer keeps, so this program did not write it.
const MAX_FILE_BYTES: u64 = 1 << 20;
/// Server names must be shorter than this; those of discovery are.
const NAME_BYTES_LIMIT: usize = 256;

/// Why the overrides could not be read or written.
#[derive(Debug, Error)]
pub enum OverrideFileError {
    /// The file does not exist yet.
    #[error("there is no file of operator overrides")]
    Missing,
    /// The file exceeds [`MAX_FILE_BYTES`].
    #[error("{}: {bytes} bytes; a file of operator overrides has at most {MAX_FILE_BYTES}", path.display())]
    TooLarge {
        /// The path of the file.
        path: PathBuf,
        /// The size of the file in bytes.
        bytes: u64,
    },
    /// The file is truncated, or was written by another program or version.
    #[error("{}: not a complete file of operator overrides of this version", path.display())]
    Malformed {
        /// The path of the file.
        path: PathBuf,
    },
    /// The file could not be read, and may be valid.
    #[error("the file of operator overrides could not be read: {0}")]
    Read(#[source] io::Error),
    /// The lock file could not be created or locked.
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

    /// Whether the file may be overwritten because it holds no valid overrides.
    fn may_overwrite(&self) -> bool {
        matches!(
            self,
            OverrideFileError::Missing
                | OverrideFileError::TooLarge { .. }
                | OverrideFileError::Malformed { .. }
        )
    }
}

/// Identifies one write of the file; no two writes have the same version.
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

/// The content of the file after an update.
#[derive(Debug)]
pub struct FileContent {
    /// The names of the servers that operators have taken offline, sorted.
    pub offline: Vec<String>,
    /// The version of the file.
    pub version: FileVersion,
}

/// A balancer's name for use in a file name: characters other than ASCII letters, digits, `-` and `_` are replaced by `_`.
pub fn file_name_part(name: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    name.chars().map(|c| if is_plain(c) { c } else { '_' }).collect()
}

/// Merges these changes into the file and returns its content, or none if there are no changes and the file still has the
/// version `last_seen`. A missing, malformed or too large file is rewritten from `own_offline`, the caller's overrides. A
/// file that cannot be read may hold other overrides and is left unchanged.
///
/// # Errors
/// The file cannot be locked, read or written; it is unchanged then.
pub fn update(
    path: &Path,
    own_offline: &[String],
    changes: &BTreeMap<String, OverrideState>,
    last_seen: Option<FileVersion>,
) -> Result<Option<FileContent>, OverrideFileError> {
    if changes.is_empty() && last_seen.is_some() && FileVersion::read(path).ok() == last_seen {
        return Ok(None);
    }
    // Each write replaces the file, so a separate file is locked. Dropping the handle releases the lock.
    let lock = File::create(path.with_extension("lock")).map_err(OverrideFileError::Lock)?;
    lock.lock().map_err(OverrideFileError::Lock)?;
    let stored = match read(path) {
        Ok(names) => Some(names),
        Err(error) if error.may_overwrite() => None,
        Err(error) => return Err(error),
    };
    let offline = merge(stored.as_deref().unwrap_or(own_offline), changes);
    if stored.as_ref() != Some(&offline) {
        write(path, &offline)?;
    }
    let version = FileVersion::read(path).map_err(OverrideFileError::Read)?;
    Ok(Some(FileContent { offline, version }))
}

/// Applies the changes to these names; the result is sorted and has no duplicates.
fn merge(names: &[String], changes: &BTreeMap<String, OverrideState>) -> Vec<String> {
    let unchanged = names.iter().filter(|name| !changes.contains_key(*name));
    let added = changes.iter().filter(|(_, state)| **state == OverrideState::Offline);
    let mut merged: Vec<String> = unchanged.chain(added.map(|(name, _)| name)).cloned().collect();
    merged.sort();
    merged.dedup();
    merged
}

/// Writes the names to a temporary file, which then replaces the file.
pub(super) fn write(path: &Path, names: &[String]) -> Result<(), OverrideFileError> {
    let temporary = path.with_extension(format!("new-{}", std::process::id()));
    let result = std::fs::write(&temporary, format(names)).and_then(|()| std::fs::rename(&temporary, path));
    result.map_err(|error| {
        // The next attempt may need the space that a partly written file occupies.
        let _ = std::fs::remove_file(&temporary);
        OverrideFileError::Write(error)
    })
}

/// Reads the server names in the file.
///
/// # Errors
/// The file does not exist, is not of this format, or cannot be read.
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
