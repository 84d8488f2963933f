//! Forecasts how many engines a pool needs one startup time ahead.
//!
//! Answers load that comes in waves and surges: an engine that is ordered when calls already wait
//! serves only after they gave up.

use std::collections::VecDeque;
use std::time::Duration;

/// Time over which a peak fades: surges come in series, and waves of traffic come again sooner.
const PEAK_RETENTION: Duration = Duration::from_mins(1);
/// Time whose largest need is the current level: calls arrive in clumps.
const LEVEL_TIME: Duration = Duration::from_secs(3);
/// Startup times of measured load after which its peaks are known.
const KNOWN_STARTUPS: u32 = 4;

/// Need of a pool, as observed each second by a node that orders its engines or may do so next.
#[derive(Clone, Debug, Default)]
pub struct DemandForecast {
    /// Time and need of each observation, oldest first.
    samples: VecDeque<(Duration, u32)>,
    first_load_at: Option<Duration>,
}

impl DemandForecast {
    /// Takes over the need that another node expected, as a peak seen now.
    pub fn inherit(&mut self, ahead: u32, now: Duration) {
        if ahead > 0 {
            self.samples.push_back((now, ahead));
        }
    }

    /// Records the number of engines that the current load needs.
    pub fn record(&mut self, needed: u32, now: Duration) {
        if needed > 0 {
            self.first_load_at.get_or_insert(now);
        }
        self.samples.push_back((now, needed));
        let is_old = |(at, _): &(Duration, u32)| *at + PEAK_RETENTION < now;
        while self.samples.front().is_some_and(is_old) {
            self.samples.pop_front();
        }
    }

    /// Whether load was measured for long enough to show its waves.
    pub fn is_known(&self, startup: Duration, now: Duration) -> bool {
        let known_at = self.first_load_at.map(|at| at + startup * KNOWN_STARTUPS);
        known_at.is_some_and(|at| now >= at)
    }

    /// Number of engines that the load of the last seconds needs.
    pub fn level(&self, now: Duration) -> u32 {
        self.largest(now.saturating_sub(LEVEL_TIME), now)
    }

    /// Rise of the level within the last `LEVEL_TIME`, per second; negative if it falls.
    pub fn growth(&self, now: Duration) -> f64 {
        let before = self.level(now.saturating_sub(LEVEL_TIME));
        (f64::from(self.level(now)) - f64::from(before)) / LEVEL_TIME.as_secs_f64()
    }

    /// Number of engines needed one startup time ahead if the level keeps growing as it does.
    pub fn soon(&self, startup: Duration, now: Duration) -> u32 {
        // A level that begins at nothing shows no growth.
        let is_begun = self.first_load_at.is_some_and(|at| now >= at + startup);
        let rise = (self.growth(now) * startup.as_secs_f64()).ceil() as u32;
        self.level(now) + if is_begun { rise } else { 0 }
    }

    /// Number of engines needed one startup time ahead: by the level and its growth, or by an
    /// earlier peak, which counts less the longer ago it was.
    pub fn ahead(&self, startup: Duration, now: Duration) -> u32 {
        let faded = |(at, needed): &(Duration, u32)| {
            let age = now.saturating_sub(*at).min(PEAK_RETENTION);
            let weight = 1.0 - age.div_duration_f64(PEAK_RETENTION);
            (f64::from(*needed) * weight).ceil() as u32
        };
        let peak = self.samples.iter().map(faded).max();
        self.soon(startup, now).max(peak.unwrap_or(0))
    }

    fn largest(&self, from: Duration, to: Duration) -> u32 {
        let within = self.samples.iter().rev();
        let within = within.skip_while(|(at, _)| *at > to);
        let within = within.take_while(|(at, _)| *at >= from);
        within.map(|(_, needed)| *needed).max().unwrap_or(0)
    }
}
