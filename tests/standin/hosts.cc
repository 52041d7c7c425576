#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "standin.h"

namespace standin {

/// GET /hosts gives the list, or 304 to a caller that has this version;
/// PUT /hosts replaces it.
Handler MakeHostList() {
  struct HostList {
    std::mutex mutex;
    std::string json = R"({"hosts":[]})";
    std::uint64_t version = 1;
  };
  const auto list = std::make_shared<HostList>();
  return [list](Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& response) {
    if (request.getMethod() == "PUT") {
      const std::string body = ReadBody(request);
      const std::lock_guard lock(list->mutex);
      list->json = body;
      ++list->version;
    }
    std::string json;
    std::string version;
    {
      const std::lock_guard lock(list->mutex);
      json = list->json;
      version = "\"" + std::to_string(list->version) + "\"";
    }
    response.set("ETag", version);
    if (request.get("If-None-Match", "") == version) {
      Reply(response, 304, "");
      return;
    }
    Reply(response, 200, json);
  };
}

}  // namespace standin
