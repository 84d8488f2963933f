//! HTTP server that can be closed abruptly and reopened on the same port.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Handler, Router, Server};
use tokio::net::{TcpListener, TcpSocket, lookup_host};
use tokio::task::JoinHandle;

/// Locks a mutex. A poisoned one is used anyway, as no holder can leave its value inconsistent.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Maximum number of connections in the listening socket's accept queue.
const BACKLOG: u32 = 1024;

/// Opens a listening socket. Accepted connections inherit `TCP_NODELAY`; without it each token of a
/// stream would wait for the TCP acknowledgement of the previous one.
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

/// An HTTP server on a fixed address.
pub(crate) struct HttpServer {
    address: SocketAddr,
    listener: Mutex<Option<TcpListener>>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl HttpServer {
    /// Binds an address; port 0 picks a free port.
    pub(crate) async fn bind(address: &str) -> io::Result<Self> {
        let address = lookup_host(address).await?.next();
        let listener = listen(address.ok_or(io::ErrorKind::InvalidInput)?)?;
        Ok(Self {
            address: listener.local_addr()?,
            listener: Mutex::new(Some(listener)),
            task: Mutex::new(None),
        })
    }

    /// Bound address, with the actual port.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves every path with `handler`. Rebinds the port if it was closed.
    pub(crate) fn open(&self, handler: impl Handler) -> io::Result<()> {
        let bound = lock(&self.listener).take();
        let listener = match bound {
            Some(listener) => listener,
            None => listen(self.address)?,
        };
        let acceptor = TcpAcceptor::try_from(listener)?;
        let router = Router::with_path("{**path}").goal(handler);
        let task = tokio::spawn(async move {
            // If the server fails, clients see refused connections.
            let _ = Server::new(acceptor).try_serve(router).await;
        });
        *lock(&self.task) = Some(task);
        Ok(())
    }

    /// Starts closing all connections and the port, without waiting for it.
    pub(crate) fn abort(&self) {
        if let Some(task) = lock(&self.task).as_ref() {
            task.abort();
        }
    }

    /// Closes all connections and the port.
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
