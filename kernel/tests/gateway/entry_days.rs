//! Drawn histories of upstreams that start, leave, crash and lose the store, and of nodes that learn
//! of it in any order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use monsoonbank_kernel::gateway::registry::{
    EntryRecord, EntryReport, LeavingCause, LogPlace, RegistryChange, RunNews, Upstream,
    UpstreamEntry, UpstreamRegistry,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::registry::entry;

const POOL: &str = "model";
/// Number of addresses at which upstreams run.
const PLACES: u16 = 6;
/// Number of nodes that read the store; the others learn from nodes.
const READERS: usize = 2;
/// Number of events before all is calm.
const EVENTS: usize = 60;
const STEP: Duration = Duration::from_millis(300);
/// Time after which entries that lapsed have left.
const CALM: Duration = Duration::from_mins(1);

/// An upstream's process.
#[derive(Clone, Debug)]
struct Process {
    id: Box<str>,
    /// Whether it has an entry.
    is_registered: bool,
    /// Whether it said that it leaves.
    is_draining: bool,
    /// Whether it left by removal alone, and writes no more.
    is_gone: bool,
}

/// What shows that a run left for good.
#[derive(Clone, Copy, Debug)]
enum FinalDeparture {
    /// It said so.
    Stated,
    /// Its entry was removed at this place.
    Removed(LogPlace),
}

/// The store's log and the newest value of each key.
#[derive(Clone, Debug, Default)]
struct Store {
    era: u64,
    /// Whether the entries of all that does not live have expired since the era began.
    is_cleared: bool,
    log: Vec<(Box<str>, Option<UpstreamEntry>)>,
}

impl Store {
    fn append(&mut self, id: &str, entry: Option<UpstreamEntry>) {
        self.log.push((id.into(), entry));
    }

    /// Changes from an offset. `start` is the end of the log when it was first read in this era.
    fn changes(&self, from: usize, start: usize) -> Vec<RegistryChange> {
        let numbered = self.log.iter().enumerate().skip(from);
        let change = |(offset, (id, entry)): (usize, &(Box<str>, Option<UpstreamEntry>))| {
            let record = EntryRecord {
                era: self.era,
                offset: offset as u64,
                is_current: offset >= start,
            };
            let Some(entry) = entry else {
                return RegistryChange::Removed {
                    id: id.clone(),
                    at: Some(record.place()),
                };
            };
            RegistryChange::Put(UpstreamEntry {
                written: Some(record),
                ..entry.clone()
            })
        };
        numbered.map(change).collect()
    }

    /// Newest record of each key that has a value.
    fn newest(&self) -> BTreeMap<Box<str>, RegistryChange> {
        let mut newest = BTreeMap::new();
        for change in self.changes(0, self.log.len()) {
            match change {
                RegistryChange::Put(entry) => {
                    newest.insert(entry.id.clone(), RegistryChange::Put(entry));
                }
                RegistryChange::Removed { id, .. } => {
                    newest.remove(&id);
                }
            }
        }
        newest
    }
}

#[derive(Clone, Debug, Default)]
struct Node {
    registry: UpstreamRegistry,
    /// Era and offset from which a reader goes on.
    position: Option<(u64, usize)>,
    /// End of the log when it was first read in that era.
    era_start: usize,
    /// Runs that this node knew to have left for good.
    finally_left: BTreeSet<Box<str>>,
}

struct World {
    random: Pcg64Mcg,
    now: Duration,
    store: Store,
    processes: Vec<Process>,
    nodes: Vec<Node>,
    /// News that was sent and has not arrived, with its receiver.
    on_the_way: Vec<(usize, RunNews)>,
    starts: u64,
    departures: BTreeMap<Box<str>, FinalDeparture>,
}

