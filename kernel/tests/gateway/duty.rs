//! Tests of the lease on duties with a log that loses answers, is unavailable, applies appends late
//! and is restored from older copies.

use std::collections::BTreeMap;
use std::time::Duration;

use monsoonbank_kernel::gateway::duty::{CALL_FLIGHT, DutyClaim, DutyLease, DutyRecord, DutyTopic};
use monsoonbank_kernel::ids::{Incarnation, NodeId};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const LENGTH: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(100);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn just_before(at: Duration) -> Duration {
    at.saturating_sub(ms(1))
}

/// Topic of the lease.
#[derive(Debug, Default)]
struct LeaseLog {
    era: u64,
    records: Vec<DutyRecord>,
    is_down: bool,
}

impl LeaseLog {
    fn topic(&self) -> DutyTopic {
        let end = self.records.len() as u64;
        let newest = self.records.last().cloned();
        DutyTopic {
            era: self.era,
            end,
            newest: newest.map(|record| (end - 1, record)),
        }
    }

    fn append(&mut self, claim: &DutyClaim) -> bool {
        let fits = claim.at == self.records.len() as u64;
        if fits {
            self.records.push(claim.record.clone());
        }
        fits
    }

    /// Restores an older copy without the newest records, which begins an era.
    fn roll_back(&mut self, lost: usize) {
        let kept = self.records.len().saturating_sub(lost);
        self.records.truncate(kept);
        self.era += 1;
    }
}

fn lease(name: &str, incarnation: u64) -> DutyLease {
    DutyLease::new(NodeId::named(name), Incarnation(incarnation), LENGTH)
}

/// Reads the log.
fn read(lease: &mut DutyLease, log: &LeaseLog, now: Duration) {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    lease.observe_era(log.era, 0, now);
    lease.observe_topic(&log.topic(), now, &mut random);
}

/// Claims or renews the lease if that is due, and handles the answer. Returns whether the record
/// was appended.
fn append(lease: &mut DutyLease, log: &mut LeaseLog, now: Duration) -> bool {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let Some(claim) = lease.claim(now) else {
        return false;
    };
    let stands = log.append(&claim);
    if stands {
        let end = log.records.len() as u64;
        lease.appended(&claim, log.era, end, now, &mut random);
    } else {
        lease.refused();
    }
    stands
}

/// A node that has held the lease alone since `LENGTH` and may send requests.
fn holder() -> (DutyLease, LeaseLog, Duration) {
    let (mut first, mut log) = (lease("first", 1), LeaseLog::default());
    read(&mut first, &log, ms(0));
    assert!(!append(&mut first, &mut log, ms(2900)));
    assert!(append(&mut first, &mut log, LENGTH));
    read(&mut first, &log, LENGTH);
    (first, log, LENGTH + CALL_FLIGHT)
}

#[test]
fn a_claim_is_read_back_before_it_is_used() {
    let (mut first, mut log) = (lease("first", 1), LeaseLog::default());
    read(&mut first, &log, ms(0));
    assert!(append(&mut first, &mut log, LENGTH));
    assert!(first.claimed(ms(4000)).is_some());
    assert_eq!(first.token(ms(4000)), None);
    read(&mut first, &log, ms(4000));
    assert!(first.token(ms(4000)).is_some());
}

#[test]
fn the_token_stays_the_same_over_renewals() {
    let (mut first, mut log, now) = holder();
    let token = first.token(now);
    assert!(token.is_some());
    assert!(append(&mut first, &mut log, LENGTH + ms(1900)));
    assert_eq!(first.token(LENGTH + ms(4000)), token);
    assert_eq!(first.token(LENGTH + ms(4900)), None);
}

#[test]
fn a_node_waits_for_the_end_of_a_known_lease_and_of_the_last_request_under_it() {
    let (first, mut log, now) = holder();
    let mut second = lease("second", 1);
    read(&mut second, &log, now);
    assert!(!append(&mut second, &mut log, just_before(now + LENGTH)));
    assert!(append(&mut second, &mut log, now + LENGTH));
    read(&mut second, &log, now + LENGTH);
    assert_eq!(second.token(just_before(now + LENGTH + CALL_FLIGHT)), None);
    let token = second.token(now + LENGTH + CALL_FLIGHT);
    assert!(token > first.token(now));
}

