#ifndef BASILSPREAD_CLIENTS_SRC_HTTP_H_
#define BASILSPREAD_CLIENTS_SRC_HTTP_H_

#include <Poco/Timespan.h>

#include <cstdint>
#include <string>

#include "basilspread/clients/response_memory.h"
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
  /// If set, the service may answer kNotModified for this version.
  std::string known_version;
  Duration timeout{};
  OpenResponse open_response;
};

struct HttpAnswer {
  int status = 0;
  std::string body;
  /// The version (ETag) of the resource; may be empty.
  std::string version;
};

/// HTTP status for a resource that is unchanged since the known version.
inline constexpr int kNotModified = 304;

/// Sends a call and returns its 2xx or 304 answer. Errors: kLogUnavailable if
/// nothing was sent or the service refused the call, kOutcomeUnknown if the
/// answer was lost or the service failed.
Result<HttpAnswer> Send(const HttpCall& call);

/// Sends a call and returns the body of its answer. Errors: those of Send.
Result<std::string> Exchange(const HttpCall& call);

}  // namespace basilspread::clients

#endif  // BASILSPREAD_CLIENTS_SRC_HTTP_H_
