//! A process that can be paused while time continues to pass.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

#[derive(Default)]
struct PauseState {
    is_paused: Cell<bool>,
    /// Wakes the process if it was polled while it was paused.
    waker: RefCell<Option<Waker>>,
}

/// Pauses and resumes a [`PausableProcess`].
#[derive(Clone, Default)]
pub struct PauseHandle(Rc<PauseState>);

impl PauseHandle {
    /// Pauses the process.
    pub fn pause(&self) {
        self.0.is_paused.set(true);
    }

    /// Resumes the process.
    pub fn resume(&self) {
        self.0.is_paused.set(false);
        if let Some(waker) = self.0.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// A process that runs one future. While the process is paused, the future is not polled: when the
/// process resumes, its timers have expired and its sockets have buffered input.
pub struct PausableProcess {
    future: Pin<Box<dyn Future<Output = ()>>>,
    pause_handle: PauseHandle,
}

impl PausableProcess {
    /// Creates a process that `pause_handle` pauses and resumes.
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
