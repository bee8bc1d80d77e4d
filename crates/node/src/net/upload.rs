//! Bodies of requests that are longer than what is held of them: the rest goes to the one server that it has begun to go to.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use pumicehead_slow_peer::{GiveUp, Pace, Rules, Side};

/// A client that has begun to send is waited for so long without a byte: bad ones are owed an end within seconds.
const SILENCE: Duration = Duration::from_millis(2_000);
/// Over this span ...
const WINDOW: Duration = Duration::from_secs(4);
/// ... 4 KiB a second: clients on slow lines have been seen to send 64 kB a second.
const LEAST: u64 = 16 << 10;
/// 32 MB at 64 kB a second take 500 s.
const LONGEST: Duration = Duration::from_secs(900);

/// Bounds on uploads.
pub const RULES: Rules =
    Rules { silence: SILENCE, window: WINDOW, least: LEAST, longest: LONGEST, ahead: WINDOW };

/// How far it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Nothing beyond the held part has been read.
    Held,
    /// It is bound to an attempt.
    Going,
    /// Its last byte has gone, then.
    Done(Instant),
    /// It broke off.
    Broken,
    /// It is longer than it may be.
    TooLong,
}

/// The part of a body that is not held.
pub struct Upload {
    rest: RefCell<Option<Incoming>>,
    pace: RefCell<Pace>,
    stage: Cell<Stage>,
    /// The whole body's stated length.
    length: Option<u64>,
    /// Bytes that are still allowed, where none is stated.
    allowed: Cell<u64>,
    /// How long the client waits from the last byte on.
    pub time_left: Duration,
}

impl Upload {
    /// The rest of a body of which some is held; at most `allowed` bytes more.
    pub fn new(rest: Incoming, length: Option<u64>, allowed: u64, left: Duration) -> Rc<Self> {
        Rc::new(Self {
            rest: RefCell::new(Some(rest)),
            pace: RefCell::new(Pace::new(RULES, Instant::now())),
            stage: Cell::new(Stage::Held),
            length,
            allowed: Cell::new(allowed),
            time_left: left,
        })
    }

    /// Whether it can't be sent again: some of it has gone.
    pub fn has_started(&self) -> bool {
        self.stage.get() != Stage::Held
    }

    /// When its last byte had gone.
    pub fn completed_at(&self) -> Option<Instant> {
        if let Stage::Done(at) = self.stage.get() { Some(at) } else { None }
    }

    /// Whether the client is to blame for its end.
    pub fn is_client_fault(&self) -> bool {
        matches!(self.stage.get(), Stage::Broken | Stage::TooLong)
    }

    /// Whether it is longer than it may be: no length was stated, or it would have been told so at once.
    pub fn is_too_long(&self) -> bool {
        self.stage.get() == Stage::TooLong
    }

    /// Whether it goes on: has begun, and has no end yet.
    pub fn is_in_progress(&self) -> bool {
        self.stage.get() == Stage::Going
    }

    /// Looks its pace over.
    ///
    /// # Errors
    /// Who is to be given up: the source is the client.
    pub fn check_pace(&self) -> Result<(), GiveUp> {
        if !self.is_in_progress() {
            return Ok(());
        }
        let looked = self.pace.borrow_mut().look(Instant::now());
        if matches!(looked, Err(GiveUp::Silent(Side::Source) | GiveUp::Slow(Side::Source) | GiveUp::TooLong))
        {
            self.stage.set(Stage::Broken);
        }
        looked
    }

    /// The whole body's stated length.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let mut rest = self.rest.borrow_mut();
        let Some(body) = rest.as_mut() else { return Poll::Ready(None) };
        if self.stage.get() == Stage::Held {
            self.stage.set(Stage::Going);
            *self.pace.borrow_mut() = Pace::new(RULES, Instant::now());
        }
        loop {
            let polled = Pin::new(&mut *body).poll_frame(cx);
            let now = Instant::now();
            let broken = |stage, fault: io::Error| {
                self.stage.set(stage);
                Poll::Ready(Some(Err(fault)))
            };
            return match polled {
                Poll::Pending => {
                    self.pace.borrow_mut().wants_more(now);
                    Poll::Pending
                }
                Poll::Ready(None) => {
                    self.stage.set(Stage::Done(now));
                    *rest = None;
                    Poll::Ready(None)
                }
                Poll::Ready(Some(Err(error))) => broken(Stage::Broken, io::Error::other(error)),
                Poll::Ready(Some(Ok(frame))) => {
                    let Ok(data) = frame.into_data() else { continue };
                    let Some(allowed) = self.allowed.get().checked_sub(data.len() as u64) else {
                        return broken(Stage::TooLong, io::ErrorKind::FileTooLarge.into());
                    };
                    self.allowed.set(allowed);
                    self.pace.borrow_mut().moved(data.len() as u64, now);
                    if body.is_end_stream() {
                        // Where the length is stated the library need not be asked again.
                        self.stage.set(Stage::Done(now));
                    }
                    Poll::Ready(Some(Ok(Frame::data(data))))
                }
            };
        }
    }
}

/// A body as it is written to a server.
pub struct OutgoingBody {
    held: Bytes,
    rest: Option<Rc<Upload>>,
    written: u64,
}

impl OutgoingBody {
    /// What is held, then what comes.
    pub fn new(held: Bytes, rest: Option<Rc<Upload>>) -> Self {
        Self { held, rest, written: 0 }
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if !self.held.is_empty() {
            let held = std::mem::take(&mut self.held);
            self.written += held.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(held))));
        }
        let polled = self.rest.as_ref().map_or(Poll::Ready(None), |rest| rest.poll(cx));
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            self.written += frame.data_ref().map_or(0, |data| data.len() as u64);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.held.is_empty() && self.rest.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.rest {
            None => SizeHint::with_exact(self.held.len() as u64),
            Some(rest) => rest.length.map_or_else(SizeHint::default, |length| {
                SizeHint::with_exact(length.saturating_sub(self.written))
            }),
        }
    }
}
