//! Refusals of engines on connections that are used again.

use std::net::SocketAddr;
use std::sync::Arc;

use assert_matches::assert_matches;
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

/// Refusal of the request `id`, or of one that it does not name.
fn refusal(id: Option<&str>) -> String {
    let request = id.map_or(String::new(), |id| format!(",\"request_id\":\"{id}\""));
    let body = format!("{{\"error\":{{\"code\":\"overloaded\",\"run\":\"not_run\"}}{request}}}");
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Starts an engine that gives `answers`, one after the other on each connection.
async fn start_engine(answers: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, answers.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, answers: Vec<String>) {
    for answer in answers {
        let mut request = [0; 4_096];
        match stream.read(&mut request).await {
            Ok(length) if length > 0 => {}
            _ => return,
        }
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn call(engine: &HttpEngine, to: SocketAddr, id: &str) -> BackendError {
    let call = EngineCall {
        adapter: "base:frames@1".parse::<AdapterRef>().unwrap(),
        request_id: Arc::from(id),
        prompt: Arc::from("a pair of frames"),
        max_tokens: 4,
        priority: 0,
        vm: VmName::from("vm"),
    };
    engine.start(to, call).await.err().expect("a refusal")
}

/// Guards against an earlier refusal that an engine writes once more on a kept connection, while it
/// runs the next request.
#[tokio::test]
async fn a_refusal_of_another_request_is_no_promise() {
    let answers = vec![refusal(Some("first")), refusal(Some("first"))];
    let address = start_engine(answers).await;
    let engine = HttpEngine::new(Arc::new(NamedLimits::new(Clock::start())));
    let first = call(&engine, address, "first").await;
    assert_matches!(first, BackendError::NotStarted { .. });
    let second = call(&engine, address, "second").await;
    assert_matches!(second, BackendError::Lost { .. });
}

#[tokio::test]
async fn a_refusal_that_names_no_request_is_no_promise() {
    let address = start_engine(vec![refusal(None)]).await;
    let engine = HttpEngine::new(Arc::new(NamedLimits::new(Clock::start())));
    let refused = call(&engine, address, "first").await;
    assert_matches!(refused, BackendError::Lost { .. });
}
