//! Tests of the next step after an attempt.

use monsoonbank_kernel::gateway::outcome::{AttemptEnd, CallHistory, NextStep, next_step};
use monsoonbank_kernel::gateway::rules::CallSafety::{AtMostOnce, Idempotent};

/// Each case gives the end of an attempt, the call's safety, whether the call may have run, whether
/// it may be retried, and the next step.
macro_rules! steps {
    ($($name:ident: $end:ident, $safety:ident, $ran:literal, $may_retry:literal => $next:ident;)*) => {$(
        #[test]
        fn $name() {
            let history = CallHistory { sends: 1, may_have_run: $ran };
            assert_eq!(next_step(AttemptEnd::$end, $safety, history, $may_retry), NextStep::$next);
        }
    )*};
}

steps! {
    a_call_that_was_not_sent_goes_elsewhere: NotSent, AtMostOnce, false, true => Retry;
    a_call_that_was_withheld_goes_elsewhere: Withheld, AtMostOnce, false, true => Retry;
    a_refused_call_goes_elsewhere: Refused, AtMostOnce, false, true => Retry;
    a_refused_call_without_retry_has_not_run: Refused, AtMostOnce, false, false => NotRun;
    a_lost_answer_is_never_sent_again: Lost, AtMostOnce, true, true => Unknown;
    a_failure_is_never_sent_again: Failed, AtMostOnce, true, true => PassOn;
    a_refusal_after_a_loss_does_not_make_it_not_run: Refused, AtMostOnce, true, true => Unknown;
    an_idempotent_call_is_sent_again: Lost, Idempotent, true, true => Retry;
    an_idempotent_call_without_retry_is_unknown: Lost, Idempotent, true, false => Unknown;
    an_idempotent_failure_without_retry_is_forwarded: Failed, Idempotent, true, false => PassOn;
    a_refusal_after_a_run_is_unknown: Refused, Idempotent, true, false => Unknown;
    a_moved_call_has_not_run: Moved, AtMostOnce, false, false => NotRun;
}
