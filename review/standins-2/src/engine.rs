//! A server that can be stopped and started again at its address.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::http::{Handler, Wire};

/// A server at an address. Its process is imitated: while it is stopped nothing listens, and all of its
/// connections are closed.
pub struct Engine {
    pub address: SocketAddr,
    handler: Handler,
    life: Mutex<Option<Arc<Life>>>,
}

#[derive(Default)]
struct Life {
    over: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    accepting: AtomicUsize,
}

impl Engine {
    pub fn start(address: SocketAddr, handler: Handler) -> Self {
        let listener = TcpListener::bind(address)
            .unwrap_or_else(|error| crate::cannot_run(&format!("{address}: {error}")));
        let address = listener.local_addr().unwrap_or(address);
        let engine = Self { address, handler, life: Mutex::default() };
        engine.accept(listener);
        engine
    }

    fn accept(&self, listener: TcpListener) {
        let life = Arc::new(Life::default());
        let _ = listener.set_nonblocking(true);
        let handler = self.handler.clone();
        let own = life.clone();
        own.accepting.store(1, Ordering::SeqCst);
        std::thread::spawn(move || {
            while !own.over.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let (Ok(mut streams), Ok(copy)) = (own.streams.lock(), stream.try_clone()) {
                    streams.push(copy);
                }
                let handler = handler.clone();
                std::thread::spawn(move || {
                    let mut wire = Wire::new(stream);
                    while let Some(request) = wire.request() {
                        if !handler(&request, &mut wire.stream) {
                            return;
                        }
                    }
                });
            }
            drop(listener);
            own.accepting.store(0, Ordering::SeqCst);
        });
        *self.life.lock().unwrap_or_else(|poisoned| poisoned.into_inner()) = Some(life);
    }

    /// Stops it at once, as a crash does; false if it was stopped already.
    pub fn crash(&self) -> bool {
        let life = self.life.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).take();
        let Some(life) = life else { return false };
        life.over.store(true, Ordering::SeqCst);
        while life.accepting.load(Ordering::SeqCst) > 0 {
            std::thread::yield_now();
        }
        let mut streams = life.streams.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for stream in streams.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        true
    }

    /// Starts it again at the same address.
    pub fn restart(&self) {
        match TcpListener::bind(self.address) {
            Ok(listener) => self.accept(listener),
            Err(error) => crate::cannot_run(&format!("{}: {error}", self.address)),
        }
    }
}

/// Writes a small answer.
pub fn answer(stream: &mut TcpStream, status: &str, more: &str, body: &str) -> bool {
    let text = format!("HTTP/1.1 {status}\r\n{more}Content-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(text.as_bytes()).is_ok()
}
