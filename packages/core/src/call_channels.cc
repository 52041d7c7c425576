#include "basilspread/core/call_channels.h"

namespace basilspread {

std::optional<CallChannel> CallChannels::Acquire() {
  for (CallChannel channel = 0; channel < kCount; ++channel) {
    if (!this->busy.test(channel)) {
      this->busy.set(channel);
      return channel;
    }
  }
  return std::nullopt;
}

void CallChannels::Release(CallChannel channel) { this->busy.reset(channel); }

}  // namespace basilspread
