#include "random/fake_log.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace random_test {
namespace {

using basilspread::AppendResult;
using basilspread::Offset;

constexpr Duration kLatency = std::chrono::milliseconds(3);
constexpr Duration kMaxDelay = std::chrono::seconds(5);
/// The client's time limit for a call. An append may be stored after it.
constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr std::size_t kRecordsPerRead = 64;

}  // namespace

Duration FakeLog::Delay() {
  if (this->slow == 0) {
    return kLatency;
  }
  const auto slowest = static_cast<std::uint64_t>(kMaxDelay.count());
  return Duration(static_cast<std::int64_t>(this->random.NextBelow(slowest)));
}

void FakeLog::Append(const NodeName& from, const AppendLog& append,
                     const std::function<void(LogAppended)>& reply) {
  const auto settled = std::make_shared<bool>(false);
  const auto settle = [settled, reply, stream = append.stream,
                       id = append.batch.id](AppendResult result) {
    if (!std::exchange(*settled, true)) {
      reply(LogAppended{stream, id, result});
    }
  };
  this->schedule.After(kTimeout, [settle] { settle(AppendResult::kUnknown); });
  if (this->IsCut(from)) {
    return;
  }
  this->schedule.After(this->Delay(), [this, append, settle] {
    if (this->down > 0) {
      settle(AppendResult::kRefused);
      return;
    }
    this->Store(append.stream, append.batch);
    if (this->dropping_answers == 0) {
      settle(AppendResult::kStored);
    }
  });
}

void FakeLog::Read(const NodeName& from, const ReadLog& read,
                   const std::function<void(LogRead)>& reply) {
  const auto settled = std::make_shared<bool>(false);
  const auto settle = [settled, reply](LogRead result) {
    if (!std::exchange(*settled, true)) {
      reply(std::move(result));
    }
  };
  LogRead failed;
  failed.stream = read.stream;
  failed.from = read.from;
  this->schedule.After(kTimeout, [settle, failed] { settle(failed); });
  if (this->IsCut(from)) {
    return;
  }
  this->schedule.After(this->Delay(), [this, read, settle, failed] {
    if (this->down > 0) {
      settle(failed);
      return;
    }
    const std::vector<StoredBatch>& stored = this->streams[read.stream];
    LogRead result = failed;
    result.ok = true;
    const std::size_t begin = std::min(read.from.value, stored.size());
    const std::size_t end = std::min(begin + kRecordsPerRead, stored.size());
    result.batches.assign(stored.begin() + static_cast<std::ptrdiff_t>(begin),
                          stored.begin() + static_cast<std::ptrdiff_t>(end));
    result.next = Offset{end};
    result.at_end = end == stored.size();
    this->schedule.After(kLatency, [settle, result] { settle(result); });
  });
}

void FakeLog::Store(const StreamName& stream,
                    const basilspread::LogBatch& batch) {
  std::vector<StoredBatch>& stored = this->streams[stream];
  stored.push_back(StoredBatch{Offset{stored.size()}, batch});
}

}  // namespace random_test