#[test]
fn an_earlier_run_of_the_same_node_is_waited_out() {
    let (_, mut log, now) = holder();
    let mut again = lease("first", 2);
    read(&mut again, &log, now);
    assert!(!append(&mut again, &mut log, just_before(now + LENGTH)));
    assert!(append(&mut again, &mut log, now + LENGTH));
}

#[test]
fn an_older_copy_of_the_log_ends_the_lease_and_all_wait() {
    let (mut first, mut log, now) = holder();
    let before = first.token(now);
    let mut second = lease("second", 1);
    read(&mut second, &log, ms(0));
    log.roll_back(1);
    read(&mut first, &log, now);
    assert_eq!(first.claimed(now), None);
    read(&mut second, &log, now);
    assert!(!append(&mut second, &mut log, just_before(now + LENGTH)));
    assert!(append(&mut second, &mut log, now + LENGTH));
    read(&mut second, &log, now + LENGTH);
    assert!(second.token(now + LENGTH + CALL_FLIGHT) > before);
}

#[test]
fn a_renewal_appended_in_another_era_is_invalid() {
    let (mut first, mut log, now) = holder();
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let claim = first.claim(LENGTH + ms(1900)).expect("a renewal");
    log.era += 1;
    assert!(log.append(&claim));
    first.observe_era(log.era, 0, now);
    first.appended(&claim, log.era, log.records.len() as u64, now, &mut random);
    assert_eq!(first.claimed(now), None);
    read(&mut first, &log, now);
    assert_eq!(first.claimed(now), None);
}

#[test]
fn a_claim_without_an_answer_counts_from_when_it_was_sent() {
    let (mut first, mut log) = (lease("first", 1), LeaseLog::default());
    read(&mut first, &log, ms(0));
    let claim = first.claim(LENGTH).expect("a claim");
    first.require_read();
    assert!(log.append(&claim));
    read(&mut first, &log, LENGTH + ms(2000));
    assert!(first.claimed(LENGTH + ms(2600)).is_some());
    assert_eq!(first.claimed(LENGTH + ms(2701)), None);
}

#[test]
fn the_first_window_is_kept_within_an_era_and_reset_after_it() {
    let mut log = LeaseLog::default();
    let (mut first, mut second) = (lease("first", 1), lease("second", 1));
    first.observe_era(0, 40, ms(0));
    read(&mut first, &log, ms(0));
    assert!(append(&mut first, &mut log, LENGTH));
    second.observe_era(0, 90, ms(9000));
    read(&mut second, &log, ms(9000));
    assert_eq!(second.first_window(), 40);
    log.roll_back(0);
    second.observe_era(1, 95, ms(9500));
    read(&mut second, &log, ms(9500));
    assert_eq!(second.first_window(), 95);
}

/// A request as received by the platform.
#[derive(Clone, Copy, Debug)]
struct ArrivedCall {
    at: Duration,
    host: usize,
    token: u64,
}

/// Hosts that compete for the lease on a log with faults.
struct FaultyWorld {
    random: Pcg64Mcg,
    log: LeaseLog,
    nodes: Vec<DutyLease>,
    read_at: Vec<Duration>,
    frozen_until: Vec<Duration>,
    late: BTreeMap<Duration, DutyClaim>,
    calls: Vec<ArrivedCall>,
    now: Duration,
}

