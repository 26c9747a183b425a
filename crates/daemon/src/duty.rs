//! A thread for a duty, with a runtime of its own.

use std::{
    io,
    sync::{OnceLock, mpsc},
    thread::{self, JoinHandle},
};

use ntex::{
    rt::System,
    time::{Seconds, sleep},
};
use tokio::sync::watch;

/// Tells duties to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serve.
    Run,
    /// Take nothing new and finish what runs.
    Drain,
    /// This instance's callers are gone: finish what runs for other instances.
    Settle,
    /// Leave now.
    Stop,
}

/// The daemon's phase, as each duty sees it.
pub type Watch = watch::Receiver<Phase>;

/// What is done when a duty's thread ends by a fault.
static ON_PANIC: OnceLock<fn(&'static str)> = OnceLock::new();

/// Has `callback` called with a duty's name when its thread ends by a fault; the first
/// call counts.
///
/// The other duties would go on: the instance looks dead to others or serves
/// nobody, takes callers all the same, and nobody starts it anew. So the daemon's
/// process leaves.
pub fn on_panic(callback: fn(&'static str)) {
    let _ = ON_PANIC.set(callback);
}

/// Tells of a thread that ends by a fault.
struct PanicGuard(&'static str);

impl Drop for PanicGuard {
    fn drop(&mut self) {
        if thread::panicking()
            && let Some(callback) = ON_PANIC.get()
        {
            callback(self.0);
        }
    }
}

/// A duty's thread.
#[derive(Debug)]
pub struct Duty {
    thread: JoinHandle<()>,
}

impl Duty {
    /// Starts a thread called `name` that runs what `make` makes to its end.
    ///
    /// # Errors
    ///
    /// Fails when the system gives no thread.
    pub fn spawn<F>(
        name: &'static str,
        make: impl FnOnce() -> F + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = ()> + 'static,
    {
        let (started, starting) = mpsc::channel();
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let _guard = PanicGuard(name);
                let system = System::new(name, ntex::rt::DefaultRuntime);
                system.block_on(async move {
                    ntex::rt::spawn(occupy_timer_wheel());
                    let _ = started.send(());
                    make().await;
                });
            })?;
        let _ = starting.recv();
        Ok(Self { thread })
    }

    /// Waits for the duty's end.
    pub fn join(self) {
        let _ = self.thread.join();
    }
}

/// Waits until the daemon is in `phase` or a later one.
pub async fn wait_for(watch: &mut Watch, phase: Phase) {
    // An error means that the daemon's handle is gone, which is an end as well.
    let _ = watch.wait_for(|now| *now >= phase).await;
}

/// Keeps the thread's timer wheel from ever being empty.
///
/// `ntex-util` 3.6.1 takes an empty wheel that is polled once more for one whose
/// time has run to the largest number there is. The next timer then overflows,
/// which ends the duty in a build that checks, and never rings in one that does
/// not: its instance looks dead to all others, and its callers wait to their
/// deadlines. The second poll is a matter of a thread that is put aside for a
/// millisecond, so it comes under load.
async fn occupy_timer_wheel() {
    const INTERVAL: Seconds = Seconds(3_600);
    loop {
        sleep(INTERVAL).await;
    }
}
