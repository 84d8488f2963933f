//! The kernel: hands each event to every plug-in and collects the actions.

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

/// All decisions of one node. Free of input, output and clocks: the same profile and the same
/// events at the same times give the same actions.
pub struct Kernel {
    profile: NodeProfile,
    random: Pcg64Mcg,
    slots: Vec<Slot>,
    events: VecDeque<Event>,
}

impl Kernel {
    /// A kernel with every registered plug-in.
    pub fn new(profile: NodeProfile) -> Self {
        Self::with_plugins(profile, |_| true)
    }

    /// A kernel with the plug-ins whose names are wanted, to try them by themselves.
    pub fn with_plugins(profile: NodeProfile, wanted: impl Fn(&str) -> bool) -> Self {
        let mut registrations: Vec<&Registration> = inventory::iter::<Registration>
            .into_iter()
            .filter(|registration| wanted(registration.name))
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

    /// Who this node is.
    pub fn profile(&self) -> &NodeProfile {
        &self.profile
    }

    /// Handles one event at `now`, and all that plug-ins tell each other because of it.
    pub fn handle(&mut self, now: Duration, event: Event, actions: &mut Vec<Action>) {
        self.events.push_back(event);
        while let Some(event) = self.events.pop_front() {
            actions.extend(snapshot(&event));
            for slot in &mut self.slots {
                let mut context = Context {
                    now,
                    profile: &self.profile,
                    random: &mut self.random,
                    actions,
                    events: &mut self.events,
                };
                slot.plugin.handle(&event, &mut context);
            }
        }
    }

    /// The state dump: one section a plug-in, or only the section named.
    pub fn dump(&self, section: Option<&str>) -> Value {
        let sections: Map<String, Value> = self
            .slots
            .iter()
            .filter(|slot| section.is_none_or(|name| name == slot.name))
            .map(|slot| (slot.name.to_owned(), slot.plugin.dump()))
            .collect();
        Value::Object(sections)
    }

    /// Every plug-in's metrics.
    pub fn gauges(&self) -> Vec<GaugeSample> {
        self.slots
            .iter()
            .flat_map(|slot| slot.plugin.gauges())
            .collect()
    }
}

/// Tells the process around the kernel of the state that its edges work with.
fn snapshot(event: &Event) -> Option<Action> {
    match event {
        Event::ConfigApplied(config) => Some(Action::UseConfig(Arc::clone(config))),
        Event::MembersChanged(view) => Some(Action::UseMembers(Arc::clone(view))),
        Event::OwnersChanged(owners) => Some(Action::UseOwners(Arc::clone(owners))),
        _ => None,
    }
}
