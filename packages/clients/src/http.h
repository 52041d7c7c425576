#ifndef BASILSPREAD_CLIENTS_SRC_HTTP_H_
#define BASILSPREAD_CLIENTS_SRC_HTTP_H_

#include <Poco/Timespan.h>

#include <cstdint>
#include <string>

#include "basilspread/core/result.h"
#include "basilspread/core/time.h"

namespace basilspread::clients {

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
  /// When set, the service may answer that this version is unchanged.
  std::string known_version;
  Duration timeout{};
};

struct HttpAnswer {
  int status = 0;
  std::string body;
  /// The service's name for this version of the resource; may be empty.
  std::string version;
};

/// The status that answers a call whose known version is unchanged.
inline constexpr int kNotModified = 304;

/// A 2xx or "not modified" answer. Errors: kLogUnavailable when no byte was
/// sent or the service refused the call, kOutcomeUnknown when the answer was
/// lost or the service failed.
Result<HttpAnswer> Send(const HttpCall& call);

/// The body of a 2xx answer. Errors: those of Send.
Result<std::string> Exchange(const HttpCall& call);

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_SRC_HTTP_H_