impl FaultyWorld {
    fn new(seed: u64, hosts: usize) -> Self {
        let nodes = (0..hosts).map(|host| lease(&host.to_string(), 0));
        Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            log: LeaseLog::default(),
            nodes: nodes.collect(),
            read_at: vec![Duration::ZERO; hosts],
            frozen_until: vec![Duration::ZERO; hosts],
            late: BTreeMap::new(),
            calls: Vec::new(),
            now: Duration::ZERO,
        }
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.random.random_range(0..one_in) == 0
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.chance(60) {
            self.log.is_down = !self.log.is_down;
        }
        if self.chance(150) {
            let lost = self.random.random_range(0..6);
            self.log.roll_back(lost);
        }
        while let Some((at, claim)) = self.late.pop_first() {
            if at > self.now {
                self.late.insert(at, claim);
                break;
            }
            self.log.append(&claim);
        }
        for host in 0..self.nodes.len() {
            if self.now >= self.frozen_until[host] {
                self.turn(host);
            }
        }
    }

    fn turn(&mut self, host: usize) {
        if self.chance(80) {
            let time = ms(self.random.random_range(100..6000));
            self.frozen_until[host] = self.now + time;
            return;
        }
        if self.chance(200) {
            let run = u64::try_from(self.now.as_millis()).unwrap();
            self.nodes[host] = lease(&host.to_string(), run);
        }
        if !self.log.is_down {
            self.use_log(host);
        }
        if let Some(token) = self.nodes[host].token(self.now) {
            let most = u64::try_from(CALL_FLIGHT.as_millis()).unwrap();
            let at = self.now + ms(self.random.random_range(0..most));
            self.calls.push(ArrivedCall { at, host, token });
        }
    }

    fn use_log(&mut self, host: usize) {
        let now = self.now;
        let is_due = now >= self.read_at[host] || self.nodes[host].needs_read(now);
        if is_due && !self.chance(10) {
            self.read_at[host] = now + ms(900);
            self.nodes[host].observe_era(self.log.era, 0, now);
            let topic = self.log.topic();
            self.nodes[host].observe_topic(&topic, now, &mut self.random);
        }
        let Some(claim) = self.nodes[host].claim(now) else {
            return;
        };
        match self.random.random_range(0..10) {
            0 => self.nodes[host].require_read(),
            1 => {
                self.log.append(&claim);
                self.nodes[host].require_read();
            }
            2 => {
                let at = now + ms(self.random.random_range(500..6000));
                self.late.insert(at, claim);
                self.nodes[host].require_read();
            }
            _ => {
                let stands = self.log.append(&claim);
                let (era, end) = (self.log.era, self.log.records.len() as u64);
                self.nodes[host].observe_era(era, 0, now);
                if stands {
                    self.nodes[host].appended(&claim, era, end, now, &mut self.random);
                } else {
                    self.nodes[host].refused();
                }
            }
        }
    }
}

/// Checks the guarantees to the platform over requests in order of arrival: fencing tokens never
/// decrease, each belongs to one host, and holders do not alternate within a lease.
fn check(seed: u64, calls: &mut [ArrivedCall]) {
    calls.sort_by_key(|call| call.at);
    let mut holders: BTreeMap<u64, usize> = BTreeMap::new();
    let mut newest = 0;
    for call in &*calls {
        assert!(call.token >= newest, "seed {seed}: {call:?} after {newest}");
        newest = call.token;
        let holder = *holders.entry(call.token).or_insert(call.host);
        assert_eq!(holder, call.host, "seed {seed}: two hosts, {call:?}");
    }
    for (index, call) in calls.iter().enumerate() {
        let later = &calls[index..];
        let within = later.iter().take_while(|other| other.at < call.at + LENGTH);
        let mut other_seen = false;
        for other in within {
            other_seen |= other.host != call.host;
            let is_back = other_seen && other.host == call.host;
            assert!(!is_back, "seed {seed}: {call:?}, then {other:?}");
        }
    }
}

#[test]
fn holders_never_overlap_whatever_fails() {
    let mut acted = 0;
    for seed in 0..400 {
        let mut world = FaultyWorld::new(seed, 4);
        for _ in 0..900 {
            world.step();
        }
        acted += usize::from(!world.calls.is_empty());
        check(seed, &mut world.calls);
    }
    assert!(acted > 350, "the lease was held in {acted} of 400 runs");
}

#[test]
fn a_holder_whose_request_was_rejected_reads_the_log_before_the_next() {
    let (mut first, log, now) = holder();
    first.require_read();
    assert_eq!(first.token(now), None);
    read(&mut first, &log, now);
    assert!(first.token(now).is_some());
}
