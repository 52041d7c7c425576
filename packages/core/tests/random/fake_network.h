#ifndef BASILSPREAD_CORE_TESTS_RANDOM_FAKE_NETWORK_H_
#define BASILSPREAD_CORE_TESTS_RANDOM_FAKE_NETWORK_H_

#include <functional>
#include <map>
#include <utility>

#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "basilspread/core/random.h"
#include "random/schedule.h"

namespace random_test {

using basilspread::EventBody;
using basilspread::NodeName;
using basilspread::ProcessId;
using basilspread::SendToPeer;

/// The links between entry processes. A link runs one way and keeps order;
/// links among themselves do not.
class FakeNetwork {
 public:
  using Deliver = std::function<void(const NodeName& to, EventBody body)>;
  using IsAlive = std::function<bool(const NodeName& node)>;

  FakeNetwork(Schedule& run_schedule, std::uint64_t seed, Deliver deliver_hook,
              IsAlive alive_hook)
      : schedule(run_schedule),
        random(seed),
        deliver(std::move(deliver_hook)),
        is_alive(std::move(alive_hook)) {}

  void AddLink(const NodeName& from, const NodeName& to);
  void Send(const ProcessId& from, const SendToPeer& send);
  /// Opens and closes the links of a node that started or died.
  void OnNodeChanged(const NodeName& node);

  /// Both ways; counted, since faults overlap.
  void SetCut(const NodeName& a, const NodeName& b, bool is_cut);
  /// One way: what is sent on the open connection vanishes, and nobody is
  /// told. A new connection works.
  void Silence(const NodeName& from, const NodeName& to);
  /// Closes the connection and opens a new one.
  void Reopen(const NodeName& from, const NodeName& to);

  int slow = 0;

 private:
  using Ends = std::pair<NodeName, NodeName>;
  struct Link {
    int cut = 0;
    bool silent = false;
    bool connected = false;
    /// Counts connections; what is in flight on an older one is lost.
    std::uint64_t generation = 0;
    Duration last_delivery{};
  };

  void Update(const Ends& ends);
  void Break(const Ends& ends);
  bool MayConnect(const Ends& ends);
  Duration Delay();

  Schedule& schedule;
  basilspread::Random random;
  Deliver deliver;
  IsAlive is_alive;
  std::map<Ends, Link> links;
};

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_FAKE_NETWORK_H_
