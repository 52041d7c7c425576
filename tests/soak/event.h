#ifndef BASILSPREAD_TESTS_SOAK_EVENT_H_
#define BASILSPREAD_TESTS_SOAK_EVENT_H_

#include <cstddef>
#include <cstdint>
#include <variant>

#include "basilspread/core/ids.h"
#include "basilspread/core/payload.h"
#include "http_exchange.h"

namespace soak {

/// Time has passed: every stand-in does what is due.
struct Tick {};

/// A process called a stand-in.
struct RequestArrived {
  basilspread::CallId call;
  basilspread::PayloadPtr request;
};

/// A caller's call was answered, or given up.
struct ReplyArrived {
  std::uint64_t number = 0;
  basilspread::node::HttpReply reply;
};

/// A process has ended; `status` is its exit status or minus the signal.
struct HostEnded {
  std::size_t host = 0;
  int status = 0;
};

/// What a process uses now.
struct HostMeasured {
  std::size_t host = 0;
  std::size_t memory_mebibytes = 0;
  std::size_t descriptors = 0;
  /// Since the process started.
  std::size_t log_bytes = 0;
};

using Event =
    std::variant<Tick, RequestArrived, ReplyArrived, HostEnded, HostMeasured>;

}  // namespace soak

#endif  // BASILSPREAD_TESTS_SOAK_EVENT_H_
