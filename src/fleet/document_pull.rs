//! Which controller an entry VM asks for the configuration that a status names.

use crate::types::MonoMs;

/// Time after which a document is requested on another link.
const PULL_RETRY_MS: u64 = 700;
/// Time after which it is requested again on the same one, so that another link comes first.
const SAME_LINK_RETRY_MS: u64 = 1_400;

/// A request for the document.
#[derive(Clone, Copy, Debug)]
struct Request {
    link: u64,
    version: u64,
    retry: MonoMs,
    same_link_retry: MonoMs,
}

/// The request for the document that is in progress.
#[derive(Debug, Default)]
pub struct DocumentPull {
    request: Option<Request>,
}

impl DocumentPull {
    /// Whether to request the document on `link`, whose controller names `version`, while `received` is the
    /// newest one that has arrived. If so, the request counts as sent.
    pub fn begin(&mut self, link: u64, version: u64, received: u64, now: MonoMs) -> bool {
        let is_in_progress = self.request.is_some_and(|request| {
            let retry = match request.link == link {
                true => request.same_link_retry,
                false => request.retry,
            };
            request.version >= version && now < retry
        });
        if version <= received || is_in_progress {
            return false;
        }
        self.request = Some(Request {
            link,
            version,
            retry: now.plus(PULL_RETRY_MS),
            same_link_retry: now.plus(SAME_LINK_RETRY_MS),
        });
        true
    }

    /// Notes that a link has closed, which ends a request on it.
    pub fn close(&mut self, link: u64) {
        self.request = self.request.filter(|request| request.link != link);
    }
}
