//! Keeps the servers out by hand in their file, and takes up what the other process of a replacement kept there: for
//! as long as both run, a call at either holds at both.
//!
//! A disk may stand still for a second. The file is read and written by a thread of the runtime's own for such
//! work, and neither requests nor operators' calls ever wait for it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use slog::{info, warn, Logger};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_blocking;
use tokio::time::timeout;

use crate::dispatcher::Dispatcher;
use crate::state::{self, Stamp};

/// How often the file is looked at for what another process has written: a call has to hold within a second.
const LOOK: Duration = Duration::from_millis(200);

/// The file of one balancer's bans, and what is on its way there.
pub struct Keeper {
    dispatcher: Rc<Dispatcher>,
    file: PathBuf,
    /// Changes that are not in the file yet, by the server's name: out, or back.
    changes: RefCell<BTreeMap<String, bool>>,
    stamp: Cell<Option<Stamp>>,
    asked: Cell<u64>,
    kept: watch::Sender<u64>,
    wake: Notify,
    failed: Cell<bool>,
    log: Logger,
}

impl Keeper {
    /// Takes the bans of the process before over, if there was one. Also whether there was.
    pub fn new(dispatcher: Rc<Dispatcher>, file: PathBuf, log: Logger) -> (Rc<Keeper>, bool) {
        let before = state::read(&file);
        match &before {
            Ok(names) => {
                info!(log, "bans taken over"; "hosts" => names.len());
                names.iter().for_each(|name| dispatcher.restore_ban(name));
            }
            Err(why) => info!(log, "no bans taken over"; "why" => why.to_string()),
        }
        let keeper = Keeper {
            dispatcher,
            file,
            changes: RefCell::default(),
            stamp: Cell::new(None),
            asked: Cell::new(0),
            kept: watch::Sender::new(0),
            wake: Notify::new(),
            failed: Cell::new(false),
            log,
        };
        (Rc::new(keeper), before.is_ok())
    }

    /// An operator has put this server out, or called it back. The number is for [`Keeper::kept`].
    pub fn changed(&self, name: &str, out: bool) -> u64 {
        self.changes.borrow_mut().insert(name.to_owned(), out);
        self.asked.set(self.asked.get() + 1);
        self.wake.notify_one();
        self.asked.get()
    }

    /// Waits until a change is in the file, or could not be put there.
    pub async fn kept(&self, change: u64) {
        // The sender is this keeper's, so that it is there for as long as anyone waits.
        let _ = self.kept.subscribe().wait_for(|kept| *kept >= change).await;
    }

    /// Whether the last change of this server is not in the file yet.
    pub fn is_pending(&self, name: &str) -> bool {
        self.changes.borrow().contains_key(name)
    }

    /// Keeps the file, for as long as it is polled.
    pub async fn run(&self) {
        loop {
            self.turn().await;
            let _ = timeout(LOOK, self.wake.notified()).await;
        }
    }

    /// Brings the changes into the file and takes up what is new there.
    async fn turn(&self) {
        let asked = self.asked.get();
        let changes = self.changes.borrow().clone();
        let (file, own, stamp) = (self.file.clone(), self.dispatcher.banned(), self.stamp.get());
        let taken = changes.clone();
        let looked = spawn_blocking(move || state::bring_up_to_date(&file, &own, &taken, stamp)).await;
        match looked.map_err(std::io::Error::from).and_then(|result| result) {
            Ok(found) => {
                self.failed.set(false);
                // What was asked for meanwhile goes into the file next, and what is there does not undo it.
                self.changes.borrow_mut().retain(|name, out| changes.get(name) != Some(out));
                if let Some((names, stamp)) = found {
                    self.stamp.set(Some(stamp));
                    self.take_up(&names);
                }
            }
            Err(problem) if !self.failed.replace(true) => {
                warn!(self.log, "bans not kept for a successor"; "problem" => problem.to_string());
            }
            Err(_) => {}
        }
        self.kept.send_replace(asked);
    }

