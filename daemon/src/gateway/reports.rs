//! Sends usage reports as a duty. The lease is checked immediately before each call.

use std::rc::Rc;
use std::time::Duration;

use monsoonbank_kernel::clock::Clock;
use monsoonbank_kernel::gateway::duty::CALL_FLIGHT;
use monsoonbank_kernel::gateway::reports::FinalWindow;
use monsoonbank_platform::duties::{DutyClient, DutyCredentials, DutyError, UsageReport};

use crate::gateway::Gateway;
use crate::gateway::decisions::StoreDecision;
use crate::gateway::duties::DutyState;
use crate::gateway::settings::DutyName;

/// Interval at which a holder checks what is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// The same interval at a node that does not hold the duties.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit for an answer. A call that is still in flight then is reset, well before another
/// holder may begin.
pub const CALL_TIMEOUT: Duration = CALL_FLIGHT.saturating_sub(Duration::from_millis(200));

/// Starts to send usage reports, if the settings list duties.
pub fn start(gateway: &Rc<Gateway>) {
    if gateway.duties.is_some() {
        tokio::task::spawn_local(report(gateway.clone()));
    }
}

async fn report(gateway: Rc<Gateway>) {
    let Some(duties) = &gateway.duties else {
        return;
    };
    let mut client = DutyClient::new(duties.settings.address);
    loop {
        let unix_now = gateway.unix_now();
        duties.ledger.borrow_mut().expire(unix_now);
        let missed = {
            let ledger = duties.ledger.borrow();
            duties.reports.borrow_mut().expire(&ledger, unix_now)
        };
        for window in missed {
            if !duties.is_holder() {
                // Another node may have reported this window.
                continue;
            }
            gateway.metrics.duty_calls_missed.inc();
            gateway
                .decisions
                .record(StoreDecision::UsageMissed { window });
        }
        if duties.token().is_none() {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        }
        let due = duties.reports.borrow().to_send(unix_now);
        if let Some(due) = due.filter(|_| duties.has(DutyName::Usage)) {
            send(&gateway, duties, &mut client, due).await;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

/// Ensures that there is a connection, then checks the lease. Returns `None` if no call may be sent
/// now. The caller must send the call without any other wait.
pub async fn begin_call<'a>(
    gateway: &'a Gateway,
    duties: &DutyState,
    client: &mut DutyClient,
) -> Option<(DutyCredentials<'a>, Result<(), DutyError>)> {
    if !duties.try_admit_call(gateway.now()) {
        return None;
    }
    let connected = client.connect().await;
    let credentials = DutyCredentials {
        holder: &gateway.settings.name,
        token: duties.token()?,
    };
    Some((credentials, connected))
}

async fn send(gateway: &Gateway, duties: &DutyState, client: &mut DutyClient, due: FinalWindow) {
    let Some((credentials, connected)) = begin_call(gateway, duties, client).await else {
        return;
    };
    let report = UsageReport {
        window_id: due.window,
        counts: &due.counts,
    };
    let outcome = match connected {
        Ok(()) => client.report(credentials, &report, CALL_TIMEOUT).await,
        Err(error) => Err(error),
    };
    let error = outcome.as_ref().err().map(DutyError::to_string);
    gateway.decisions.record(StoreDecision::UsageReported {
        window: due.window,
        workspaces: due.counts.len(),
        calls: due.counts.values().sum(),
        token: credentials.token,
        error: error.as_deref(),
    });
    match outcome {
        Ok(()) => duties.reports.borrow_mut().accepted(due.window),
        Err(error) => {
            if error.is_conflict() {
                duties.lease.borrow_mut().fenced(duties.clock.now());
            }
            let unix_now = gateway.unix_now();
            duties.reports.borrow_mut().unanswered(due.window, unix_now);
        }
    }
}
