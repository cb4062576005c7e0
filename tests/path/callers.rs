//! Callers of several VMs, each VM with one caller.

use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use medlarlift::standin::client::Call;
use medlarlift::standin::client::Reply;
use tokio::time::sleep;

use crate::deployment::Deployment;

/// VMs with a caller.
pub const VMS: usize = 3;
/// Pause between two requests of one caller.
const CALLER_PAUSE: Duration = Duration::from_millis(40);
/// Longest time for an answer to a caller.
const ANSWER: Duration = Duration::from_secs(20);

/// Sends calls to all VMs for `time`.
pub async fn load(
    deployment: &Deployment,
    time: Duration,
    call: impl Fn(usize, usize) -> Call,
) -> Vec<Reply> {
    let until = Instant::now() + time;
    let callers = (0..VMS).map(async |vm| {
        let mut replies = Vec::new();
        while Instant::now() < until {
            let call = call(vm, replies.len());
            let reply = deployment
                .client
                .send_within(call, ANSWER.as_millis() as u64);
            replies.push(reply.await.expect("a VM answers every request"));
            sleep(CALLER_PAUSE).await;
        }
        replies
    });
    join_all(callers).await.into_iter().flatten().collect()
}
