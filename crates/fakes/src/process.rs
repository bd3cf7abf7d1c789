//! A process that can stand still while its clocks run on.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

#[derive(Default)]
struct Still {
    on: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// Stops and resumes a [`Process`].
#[derive(Clone, Default)]
pub struct Freezer(Rc<Still>);

impl Freezer {
    pub fn freeze(&self) {
        self.0.on.set(true);
    }

    pub fn thaw(&self) {
        self.0.on.set(false);
        if let Some(waker) = self.0.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// All that a process does. While it is frozen nothing of it is run: its timers have long fired
/// and its sockets are full when it goes on.
pub struct Process {
    work: Pin<Box<dyn Future<Output = ()>>>,
    freezer: Freezer,
}

impl Process {
    pub fn new(work: impl Future<Output = ()> + 'static, freezer: Freezer) -> Self {
        Self { work: Box::pin(work), freezer }
    }
}

impl Future for Process {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if self.freezer.0.on.get() {
            *self.freezer.0.waker.borrow_mut() = Some(context.waker().clone());
            return Poll::Pending;
        }
        self.work.as_mut().poll(context)
    }
}
