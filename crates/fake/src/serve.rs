//! A thread that serves one listener, with one task per connection.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::mpsc,
    thread::{self, JoinHandle},
};

use ntex::{SharedCfg, io::Io, rt::System};
use tokio::sync::oneshot;

/// A loopback listener that serves connections until it is dropped.
#[derive(Debug)]
pub(crate) struct Listener {
    pub(crate) address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// Binds an ephemeral port and runs `handle` for each connection.
    pub(crate) fn spawn<F>(
        name: &str,
        handle: impl Fn(Io) -> F + Send + 'static,
    ) -> io::Result<Self>
    where
        F: Future<Output = ()> + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let (ready_tx, ready) = mpsc::channel();
        let title = name.to_owned();
        let thread = thread::Builder::new().name(title.clone()).spawn(move || {
            let system = System::new(&title, ntex::rt::DefaultRuntime);
            system.block_on(async move {
                let listener = tokio::net::TcpListener::from_std(listener);
                let _ = ready_tx.send(());
                let Ok(listener) = listener else { return };
                tokio::select! {
                    () = accept(listener, handle) => {}
                    _ = stopped => {}
                }
            });
        })?;
        let _ = ready.recv();
        Ok(Self {
            address,
            stop: Some(stop),
            thread: Some(thread),
        })
    }
}

async fn accept<F>(listener: tokio::net::TcpListener, handle: impl Fn(Io) -> F)
where
    F: Future<Output = ()> + 'static,
{
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let io = stream
            .into_std()
            .and_then(|it| ntex::rt::from_tcp_stream(it, SharedCfg::default()));
        if let Ok(io) = io {
            ntex::rt::spawn(handle(io));
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
