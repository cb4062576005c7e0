//! Accepts connections from a listener.

use std::time::Duration;

use log::debug;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Delay after a failure to accept, such as a lack of file descriptors.
const RETRY_DELAY_MS: u64 = 20;

/// Waits for the next connection. Retries after failures to accept, since a listener survives them.
pub async fn next_connection(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                debug!("failed to accept a connection: {error}");
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
            }
        }
    }
}
