//! Tests of the gateway as processes, between raw callers, scripted upstreams and a store.

mod backlog;
mod brittle;
mod caches;
mod crashes;
mod departures;
mod duties;
mod endless;
mod entries;
mod heartbeats;
mod input;
mod leaving;
mod limits;
mod parts;
mod pauses;
mod peers;
mod reach;
mod room;
mod scope;
mod stopping;
mod store;
mod streams;
mod thin;
mod upstreams;
mod versions;
mod world;
