//! A listening HTTP server that can be closed hard, and opened again on the same port.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Handler, Router, Server};
use tokio::net::{TcpListener, TcpSocket, lookup_host};
use tokio::task::JoinHandle;

/// Locks a mutex whose holder cannot have left it half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Connections waiting to be accepted.
const BACKLOG: u32 = 1024;

/// Listens on a port. Accepted connections inherit `TCP_NODELAY`: otherwise a token waits for the
/// acknowledgement of the one before.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// A server on a fixed address.
pub(crate) struct HttpServer {
    address: SocketAddr,
    listener: Mutex<Option<TcpListener>>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl HttpServer {
    /// Takes the port; port 0 takes any free one.
    pub(crate) async fn bind(address: &str) -> io::Result<Self> {
        let address = lookup_host(address).await?.next();
        let listener = listen(address.ok_or(io::ErrorKind::InvalidInput)?)?;
        Ok(Self {
            address: listener.local_addr()?,
            listener: Mutex::new(Some(listener)),
            task: Mutex::new(None),
        })
    }

    /// The address that was taken.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves every path with `handler`; takes the port again if it was closed.
    pub(crate) fn open(&self, handler: impl Handler) -> io::Result<()> {
        let held = lock(&self.listener).take();
        let listener = match held {
            Some(listener) => listener,
            None => listen(self.address)?,
        };
        let acceptor = TcpAcceptor::try_from(listener)?;
        let router = Router::with_path("{**path}").goal(handler);
        let task = tokio::spawn(async move {
            // An accept loop that fails shows as a refused connection.
            let _ = Server::new(acceptor).try_serve(router).await;
        });
        *lock(&self.task) = Some(task);
        Ok(())
    }

    /// Begins to drop every connection and to free the port.
    pub(crate) fn abort(&self) {
        if let Some(task) = lock(&self.task).as_ref() {
            task.abort();
        }
    }

    /// Drops every connection and frees the port.
    pub(crate) async fn close(&self) {
        let task = lock(&self.task).take();
        let Some(task) = task else {
            return;
        };
        task.abort();
        // The only error is the cancellation itself.
        let _ = task.await;
    }
}
