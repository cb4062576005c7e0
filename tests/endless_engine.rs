//! Engines that send bytes without end in place of an answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use assert_matches::assert_matches;
use futures::StreamExt;
use medlarlift::backend::BackendError;
use medlarlift::backend::Engine;
use medlarlift::backend::EngineCall;
use medlarlift::backend::HttpEngine;
use medlarlift::backend::NamedLimits;
use medlarlift::types::AdapterRef;
use medlarlift::types::Clock;
use medlarlift::types::VmName;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bytes after which the stand-in holds the connection without sending more.
const MAX_SENT_BYTES: usize = 64 * 1024 * 1024;
/// Bytes that an event may take, with the buffers of both sockets.
const MAX_TAKEN_BYTES: usize = 16 * 1024 * 1024;
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";

/// Starts an engine that answers each request with `start` and then with `part` until the caller closes.
/// Returns the number of bytes that it has sent.
async fn start_engine(start: String, part: &'static [u8]) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&sent);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, start.clone(), part, Arc::clone(&counted)));
        }
    });
    (address, sent)
}

async fn serve(mut stream: TcpStream, start: String, part: &[u8], sent: Arc<AtomicUsize>) {
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await;
    let _ = stream.write_all(start.as_bytes()).await;
    let block = part.repeat(64 * 1024 / part.len());
    while sent.load(Ordering::Relaxed) < MAX_SENT_BYTES {
        if stream.write_all(&block).await.is_err() {
            return;
        }
        sent.fetch_add(block.len(), Ordering::Relaxed);
    }
    // The caller has to close the connection.
    let _ = stream.read(&mut request).await;
}

async fn first_error(address: SocketAddr) -> BackendError {
    let engine = HttpEngine::new(Arc::new(NamedLimits::new(Clock::start())));
    let call = EngineCall {
        adapter: "base:frames@1".parse::<AdapterRef>().unwrap(),
        request_id: Arc::from("first"),
        prompt: Arc::from("a pair of frames"),
        max_tokens: 4,
        priority: 0,
        vm: VmName::from("vm"),
    };
    let answered = async {
        let mut tokens = match engine.start(address, call).await {
            Ok(tokens) => tokens,
            Err(error) => return error,
        };
        loop {
            match tokens.next().await {
                Some(Ok(_)) => {}
                Some(Err(error)) => return error,
                None => panic!("the stream has an end"),
            }
        }
    };
    timeout(CALL_TIMEOUT, answered).await.expect("an error")
}

async fn assert_bounded(start: String, part: &'static [u8]) {
    let (address, sent) = start_engine(start, part).await;
    assert_matches!(first_error(address).await, BackendError::Lost { .. });
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= MAX_TAKEN_BYTES, "{sent} bytes were read");
}

/// Guards against a VM that runs out of memory by an engine's event without an end, in one line.
#[tokio::test]
async fn an_endless_line_of_a_stream_ends_it() {
    assert_bounded(format!("{STREAM_HEAD}\r\ndata: "), b"x").await;
}

/// The same for an event of endless lines.
#[tokio::test]
async fn endless_lines_of_an_event_end_the_stream() {
    assert_bounded(format!("{STREAM_HEAD}\r\n"), b"data: x\n").await;
}

/// The same for the head of an answer.
#[tokio::test]
async fn an_endless_head_of_an_answer_fails_the_call() {
    assert_bounded(STREAM_HEAD.to_owned(), b"Server: x\r\n").await;
    assert_bounded(format!("{STREAM_HEAD}Server: "), b"x").await;
}
