#ifndef BASILSPREAD_CORE_TESTS_RANDOM_FAKE_LOG_H_
#define BASILSPREAD_CORE_TESTS_RANDOM_FAKE_LOG_H_

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "basilspread/core/random.h"
#include "random/schedule.h"

namespace random_test {

using basilspread::AppendLog;
using basilspread::LogAppended;
using basilspread::LogRead;
using basilspread::NodeName;
using basilspread::ReadLog;
using basilspread::StoredBatch;
using basilspread::StreamName;

/// In-memory log service with faults. Fault counters above 0 are in effect;
/// they count since faults of one kind may overlap.
class FakeLog {
 public:
  FakeLog(Schedule& run_schedule, std::uint64_t seed)
      : schedule(run_schedule), random(seed) {}

  void Append(const NodeName& from, const AppendLog& append,
              const std::function<void(LogAppended)>& reply);
  void Read(const NodeName& from, const ReadLog& read,
            const std::function<void(LogRead)>& reply);

  /// Stores a batch at once, regardless of faults.
  void Store(const StreamName& stream, const basilspread::LogBatch& batch);
  /// All batches stored in a stream, in order.
  const std::vector<StoredBatch>& History(const StreamName& stream) {
    return this->streams[stream];
  }

  /// Appends are refused and reads fail.
  int down = 0;
  /// Appends are stored but not answered.
  int dropping_answers = 0;
  /// Appends and reads take up to kMaxDelay.
  int slow = 0;
  /// Nodes whose calls are lost; once for each fault.
  std::multiset<NodeName> cut;

 private:
  Duration Delay();
  bool IsCut(const NodeName& node) const { return this->cut.contains(node); }

  Schedule& schedule;
  basilspread::Random random;
  std::map<StreamName, std::vector<StoredBatch>> streams;
};

}  // namespace random_test

#endif  // BASILSPREAD_CORE_TESTS_RANDOM_FAKE_LOG_H_
