#ifndef BASILSPREAD_CORE_CALL_CHANNELS_H_
#define BASILSPREAD_CORE_CALL_CHANNELS_H_

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace basilspread {

/// Index of a connection within the pool of one kind of call.
using CallChannel = std::uint32_t;

/// Allocates the connections of one kind of call. A call whose response is
/// lost occupies its connection until it times out; a retry uses another one.
class CallChannels {
 public:
  /// Unset when every connection has a call in flight.
  std::optional<CallChannel> Acquire();
  void Release(CallChannel channel);
  bool IsIdle() const { return this->busy.none(); }

 private:
  /// Covers the retries, at least 250 ms apart, that start before the first
  /// call's time-out of 1.5 s frees its connection.
  static constexpr std::size_t kCount = 6;

  std::bitset<kCount> busy;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_CALL_CHANNELS_H_
