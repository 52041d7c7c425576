#ifndef BASILSPREAD_TESTS_SUPPORT_HTTP_H_
#define BASILSPREAD_TESTS_SUPPORT_HTTP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace test {

using Headers = std::map<std::string, std::string>;

/// A response; status 0 when none came.
struct Response {
  int status = 0;
  Headers headers;
  std::string body;
};

/// One exchange with 127.0.0.1 over a new connection.
Response Call(std::uint16_t port, const std::string& method,
              const std::string& target, const std::string& body = "",
              const Headers& headers = {},
              std::chrono::milliseconds timeout = std::chrono::seconds(30));

}  // namespace test

#endif  // BASILSPREAD_TESTS_SUPPORT_HTTP_H_
