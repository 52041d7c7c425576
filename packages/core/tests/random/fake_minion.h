#ifndef BASILSPREAD_CORE_TESTS_RANDOM_FAKE_MINION_H_
#define BASILSPREAD_CORE_TESTS_RANDOM_FAKE_MINION_H_

#include <functional>
#include <optional>

#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "random/ledger.h"
#include "random/schedule.h"

namespace random_test {

using basilspread::PayloadPtr;

/// In-memory minion. Fault counters above 0 are in effect; they count since
/// faults of one kind may overlap.
class FakeMinion {
 public:
  FakeMinion(Schedule& run_schedule, Ledger& run_ledger, HostName host_name,
             std::uint32_t slot_count)
      : schedule(run_schedule),
        ledger(run_ledger),
        name(std::move(host_name)),
        slots(slot_count) {}

  /// Runs a request for `work`, then replies unless a fault prevents it.
  void Run(Duration work, const PayloadPtr& request,
           const std::function<void(PayloadPtr)>& reply);

  int refusing = 0;
  int frozen = 0;
  int dropping_answers = 0;
  int failing = 0;
  /// When the platform announced that the host will leave; unset before.
  std::optional<Duration> leaving_since;

 private:
  void CheckLeaving() const;

  Schedule& schedule;
  Ledger& ledger;
  HostName name;
  std::uint32_t slots;
  std::uint32_t running = 0;
};

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_FAKE_MINION_H_
