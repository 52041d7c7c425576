#include <Poco/Base64Encoder.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
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

constexpr std::chrono::milliseconds kSlowAnswer(700);

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
    const std::string mode = this->AwaitMode();
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

  /// The mode in force once the request may go on.
  std::string AwaitMode() {
    std::unique_lock lock(this->mutex);
    if (this->mode == "slow") {
      this->changed.wait_for(lock, kSlowAnswer,
                             [this] { return this->mode != "slow"; });
    }
    if (this->mode == "freeze") {
      this->changed.wait(lock, [this] { return this->mode != "freeze"; });
      // Whoever sent this has given it up long ago.
      return "down";
    }
    return this->mode;
  }

  /// up, down, slow, lose-answers, freeze, or: expire STREAM COUNT.
  void Control(const std::string& words) {
    std::istringstream in(words);
    std::string word;
    std::string stream;
    std::size_t count = 0;
    in >> word >> stream >> count;
    const std::lock_guard lock(this->mutex);
    if (word == "expire") {
      this->Expire(this->streams["streams/" + stream], count);
      return;
    }
    this->mode = word;
    this->changed.notify_all();
  }

  static void Expire(Stream& stream, std::size_t kept) {
    if (stream.records.size() <= kept) {
      return;
    }
    const std::size_t dropped = stream.records.size() - kept;
    stream.records.erase(
        stream.records.begin(),
        stream.records.begin() + static_cast<std::ptrdiff_t>(dropped));
    stream.first += dropped;
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
  std::condition_variable changed;
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
