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

/// Links between entry processes. Each link is one-way and delivers in order;
/// there is no order between links.
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
  /// Resets the links of a node that started or died.
  void OnNodeChanged(const NodeName& node);

  /// Cuts or restores both directions. Cuts count, since faults may overlap.
  void SetCut(const NodeName& a, const NodeName& b, bool is_cut);
  /// Drops messages of one direction on the open connection without an error to
  /// either side. A new connection works.
  void Silence(const NodeName& from, const NodeName& to);
  /// Closes the connection and opens a new one.
  void Reopen(const NodeName& from, const NodeName& to);

  /// While above 0, messages take up to kMaxDelay.
  int slow = 0;

 private:
  using Ends = std::pair<NodeName, NodeName>;
  struct Link {
    int cut = 0;
    bool silent = false;
    bool connected = false;
    /// Number of the connection; messages in flight on an older one are lost.
    std::uint64_t generation = 0;
    Duration last_delivery{};
  };

  void Update(const Ends& ends);
  void Disconnect(const Ends& ends);
  bool CanConnect(const Ends& ends);
  Duration Delay();

  Schedule& schedule;
  basilspread::Random random;
  Deliver deliver;
  IsAlive is_alive;
  std::map<Ends, Link> links;
};

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_FAKE_NETWORK_H_
