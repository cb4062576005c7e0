//! Formats of the messages on links, as released builds speak them.
//!
//! Both sides of a link speak the format that the dialing side offers in its handshake. It offers the own
//! one first and an older one to a peer that has refused it. Frames are encoded in the own format and
//! translated at the link.
//!
//! Format 9 differs from format 10 in three points: the handshake has no address for other entry VMs, and
//! there are no frames about services that entry VMs cannot reach, and none that list entry VMs. Format 10
//! lacks the question whether a controller's state is in force, and the answer to it.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;

use super::Result;
use super::frame::Frame;
use super::frame::Hello;
use super::frame::KIND_BYTES;

/// Format of this build.
pub const LINK_FORMAT: u16 = 11;

/// Kind of the handshake, the same in all formats.
const HELLO_KIND: u32 = 0;
/// Position of the format in a handshake.
const HELLO_FORMAT_RANGE: std::ops::Range<usize> = KIND_BYTES..KIND_BYTES + 2;
/// Encoding of an address that is not given, which ends a handshake from format 10 on.
const NO_ADDRESS: u8 = 0;
/// Kinds of format 10 that format 9 lacks: services that are cut off, and lists of entry VMs.
const KINDS_SINCE_10: std::ops::Range<u32> = 18..20;
/// First kind of format 11 that format 10 lacks: questions about a controller's state.
const FIRST_KIND_SINCE_11: u32 = 23;
/// A kind that no format has.
const UNKNOWN_KIND: u32 = u32::MAX;

/// A format that this build speaks.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum LinkFormat {
    /// Without requests between entry VMs.
    V9,
    /// Without questions about a controller's state.
    V10,
    /// Format of this build.
    #[default]
    V11,
}

impl LinkFormat {
    /// The format with this number, if this build speaks it.
    pub fn from_number(number: u16) -> Option<Self> {
        match number {
            9 => Some(Self::V9),
            10 => Some(Self::V10),
            LINK_FORMAT => Some(Self::V11),
            _ => None,
        }
    }

    /// Number in the handshake.
    pub fn number(self) -> u16 {
        match self {
            Self::V9 => 9,
            Self::V10 => 10,
            Self::V11 => LINK_FORMAT,
        }
    }

    /// Encodes the own handshake.
    pub fn encode_hello(self, own: &Hello) -> Bytes {
        let hello = Hello {
            format: self.number(),
            relay_address: own.relay_address.filter(|_| self >= Self::V10),
            ..own.clone()
        };
        let mut bytes = Frame::Hello(hello).encode();
        if self == Self::V9 {
            bytes.truncate(bytes.len() - 1);
        }
        bytes
    }

    /// Whether controllers are asked about their state, and answer.
    pub fn has_state_questions(self) -> bool {
        self >= Self::V11
    }

    /// Translates an encoded frame of this build's format; `None` if this format has no such frame.
    pub fn translate(self, frame: Bytes) -> Option<Bytes> {
        let own = kind(&frame)?;
        let kind = self.kind_of(own)?;
        match kind == own {
            true => Some(frame),
            false => Some(with_kind(&frame, kind).freeze()),
        }
    }

    /// Decodes a frame of this format.
    ///
    /// # Errors
    /// The bytes are no frame of this format.
    pub fn decode(self, frame: &[u8]) -> Result<Frame> {
        let Some(kind) = kind(frame) else {
            return Frame::decode(frame);
        };
        let own = match self {
            Self::V9 if kind >= KINDS_SINCE_10.start => kind.saturating_add(count_since_10()),
            _ => kind,
        };
        if own == kind && self.kind_of(own).is_some() {
            return Frame::decode(frame);
        }
        let own = self.kind_of(own).map_or(UNKNOWN_KIND, |_| own);
        Frame::decode(&with_kind(frame, own))
    }

    /// Number in this format of a kind of frame of this build's format.
    fn kind_of(self, own: u32) -> Option<u32> {
        match self {
            Self::V11 => Some(own),
            _ if own >= FIRST_KIND_SINCE_11 => None,
            Self::V10 => Some(own),
            Self::V9 if KINDS_SINCE_10.contains(&own) => None,
            Self::V9 if own >= KINDS_SINCE_10.end => Some(own - count_since_10()),
            Self::V9 => Some(own),
        }
    }
}

/// Decodes the first frame of a peer, whatever its format.
///
/// # Errors
/// The bytes are no frame.
pub fn decode_first(frame: &[u8]) -> Result<Frame> {
    let format = frame.get(HELLO_FORMAT_RANGE);
    let number = format.and_then(|bytes| Some(u16::from_le_bytes(bytes.try_into().ok()?)));
    let is_v9 = kind(frame) == Some(HELLO_KIND) && number == Some(LinkFormat::V9.number());
    if !is_v9 {
        return Frame::decode(frame);
    }
    let mut bytes = frame.to_vec();
    bytes.push(NO_ADDRESS);
    Frame::decode(&bytes)
}

fn kind(frame: &[u8]) -> Option<u32> {
    frame.first_chunk().copied().map(u32::from_le_bytes)
}

fn count_since_10() -> u32 {
    KINDS_SINCE_10.end - KINDS_SINCE_10.start
}

fn with_kind(frame: &[u8], kind: u32) -> BytesMut {
    let mut bytes = BytesMut::with_capacity(frame.len());
    bytes.put_u32_le(kind);
    bytes.extend_from_slice(&frame[KIND_BYTES..]);
    bytes
}
