//! Idempotency keys: minted by one run of one node, which alone may run their calls, once.
