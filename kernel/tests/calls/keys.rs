//! Idempotency keys: one spelling, no forgery, at most one run.

use std::time::Duration;

use monsoonbank_kernel::call::{CallOutcome, RefusalReason};
use monsoonbank_kernel::event::Event;
use monsoonbank_kernel::ids::{CallId, WorkspaceId};
use monsoonbank_kernel::keys::outcomes::{
    CallOrigin, KeyDecision, KeyOutcomes, MAX_WORKSPACE_ANSWERS, MAX_WORKSPACE_KEYS,
};
use monsoonbank_kernel::keys::{KEY_LIFETIME, KeyChecker, KeyError, KeyMint, KeyParts, RequestKey};
use monsoonbank_kernel::plugin::NodeProfile;
use proptest::prelude::*;

use crate::fleet::{Fleet, TOKENS};

const WHOLE: CallOutcome = CallOutcome::Whole { tokens: TOKENS };
const WRONG_KEY: CallOutcome = CallOutcome::NotRun {
    reason: RefusalReason::Key,
    retry_after: None,
};

/// A key of node 1 and the calls that use it, in order of arrival. Each case states the outcome of
/// every call and the total number of runs.
struct KeyCase {
    fleet: Fleet,
    key: RequestKey,
    calls: Vec<CallId>,
}

impl KeyCase {
    fn new() -> Self {
        let fleet = Fleet::new(3, 4);
        let key = fleet.mint(1);
        let calls = Vec::new();
        Self { fleet, key, calls }
    }

    fn arrive(&mut self, node: usize) {
        let key = Some(self.key.clone());
        self.calls.push(self.fleet.arrive(node, false, key));
        self.fleet.deliver_all();
    }

    fn complete(&mut self) {
        self.fleet.complete(0);
        self.fleet.deliver_all();
    }
}

macro_rules! key_cases {
    ($($name:ident: $steps:expr => [$($outcome:expr),*], $runs:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let mut case = KeyCase::new();
                let steps: fn(&mut KeyCase) = $steps;
                steps(&mut case);
                case.fleet.settle();
                case.fleet.assert_no_open_state();
                let outcomes = |call| case.fleet.outcomes[call].clone();
                let ended: Vec<_> = case.calls.iter().map(outcomes).collect();
                assert_eq!(ended, [$(vec![$outcome]),*]);
                assert_eq!(case.fleet.ran.values().sum::<u32>(), $runs);
            }
        )*
    };
}

key_cases! {
    own_key: |case| case.arrive(1) => [WHOLE], 1;
    relayed_key: |case| case.arrive(0) => [WHOLE], 1;
    repeat_while_running: |case| {
        case.arrive(1);
        case.arrive(0);
        assert_eq!(case.fleet.attached.get(&case.calls[1]), Some(&case.calls[0]));
    } => [WHOLE, WHOLE], 1;
    repeat_afterwards: |case| {
        case.arrive(0);
        case.complete();
        case.arrive(2);
        assert_eq!(case.fleet.attached.get(&case.calls[1]), Some(&case.calls[0]));
    } => [WHOLE, WHOLE], 1;
    cut_off_caller_fetches_the_response: |case| {
        case.arrive(0);
        case.fleet.cut(0, 1);
        case.complete();
        case.fleet.heal();
        case.arrive(2);
    } => [CallOutcome::Unknown, WHOLE], 1;
    caller_leaves_and_fetches_the_response: |case| {
        case.arrive(1);
        let call = case.calls[0];
        case.fleet.handle(1, Event::CallCancelled(call));
        case.arrive(1);
    } => [WHOLE, WHOLE], 1;
    outcome_of_a_break_is_retained: |case| {
        case.arrive(1);
        case.fleet.start(0);
        case.fleet.break_off(0);
        case.fleet.deliver_all();
        case.arrive(0);
    } => [CallOutcome::Unknown, CallOutcome::Unknown], 1;
    other_request: |case| {
        case.arrive(1);
        case.key.fingerprint = 9;
        case.arrive(0);
    } => [WHOLE, WRONG_KEY], 1;
    minter_restarted: |case| {
        case.arrive(1);
        case.complete();
        case.fleet.kill(1);
        case.fleet.restart(1);
        case.arrive(0);
        case.arrive(1);
    } => [WHOLE, CallOutcome::Unknown, CallOutcome::Unknown], 1;
    minter_dead: |case| {
        case.fleet.kill(1);
        case.fleet.mark_dead();
        case.arrive(0);
    } => [CallOutcome::Unknown], 0;
    minter_dies_while_relayed: |case| {
        case.arrive(0);
        case.fleet.kill(1);
    } => [CallOutcome::Unknown], 0;
    key_expires: |case| {
        case.fleet.pass(KEY_LIFETIME + Duration::from_secs(2));
        case.arrive(1);
    } => [CallOutcome::Unknown], 0;
    outcome_expires: |case| {
        case.arrive(1);
        case.complete();
        case.fleet.pass(KEY_LIFETIME + Duration::from_secs(2));
        case.arrive(1);
    } => [WHOLE, CallOutcome::Unknown], 1;
    relay_duplicated: |case| {
        let key = Some(case.key.clone());
        case.calls.push(case.fleet.arrive(0, false, key));
        let frame = case.fleet.wire[0].clone();
        case.fleet.deliver_all();
        case.complete();
        case.fleet.wire.push(frame);
    } => [WHOLE], 1;
    relay_lost: |case| {
        let key = Some(case.key.clone());
        case.calls.push(case.fleet.arrive(0, false, key));
        case.fleet.wire.clear();
    } => [CallOutcome::Unknown], 0;
    no_key_at_all: |case| {
        case.key = RequestKey::from("please");
        case.arrive(1);
    } => [WRONG_KEY], 0;
}

