#ifndef BASILSPREAD_NODE_CALL_TABLE_H_
#define BASILSPREAD_NODE_CALL_TABLE_H_

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <optional>

#include "basilspread/core/ids.h"

namespace basilspread::node {

/// Promises of open calls by their identifier: request threads wait for the
/// answers, and the control thread fulfills them. An answer to a call that is
/// not open is dropped.
template <typename T>
class CallTable {
 public:
  struct Call {
    CallId id;
    std::future<T> answer;
  };

  Call Open() {
    std::promise<T> promise;
    Call call;
    call.id = CallId{++this->last_id};
    call.answer = promise.get_future();
    const std::lock_guard lock(this->mutex);
    this->waiting.emplace(call.id, std::move(promise));
    return call;
  }

  void Answer(CallId id, T answer) {
    const std::lock_guard lock(this->mutex);
    const auto found = this->waiting.find(id);
    if (found == this->waiting.end()) {
      return;
    }
    found->second.set_value(std::move(answer));
    this->waiting.erase(found);
  }

  void Abandon(CallId id) {
    const std::lock_guard lock(this->mutex);
    this->waiting.erase(id);
  }

 private:
  std::atomic<std::uint64_t> last_id = 0;
  std::mutex mutex;
  std::map<CallId, std::promise<T>> waiting;
};

}  // namespace basilspread::node

#endif  // BASILSPREAD_NODE_CALL_TABLE_H_
