#ifndef BASILSPREAD_PLATFORM_MINION_CLIENT_H_
#define BASILSPREAD_PLATFORM_MINION_CLIENT_H_

#include <functional>

#include "basilspread/core/effect.h"
#include "basilspread/core/event.h"
#include "basilspread/core/time.h"

namespace basilspread::platform {

/// Sends requests to minions over HTTP.
class MinionClient {
 public:
  using Now = std::function<TimePoint()>;

  explicit MinionClient(Now clock_hook);

  /// Blocks until the answer, a failure or the deadline. Writes nothing when
  /// `not_after` has passed by the time the connection stands.
  MinionAnswered Send(const SendToMinion& send) const;

 private:
  Now now;
};

}  // namespace basilspread::platform

#endif  // BASILSPREAD_PLATFORM_MINION_CLIENT_H_
