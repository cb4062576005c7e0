//! Bodies that are read within a budget.

use std::time::Duration;

use assert_matches::assert_matches;
use bytes::Bytes;
use futures::StreamExt;
use futures::stream;
use http_body::Frame;
use http_body_util::Full;
use http_body_util::StreamBody;
use medlarlift::connections::body::BodyError;
use medlarlift::connections::body::BodyReader;
use medlarlift::connections::budget::ByteBudget;
use tokio::time::Instant;

const MIB: usize = 1024 * 1024;
const LIMIT_BYTES: usize = 2 * MIB;
/// A budget with room for one body of the largest size.
const BUDGET_BYTES: usize = 5 * MIB;
const PATIENCE: Duration = Duration::from_secs(8);

fn reader(budget: &ByteBudget) -> BodyReader<'_> {
    BodyReader {
        budget,
        limit_bytes: LIMIT_BYTES,
        deadline: Instant::now() + PATIENCE,
        may_evict: true,
    }
}

fn whole(bytes: usize) -> Full<Bytes> {
    Full::new(Bytes::from(vec![b'x'; bytes]))
}

/// A body without an announced length whose `bytes` come in frames of `frame_bytes`, and which does not end.
fn endless(
    bytes: usize,
    frame_bytes: usize,
) -> impl http_body::Body<Data = Bytes, Error = std::io::Error> + Unpin + Send {
    let frame = Bytes::from(vec![b'x'; frame_bytes]);
    let frames = stream::iter(0..bytes / frame_bytes);
    let frames = frames.map(move |_| Ok(Frame::data(frame.clone())));
    StreamBody::new(Box::pin(frames.chain(stream::pending())))
}

#[tokio::test]
async fn a_body_up_to_the_limit_is_read_and_its_bytes_are_reserved_until_it_is_dropped() {
    let budget = ByteBudget::new(BUDGET_BYTES);
    for bytes in [0, 1, 16 * 1024, 16 * 1024 + 1, LIMIT_BYTES] {
        let read = reader(&budget).read(whole(bytes)).await.unwrap();
        let read = read.into_bytes();
        assert_eq!(read, vec![b'x'; bytes]);
        let copy = read.clone();
        drop(read);
        let reserved = if bytes <= 16 * 1024 { 0 } else { bytes };
        assert_eq!(budget.used_bytes(), reserved);
        drop(copy);
        assert_eq!(budget.used_bytes(), 0);
    }
}

/// Guards against a body that is kept although its announced length is over the limit.
#[tokio::test]
async fn a_body_announced_over_the_limit_is_refused_at_once() {
    let budget = ByteBudget::new(BUDGET_BYTES);
    let read = reader(&budget).read(whole(LIMIT_BYTES + 1)).await;
    assert_matches!(read.map(|_| ()), Err(BodyError::TooLarge));
}

#[tokio::test]
async fn chunks_over_the_limit_are_refused() {
    let budget = ByteBudget::new(BUDGET_BYTES);
    let body = endless(LIMIT_BYTES + MIB, 64 * 1024);
    let read = reader(&budget).read(body).await;
    assert_matches!(read.map(|_| ()), Err(BodyError::TooLarge));
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against large bodies that are refused although their memory is free soon.
#[tokio::test(start_paused = true)]
async fn a_body_waits_for_the_memory_of_one_that_stands_still() {
    let budget = ByteBudget::new(BUDGET_BYTES);
    let stalled_budget = budget.clone();
    let stalled = tokio::spawn(async move {
        let body = endless(MIB, 1_024);
        reader(&stalled_budget).read(body).await.map(|_| ())
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(budget.used_bytes(), LIMIT_BYTES);
    let read = reader(&budget).read(whole(LIMIT_BYTES)).await;
    assert_matches!(read.map(|_| ()), Ok(()));
    assert_matches!(stalled.await.unwrap(), Err(BodyError::NoMemory));
    assert_eq!((budget.used_bytes(), budget.waiting()), (0, 0));
    assert_eq!(budget.evicted(), 1);
}

/// Guards against a body that waits for memory until its caller is gone, and is then counted as too slow.
#[tokio::test(start_paused = true)]
async fn a_body_without_memory_in_time_is_refused_for_want_of_it() {
    let budget = ByteBudget::new(BUDGET_BYTES);
    let held = reader(&budget).read(whole(LIMIT_BYTES)).await.unwrap();
    let held = held.into_bytes();
    let read = reader(&budget).read(whole(LIMIT_BYTES)).await;
    assert_matches!(read.map(|_| ()), Err(BodyError::NoMemory));
    assert_eq!(budget.waiting(), 0);
    drop(held);
    assert_eq!(budget.used_bytes(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_small_body_needs_no_memory_of_others() {
    let budget = ByteBudget::new(BUDGET_BYTES);
    let held = reader(&budget).read(whole(LIMIT_BYTES)).await.unwrap();
    let read = reader(&budget).read(whole(1_000)).await.unwrap();
    assert_eq!(read.into_bytes().len(), 1_000);
    drop(held);
}

#[tokio::test(start_paused = true)]
async fn a_body_that_does_not_end_is_too_slow() {
    let budget = ByteBudget::new(BUDGET_BYTES);
    let read = reader(&budget).read(endless(MIB, 1_024)).await;
    assert_matches!(read.map(|_| ()), Err(BodyError::TooSlow));
    assert_eq!(budget.used_bytes(), 0);
}

/// Guards against a body of unknown length that reserves the largest size for a few bytes.
#[tokio::test(start_paused = true)]
async fn a_body_of_unknown_length_reserves_a_middle_size_first() {
    let budget = ByteBudget::new(BUDGET_BYTES);
    let reading = budget.clone();
    let read = tokio::spawn(async move {
        let body = endless(100 * 1024, 1_024);
        reader(&reading).read(body).await.map(|_| ())
    });
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(budget.used_bytes(), 256 * 1024);
    read.abort();
}

#[tokio::test]
async fn a_body_that_breaks_is_broken() {
    let budget = ByteBudget::new(BUDGET_BYTES);
    let frames = stream::iter([
        Ok(Frame::data(Bytes::from_static(b"abc"))),
        Err(std::io::Error::other("reset")),
    ]);
    let read = reader(&budget).read(StreamBody::new(frames)).await;
    assert_matches!(read.map(|_| ()), Err(BodyError::Broken));
}