/// A key may be used again after an attempt that did not run.
#[test]
fn key_is_free_after_not_run() {
    let mut case = KeyCase::new();
    case.fleet
        .handle(1, Event::OwnersChanged(std::sync::Arc::default()));
    case.arrive(0);
    case.fleet.settle();
    let call = case.calls[0];
    assert!(matches!(
        case.fleet.outcomes[&call][..],
        [CallOutcome::NotRun { .. }]
    ));
    case.fleet.kill(2);
    case.fleet.mark_dead();
    case.arrive(0);
    case.fleet.settle();
    assert_eq!(case.fleet.outcomes[&case.calls[1]], [WHOLE]);
    assert_eq!(case.fleet.ran.values().sum::<u32>(), 1);
}

/// A relayed call that did not run is not run by a duplicate of its message.
#[test]
fn relay_duplicated_after_not_run() {
    let mut case = KeyCase::new();
    case.fleet
        .handle(1, Event::OwnersChanged(std::sync::Arc::default()));
    let key = Some(case.key.clone());
    let call = case.fleet.arrive(0, false, key);
    let frame = case.fleet.wire[0].clone();
    case.fleet.settle();
    assert!(matches!(
        case.fleet.outcomes[&call][..],
        [CallOutcome::NotRun { .. }]
    ));
    case.fleet.kill(2);
    case.fleet.mark_dead();
    case.fleet.wire.push(frame);
    case.fleet.settle();
    assert!(case.fleet.ran.is_empty());
}

fn profile() -> NodeProfile {
    Fleet::new(1, 1).profile(0)
}

#[test]
fn key_identifies_its_minter() {
    let profile = profile();
    let mint = KeyMint::new(&profile);
    let now = Duration::from_secs(77);
    let first = KeyParts::parse(&mint.mint(WorkspaceId(7), now)).unwrap();
    let second = KeyParts::parse(&mint.clone().mint(WorkspaceId(7), now)).unwrap();
    assert_eq!(
        (first.node, first.incarnation),
        (profile.node, profile.incarnation)
    );
    assert_eq!((first.sequence, second.sequence, first.second), (1, 2, 77));
    let checker = KeyChecker::new(&profile);
    assert_eq!(checker.check(&first, WorkspaceId(7)), Ok(()));
    assert_eq!(checker.check(&first, WorkspaceId(8)), Err(KeyError::Forged));
}

#[test]
fn key_of_another_secret_or_run_is_refused() {
    let profile = profile();
    let text = KeyMint::new(&profile).mint(WorkspaceId(7), Duration::ZERO);
    let parts = KeyParts::parse(&text).unwrap();
    let mut other = profile.clone();
    other.secret[0] ^= 1;
    let checked = KeyChecker::new(&other).check(&parts, WorkspaceId(7));
    assert_eq!(checked, Err(KeyError::Forged));
    let mut later = profile;
    later.incarnation.0 += 1;
    let checked = KeyChecker::new(&later).check(&parts, WorkspaceId(7));
    assert_eq!(checked, Err(KeyError::OtherMinter));
}

