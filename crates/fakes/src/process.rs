//! A process that can be paused while its clocks run on.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

#[derive(Default)]
struct FreezeState {
    frozen: Cell<bool>,
    /// Wakes the process that was polled while it was frozen.
    waker: RefCell<Option<Waker>>,
}

/// Stops and resumes a [`Process`].
#[derive(Clone, Default)]
pub struct Freezer(Rc<FreezeState>);

impl Freezer {
    /// Stops the process.
    pub fn freeze(&self) {
        self.0.frozen.set(true);
    }

    /// Lets the process go on.
    pub fn thaw(&self) {
        self.0.frozen.set(false);
        if let Some(waker) = self.0.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// All that a process does. While it is frozen nothing of it is run: its timers have long fired
/// and its sockets are full when it goes on.
pub struct Process {
    future: Pin<Box<dyn Future<Output = ()>>>,
    freezer: Freezer,
}

impl Process {
    /// A process that the freezer stops and resumes.
    pub fn new(future: impl Future<Output = ()> + 'static, freezer: Freezer) -> Self {
        Self { future: Box::pin(future), freezer }
    }
}

impl Future for Process {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.freezer.0.frozen.get() {
            *self.freezer.0.waker.borrow_mut() = Some(context.waker().clone());
            return Poll::Pending;
        }
        self.future.as_mut().poll(context)
    }
}
