//! The kernel: dispatches each event to every plug-in and collects their actions.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::{Map, Value};

use crate::event::{Action, Event};
use crate::plugin::{Context, GaugeSample, NodeProfile, Plugin, Registration};

struct Slot {
    name: &'static str,
    plugin: Box<dyn Plugin>,
}

/// The deterministic state machine of one node. It performs no input or output and reads no clock:
/// the same profile and the same events at the same times produce the same actions.
pub struct Kernel {
    profile: NodeProfile,
    random: Pcg64Mcg,
    slots: Vec<Slot>,
    events: VecDeque<Event>,
}

impl Kernel {
    /// Creates a kernel with every registered plug-in.
    pub fn new(profile: NodeProfile) -> Self {
        Self::with_plugins(profile, |_| true)
    }

    /// Creates a kernel with the registered plug-ins whose names `chosen` accepts.
    pub fn with_plugins(profile: NodeProfile, selected: impl Fn(&str) -> bool) -> Self {
        let mut registrations: Vec<&Registration> = inventory::iter::<Registration>
            .into_iter()
            .filter(|registration| selected(registration.name))
            .collect();
        registrations.sort_by_key(|registration| (registration.order, registration.name));
        let slots = registrations
            .into_iter()
            .map(|registration| Slot {
                name: registration.name,
                plugin: (registration.build)(&profile),
            })
            .collect();
        Self {
            random: Pcg64Mcg::seed_from_u64(profile.seed),
            profile,
            slots,
            events: VecDeque::new(),
        }
    }

    /// Replaces the plug-in called `name`, so that a benchmark can compare the two. Does nothing if
    /// no plug-in has this name.
    pub fn replace(&mut self, name: &str, plugin: Box<dyn Plugin>) {
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.name == name) {
            slot.plugin = plugin;
        }
    }

    /// The identity of this node.
    pub fn profile(&self) -> &NodeProfile {
        &self.profile
    }

    /// Handles one event at kernel time `now`, and every event that plug-ins raise as a
    /// consequence. Appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        let open_work = match event {
            Event::Tick => self.open_work(),
            _ => 0,
        };
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            actions.extend(publication(&event));
            for slot in &mut self.slots {
                let mut context = Context {
                    now,
                    profile: &self.profile,
                    random: &mut self.random,
                    open_work,
                    actions,
                    events: &mut self.events,
                };
                slot.plugin.handle(&event, &mut context);
            }
        }
    }

    /// Number of calls and other pieces of work that must end before the node may exit.
    pub fn open_work(&self) -> usize {
        self.slots.iter().map(|slot| slot.plugin.open_work()).sum()
    }

    /// The state dump: one section per plug-in, or only the section called `section`.
    pub fn dump(&self, section: Option<&str>) -> Value {
        let sections: Map<String, Value> = self
            .slots
            .iter()
            .filter(|slot| section.is_none_or(|name| name == slot.name))
            .map(|slot| (slot.name.to_owned(), slot.plugin.dump()))
            .collect();
        Value::Object(sections)
    }

    /// The metrics of all plug-ins.
    pub fn gauges(&self) -> Vec<GaugeSample> {
        self.slots
            .iter()
            .flat_map(|slot| slot.plugin.gauges())
            .collect()
    }
}

/// The action that publishes state to the process around the kernel, if the event changes state
/// that the edges read.
fn publication(event: &Event) -> Option<Action> {
    match event {
        Event::ConfigApplied(config) => Some(Action::UseConfig(Arc::clone(config))),
        Event::MembersChanged(view) => Some(Action::UseMembers(Arc::clone(view))),
        Event::OwnersChanged(owners) => Some(Action::UseOwners(Arc::clone(owners))),
        _ => None,
    }
}