/// The key outcomes of a minter, and a mint for one of its workspaces.
struct KeyFixture {
    outcomes: KeyOutcomes,
    mint: KeyMint,
    workspace: WorkspaceId,
}

impl KeyFixture {
    fn new() -> Self {
        Self {
            outcomes: KeyOutcomes::default(),
            mint: KeyMint::new(&profile()),
            workspace: WorkspaceId(7),
        }
    }

    fn mint(&self) -> KeyParts {
        KeyParts::parse(&self.mint.mint(self.workspace, Duration::ZERO)).unwrap()
    }

    fn admit(&mut self, key: &KeyParts, sequence: u64) -> KeyDecision {
        let (origin, now) = (CallOrigin::Caller, Duration::ZERO);
        self.outcomes
            .admit(key, self.workspace, 0, call(sequence), origin, now)
    }

    /// A key whose call has run.
    fn used(&mut self, sequence: u64) -> KeyParts {
        let key = self.mint();
        assert_eq!(self.admit(&key, sequence), KeyDecision::Run);
        self.outcomes
            .record_outcome(key.sequence, WHOLE, Duration::ZERO);
        key
    }
}

fn call(sequence: u64) -> CallId {
    let NodeProfile {
        node, incarnation, ..
    } = profile();
    CallId {
        node,
        incarnation,
        sequence,
    }
}

/// The oldest response is discarded first; the outcome of its call then is `unknown`.
#[test]
fn answers_are_bounded() {
    let mut fixture = KeyFixture::new();
    let first = fixture.used(0);
    for sequence in 1..=MAX_WORKSPACE_ANSWERS as u64 {
        fixture.used(sequence);
    }
    assert_eq!(fixture.outcomes.expire(Duration::ZERO), [call(0)]);
    let (original, outcome) = (call(0), CallOutcome::Unknown);
    let repeat = KeyDecision::Repeat { original, outcome };
    assert_eq!(fixture.admit(&first, u64::MAX), repeat);
}

/// A key that was evicted never runs again, nor does one minted before it; the keys of other
/// workspaces are retained.
#[test]
fn keys_are_bounded() {
    let mut fixture = KeyFixture::new();
    let other = fixture.used(0);
    fixture.workspace = WorkspaceId(8);
    let unused = fixture.mint();
    let first = fixture.used(1);
    for sequence in 2..=1 + MAX_WORKSPACE_KEYS as u64 {
        fixture.used(sequence);
    }
    assert_eq!(fixture.outcomes.len(), MAX_WORKSPACE_KEYS + 1);
    assert_eq!(fixture.admit(&first, 0), KeyDecision::Expired);
    assert_eq!(fixture.admit(&unused, 0), KeyDecision::Expired);
    let (original, outcome) = (call(0), WHOLE);
    fixture.workspace = WorkspaceId(7);
    let repeat = KeyDecision::Repeat { original, outcome };
    assert_eq!(fixture.admit(&other, 9), repeat);
}

proptest! {
    #[test]
    fn any_text_is_rejected_without_panic(text in ".{0,120}") {
        prop_assert!(KeyParts::parse(&text).is_err());
    }

    #[test]
    fn changed_key_is_refused(place in 0usize..70, byte in 0u8..128) {
        let profile = profile();
        let mint = KeyMint::new(&profile);
        let text = mint.mint(WorkspaceId(7), Duration::from_mins(5));
        let mut bytes = text.as_bytes().to_vec();
        let place = place % bytes.len();
        bytes[place] = byte;
        let changed = String::from_utf8(bytes).unwrap();
        let checker = KeyChecker::new(&profile);
        let accepted = KeyParts::parse(&changed)
            .and_then(|parts| checker.check(&parts, WorkspaceId(7)))
            .is_ok();
        prop_assert_eq!(accepted, changed == *text);
    }

    #[test]
    fn malformed_keys_are_rejected_without_panic(
        text in "mb1(\\.[0-9a-fA-F+ ]{0,18}){3,6}(\\.[0-9a-f]{30,34})?"
    ) {
        let checker = KeyChecker::new(&profile());
        let checked = KeyParts::parse(&text).and_then(|parts| checker.check(&parts, WorkspaceId(7)));
        prop_assert!(checked.is_err());
    }
}
