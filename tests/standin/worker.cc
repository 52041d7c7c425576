#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <fmt/format.h>

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "standin.h"

namespace standin {
namespace {

using Clock = std::chrono::steady_clock;
using Poco::JSON::Array;
using Poco::JSON::Object;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kConflict = 409;
constexpr int kFailed = 500;
constexpr std::chrono::milliseconds kDefaultLease(15000);

using TaskKey = std::pair<std::string, unsigned>;

/// One attempt. Its command is "work MS", "fail MS" or "forever".
struct WorkerTask {
  std::int64_t cpu = 0;
  std::int64_t memory = 0;
  std::int64_t accelerators = 0;
  std::string state = "running";
  std::string detail;
  bool fails = false;
  Clock::time_point started;
  /// When its work is done; unset: never by itself.
  std::optional<Clock::time_point> done;
  Clock::time_point lease_end;
  std::optional<Clock::time_point> ended;
  int checkpoints = 0;
};

std::int64_t ToMilliseconds(Clock::time_point point) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             point.time_since_epoch())
      .count();
}

/// Starts what it is given, whether it fits or not, and keeps count of what a
/// scheduler must never do. Its tasks need no thread: what has become of them
/// is worked out from the clock whenever somebody asks.
class Worker {
 public:
  explicit Worker(const WorkerCapacity& worker_capacity)
      : capacity(worker_capacity) {}

  void Handle(HTTPServerRequest& request, HTTPServerResponse& response) {
    const std::string body = ReadBody(request);
    if (request.getURI() == "/control") {
      this->Control(body);
      Reply(response, kOk, "");
      return;
    }
    if (request.getURI() == "/stats") {
      Reply(response, kOk, this->Stats());
      return;
    }
    this->AwaitThaw();
    std::string answer;
    int status = kOk;
    try {
      const std::lock_guard lock(this->mutex);
      status = this->Run(request.getMethod(), request.getURI(), body, answer);
    } catch (const Poco::Exception& exception) {
      status = kBadRequest;
      answer = exception.displayText();
    }
    // What was asked for is done, but its caller does not hear of it.
    Reply(response, this->LosesAnswers() ? kFailed : status, answer);
  }

 private:
  void Control(const std::string& new_mode) {
    const std::lock_guard lock(this->mutex);
    this->Advance();
    this->mode = new_mode;
    this->mode_changed.notify_all();
  }

  void AwaitThaw() {
    std::unique_lock lock(this->mutex);
    if (this->mode.starts_with("slow ")) {
      const std::chrono::milliseconds delay(std::stoi(this->mode.substr(5)));
      this->mode_changed.wait_for(lock, delay, [] { return false; });
    }
    this->mode_changed.wait(lock, [this] { return this->mode != "freeze"; });
  }

  bool LosesAnswers() {
    const std::lock_guard lock(this->mutex);
    return this->mode == "lose-answers";
  }

  /// Ends the tasks whose work is done or whose lease has lapsed.
  void Advance() {
    const Clock::time_point now = Clock::now();
    for (auto& [key, task] : this->tasks) {
      if (task.state != "running") {
        continue;
      }
      const bool has_lapsed =
          task.lease_end <= now && this->mode != "ignore-leases";
      if (task.done && *task.done <= now &&
          (!has_lapsed || *task.done <= task.lease_end)) {
        End(task, task.fails ? "failed" : "succeeded", *task.done);
      } else if (has_lapsed) {
        End(task, "stopped", task.lease_end);
        task.detail = "the lease lapsed";
      }
    }
  }

  static void End(WorkerTask& task, const std::string& state,
                  Clock::time_point at) {
    task.state = state;
    task.ended = at;
  }

  /// Status of the answer. Throws Poco::Exception for a malformed body.
  int Run(const std::string& method, const std::string& uri,
          const std::string& body, std::string& answer) {
    this->Advance();
    ++this->calls;
    Object::Ptr root = Poco::JSON::Parser()
                           .parse(body.empty() ? "{}" : body)
                           .extract<Object::Ptr>();
    if (method == "GET" && uri == "/tasks") {
      answer = this->List();
      return kOk;
    }
    const auto epoch_given = root->getValue<std::uint64_t>("epoch");
    if (epoch_given < this->epoch) {
      this->old_epoch_starts += CountStarts(uri, *root);
      answer = fmt::format(R"({{"epoch":{}}})", this->epoch);
      return kConflict;
    }
    this->epoch = epoch_given;
    this->lease = std::chrono::milliseconds(
        root->optValue<std::int64_t>("lease_ms", kDefaultLease.count()));
    const int status = this->RunCommands(uri, root);
    answer = this->List();
    return status;
  }

  int RunCommands(const std::string& uri, Object::Ptr& root) {
    if (uri == "/commands") {
      const Array::Ptr commands = root->getArray("commands");
      for (unsigned i = 0; i < commands->size(); ++i) {
        const Object::Ptr command = commands->getObject(i);
        this->RunCommand(command->getValue<std::string>("op"), *command);
      }
      return kOk;
    }
    if (uri == "/lease") {
      return kOk;
    }
    if (uri == "/tasks") {
      return this->RunCommand("start", *root);
    }
    if (uri == "/renew") {
      return this->RunCommand("renew", *root);
    }
    const std::size_t last = uri.rfind('/');
    root->set("task", uri.substr(7, last - 7));
    return this->RunCommand(uri.substr(last + 1), *root);
  }

