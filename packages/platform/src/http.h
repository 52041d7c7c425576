#ifndef BASILSPREAD_PLATFORM_SRC_HTTP_H_
#define BASILSPREAD_PLATFORM_SRC_HTTP_H_

#include <Poco/Timespan.h>

#include <cstdint>
#include <string>

#include "basilspread/core/result.h"
#include "basilspread/core/time.h"

namespace basilspread::platform {

inline Poco::Timespan ToTimespan(Duration duration) {
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(duration);
  return Poco::Timespan(micros.count());
}

/// A call to a platform service.
struct HttpCall {
  std::string host;
  std::uint16_t port = 0;
  std::string method;
  std::string target;
  std::string body;
  Duration timeout{};
};

/// The body of a 2xx answer. Errors: kLogUnavailable when no byte was sent or
/// the service refused, kOutcomeUnknown when the answer was lost.
Result<std::string> Exchange(const HttpCall& call);

}  // namespace basilspread::platform

#endif  // BASILSPREAD_PLATFORM_SRC_HTTP_H_
