//! Timer of callers' connections, which follows the idle timeout of the configuration in force.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use hyper::rt::Sleep;
use hyper::rt::Timer;
use tokio::sync::watch;
use tokio::time::timeout_at;

use super::context::Gateway;
use super::deployment::CallerLimits;

/// Extra idle time beyond the limit, so that callers close their connections first.
const IDLE_MARGIN_MS: u64 = 5_000;

/// Time after which a connection is closed that waits for the head of a request.
pub(super) fn idle_time(limits: &CallerLimits) -> Duration {
    Duration::from_millis(limits.idle_timeout_ms.saturating_add(IDLE_MARGIN_MS))
}

impl Gateway {
    /// Limits of the configuration in force, which open connections follow.
    pub(super) fn caller_limits(&self) -> watch::Receiver<CallerLimits> {
        self.caller_limits.subscribe()
    }

    /// Takes over the limits of the configuration in force.
    pub(super) fn update_caller_limits(&self) {
        let Some(deployment) = self.deployment() else {
            return;
        };
        self.caller_limits.send_if_modified(|limits| {
            let is_new = *limits != deployment.limits;
            *limits = deployment.limits;
            is_new
        });
    }
}

/// Ends each wait of a connection for a request's head by the limit of that moment, whatever it was when the
/// wait began.
#[derive(Clone, Debug)]
pub(super) struct IdleTimer {
    limits: watch::Receiver<CallerLimits>,
}

impl IdleTimer {
    pub(super) fn new(limits: watch::Receiver<CallerLimits>) -> Self {
        Self { limits }
    }

    fn begin_wait(&self) -> Pin<Box<dyn Sleep>> {
        let wait = wait_idle(self.limits.clone());
        Box::pin(IdleWait(Box::pin(wait)))
    }
}

impl Timer for IdleTimer {
    fn sleep(&self, _: Duration) -> Pin<Box<dyn Sleep>> {
        self.begin_wait()
    }

    fn sleep_until(&self, _: Instant) -> Pin<Box<dyn Sleep>> {
        self.begin_wait()
    }
}

/// Returns once the limit in force has passed since the call.
async fn wait_idle(mut limits: watch::Receiver<CallerLimits>) {
    let begun = tokio::time::Instant::now();
    loop {
        let idle = idle_time(&limits.borrow_and_update());
        // Beyond the range of the clock, only a lower limit ends the wait.
        let changed = match begun.checked_add(idle) {
            Some(until) => timeout_at(until, limits.changed()).await,
            None => Ok(limits.changed().await),
        };
        if !matches!(changed, Ok(Ok(()))) {
            return;
        }
    }
}

struct IdleWait(Pin<Box<dyn Future<Output = ()> + Send + Sync>>);

impl Future for IdleWait {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(context)
    }
}

impl Sleep for IdleWait {}
