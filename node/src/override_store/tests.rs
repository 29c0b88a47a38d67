//! Two processes that share an override file, and files that are deleted, malformed, unreadable or not writable.

use juniperladder::Idempotency;

use super::*;
use crate::testing::{self, log, RecordingTransport};

const SERVER_A: &str = "s-00000009";
const SERVER_B: &str = "s-0000000a";

struct Process {
    dispatcher: Rc<Dispatcher>,
    store: Rc<OverrideStore>,
}

impl Process {
    fn start(path: &std::path::Path) -> Process {
        let settings = testing::settings(1, Idempotency::Idempotent);
        let dispatcher = testing::dispatcher(settings, Rc::new(RecordingTransport::default()), 2);
        let store = OverrideStore::open(Rc::clone(&dispatcher), path.to_owned(), log());
        Process { dispatcher, store }
    }

    fn offline(&self, server: &str) -> ChangeId {
        self.dispatcher.take_offline(server).unwrap();
        self.store.record(server, OverrideState::Offline)
    }

    fn online(&self, server: &str) -> ChangeId {
        self.dispatcher.bring_online(server).unwrap();
        self.store.record(server, OverrideState::Online)
    }

    fn offline_servers(&self) -> Vec<String> {
        self.dispatcher.offline_servers()
    }
}

/// Guards against lost overrides while two processes run: overrides set at either, even at the same time, take effect at
/// both, and a third process restores them.
#[test]
fn an_override_set_at_either_process_takes_effect_at_both() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("n0.bans");
    testing::run_on_sockets(async {
        let first = Process::start(&path);
        assert!(!first.store.found_override_file());
        first.store.synchronize().await;
        let second = Process::start(&path);
        assert!(second.store.found_override_file(), "the first process did not create the file at its start");
        first.offline(SERVER_A);
        second.offline(SERVER_B);
        tokio::join!(first.store.synchronize(), second.store.synchronize());
        tokio::join!(first.store.synchronize(), second.store.synchronize());
        assert_eq!(first.offline_servers(), [SERVER_A, SERVER_B]);
        assert_eq!(second.offline_servers(), [SERVER_A, SERVER_B]);
        let change = second.online(SERVER_A);
        second.store.synchronize().await;
        second.store.wait_until_attempted(change).await;
        first.store.synchronize().await;
        assert_eq!(first.offline_servers(), [SERVER_B]);
        assert_eq!(second.offline_servers(), [SERVER_B]);
        assert_eq!(Process::start(&path).offline_servers(), [SERVER_B]);
    });
}

#[test]
fn a_deleted_or_malformed_file_removes_no_override_and_is_rewritten() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("n0.bans");
    testing::run_on_sockets(async {
        let process = Process::start(&path);
        process.offline(SERVER_A);
        process.store.synchronize().await;
        for malformed in [None, Some("juniperladder bans 1\ns-000"), Some("another program's")] {
            match malformed {
                None => std::fs::remove_file(&path).unwrap(),
                Some(text) => std::fs::write(&path, text).unwrap(),
            }
            process.store.synchronize().await;
            assert_eq!(process.offline_servers(), [SERVER_A]);
            assert_eq!(file::read(&path).unwrap(), [SERVER_A]);
        }
    });
}

/// Guards against overwriting an unreadable file as if it were missing: its overrides are restored once it can be read.
#[test]
fn an_unreadable_file_is_not_overwritten() {
    let directory = tempfile::tempdir().unwrap();
    let (path, moved_path) = (directory.path().join("n0.bans"), directory.path().join("aside"));
    testing::run_on_sockets(async {
        file::write(&path, &[SERVER_A.into()]).unwrap();
        // A symbolic link to itself cannot be read, fails with an error other than NotFound, and could be overwritten.
        std::fs::rename(&path, &moved_path).unwrap();
        std::os::unix::fs::symlink(&path, &path).unwrap();
        let process = Process::start(&path);
        process.offline(SERVER_B);
        process.store.synchronize().await;
        assert!(path.is_symlink() && process.offline_servers() == [SERVER_B]);
        std::fs::remove_file(&path).unwrap();
        std::fs::rename(&moved_path, &path).unwrap();
        process.store.synchronize().await;
        assert_eq!(
            process.offline_servers(),
            [SERVER_A, SERVER_B],
            "the earlier process's override was not restored"
        );
        assert_eq!(file::read(&path).unwrap(), [SERVER_A, SERVER_B]);
        let remaining_files: Vec<_> =
            std::fs::read_dir(directory.path()).unwrap().map(|entry| entry.unwrap().file_name()).collect();
        assert_eq!(remaining_files.len(), 2, "expected the file and its lock, found {remaining_files:?}");
    });
}

/// Guards against admin calls that hang or have no effect when the override file cannot be written.
#[test]
fn a_failed_write_keeps_the_override_in_effect_and_pending() {
    testing::run_on_sockets(async {
        let process = Process::start(std::path::Path::new("/proc/none/n0.bans"));
        let change = process.offline(SERVER_A);
        process.store.synchronize().await;
        process.store.wait_until_attempted(change).await;
        assert_eq!(process.offline_servers(), [SERVER_A]);
        assert!(process.store.is_pending(SERVER_A), "the failed write will not be retried");
        assert_eq!(process.store.pending.borrow().len(), 1);
    });
}
