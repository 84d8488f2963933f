//! Adding upstreams to the registry, comparing it with a list, and computing the digest of a
//! heartbeat.
//!
//! Run with `cargo bench -p monsoonbank-kernel --bench registry`.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use monsoonbank_kernel::gateway::registry::{RegistryChange, UpstreamEntry, UpstreamRegistry};

const NOW: Duration = Duration::from_secs(1);

fn entry(number: u32) -> UpstreamEntry {
    let [_, high, middle, low] = number.to_be_bytes();
    UpstreamEntry {
        id: format!("i-{number:010x}").into(),
        born: Some(u64::from(number)),
        pool: "model".into(),
        address: ([10, high, middle, low], 8000).into(),
        zone: "east".into(),
        version: "v1".into(),
        slots: 64,
        leaving: false,
        spot: false,
        written: None,
    }
}

fn filled(count: u32) -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    for number in 0..count {
        registry.apply(RegistryChange::Put(entry(number)), true, NOW);
    }
    registry
}

fn registry(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("registry");
    for count in [300, 1_000, 3_000, 10_000] {
        group.bench_function(BenchmarkId::new("take_in", count), |bencher| {
            bencher.iter(|| filled(black_box(count)));
        });
        let mut registry = filled(count);
        let ids: Vec<Box<str>> = (0..count).map(|number| entry(number).id).collect();
        group.bench_function(BenchmarkId::new("compare", count), |bencher| {
            bencher.iter(|| registry.retain(black_box(&ids), None, true, NOW));
        });
        group.bench_function(BenchmarkId::new("digest", count), |bencher| {
            bencher.iter(|| black_box(&registry).digest());
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(10);
    targets = registry
}
criterion_main!(benches);
