//! Configuration changes by operators: requests that wait for the kernel's answer, and the status of
//! recent changes.

use std::collections::{BTreeMap, VecDeque};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use monsoonbank_kernel::config::DocumentList;
use monsoonbank_kernel::configuration::publish::{ChangeStatus, RequestTicket};
use monsoonbank_kernel::configuration::rollout::PublishProgress;
use monsoonbank_kernel::record::PublishResult;
use tokio::sync::oneshot;

/// Maximum number of publish requests whose changes' status is kept.
const MAX_CHANGES: usize = 256;

#[derive(Default)]
struct ChangeState {
    publishers: BTreeMap<RequestTicket, oneshot::Sender<PublishResult>>,
    readers: BTreeMap<RequestTicket, oneshot::Sender<DocumentList>>,
    ids: BTreeMap<RequestTicket, Box<str>>,
    statuses: BTreeMap<Box<str>, ChangeStatus>,
    recent: VecDeque<RequestTicket>,
}

/// Requests that wait for the kernel's answer, and the status of recent changes.
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

    /// Adds a request to publish a change. Returns its ticket and the receiver of the result.
    pub fn add_publisher(&self) -> (RequestTicket, oneshot::Receiver<PublishResult>) {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.ticket();
        self.state().publishers.insert(ticket, sender);
        (ticket, receiver)
    }

    /// Adds a request to read all documents. Returns its ticket and the receiver of the documents.
    pub fn add_reader(&self) -> (RequestTicket, oneshot::Receiver<DocumentList>) {
        let (sender, receiver) = oneshot::channel();
        let ticket = self.ticket();
        self.state().readers.insert(ticket, sender);
        (ticket, receiver)
    }

    /// Ends a request to publish the change `id` with the kernel's result.
    pub fn finish_publish(&self, request: RequestTicket, id: Box<str>, result: PublishResult) {
        let mut state = self.state();
        if let Some(sender) = state.publishers.remove(&request) {
            // Sending fails if the requester has given up, which is no error.
            let _ = sender.send(result.clone());
        }
        state.recent.push_back(request);
        state.ids.insert(request, id.clone());
        let status = state.statuses.entry(id).or_insert(ChangeStatus {
            result: PublishResult::Unavailable,
            progress: None,
        });
        status.result = result;
        state.evict_oldest();
    }

    /// Records how many nodes an accepted change has reached, if its status is still kept.
    pub fn update_progress(&self, request: RequestTicket, progress: PublishProgress) {
        let mut state = self.state();
        let Some(id) = state.ids.get(&request).cloned() else {
            return;
        };
        if let Some(status) = state.statuses.get_mut(&id) {
            status.progress = Some(progress);
        }
    }

    /// Ends a request to read all documents.
    pub fn finish_read(&self, request: RequestTicket, list: DocumentList) {
        if let Some(sender) = self.state().readers.remove(&request) {
            // Sending fails if the requester has given up, which is no error.
            let _ = sender.send(list);
        }
    }

    /// Status of a recent change; `None` if this node did not publish it or no longer keeps its status.
    pub fn status(&self, id: &str) -> Option<ChangeStatus> {
        self.state().statuses.get(id).cloned()
    }
}

impl ChangeState {
    fn evict_oldest(&mut self) {
        while self.recent.len() > MAX_CHANGES {
            let Some(request) = self.recent.pop_front() else {
                return;
            };
            let Some(id) = self.ids.remove(&request) else {
                continue;
            };
            if !self.ids.values().any(|other| *other == id) {
                self.statuses.remove(&id);
            }
        }
    }
}
