#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>

#include <algorithm>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include "standin.h"

namespace standin {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

std::string EncodeBase64(const std::string& bytes) {
  std::ostringstream out;
  Poco::Base64Encoder encoder(out);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return out.str();
}

/// An append-only log in memory.
class Log {
 public:
  void Handle(HTTPServerRequest& request, HTTPServerResponse& response) {
    const Poco::URI uri(request.getURI());
    if (uri.getPath() == "/control") {
      this->Control(ReadBody(request));
      Reply(response, 200, "");
      return;
    }
    const std::string mode = this->Mode();
    if (mode == "down") {
      Reply(response, 503, "down");
      return;
    }
    const std::string stream = uri.getPath().substr(1);
    if (request.getMethod() == "POST") {
      const std::string answer = this->Append(stream, ReadBody(request));
      // The record stands, but its writer does not hear of it.
      Reply(response, mode == "lose-answers" ? 500 : 200, answer);
      return;
    }
    Reply(response, 200, this->Read(stream, uri));
  }

 private:
  struct Stream {
    std::size_t first = 0;
    std::vector<std::string> records;
  };

  std::string Mode() {
    const std::lock_guard lock(this->mutex);
    return this->mode;
  }

  void Control(const std::string& new_mode) {
    const std::lock_guard lock(this->mutex);
    this->mode = new_mode;
  }

  std::string Append(const std::string& name, const std::string& record) {
    const std::lock_guard lock(this->mutex);
    Stream& stream = this->streams[name];
    stream.records.push_back(record);
    const std::size_t offset = stream.first + stream.records.size() - 1;
    return "{\"offset\":" + std::to_string(offset) + "}";
  }

  std::string Read(const std::string& name, const Poco::URI& uri) {
    std::size_t from = 0;
    std::size_t max = 256;
    for (const auto& [key, value] : uri.getQueryParameters()) {
      (key == "from" ? from : max) = std::stoull(value);
    }
    const std::lock_guard lock(this->mutex);
    const Stream& stream = this->streams[name];
    const std::size_t end = stream.first + stream.records.size();
    from = std::clamp(from, stream.first, end);
    const std::size_t next = std::min(end, from + max);
    Poco::JSON::Array records;
    for (std::size_t offset = from; offset < next; ++offset) {
      Poco::JSON::Object record;
      record.set("offset", offset);
      record.set("data", EncodeBase64(stream.records[offset - stream.first]));
      records.add(record);
    }
    Poco::JSON::Object root;
    root.set("first", stream.first);
    root.set("next", next);
    root.set("end", next == end);
    root.set("records", records);
    std::ostringstream out;
    root.stringify(out);
    return out.str();
  }

  std::mutex mutex;
  std::string mode = "up";
  std::map<std::string, Stream> streams;
};

}  // namespace

Handler MakeLog() {
  const auto log = std::make_shared<Log>();
  return [log](HTTPServerRequest& request, HTTPServerResponse& response) {
    log->Handle(request, response);
  };
}

}  // namespace standin
