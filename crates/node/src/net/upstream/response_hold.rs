//! How long a response that has begun may be held, for all protocols of the endpoints.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use crate::net::response_commit::{BegunResponse, HoldDecision};
use crate::net::upload::Upload;
use crate::net::upstream::transport::AttemptDeadlines;

/// Interval at which the deadline of a request whose body is still being received is checked.
const UPLOAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The time for which a response may be held.
#[derive(Clone, Copy)]
pub struct ResponseHold<'a> {
    deadlines: AttemptDeadlines,
    /// The streamed part of the request, from whose last byte the deadline counts.
    upload: Option<&'a Upload>,
}

impl<'a> ResponseHold<'a> {
    /// Returns the time for the response to an attempt.
    #[must_use]
    pub fn new(deadlines: AttemptDeadlines, upload: Option<&'a Upload>) -> Self {
        Self { deadlines, upload }
    }

    /// Waits until the time of the attempt is over.
    pub async fn over(self) {
        let Some(upload) = self.upload else { return sleep_until(self.deadlines.deadline).await };
        loop {
            let now = Instant::now();
            let next_check = now + UPLOAD_CHECK_INTERVAL;
            match upload.deadline() {
                Some(deadline) if now >= deadline => return,
                Some(deadline) => sleep_until(deadline.min(next_check)).await,
                None => sleep_until(next_check).await,
            }
        }
    }

    /// Decides what happens to a response that has begun when the time of the attempt is over.
    #[must_use]
    pub fn decide_when_over(self) -> HoldDecision {
        self.begun(true).decide()
    }

    /// Decides what happens to a response of which more has arrived than may be held.
    #[must_use]
    pub fn decide_beyond_limit(self) -> HoldDecision {
        BegunResponse { exceeds_limit: true, ..self.begun(false) }.decide()
    }

    /// Decides what happens to a response for which there is no memory.
    #[must_use]
    pub fn decide_without_memory(self) -> HoldDecision {
        BegunResponse { has_memory: false, ..self.begun(false) }.decide()
    }

    fn begun(self, is_attempt_over: bool) -> BegunResponse {
        BegunResponse {
            exceeds_limit: false,
            has_memory: true,
            is_attempt_over,
            may_be_replaced: self.upload.is_none() && self.deadlines.is_replaceable(),
        }
    }
}
