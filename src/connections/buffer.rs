//! Buffer of a body: one contiguous piece of memory, without a copy when it grows.

use std::io;

use memmap2::MmapMut;

/// Bytes of a body that every request may hold. Larger bodies reserve what they need.
pub const SMALL_BYTES: usize = 16 * 1024;

/// Bytes of a body as they arrive. Large ones have pages of their own, which take memory only once they are
/// written and go back to the system when the body is dropped.
#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    Pages { pages: MmapMut, used_bytes: usize },
}

/// A body that grows up to a limit.
#[derive(Debug)]
pub struct BodyBuffer {
    storage: Storage,
    limit_bytes: usize,
}

impl BodyBuffer {
    /// Creates an empty buffer for at most `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            storage: Storage::Heap(Vec::new()),
            limit_bytes,
        }
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.as_ref().len()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes, at most up to the limit.
    ///
    /// # Errors
    /// The system has no memory.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let needed_bytes = self.len() + bytes.len();
        debug_assert!(needed_bytes <= self.limit_bytes);
        if let Storage::Heap(heap) = &mut self.storage {
            if needed_bytes <= SMALL_BYTES {
                heap.extend_from_slice(bytes);
                return Ok(());
            }
            let mut pages = MmapMut::map_anon(self.limit_bytes)?;
            pages[..heap.len()].copy_from_slice(heap);
            let used_bytes = heap.len();
            self.storage = Storage::Pages { pages, used_bytes };
        }
        if let Storage::Pages { pages, used_bytes } = &mut self.storage {
            pages[*used_bytes..needed_bytes].copy_from_slice(bytes);
            *used_bytes = needed_bytes;
        }
        Ok(())
    }
}

impl AsRef<[u8]> for BodyBuffer {
    fn as_ref(&self) -> &[u8] {
        match &self.storage {
            Storage::Heap(heap) => heap,
            Storage::Pages { pages, used_bytes } => &pages[..*used_bytes],
        }
    }
}
