#ifndef BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_NODE_H_
#define BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_NODE_H_

#include <deque>
#include <map>
#include <set>
#include <vector>

#include "basilspread/core/hooks.h"
#include "support/store_world.h"

namespace basilspread::test {

/// A process of a StoreWorld.
struct StoreWorld::Node {
  /// An event that waits, and since when.
  struct Queued {
    EventBody body;
    TimePoint since;
  };

  Node(int node_index, const Settings& settings)
      : index(node_index), state(settings, DefaultHooks()) {}

  int index;
  State state;
  bool is_up = true;
  /// Down, and its host says so.
  bool refuses = false;
  std::map<TimerKind, TimePoint> timers;
  std::set<NodeName> links;
  bool is_frozen = false;
  /// Came while it was frozen.
  std::vector<EventBody> held_events;
  /// Of a slow process: timers that are due, since when, and events that wait.
  std::map<TimerKind, TimePoint> due_timers;
  std::deque<Queued> events;
  bool is_scheduled = false;
  TimePoint busy_until;
  Duration busy{};
};

}  // namespace basilspread::test

#endif  // BASILSPREAD_CORE_TESTS_SUPPORT_STORE_WORLD_NODE_H_