    fn take_up(&self, names: &[String]) {
        let changes = self.changes.borrow();
        let own = self.dispatcher.banned();
        let here = |name: &&String| !changes.contains_key(*name);
        for name in names.iter().filter(|name| own.binary_search(name).is_err()).filter(here) {
            info!(self.log, "other process"; "host" => name, "now" => "out by hand");
            self.dispatcher.restore_ban(name);
        }
        for name in own.iter().filter(|name| names.binary_search(name).is_err()).filter(here) {
            info!(self.log, "other process"; "host" => name, "now" => "may serve again");
            let _ = self.dispatcher.online(name);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::testing::{self, log, Recorder};
    use juniperladder::Idempotency;

    const ONE: &str = "s-00000009";
    const TWO: &str = "s-0000000a";

    fn process(file: &std::path::Path) -> (Rc<Dispatcher>, Rc<Keeper>, bool) {
        let settings = testing::settings(1, Idempotency::Idempotent);
        let dispatcher = testing::dispatcher(settings, Rc::new(Recorder::default()), 2);
        let (keeper, replaces) = Keeper::new(Rc::clone(&dispatcher), file.to_owned(), log());
        (dispatcher, keeper, replaces)
    }

    /// Two processes of one balancer side by side: what an operator tells either holds at both, also what is told
    /// both at once, and a third takes all of it over.
    #[test]
    fn a_call_at_either_process_holds_at_both() {
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("n0.bans");
        testing::run_on_sockets(async {
            let (first, keeps_first, replaces) = process(&file);
            assert!(!replaces);
            keeps_first.turn().await;
            let (second, keeps_second, replaces) = process(&file);
            assert!(replaces, "the file is there from the first one's start");
            first.offline(ONE).unwrap();
            keeps_first.changed(ONE, true);
            second.offline(TWO).unwrap();
            keeps_second.changed(TWO, true);
            tokio::join!(keeps_first.turn(), keeps_second.turn());
            tokio::join!(keeps_first.turn(), keeps_second.turn());
            assert_eq!((first.banned(), second.banned()), (vec![ONE.into(), TWO.into()], first.banned()));
            second.online(ONE).unwrap();
            let change = keeps_second.changed(ONE, false);
            keeps_second.turn().await;
            keeps_second.kept(change).await;
            keeps_first.turn().await;
            assert_eq!((first.banned(), second.banned()), (vec![TWO.into()], vec![TWO.into()]));
            assert_eq!(process(&file).0.banned(), [TWO]);
        });
    }

    /// A file that is lost or spoilt takes nothing back, and is written anew from what this process knows.
    #[test]
    fn a_lost_file_ends_no_ban() {
        let dir = tempfile::tempdir().unwrap();
        let file = dir.path().join("n0.bans");
        testing::run_on_sockets(async {
            let (dispatcher, keeper, _) = process(&file);
            dispatcher.offline(ONE).unwrap();
            keeper.changed(ONE, true);
            keeper.turn().await;
            for spoil in [None, Some("juniperladder bans 1\ns-000"), Some("another program's")] {
                match spoil {
                    None => std::fs::remove_file(&file).unwrap(),
                    Some(text) => std::fs::write(&file, text).unwrap(),
                }
                keeper.turn().await;
                assert_eq!(dispatcher.banned(), [ONE]);
                assert_eq!(state::read(&file).unwrap(), [ONE]);
            }
        });
    }

    /// A file that can't be read for a while is not a missing one: what it holds is taken over once it can, and nothing is written
    /// over it meanwhile.
    #[test]
    fn a_file_that_cannot_be_read_now_is_not_written_over() {
        let dir = tempfile::tempdir().unwrap();
        let (file, aside) = (dir.path().join("n0.bans"), dir.path().join("aside"));
        testing::run_on_sockets(async {
            state::write(&file, &[ONE.into()]).unwrap();
            // A link to itself cannot be read, with an error that is not that there is no file, but could be written over.
            std::fs::rename(&file, &aside).unwrap();
            std::os::unix::fs::symlink(&file, &file).unwrap();
            let (dispatcher, keeper, _) = process(&file);
            dispatcher.offline(TWO).unwrap();
            keeper.changed(TWO, true);
            keeper.turn().await;
            assert!(file.is_symlink() && dispatcher.banned() == [TWO]);
            std::fs::remove_file(&file).unwrap();
            std::fs::rename(&aside, &file).unwrap();
            keeper.turn().await;
            assert_eq!(dispatcher.banned(), [ONE, TWO], "the process before is still listened to");
            assert_eq!(state::read(&file).unwrap(), [ONE, TWO]);
            let left: Vec<_> =
                std::fs::read_dir(dir.path()).unwrap().map(|f| f.unwrap().file_name()).collect();
            assert_eq!(left.len(), 2, "the file and its lock: {left:?}");
        });
    }

    /// Where nothing can be written calls are answered all the same, and what they ask for holds here.
    #[test]
    fn a_disk_that_takes_nothing_holds_nobody_up() {
        testing::run_on_sockets(async {
            let (dispatcher, keeper, _) = process(std::path::Path::new("/proc/none/n0.bans"));
            dispatcher.offline(ONE).unwrap();
            let change = keeper.changed(ONE, true);
            keeper.turn().await;
            keeper.kept(change).await;
            assert_eq!(dispatcher.banned(), [ONE]);
            assert_eq!(keeper.changes.borrow().len(), 1, "it is tried again");
        });
    }
}
