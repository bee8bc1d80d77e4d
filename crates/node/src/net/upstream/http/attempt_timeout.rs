//! Timeouts of attempts over HTTP and their outcomes.

use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;

use pumicehead_policy::AttemptOutcome;
use pumicehead_slow_peer::{PaceError, Side};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};

use super::attempt::{AttemptProgress, AttemptStage};
use crate::net::exchange::UpstreamRequest;
use crate::net::upload::Upload;

/// Interval at which an attempt with a streamed request body is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of turns of the event loop in which a response that has arrived is read after the deadline.
const MAX_READ_TURNS: usize = 8;

/// Waits until an attempt times out. One whose response has arrived by then, but was not read because the process was held up,
/// does not.
pub(super) async fn timed_out(
    request: &UpstreamRequest,
    deadline: Instant,
    progress: &AttemptProgress,
) -> AttemptOutcome {
    let mut outcome = timeout_outcome(request, deadline, &progress.stage).await;
    for _ in 0..MAX_READ_TURNS {
        if !progress.has_unread_response() {
            break;
        }
        yield_now().await;
        outcome = timeout_outcome(request, deadline, &progress.stage).await;
    }
    outcome
}

/// Waits until an attempt times out. A timeout before anything was written proves that the request was not executed.
/// For a streamed request body, the timeout counts from its last byte. A response that has begun does not time out here;
/// until it is streamed, a client that stops sending the body does.
pub(super) async fn timeout_outcome(
    request: &UpstreamRequest,
    deadline: Instant,
    stage: &Cell<AttemptStage>,
) -> AttemptOutcome {
    if request.upload.is_none() {
        // Nothing can move the deadline, so it is sufficient to wake up once, at the deadline.
        sleep_until(deadline).await;
    }
    loop {
        let has_response = match stage.get() {
            AttemptStage::Streaming => return pending().await,
            AttemptStage::Responding if request.upload.is_none() => return pending().await,
            stage => stage == AttemptStage::Responding,
        };
        let next_check = match started_upload(request) {
            Some(upload) => match check_upload(upload, has_response) {
                Ok(next_check) => next_check,
                Err(outcome) => return outcome,
            },
            None if has_response => Instant::now() + CHECK_INTERVAL,
            None if Instant::now() >= deadline => return outcome_at_deadline(stage.get()),
            // The request body may start to be streamed, or the response to arrive, in the meantime.
            None => deadline,
        };
        sleep_until(next_check.min(Instant::now() + CHECK_INTERVAL)).await;
    }
}

fn started_upload(request: &UpstreamRequest) -> Option<&Rc<Upload>> {
    request.upload.as_ref().filter(|upload| upload.has_started())
}

fn outcome_at_deadline(stage: AttemptStage) -> AttemptOutcome {
    if stage == AttemptStage::Written { AttemptOutcome::TimedOut } else { AttemptOutcome::NotSent }
}

/// Returns when a streamed request body has to be checked again. Once the response has begun, only
/// the pace of the body is checked.
///
/// # Errors
/// The outcome of the attempt, if it has timed out. A request is not executed before the last byte of its body is
/// written.
fn check_upload(upload: &Upload, has_response: bool) -> Result<Instant, AttemptOutcome> {
    let pace = upload.check_pace();
    let is_complete = upload.completed_at().is_some();
    match upload.deadline() {
        Some(deadline) if Instant::now() >= deadline && !has_response => {
            return Err(if is_complete { AttemptOutcome::TimedOut } else { AttemptOutcome::NotSent });
        }
        Some(deadline) if is_complete && !has_response => return Ok(deadline),
        _ => {}
    }
    match pace {
        Ok(()) => Ok(Instant::now() + CHECK_INTERVAL),
        Err(PaceError::Idle(Side::Sink) | PaceError::TooSlow(Side::Sink)) => {
            Err(AttemptOutcome::ConnectFailed)
        }
        Err(_) => Err(AttemptOutcome::NotSent),
    }
}
