//! Takes connections of a listener.

use std::time::Duration;

use log::debug;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause after a failure to accept, such as a lack of descriptors.
const RETRY_DELAY_MS: u64 = 20;

/// The next connection. Failures to accept are waited out, since a listener outlives them.
pub async fn next_connection(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                debug!("a connection could not be accepted: {error}");
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}
