//! A process that can be paused while its clocks run on.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

#[derive(Default)]
struct PauseState {
    is_paused: Cell<bool>,
    /// Wakes the process that was polled while it was frozen.
    waker: RefCell<Option<Waker>>,
}

/// Stops and resumes a [`PausableProcess`].
#[derive(Clone, Default)]
pub struct PauseHandle(Rc<PauseState>);

impl PauseHandle {
    /// Stops the process.
    pub fn pause(&self) {
        self.0.is_paused.set(true);
    }

    /// Lets the process go on.
    pub fn resume(&self) {
        self.0.is_paused.set(false);
        if let Some(waker) = self.0.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// All that a process does. While it is frozen nothing of it is run: its timers have long fired
/// and its sockets are full when it goes on.
pub struct PausableProcess {
    future: Pin<Box<dyn Future<Output = ()>>>,
    pause_handle: PauseHandle,
}

impl PausableProcess {
    /// A process that the freezer stops and resumes.
    pub fn new(future: impl Future<Output = ()> + 'static, pause_handle: PauseHandle) -> Self {
        Self { future: Box::pin(future), pause_handle }
    }
}

impl Future for PausableProcess {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.pause_handle.0.is_paused.get() {
            *self.pause_handle.0.waker.borrow_mut() = Some(context.waker().clone());
            return Poll::Pending;
        }
        self.future.as_mut().poll(context)
    }
}
