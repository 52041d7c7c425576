#include <fmt/format.h>

#include <memory>
#include <sstream>
#include <string>

#include "standin.h"
#include "support/proxy.h"

namespace standin {
namespace {

/// What the words ask for: pass, cut, silence, silence-forth, silence-back,
/// delay MS, or silence-open: what is open goes silent for good, new
/// connections work.
test::LinkChange Parse(const std::string& words) {
  std::istringstream in(words);
  std::string word;
  int delay_ms = 0;
  in >> word >> delay_ms;
  test::LinkChange change;
  change.holds_requests = word == "silence" || word == "silence-forth";
  change.holds_answers = word == "silence" || word == "silence-back";
  change.delay = std::chrono::milliseconds(delay_ms);
  change.resets = word == "cut";
  change.refuses = word == "cut";
  change.silences = word == "silence-open";
  return change;
}

}  // namespace

Handler MakeLink(std::uint16_t port, std::uint16_t target) {
  const auto proxy = std::make_shared<test::Proxy>();
  const std::string address = fmt::format("127.0.0.1:{}", port);
  proxy->Listen(address, fmt::format("127.0.0.1:{}", target));
  proxy->Start();
  return [proxy, address](Poco::Net::HTTPServerRequest& request,
                          Poco::Net::HTTPServerResponse& response) {
    proxy->Change(address, Parse(ReadBody(request)));
    Reply(response, 200, "");
  };
}

}  // namespace standin