  int RunCommand(const std::string& operation, const Object& command) {
    if (operation == "renew") {
      this->Renew(*command.getArray("tasks"));
      return kOk;
    }
    const TaskKey key{command.getValue<std::string>("task"),
                      command.getValue<unsigned>("attempt")};
    if (operation == "start") {
      return this->Start(key, command);
    }
    WorkerTask& task = this->tasks[key];
    if (operation == "checkpoint") {
      ++task.checkpoints;
    } else if (task.state == "running") {
      // An attempt that was never started here is refused from now on, too.
      End(task, "stopped", Clock::now());
    }
    return kOk;
  }

  int Start(const TaskKey& key, const Object& command) {
    const auto known = this->tasks.find(key);
    if (known != this->tasks.end()) {
      return known->second.state == "stopped" ? kConflict : kOk;
    }
    WorkerTask task;
    task.cpu = command.getValue<std::int64_t>("cpu_millicores");
    task.memory = command.getValue<std::int64_t>("memory_mebibytes");
    task.accelerators = command.getValue<std::int64_t>("accelerators");
    task.started = Clock::now();
    task.lease_end = task.started + this->lease;
    std::istringstream words(command.getValue<std::string>("command"));
    std::string verb;
    int milliseconds = 0;
    words >> verb >> milliseconds;
    task.fails = verb == "fail";
    if (verb != "forever") {
      task.done = task.started + std::chrono::milliseconds(milliseconds);
    }
    if (this->mode == "fail-starts") {
      End(task, "failed", task.started);
      task.detail = "the worker cannot start tasks";
    }
    ++this->starts;
    this->CountDoubles(key, task);
    this->tasks[key] = task;
    this->CountOvercommit();
    return kOk;
  }

  void CountDoubles(const TaskKey& key, const WorkerTask& task) {
    for (const auto& [other, other_task] : this->tasks) {
      if (other.first == key.first && other_task.state == "running" &&
          task.state == "running") {
        ++this->doubles;
      }
    }
  }

  void CountOvercommit() {
    WorkerCapacity used;
    for (const auto& [key, task] : this->tasks) {
      if (task.state == "running") {
        used.cpu_millicores += task.cpu;
        used.memory_mebibytes += task.memory;
        used.accelerators += task.accelerators;
      }
    }
    if (used.cpu_millicores > this->capacity.cpu_millicores ||
        used.memory_mebibytes > this->capacity.memory_mebibytes ||
        used.accelerators > this->capacity.accelerators) {
      ++this->overcommits;
    }
  }

  void Renew(const Array& names) {
    for (unsigned i = 0; i < names.size(); ++i) {
      const Object::Ptr name = names.getObject(i);
      const auto task =
          this->tasks.find(TaskKey{name->getValue<std::string>("task"),
                                   name->getValue<unsigned>("attempt")});
      if (task != this->tasks.end()) {
        task->second.lease_end = Clock::now() + this->lease;
      }
    }
  }

  static int CountStarts(const std::string& uri, const Object& root) {
    if (uri == "/tasks") {
      return 1;
    }
    const Array::Ptr commands = root.getArray("commands");
    int count = 0;
    for (unsigned i = 0; !commands.isNull() && i < commands->size(); ++i) {
      const auto operation =
          commands->getObject(i)->getValue<std::string>("op");
      count += operation == "start" ? 1 : 0;
    }
    return count;
  }

  std::string List() const {
    Array list;
    for (const auto& [key, task] : this->tasks) {
      Object object;
      object.set("task", key.first);
      object.set("attempt", key.second);
      object.set("state", task.state);
      object.set("detail", task.detail);
      object.set("cpu_millicores", task.state == "running" ? task.cpu : 0);
      list.add(object);
    }
    Object root;
    root.set("epoch", this->epoch);
    root.set("tasks", list);
    std::ostringstream out;
    root.stringify(out);
    return out.str();
  }

  /// Counters, and when each attempt ran on the machine's monotonic clock.
  std::string Stats() {
    const std::lock_guard lock(this->mutex);
    this->Advance();
    Array runs;
    for (const auto& [key, task] : this->tasks) {
      if (task.started == Clock::time_point()) {
        continue;
      }
      Object run;
      run.set("task", key.first);
      run.set("attempt", key.second);
      run.set("state", task.state);
      run.set("checkpoints", task.checkpoints);
      run.set("from", ToMilliseconds(task.started));
      run.set("to", ToMilliseconds(task.ended.value_or(Clock::now())));
      runs.add(run);
    }
    Object root;
    root.set("epoch", this->epoch);
    root.set("calls", this->calls);
    root.set("starts", this->starts);
    root.set("overcommits", this->overcommits);
    root.set("doubles", this->doubles);
    root.set("old_epoch_starts", this->old_epoch_starts);
    root.set("runs", runs);
    std::ostringstream out;
    root.stringify(out);
    return out.str();
  }

  const WorkerCapacity capacity;
  std::mutex mutex;
  std::condition_variable mode_changed;
  std::string mode = "normal";
  std::uint64_t epoch = 0;
  std::chrono::milliseconds lease = kDefaultLease;
  std::map<TaskKey, WorkerTask> tasks;
  int calls = 0;
  int starts = 0;
  int overcommits = 0;
  int doubles = 0;
  int old_epoch_starts = 0;
};

}  // namespace

Handler MakeWorker(const WorkerCapacity& capacity) {
  const auto worker = std::make_shared<Worker>(capacity);
  return [worker](HTTPServerRequest& request, HTTPServerResponse& response) {
    worker->Handle(request, response);
  };
}

}  // namespace standin
