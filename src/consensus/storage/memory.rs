//! In-memory disk with fault injection. Tests use it to crash a voter at any operation.

use std::collections::BTreeMap;
use std::io::Error;
use std::io::Result;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use super::disk::Disk;

/// Sector size of the simulated disk.
const SECTOR_BYTES: usize = 512;

/// Files in memory. Clones share them, so that a test can corrupt what a store has written.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    files: BTreeMap<String, Content>,
    operations_left: Option<u64>,
}

/// Content of a file. Bytes from offset `synced` on are lost or torn by a crash.
#[derive(Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: usize,
    is_durable: bool,
}

impl MemoryDisk {
    /// Lets `count` more modifications succeed. Later ones fail, an append after writing its bytes.
    pub fn fail_after(&self, count: u64) {
        self.lock().operations_left = Some(count);
    }

    /// Simulates a power loss. Of the bytes that are not synced, each file keeps at most
    /// `keep_bytes`. With `is_extended` it keeps its length, and the sectors after those bytes read
    /// as zeros. Afterwards the disk works again.
    pub fn crash(&self, keep_bytes: usize, is_extended: bool) {
        let mut state = self.lock();
        state.operations_left = None;
        let is_kept = |file: &Content| file.is_durable || keep_bytes > 0 || is_extended;
        state.files.retain(|_, file| is_kept(file));
        for file in state.files.values_mut() {
            let len = file.bytes.len();
            let mut kept = len.min(file.synced + keep_bytes);
            if is_extended && kept < len {
                kept = (kept / SECTOR_BYTES * SECTOR_BYTES).max(file.synced);
            }
            file.bytes.truncate(kept);
            if is_extended {
                file.bytes.resize(len, 0);
            }
            file.synced = file.bytes.len();
            file.is_durable = true;
        }
    }

    /// Flips one bit of a file. Returns whether the file has that byte.
    pub fn flip_bit(&self, name: &str, byte: usize, bit: u8) -> bool {
        let mut state = self.lock();
        let found = state.files.get_mut(name);
        let found = found.and_then(|file| file.bytes.get_mut(byte));
        if let Some(found) = found {
            *found ^= 1 << (bit % 8);
            return true;
        }
        false
    }

    /// Removes all files.
    pub fn wipe(&self) {
        *self.lock() = State::default();
    }

    /// Name and size of each file.
    pub fn sizes(&self) -> Vec<(String, usize)> {
        let state = self.lock();
        let sizes = state.files.iter();
        sizes
            .map(|(name, file)| (name.clone(), file.bytes.len()))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn count_operation(&mut self) -> Result<()> {
        match &mut self.operations_left {
            Some(0) => Err(Error::other("the disk has failed")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn file(&mut self, name: &str) -> Result<&mut Content> {
        let found = self.files.get_mut(name);
        found.ok_or_else(|| Error::from(std::io::ErrorKind::NotFound))
    }
}

impl Disk for MemoryDisk {
    fn names(&mut self) -> Result<Vec<String>> {
        Ok(self.lock().files.keys().cloned().collect())
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>> {
        Ok(self.lock().file(name)?.bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let mut state = self.lock();
        let file = state.files.entry(name.to_owned()).or_default();
        file.bytes.extend_from_slice(bytes);
        state.count_operation()
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        let file = state.file(name)?;
        file.synced = file.bytes.len();
        file.is_durable = true;
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: usize) -> Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        let file = state.file(name)?;
        file.bytes.truncate(len);
        file.synced = file.synced.min(len);
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        let file = Content {
            bytes: bytes.to_vec(),
            synced: bytes.len(),
            is_durable: true,
        };
        state.files.insert(name.to_owned(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        let mut state = self.lock();
        state.count_operation()?;
        state.files.remove(name);
        Ok(())
    }
}
