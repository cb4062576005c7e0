//! File operations used by storage, and their implementation on a data folder.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::ErrorKind;
use std::io::Result;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

/// File that a process locks while it uses the data folder.
const LOCK_FILE: &str = "lock";

/// Suffix of a file that is not completely written yet.
const TEMPORARY_SUFFIX: &str = ".tmp";

/// Interval between attempts to write to a full disk.
const DISK_FULL_RETRY_MS: u64 = 100;

/// A flat set of files with durability guarantees.
pub trait Disk: Send {
    /// Names of all files.
    fn names(&mut self) -> Result<Vec<String>>;

    /// Reads the complete content of a file.
    fn read(&mut self, name: &str) -> Result<Vec<u8>>;

    /// Appends to a file, creating it if needed. Not durable before `sync`.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;

    /// Makes all appends to a file and its creation durable.
    fn sync(&mut self, name: &str) -> Result<()>;

    /// Truncates a file. Durable on return.
    fn truncate(&mut self, name: &str, len: usize) -> Result<()>;

    /// Atomically replaces the content of a file: after a crash, the file has either the old or the
    /// new content. Durable on return.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()>;

    /// Removes a file if it exists. Durable on return.
    fn remove(&mut self, name: &str) -> Result<()>;
}

/// A folder in the file system, locked against use by other processes.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    folder: File,
    appending: Option<(String, File)>,
    is_new: bool,
    _lock: File,
}

impl Folder {
    /// Creates the folder if needed and locks it.
    pub fn open(path: &Path) -> Result<Self> {
        fs::create_dir_all(path)?;
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))?;
        lock.try_lock()?;
        let folder = File::open(path)?;
        folder.sync_all()?;
        Ok(Self {
            path: path.to_owned(),
            folder,
            appending: None,
            is_new: false,
            _lock: lock,
        })
    }

    fn append_file(&mut self, name: &str) -> Result<&mut File> {
        let is_open = matches!(&self.appending, Some((open, _)) if open == name);
        if !is_open {
            let path = self.path.join(name);
            self.is_new = !path.exists();
            let file = OpenOptions::new().create(true).append(true).open(path)?;
            self.appending = Some((name.to_owned(), file));
        }
        let (_, file) = self.appending.as_mut().expect("opened above");
        Ok(file)
    }
}

impl Disk for Folder {
    fn names(&mut self) -> Result<Vec<String>> {
        let mut names = Vec::new();
        for file in fs::read_dir(&self.path)? {
            let name = file?.file_name().to_string_lossy().into_owned();
            if name.ends_with(TEMPORARY_SUFFIX) {
                fs::remove_file(self.path.join(name))?;
            } else if name != LOCK_FILE {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        retry_while_full(|| {
            let file = self.append_file(name)?;
            let before = file.metadata()?.len();
            file.write_all(bytes).inspect_err(|_| {
                // The next attempt appends the complete record again. If the truncation fails, the
                // record counts as torn and is truncated at the next start.
                let _ = file.set_len(before);
            })
        })
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.append_file(name)?.sync_data()?;
        if self.is_new {
            self.folder.sync_all()?;
            self.is_new = false;
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: usize) -> Result<()> {
        let file = OpenOptions::new().write(true).open(self.path.join(name))?;
        file.set_len(len as u64)?;
        file.sync_all()
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let temporary = self.path.join(format!("{name}{TEMPORARY_SUFFIX}"));
        retry_while_full(|| {
            let mut file = File::create(&temporary)?;
            file.write_all(bytes)?;
            file.sync_all()
        })?;
        fs::rename(&temporary, self.path.join(name))?;
        self.folder.sync_all()
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        if matches!(&self.appending, Some((open, _)) if open == name) {
            self.appending = None;
        }
        match fs::remove_file(self.path.join(name)) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
            _ => self.folder.sync_all(),
        }
    }
}

/// Retries `write` while the disk is full. The log treats this like a disk that hangs: the voter
/// continues without durable writes until space is available again.
fn retry_while_full(mut write: impl FnMut() -> Result<()>) -> Result<()> {
    let mut is_reported = false;
    loop {
        match write() {
            Err(error) if error.kind() == ErrorKind::StorageFull => {
                if !is_reported {
                    log::warn!(
                        "consensus: the disk is full, writes are retried until space is available"
                    );
                    is_reported = true;
                }
                thread::sleep(Duration::from_millis(DISK_FULL_RETRY_MS));
            }
            outcome => return outcome,
        }
    }
}