impl World {
    fn new(seed: u64, nodes: usize) -> Self {
        let mut world = Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            now: STEP,
            store: Store::default(),
            processes: Vec::new(),
            nodes: vec![Node::default(); nodes],
            on_the_way: Vec::new(),
            starts: 0,
            departures: BTreeMap::new(),
        };
        for place in 0..usize::from(PLACES) {
            let process = world.start();
            world.processes.push(process);
            world.write(place);
        }
        world
    }

    /// Starts a process under a new id, in no order.
    fn start(&mut self) -> Process {
        self.starts += 1;
        Process {
            id: format!("i-{:08x}-{}", self.random.next_u32(), self.starts).into(),
            is_registered: true,
            is_draining: false,
            is_gone: false,
        }
    }

    fn write(&mut self, place: usize) {
        let process = &mut self.processes[place];
        process.is_registered = true;
        let id = process.id.clone();
        let entry = entry(&id, place as u16 + 1, process.is_draining);
        self.store.append(&id, Some(entry));
    }

    fn remove(&mut self, place: usize) {
        let process = &mut self.processes[place];
        process.is_registered = false;
        let id = process.id.clone();
        self.store.append(&id, None);
    }

    fn event(&mut self) {
        self.now += STEP;
        let place = self.random.random_range(0..self.processes.len());
        let Process {
            is_registered,
            is_gone,
            ..
        } = self.processes[place];
        match self.random.random_range(0..20) {
            // It is cut off from the store, and back.
            0..4 if is_registered => self.remove(place),
            0..4 if !is_gone => self.write(place),
            // All are cut off.
            4 => (0..self.processes.len()).for_each(|place| {
                if self.processes[place].is_registered {
                    self.remove(place);
                }
            }),
            5 | 6 => self.register_all(),
            // It crashes, and another run starts; the old entry is removed now or later.
            7 | 8 => {
                let old = self.processes[place].id.clone();
                self.processes[place] = self.start();
                let late = self.random.random_bool(0.5);
                if late {
                    self.write(place);
                }
                self.store.append(&old, None);
                if !late {
                    self.write(place);
                }
            }
            9 => {
                self.processes[place].is_draining = true;
                let id = self.processes[place].id.clone();
                self.departures.insert(id, FinalDeparture::Stated);
                self.write(place);
            }
            10 => {
                self.processes[place].is_gone = true;
                let id = self.processes[place].id.clone();
                let removed = LogPlace {
                    era: self.store.era,
                    offset: self.store.log.len() as u64,
                };
                let departure = FinalDeparture::Removed(removed);
                self.departures.entry(id).or_insert(departure);
                if is_registered {
                    self.remove(place);
                }
            }
            11 => {
                let node = self.random.random_range(0..self.nodes.len());
                self.nodes[node] = Node::default();
            }
            12 if self.random.random_bool(0.3) => self.roll_back(),
            13 => self.clear_dead(),
            _ => {}
        }
        for node in 0..self.nodes.len() {
            match self.random.random_range(0..4) {
                0 if node < READERS => self.read(node),
                1 => self.fetch(node),
                2 => self.send_news(node),
                _ => {}
            }
        }
        self.deliver(0.5);
        self.check_departures();
    }

    /// The store comes back from an older copy; what lives writes again, and the entries of what does
    /// not expire.
    fn roll_back(&mut self) {
        let lost = self.random.random_range(1..6).min(self.store.log.len());
        self.store.log.truncate(self.store.log.len() - lost);
        self.store.era += 1;
        self.store.is_cleared = false;
        for process in &mut self.processes {
            process.is_registered = false;
        }
        if self.random.random_bool(0.5) {
            self.clear_dead();
            self.register_all();
        }
    }

    fn register_all(&mut self) {
        for place in 0..self.processes.len() {
            let Process {
                is_registered,
                is_gone,
                ..
            } = self.processes[place];
            if !is_registered && !is_gone {
                self.write(place);
            }
        }
    }

    /// Removes the entries of processes that no longer run.
    fn clear_dead(&mut self) {
        let live: BTreeSet<Box<str>> = self
            .processes
            .iter()
            .filter(|process| !process.is_gone)
            .map(|process| process.id.clone())
            .collect();
        for id in self.store.newest().into_keys() {
            if !live.contains(&id) {
                self.store.append(&id, None);
            }
        }
        self.store.is_cleared = true;
    }

    fn read(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let (era, end) = (self.store.era, self.store.log.len());
        let changes: Vec<RegistryChange> = match node.position {
            Some((known, from)) if known == era => self.store.changes(from, node.era_start),
            _ => {
                let newest = self.store.newest();
                let ids: Vec<Box<str>> = newest.keys().cloned().collect();
                let at = LogPlace {
                    era,
                    offset: end as u64,
                };
                // A store that just came back is not trusted.
                let trusted = node.position.is_none();
                let registry = &mut node.registry;
                for change in newest.into_values() {
                    registry.apply(change, trusted, self.now);
                }
                registry.retain(&ids, Some(at), trusted, self.now);
                node.era_start = end;
                Vec::new()
            }
        };
        for change in changes {
            node.registry.apply(change, true, self.now);
        }
        node.position = Some((era, end));
        if self.store.is_cleared {
            node.registry.confirm_era(era, self.now);
        }
    }

    /// Fetches the upstreams that another node knows differently.
    fn fetch(&mut self, index: usize) {
        let from = self.random.random_range(0..self.nodes.len());
        let known = self.nodes[index].registry.bucket_digests().to_vec();
        let differing = self.nodes[from].registry.differing(&known);
        let reports: Vec<EntryReport> = differing.map(Upstream::report).collect();
        self.nodes[index].registry.merge(reports, self.now);
    }

    fn send_news(&mut self, index: usize) {
        let to = self.random.random_range(0..self.nodes.len());
        let news = self.nodes[index].registry.news(self.now);
        self.on_the_way
            .extend(news.into_iter().map(|news| (to, news)));
    }

    /// Delivers some of the news, in any order.
    fn deliver(&mut self, share: f64) {
        for (to, news) in std::mem::take(&mut self.on_the_way) {
            if self.random.random_bool(share) {
                self.nodes[to].registry.receive_news(news, self.now);
            } else if self.random.random_bool(0.8) {
                self.on_the_way.push((to, news));
            }
        }
    }

    /// Checks that what left for good, as a node knows, is never used there again.
    fn check_departures(&mut self) {
        for node in &mut self.nodes {
            for (id, departure) in &self.departures {
                let key = node.registry.key(id);
                let Some(upstream) = key.and_then(|key| node.registry.get(key)) else {
                    continue;
                };
                let knows = match departure {
                    FinalDeparture::Stated => upstream.left.is_some_and(LeavingCause::is_stated),
                    FinalDeparture::Removed(place) => upstream
                        .missing
                        .is_some_and(|missing| missing.place() >= *place),
                };
                let is_used = upstream.left.is_none();
                // A store that just came back is not trusted, and an entry that it lacks has time to
                // return, unless it was already known to have left.
                let has_time = is_used && upstream.lapsed_at.is_some();
                if knows && !has_time {
                    node.finally_left.insert(id.clone());
                }
                let again = is_used && node.finally_left.contains(id);
                assert!(!again, "used after it left: {upstream:?}");
            }
        }
    }

    /// Lets all evidence arrive, and checks that every node uses what lives and nothing else.
    fn settle(&mut self) {
        self.clear_dead();
        self.register_all();
        self.deliver(1.0);
        self.deliver(1.0);
        for _ in 0..2 {
            for reader in 0..READERS {
                self.read(reader);
            }
        }
        self.now += CALM;
        for node in &mut self.nodes {
            node.registry.expire_lapsed(Duration::ZERO, self.now);
        }
        for index in 0..self.nodes.len() {
            for from in 0..READERS {
                let known = self.nodes[index].registry.bucket_digests().to_vec();
                let differing = self.nodes[from].registry.differing(&known);
                let reports: Vec<EntryReport> = differing.map(Upstream::report).collect();
                self.nodes[index].registry.merge(reports, self.now);
            }
        }
        let live: BTreeSet<&str> = self
            .processes
            .iter()
            .filter(|process| !process.is_gone && !process.is_draining)
            .map(|process| &*process.id)
            .collect();
        for (index, node) in self.nodes.iter().enumerate() {
            let usable = node.registry.usable(POOL);
            let used: BTreeSet<&str> = usable.map(|(_, upstream)| &*upstream.entry.id).collect();
            assert_eq!(used, live, "node {index}");
        }
    }
}

/// Defines a case: the number of nodes and of drawn histories.
macro_rules! histories {
    ($($name:ident: $nodes:literal, $days:literal;)*) => {$(
        #[test]
        fn $name() {
            for seed in 0..$days {
                let played = std::panic::catch_unwind(|| {
                    let mut world = World::new(seed, $nodes);
                    for _ in 0..EVENTS {
                        world.event();
                    }
                    world.settle();
                });
                assert!(played.is_ok(), "seed {seed}");
            }
        }
    )*};
}

// Guards against live upstreams that some node does not use, and against the use of one that left,
// whatever the order in which nodes learn of it.
histories! {
    six_nodes_agree_on_what_lives: 6, 1_000;
    many_nodes_agree_on_what_lives: 300, 10;
}
