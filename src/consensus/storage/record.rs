//! Record framing: a header with length, format version and checksums, followed by the content.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::consensus::message::FORMAT_VERSION;

/// Size of a header. Fields with their sizes in bytes: length of the content and the end marker
/// (4), version (2), zero (2), CRC-32 of the content and the end marker (4), CRC-32 of the
/// preceding header fields (4).
pub(super) const HEADER_BYTES: usize = 16;

/// Sector size of disks. A torn write leaves complete sectors unwritten.
const SECTOR_BYTES: usize = 512;

/// Last byte of each record. Not zero, so that an unwritten last sector is detected.
const END_MARKER: u8 = 0xa5;

/// Result of parsing a file at some offset.
#[derive(Debug)]
pub(super) enum Parsed<T> {
    /// A complete record and the offset after it.
    Record(T, usize),
    /// The end of the file.
    End,
    /// A record at the end of the file that was not written completely.
    Torn,
    /// A corrupt record.
    Corrupt(String),
    /// A record of another format version.
    Unsupported(u16),
}

/// Encodes `content` as a record.
pub(super) fn encode(content: &impl Serialize) -> Vec<u8> {
    let mut bytes = vec![0; HEADER_BYTES];
    bincode::serialize_into(&mut bytes, content).expect("a record can be written to memory");
    bytes.push(END_MARKER);
    let (header, content) = bytes.split_at_mut(HEADER_BYTES);
    let len = u32::try_from(content.len()).expect("a record is smaller than 4 GiB");
    header[0..4].copy_from_slice(&len.to_le_bytes());
    header[4..6].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    header[8..12].copy_from_slice(&crc32fast::hash(content).to_le_bytes());
    let header_crc = crc32fast::hash(&header[0..12]);
    header[12..16].copy_from_slice(&header_crc.to_le_bytes());
    bytes
}

/// Parses the record at `offset` of `file`.
pub(super) fn parse<T: DeserializeOwned>(file: &[u8], offset: usize) -> Parsed<T> {
    let rest = &file[offset..];
    if rest.is_empty() {
        return Parsed::End;
    }
    if rest.len() < HEADER_BYTES {
        return Parsed::Torn;
    }
    if crc32fast::hash(&rest[0..12]) != read_u32(rest, 12) {
        let is_unwritten = rest[HEADER_BYTES - 1..].iter().all(|byte| *byte == 0);
        return match is_unwritten {
            true => Parsed::Torn,
            false => Parsed::Corrupt("the header does not match its checksum".to_owned()),
        };
    }
    let version = u16::from_le_bytes([rest[4], rest[5]]);
    if version != FORMAT_VERSION {
        return Parsed::Unsupported(version);
    }
    parse_content(file, offset)
}

fn parse_content<T: DeserializeOwned>(file: &[u8], offset: usize) -> Parsed<T> {
    let rest = &file[offset..];
    let end = HEADER_BYTES + read_u32(rest, 0) as usize;
    let Some(content) = rest.get(HEADER_BYTES..end) else {
        return Parsed::Torn;
    };
    if crc32fast::hash(content) != read_u32(rest, 8) {
        let is_last = rest.len() == end;
        return match is_last && has_unwritten_sector(content, offset + HEADER_BYTES) {
            true => Parsed::Torn,
            false => Parsed::Corrupt("the content does not match its checksum".to_owned()),
        };
    }
    match bincode::deserialize(&content[..content.len() - 1]) {
        Ok(record) => Parsed::Record(record, offset + end),
        Err(error) => Parsed::Corrupt(error.to_string()),
    }
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

/// Whether a sector of `content`, which starts at byte `offset` of its file, is all zeros.
/// Distinguishes a torn write from a corrupt byte in a record that was synced and may have been
/// acknowledged.
fn has_unwritten_sector(content: &[u8], offset: usize) -> bool {
    let first = (SECTOR_BYTES - offset % SECTOR_BYTES).min(content.len());
    let (_, sectors) = content.split_at(first);
    let is_unwritten = |sector: &[u8]| sector.iter().all(|byte| *byte == 0);
    sectors.chunks(SECTOR_BYTES).any(is_unwritten)
}
