//! Boundaries of server-sent events.

use http::HeaderMap;
use http::HeaderValue;
use http::header::CONTENT_TYPE;
use medlarlift::event_stream::EventBuffer;
use medlarlift::event_stream::is_broken_off;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::prop_assert_eq;
use proptest::proptest;
use proptest::sample::Index;

fn stream(events: usize, line_end: &str) -> String {
    let event = |number: usize| format!("id: {number}{line_end}data: x{line_end}{line_end}");
    (1..=events).map(event).collect()
}

proptest! {
    /// Guards against events that are split, lost or doubled when they arrive in any pieces, with
    /// any end of line.
    #[test]
    fn events_are_passed_on_whole(
        events in 1_usize..5,
        line_end in prop::sample::select(vec!["\n", "\r\n", "\r"]),
        splits in prop::collection::vec(any::<Index>(), 0..6),
        end in any::<Index>(),
    ) {
        let whole = stream(events, line_end);
        let end = end.index(whole.len() + 1);
        let mut cuts: Vec<usize> = splits.iter().map(|split| split.index(end + 1)).collect();
        cuts.extend([0, end]);
        cuts.sort_unstable();
        let mut buffer = EventBuffer::default();
        let (mut passed, mut count) = (Vec::new(), 0);
        for pair in cuts.windows(2) {
            if let Some(complete) = buffer.push(&whole.as_bytes()[pair[0]..pair[1]]) {
                passed.extend_from_slice(&complete.bytes);
                count += complete.count;
            }
        }
        let event_bytes = whole.len() / events;
        // The LF after the CR that ends an event is optional for the event to be complete.
        let complete = match line_end {
            "\r\n" => (end + 1) / event_bytes,
            _ => end / event_bytes,
        };
        prop_assert_eq!(count, complete as u64);
        prop_assert_eq!(passed.len(), (complete * event_bytes).min(end));
        prop_assert_eq!(buffer.partial_bytes(), end - passed.len());
        prop_assert_eq!(&passed[..], &whole.as_bytes()[..passed.len()]);
    }
}

/// Guards against bodies of other types that count as broken off because they hold no event.
#[test]
fn only_streams_of_events_are_checked() {
    let mut headers = HeaderMap::new();
    assert!(!is_broken_off(&headers, b"data: x"));
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    assert!(!is_broken_off(&headers, b"{}"));
    let events = HeaderValue::from_static("text/event-stream; charset=utf-8");
    headers.insert(CONTENT_TYPE, events);
    assert!(is_broken_off(&headers, b"data: x\n"));
    assert!(!is_broken_off(&headers, b"data: x\n\n"));
    assert!(!is_broken_off(&headers, b""));
}
