//! Tests of the plain service, the log and the host list over real sockets.

use std::time::Duration;

use monsoonbank_standin::faults::{HostFaults, LogFaults, ServiceFaults};
use monsoonbank_standin::hosts::{self, HostRole, HostRow, HostSettings};
use monsoonbank_standin::log::{self, LogHandle, LogSettings};
use monsoonbank_standin::service::{self, ServiceSettings};
use reqwest::Client;
use serde_json::json;

use crate::support::{LOOPBACK, get, post};

async fn start_log(settings: LogSettings) -> (LogHandle, String) {
    let log = log::start(LOOPBACK, settings).await.expect("a port");
    let url = format!("http://{}", log.address());
    (log, url)
}

fn row(name: &str) -> HostRow {
    HostRow {
        name: name.into(),
        zone: "a".into(),
        role: HostRole::Node,
        peer_address: "127.0.0.1:1".into(),
        caller_address: "127.0.0.1:2".into(),
        leaving: false,
    }
}

cases! {
    service_echoes_and_counts_runs_by_key => {
        let service = service::start(LOOPBACK, ServiceSettings::default()).await.unwrap();
        let url = format!("http://{}/lockers/7/release", service.address());
        let call = || Client::new().put(&url).header("idempotency-key", "k").body("open").send();
        let echo: serde_json::Value = call().await.unwrap().json().await.unwrap();
        assert_eq!(echo["path"], "/lockers/7/release");
        assert_eq!(echo["body"], "open");
        service.set_faults(ServiceFaults { lose_responses: 1, ..ServiceFaults::default() });
        call().await.unwrap_err();
        service.set_faults(ServiceFaults { refuse: true, ..ServiceFaults::default() });
        let refused = call().await.unwrap();
        assert_eq!((refused.status().as_u16(), &refused.headers()["x-not-run"]), (503, &"true".parse().unwrap()));
        assert_eq!(service.runs_by_key(), [("k".into(), 2)].into());
        assert_eq!(service.runs_by_body(), [(service::body_hash("open"), 2)].into());
    }

    log_keeps_order_and_reports_truncated_offsets => {
        let (_log, url) = start_log(LogSettings { retention: 3, ..LogSettings::default() }).await;
        for number in 0..5 {
            let answer = post(&format!("{url}/append"), "", &json!({ "n": number })).await.unwrap();
            assert_eq!(answer.json::<serde_json::Value>().await.unwrap(), json!({ "offset": number }));
        }
        let page = get(&format!("{url}/records?from=3&limit=1")).await;
        let first = json!({ "offset": 3, "record": { "n": 3 } });
        assert_eq!(page, json!({ "first": 2, "end": 5, "records": [first] }));
        let gone = reqwest::get(format!("{url}/records?from=1")).await.unwrap();
        assert_eq!(gone.status(), 410);
        assert_eq!(gone.json::<serde_json::Value>().await.unwrap(), json!({ "first": 2 }));
    }

    long_poll_ends_with_the_next_append => {
        let (log, url) = start_log(LogSettings::default()).await;
        let poll = tokio::spawn(async move { get(&format!("{url}/records?from=0&wait_ms=30000")).await });
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert!(!poll.is_finished());
        log.append(json!("a"));
        assert_eq!(poll.await.unwrap()["end"], 1);
    }

    append_with_a_lost_response_takes_effect_and_one_during_an_outage_does_not => {
        let (log, url) = start_log(LogSettings::default()).await;
        let append = format!("{url}/append");
        log.set_faults(LogFaults { lose_responses: 1, ..LogFaults::default() });
        post(&append, "", &json!("stands")).await.unwrap_err();
        log.set_faults(LogFaults { down: true, ..LogFaults::default() });
        post(&append, "", &json!("nothing")).await.unwrap_err();
        let records = log.records();
        assert_eq!((records.len(), &records[0].record), (1, &json!("stands")));
    }

    appends_above_the_rate_are_refused => {
        let settings = LogSettings { appends_per_second: 0.001, ..LogSettings::default() };
        let (log, url) = start_log(settings).await;
        let append = format!("{url}/append");
        assert_eq!(post(&append, "", &json!(1)).await.unwrap().status(), 200);
        assert_eq!(post(&append, "", &json!(2)).await.unwrap().status(), 429);
        assert_eq!(log.records().len(), 1);
    }

    host_list_lags_and_can_be_stale => {
        let lag = Duration::from_millis(100);
        let hosts = hosts::start(LOOPBACK, HostSettings { lag }).await.unwrap();
        let url = format!("http://{}/hosts", hosts.address());
        hosts.set_rows(vec![row("one")]);
        assert_eq!(get(&url).await[0]["name"], "one");
        hosts.set_faults(HostFaults { stale: true, ..HostFaults::default() });
        hosts.set_rows(vec![row("two")]);
        tokio::time::sleep(2 * lag).await;
        assert_eq!(get(&url).await[0]["name"], "one");
        hosts.set_faults(HostFaults::default());
        assert_eq!(get(&url).await[0]["name"], "two");
    }
}
