//! Threads of the duties, each with a runtime of its own.

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

/// Phases of the daemon's life, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Normal service.
    Run,
    /// Accept no new work and finish running requests.
    Drain,
    /// No caller is connected any more: finish requests of other instances.
    Settle,
    /// End at once.
    Stop,
}

/// Receives the daemon's phase.
pub type Watch = watch::Receiver<Phase>;

/// Called when a duty's thread panics.
static ON_PANIC: OnceLock<fn(&'static str)> = OnceLock::new();

/// Sets the function that is called with a duty's name when its thread panics;
/// only the first call has an effect.
///
/// The other duties keep running after a panic. The instance would therefore
/// still accept callers although other instances consider it dead or it can no
/// longer serve requests, and no supervisor would restart it. The daemon's
/// process exits for this reason.
pub fn on_panic(callback: fn(&'static str)) {
    let _ = ON_PANIC.set(callback);
}

/// Reports a panic when the thread unwinds.
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

/// Thread of one duty.
#[derive(Debug)]
pub struct Duty {
    thread: JoinHandle<()>,
}

impl Duty {
    /// Starts a thread called `name` that runs the future from `make` to
    /// completion.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be created.
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

    /// Waits until the thread ends.
    pub fn join(self) {
        let _ = self.thread.join();
    }
}

/// Waits until the daemon is in `phase` or a later one.
pub async fn wait_for(watch: &mut Watch, phase: Phase) {
    // An error means that the `Daemon` was dropped, which is an end as well.
    let _ = watch.wait_for(|now| *now >= phase).await;
}

/// Keeps one timer in the thread's timer wheel, so that the wheel is never
/// empty.
///
/// `ntex-util` 3.6.1 sets the time of an empty wheel to the maximum if the
/// wheel is polled a second time, which happens under load when the thread is
/// preempted for a millisecond. The next timer then overflows: the duty panics
/// in a build with overflow checks and never gets a timer event in one without.
/// Such an instance looks dead to the others, and its callers wait until their
/// deadlines.
async fn occupy_timer_wheel() {
    const INTERVAL: Seconds = Seconds(3_600);
    loop {
        sleep(INTERVAL).await;
    }
}
