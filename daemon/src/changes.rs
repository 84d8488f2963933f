//! Operators' changes of configuration, from the request until the kernel's answer.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use monsoonbank_kernel::config::DocumentList;
use monsoonbank_kernel::configuration::publish::{ChangeStatus, RequestTicket};
use monsoonbank_kernel::configuration::rollout::PublishProgress;
use monsoonbank_kernel::record::PublishResult;
use tokio::sync::oneshot;

/// Changes whose progress is kept for operators to look at.
const KEPT_CHANGES: usize = 256;

#[derive(Default)]
struct ChangeState {
    publishers: BTreeMap<RequestTicket, oneshot::Sender<PublishResult>>,
    readers: BTreeMap<RequestTicket, oneshot::Sender<DocumentList>>,
    ids: BTreeMap<RequestTicket, Box<str>>,
    statuses: BTreeMap<Box<str>, ChangeStatus>,
    kept: VecDeque<RequestTicket>,
}

/// Requests that wait for the kernel, and the changes that it answered last.
#[derive(Default)]
pub struct ChangeTable {
    sequence: AtomicU64,
    state: Mutex<ChangeState>,
}

impl ChangeTable {
    fn state(&self) -> MutexGuard<'_, ChangeState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ticket(&self) -> RequestTicket {
        RequestTicket(self.sequence.fetch_add(1, Ordering::Relaxed))
    }

    /// A ticket for a publisher, and where its answer will come.
    pub fn publish(&self) -> (RequestTicket, oneshot::Receiver<PublishResult>) {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.ticket();
        self.state().publishers.insert(ticket, sender);
        (ticket, receiver)
    }

    /// A ticket for a reader of all documents, and where they will come.
    pub fn read(&self) -> (RequestTicket, oneshot::Receiver<DocumentList>) {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.ticket();
        self.state().readers.insert(ticket, sender);
        (ticket, receiver)
    }

    /// The kernel answered a publisher.
    pub fn answered(&self, request: RequestTicket, id: Box<str>, result: PublishResult) {
        let mut state = self.state();
        if let Some(sender) = state.publishers.remove(&request) {
            // Whoever asked may be gone by now.
            let _ = sender.send(result.clone());
        }
        state.kept.push_back(request);
        state.ids.insert(request, id.clone());
        let status = state.statuses.entry(id).or_insert(ChangeStatus {
            result: PublishResult::Unavailable,
            progress: None,
        });
        status.result = result;
        state.forget_oldest();
    }

    /// The kernel told how far an accepted change has come.
    pub fn progressed(&self, request: RequestTicket, progress: PublishProgress) {
        let mut state = self.state();
        let Some(id) = state.ids.get(&request).cloned() else {
            return;
        };
        if let Some(status) = state.statuses.get_mut(&id) {
            status.progress = Some(progress);
        }
    }

    /// The kernel gave a reader the documents.
    pub fn documents(&self, request: RequestTicket, list: DocumentList) {
        if let Some(sender) = self.state().readers.remove(&request) {
            // Whoever asked may be gone by now.
            let _ = sender.send(list);
        }
    }

    /// What became of a change that this node answered lately.
    pub fn status(&self, id: &str) -> Option<ChangeStatus> {
        self.state().statuses.get(id).cloned()
    }
}

impl ChangeState {
    fn forget_oldest(&mut self) {
        while self.kept.len() > KEPT_CHANGES {
            let Some(request) = self.kept.pop_front() else {
                return;
            };
            let Some(id) = self.ids.remove(&request) else {
                continue;
            };
            if !self.ids.values().any(|kept| *kept == id) {
                self.statuses.remove(&id);
            }
        }
    }
}
