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
  std::optional<CallChannel> Take();
  void Release(CallChannel channel);
  bool IsIdle() const { return this->busy.none(); }

 private:
  /// Two answers in a row may be lost without a wait for a connection.
  static constexpr std::size_t kCount = 3;

  std::bitset<kCount> busy;
};

}  // namespace basilspread

#endif  // BASILSPREAD_CORE_CALL_CHANNELS_H_
