#ifndef BASILSPREAD_TESTS_SOAK_EFFECT_H_
#define BASILSPREAD_TESTS_SOAK_EFFECT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "basilspread/core/ids.h"
#include "basilspread/core/payload.h"
#include "http_exchange.h"
#include "platform/context.h"
#include "soak/host.h"
#include "support/proxy.h"

namespace soak {

/// Makes a caller's call; its reply comes back with the number.
struct SendCall {
  std::uint64_t number = 0;
  basilspread::node::HttpCall call;
};

struct StartHost {
  std::size_t host = 0;
};

struct SignalHost {
  std::size_t host = 0;
  int signal = 0;
};

/// Writes the settings of a host anew, with another level of the log.
struct RewriteSettings {
  std::size_t host = 0;
  std::string log_level;
};

/// Moves the steady clock of a host back: it did not run meanwhile.
struct SuspendClock {
  std::size_t host = 0;
  Duration missed{};
};

/// Spoils or restores a link through the proxy.
struct ChangeLink {
  std::string address;
  test::LinkChange change;
  /// The IP address of the process whose connections this concerns; empty:
  /// all.
  std::string source = {};
};

using Effect =
    std::variant<standin::AnswerCall, SendCall, StartHost, SignalHost,
                 RewriteSettings, SuspendClock, ChangeLink>;
using Effects = std::vector<Effect>;

/// What a concern needs to handle an event.
struct Context : standin::Context {
  Effects& effects;
};

}  // namespace soak

#endif  // BASILSPREAD_TESTS_SOAK_EFFECT_H_
