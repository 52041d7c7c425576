#ifndef BASILSPREAD_CORE_CALL_CHANNELS_H_
#define BASILSPREAD_CORE_CALL_CHANNELS_H_

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace basilspread {

/// Names one of the connections that calls of one kind take.
using CallChannel = std::uint32_t;

/// The connections of one kind of call. A lost answer blocks its connection
/// until the call is given up; meanwhile a repeat takes another one.
class CallChannels {
 public:
  /// Unset while all of them wait for answers.
  std::optional<CallChannel> Acquire();
  void Release(CallChannel channel);
  bool IsIdle() const { return this->busy.none(); }

 private:
  /// As many repeats, 250 ms or more apart, as begin before the first call's
  /// time-out of 1.5 s frees its connection.
  static constexpr std::size_t kCount = 6;

  std::bitset<kCount> busy;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_CALL_CHANNELS_H_
