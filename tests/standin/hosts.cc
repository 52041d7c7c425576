#include <memory>
#include <mutex>
#include <string>

#include "standin.h"

namespace standin {

/// GET /hosts gives the list, PUT /hosts replaces it.
Handler MakeHostList() {
  struct HostList {
    std::mutex mutex;
    std::string json = R"({"hosts":[]})";
  };
  const auto list = std::make_shared<HostList>();
  return [list](Poco::Net::HTTPServerRequest& request,
                Poco::Net::HTTPServerResponse& response) {
    if (request.getMethod() == "PUT") {
      const std::string body = ReadBody(request);
      const std::lock_guard lock(list->mutex);
      list->json = body;
    }
    std::string json;
    {
      const std::lock_guard lock(list->mutex);
      json = list->json;
    }
    Reply(response, 200, json);
  };
}

}  // namespace standin
