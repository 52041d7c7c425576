#include <fmt/format.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include "standin.h"

namespace standin {
namespace {

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kDribbledBytes = 1000;
constexpr std::chrono::milliseconds kDribbleInterval(50);

/// Runs requests, each for the time its X-Work header states in
/// milliseconds, and keeps count of what a scheduler must never do. A call of
/// /mode/fail makes it fail at once, /mode/dribble makes its answers trickle,
/// /mode/ok ends either.
class Minion {
 public:
  Minion(std::string minion_name, int slot_count)
      : name(std::move(minion_name)), slots(slot_count) {}

  void Handle(HTTPServerRequest& request, HTTPServerResponse& response) {
    if (request.getURI() == "/stats") {
      Reply(response, 200, this->Stats());
      return;
    }
    if (request.getURI().starts_with(kModePrefix)) {
      this->SetMode(request.getURI().substr(kModePrefix.size()));
      Reply(response, 200, "");
      return;
    }
    if (request.getURI() == "/runs") {
      Reply(response, 200, this->Runs());
      return;
    }
    const std::string body = ReadBody(request);
    this->Count(request.get("X-Request-Id", ""));
    const std::string mode = this->Mode();
    if (mode == "fail") {
      this->Work(std::chrono::milliseconds(0));
      Reply(response, 503, "");
      return;
    }
    if (mode == "dribble") {
      this->Dribble(response);
      return;
    }
    const int work = std::stoi(request.get("X-Work", "0"));
    this->Work(std::chrono::milliseconds(work));
    response.set("X-Minion", this->name);
    Reply(response, 200, body);
  }

 private:
  std::string Stats() {
    const std::lock_guard lock(this->mutex);
    return fmt::format(
        R"({{"ran":{},"running":{},"peak":{},"overcommits":{}}})", this->ran,
        this->running, this->peak, this->overcommits);
  }

  void Count(const std::string& id) {
    const std::lock_guard lock(this->mutex);
    if (!id.empty()) {
      ++this->runs[id];
    }
  }

  /// How often each X-Request-Id ran, one "ID COUNT" a line.
  std::string Runs() {
    const std::lock_guard lock(this->mutex);
    std::string text;
    for (const auto& [id, count] : this->runs) {
      text += fmt::format("{} {}\n", id, count);
    }
    return text;
  }

  void Work(std::chrono::milliseconds duration) {
    std::unique_lock lock(this->mutex);
    ++this->ran;
    ++this->running;
    this->peak = std::max(this->peak, this->running);
    if (this->running > this->slots) {
      ++this->overcommits;
    }
    this->never.wait_for(lock, duration, [] { return false; });
    --this->running;
  }

  std::string Mode() {
    const std::lock_guard lock(this->mutex);
    return this->mode;
  }

  void SetMode(std::string new_mode) {
    const std::lock_guard lock(this->mutex);
    this->mode = std::move(new_mode);
  }

  void Dribble(HTTPServerResponse& response) {
    response.setContentLength(kDribbledBytes);
    std::ostream& out = response.send();
    for (int i = 0; i < kDribbledBytes && out.good(); ++i) {
      out << 'x' << std::flush;
      this->Work(kDribbleInterval);
    }
  }

  static constexpr std::string_view kModePrefix = "/mode/";

  const std::string name;
  const int slots;
  std::mutex mutex;
  std::string mode = "ok";
  std::condition_variable never;
  int ran = 0;
  int running = 0;
  int peak = 0;
  int overcommits = 0;
  std::map<std::string, int> runs;
};

}  // namespace

Handler MakeMinion(const std::string& name, int slots) {
  const auto minion = std::make_shared<Minion>(name, slots);
  return [minion](HTTPServerRequest& request, HTTPServerResponse& response) {
    minion->Handle(request, response);
  };
}

}  // namespace standin
