//! Compares the outcomes that callers received with what the upstreams ran by their own counters.

use std::collections::BTreeMap;

use monsoonbank_standin::answer::prompt_hash;
use monsoonbank_standin::engine::EngineHandle;
use monsoonbank_standin::service::{ServiceHandle, body_hash};

use crate::caller::CallOutcome;
use crate::demo::callers::FinishedCall;
use crate::demo::fleet::Fleet;
use crate::request::RequestBody;
use crate::tally::ClassTally;

/// Work that the upstreams did for one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct WorkDone {
    runs: u64,
    /// Tokens of an engine, or runs of a plain service.
    units: u64,
}

/// Work of all upstreams by the hash of the prompt or body.
pub struct RunAudit {
    prompts: BTreeMap<u64, WorkDone>,
    bodies: BTreeMap<u64, WorkDone>,
}

impl RunAudit {
    /// Reads the counters of every upstream.
    pub fn read(fleet: &Fleet) -> Self {
        let mut prompts: BTreeMap<u64, WorkDone> = BTreeMap::new();
        for run in fleet.engines.values().flat_map(EngineHandle::runs) {
            let work = prompts.entry(run.prompt).or_default();
            work.runs += 1;
            work.units += u64::from(run.tokens);
        }
        let mut bodies: BTreeMap<u64, WorkDone> = BTreeMap::new();
        for (body, runs) in fleet
            .services
            .values()
            .flat_map(ServiceHandle::runs_by_body)
        {
            let work = bodies.entry(body).or_default();
            work.runs += u64::from(runs);
            work.units += u64::from(runs);
        }
        Self { prompts, bodies }
    }

    /// Adds the upstreams' work for a call, and any violation that it shows, to the tally of the
    /// call's class.
    pub fn check(&self, call: &FinishedCall, tally: &mut ClassTally) {
        let work = self.work(&call.body);
        tally.produced += work.units;
        if call.body.keyed() && work.runs > 1 {
            tally.counts.ran_twice += 1;
        }
        if call.result.outcome == CallOutcome::Refused && work.runs > 0 {
            tally.counts.refused_but_ran += 1;
        }
    }

    fn work(&self, body: &RequestBody) -> WorkDone {
        let found = match body {
            RequestBody::Completion(body) => self.prompts.get(&prompt_hash(&body.prompt)),
            RequestBody::Service(body) => self.bodies.get(&body_hash(&body.text)),
        };
        found.copied().unwrap_or_default()
    }
}
