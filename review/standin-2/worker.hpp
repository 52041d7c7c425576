// A stand-in of a server that runs tasks, as PROTOCOL.md tells it ("Running
// tasks", "Service discovery"). Its specification says how long a task runs:
// "MILLISECONDS done" or "MILLISECONDS failed".
#pragma once

#include <condition_variable>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <sstream>

#include "store.hpp"

namespace review {

inline std::int64_t UnixMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Everything that was sent, answered and run, with seconds since the start.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}

  void Write(const std::string& line) {
    const std::lock_guard lock(this->mutex);
    char time[32];
    std::snprintf(time, sizeof(time), "%8.3f  ", this->Seconds());
    this->file << time << line << std::endl;
  }
  double Seconds() const {
    return std::chrono::duration<double>(Clock::now() - this->began).count();
  }

 private:
  std::mutex mutex;
  std::ofstream file;
  const Clock::time_point began = Clock::now();
};

// Told of each start and end that really happens.
struct RunWatch {
  std::function<void(const std::string& server, const std::string& task,
                     std::uint64_t run)>
      on_start;
  std::function<void(const std::string& server, const std::string& task,
                     std::uint64_t run, const std::string& how)>
      on_end;
  // The end was listed and is taken note of, without a lapse in between.
  std::function<void(const std::string& server, const std::string& task,
                     std::uint64_t run, const std::string& how)>
      on_noted;
};

class Worker {
 public:
  struct Kind {
    std::int64_t cpu = 64000;
    std::int64_t memory = 262144;
    std::string label = "a";
  };

  Worker(std::string worker_id, Store& its_store, Record& its_record,
         RunWatch run_watch, std::string its_service, const Kind& its_kind)
      : id(std::move(worker_id)),
        store(its_store),
        record(its_record),
        watch(std::move(run_watch)),
        service(std::move(its_service)),
        server([this](const HttpRequest& request) {
          return this->Handle(request);
        }) {
    this->Begin(its_kind);
    std::thread([this] { this->Tick(); }).detach();
  }

  // Dies with all that it runs and starts again under its id after a while, in
  // which it answers nothing.
  void Crash(const Kind& next, Millis away) {
    {
      const std::lock_guard lock(this->mutex);
      this->is_dead = true;
      this->EndAll("gone");
    }
    this->server.ResetConnections();
    std::this_thread::sleep_for(away);
    const std::lock_guard lock(this->mutex);
    this->Begin(next);
    this->is_dead = false;
  }

  // Tells the store that it drains, and goes on for now.
  void Drain() {
    const std::lock_guard lock(this->mutex);
    this->state = "draining";
    this->next_beat = Clock::now();
  }

  // Leaves for good: its entry goes, and all that it runs ends.
  void Leave() {
    {
      const std::lock_guard lock(this->mutex);
      this->is_dead = true;
      this->EndAll("gone");
      this->store.Write("keyed.servers", this->id, "");
    }
    this->server.ResetConnections();
  }

  Millis SinceBeat() {
    const std::lock_guard lock(this->mutex);
    return std::chrono::duration_cast<Millis>(Clock::now() - this->last_beat);
  }

  // Calls of all servers, for the share that gets no answer.
  static std::atomic<int>& Calls() {
    static std::atomic<int> calls{0};
    return calls;
  }

  // Cut off from the store: beats don't arrive.
  std::atomic<bool> is_store_cut{false};
  // Leaves calls unanswered, and does nothing for them; `answers_left` calls of
  // hold are answered all the same once an end is to be told.
  std::atomic<bool> is_mute{false};
  std::atomic<int> answers_left{0};
  // So many of the next calls of hold get no answer and are carried out late.
  std::atomic<int> holds_to_delay{0};

  std::string Id() const { return this->id; }
  std::string Address() const { return this->server.Address(); }
  Kind CurrentKind() {
    const std::lock_guard lock(this->mutex);
    return this->kind;
  }
  std::size_t Running() {
    const std::lock_guard lock(this->mutex);
    return this->runs.size();
  }
  std::uint64_t Born() {
    const std::lock_guard lock(this->mutex);
    return this->born;
  }
  // The highest end of this life that was taken note of.
  std::uint64_t Acknowledged() {
    const std::lock_guard lock(this->mutex);
    return this->acknowledged;
  }
  // How often this life has answered a look.
  std::uint64_t LooksAnswered() {
    const std::lock_guard lock(this->mutex);
    return this->looks;
  }

 private:
  struct Run {
    std::uint64_t number = 0;
    Clock::time_point began;
    Clock::time_point ends_at;
    std::string how;

    int Percent() const {
      return static_cast<int>((Clock::now() - this->began) * 100 /
                              (this->ends_at - this->began));
    }
  };
  struct LateHold {
    Clock::time_point at;
    std::uint64_t fence;
    std::uint64_t noted;
    std::uint64_t life;
    bool is_over = false;
  };
  struct End {
    std::uint64_t number;
    std::string task;
    std::uint64_t run;
    std::string how;
    bool may_be_noted = true;
  };

  void Begin(const Kind& next) {
    this->kind = next;
    this->born = static_cast<std::uint64_t>(UnixMillis());
    this->started = Clock::now();
    this->fence = 0;
    this->deadline = 0;
    this->runs.clear();
    this->ended.clear();
    this->ends.clear();
    this->last_end = 0;
    this->acknowledged = 0;
    this->looks = 0;
    this->sequence = 0;
    this->next_beat = Clock::now();
    ++this->life;
    this->changed.notify_all();
  }

  std::int64_t ClockMs() const {
    return std::chrono::duration_cast<Millis>(Clock::now() - this->started)
        .count();
  }

  void EndRun(const std::string task, const std::string& how) {
    const auto found = this->runs.find(task);
    const std::uint64_t run = found->second.number;
    this->runs.erase(found);
    std::uint64_t& highest = this->ended[task];
    highest = std::max(highest, run);
    this->ends.push_back({++this->last_end, task, run, how});
    this->watch.on_end(this->id, task, run, how);
    this->changed.notify_all();
  }

  void EndAll(const std::string& how) {
    while (!this->runs.empty()) {
      this->EndRun(this->runs.begin()->first, how);
    }
  }

  void Tick() {
    while (true) {
      std::this_thread::sleep_for(Millis(5));
      const std::lock_guard lock(this->mutex);
      if (this->is_dead) {
        continue;
      }
      const auto now = Clock::now();
      if (this->ClockMs() >= this->deadline) {
        this->EndAll("lapsed");
        for (End& end : this->ends) {
          end.may_be_noted = false;
        }
      }
      std::vector<std::pair<std::string, std::string>> due;
      for (const auto& [task, run] : this->runs) {
        if (run.ends_at <= now) {
          due.emplace_back(task, run.how);
        }
      }
      for (const auto& [task, how] : due) {
        this->EndRun(task, how);
      }
      this->CarryOutLate();
      this->Beat(now);
    }
  }

  // The store drops an entry after three beats of silence.
  void Beat(Clock::time_point now) {
    constexpr Millis kBeat(1500);
    if (this->is_store_cut) {
      if (this->is_listed && now >= this->last_beat + 3 * kBeat) {
        this->store.Write("keyed.servers", this->id, "");
        this->is_listed = false;
        this->record.Write("the store drops the entry of " + this->id);
      }
      return;
    }
    if (now < this->next_beat && this->is_listed) {
      return;
    }
    this->next_beat = now + kBeat;
    this->last_beat = now;
    this->is_listed = true;
    this->store.Write(
        "keyed.servers", this->id,
        "{\"service\":" + Quote(this->service) + ",\"address\":\"" +
            this->Address() +
            "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":8,"
            "\"state\":\"" +
            this->state + "\",\"coldRemainingMs\":0,\"machine\":\"m-" +
            this->id + "\",\"capacity\":{\"cpu\":" +
            std::to_string(this->kind.cpu) + ",\"memoryRequestMb\":" +
            std::to_string(this->kind.memory) + ",\"gpu\":0},\"labels\":[" +
            Quote(this->kind.label) + ",\"r1-1\"],\"clockMs\":" +
            std::to_string(this->ClockMs()) + ",\"born\":" +
            std::to_string(this->born) + ",\"sequence\":" +
            std::to_string(++this->sequence) + "}");
  }

  static HttpResponse Silence() {
    HttpResponse none;
    none.silent = true;
    return none;
  }

  HttpResponse Refuse(const std::string& reason) const {
    return {409, "{\"clockMs\":" + std::to_string(this->ClockMs()) +
                     ",\"reason\":\"" + reason + "\",\"born\":" +
                     std::to_string(this->born) + "}"};
  }
  HttpResponse Done() const {
    return {200, "{\"clockMs\":" + std::to_string(this->ClockMs()) +
                     ",\"born\":" + std::to_string(this->born) + "}"};
  }

  HttpResponse Handle(const HttpRequest& request) {
    if (request.path == "/health") {
      return {200, ""};
    }
    ++Calls();
    std::unique_lock lock(this->mutex);
    if (this->is_dead) {
      HttpResponse none;
      none.closes = true;
      return none;
    }
    const bool is_excepted = request.path == "/v1/hold" &&
                             this->answers_left > 0 && !this->ends.empty();
    if (this->is_mute && !is_excepted) {
      return Silence();
    }
    this->answers_left -= this->is_mute ? 1 : 0;
    const auto expected = request.headers.find("expect-instance");
    if (expected != request.headers.end() && expected->second != this->id) {
      return {421, "{}"};
    }
    rapidjson::Document body;
    body.Parse(request.body.c_str());
    if (body.HasParseError() || !body.IsObject()) {
      return {400, "{}"};
    }
    const std::uint64_t order_fence = body.HasMember("fencingToken")
                                          ? body["fencingToken"].GetUint64()
                                          : 0;
    if (order_fence < this->fence) {
      return this->Refuse("fence");
    }
    if (request.path == "/v1/hold" && this->holds_to_delay > 0) {
      --this->holds_to_delay;
      const std::uint64_t noted = body.HasMember("ackedThrough")
                                      ? body["ackedThrough"].GetUint64()
                                      : 0;
      this->record.Write(this->id + " leaves a hold unanswered (ackedThrough " +
                         std::to_string(noted) +
                         ") and carries it out 3 s later");
      this->late.push_back({Clock::now() + Millis(3000), order_fence, noted,
                            this->life});
      return Silence();
    }
    this->fence = order_fence;
    if (request.path == "/v1/hold") {
      return this->Hold(body, is_excepted, lock);
    }
    const std::string task = body["task"].GetString();
    const std::uint64_t run = body["run"].GetUint64();
    if (request.path == "/v1/run-start") {
      return this->Start(body, task, run);
    }
    if (request.path == "/v1/run-stop") {
      return this->Stop(task, run);
    }
    return {404, "{}"};
  }

  void Extend(const rapidjson::Document& body) {
    if (body.HasMember("deadlineMs")) {
      this->deadline =
          std::max(this->deadline, std::min(body["deadlineMs"].GetInt64(),
                                            this->ClockMs() + 6000));
    }
  }

  HttpResponse Start(const rapidjson::Document& body, const std::string& task,
                     std::uint64_t run) {
    const auto present = this->runs.find(task);
    if (present != this->runs.end() && present->second.number == run) {
      return this->Done();
    }
    const auto highest = this->ended.find(task);
    const bool is_old =
        (highest != this->ended.end() && run <= highest->second) ||
        present != this->runs.end();
    this->Extend(body);
    if (is_old) {
      return this->Refuse("old");
    }
    if (body["deadlineMs"].GetInt64() <= this->ClockMs()) {
      return this->Refuse("late");
    }
    std::istringstream words(body["specification"].GetString());
    std::int64_t time = 0;
    Run fresh;
    words >> time >> fresh.how;
    fresh.number = run;
    fresh.began = Clock::now();
    fresh.ends_at = fresh.began + Millis(time);
    this->runs[task] = fresh;
    this->watch.on_start(this->id, task, run);
    return this->Done();
  }

  HttpResponse Stop(const std::string& task, std::uint64_t run) {
    const auto present = this->runs.find(task);
    if (present != this->runs.end() && present->second.number == run) {
      present->second.how = "stopped";
      present->second.ends_at =
          std::min(present->second.ends_at, Clock::now() + Millis(50));
    } else {
      std::uint64_t& highest = this->ended[task];
      highest = std::max(highest, run);
    }
    return this->Done();
  }

  void Note(std::uint64_t noted) {
    while (!this->ends.empty() && this->ends.front().number <= noted) {
      const End end = this->ends.front();
      this->ends.pop_front();
      this->acknowledged = end.number;
      if (end.may_be_noted) {
        this->watch.on_noted(this->id, end.task, end.run, end.how);
      }
    }
  }

  void CarryOutLate() {
    for (LateHold& late : this->late) {
      if (late.at > Clock::now() || late.is_over) {
        continue;
      }
      late.is_over = true;
      const bool is_obeyed =
          late.fence >= this->fence && late.life == this->life;
      this->record.Write(this->id + (is_obeyed
                                         ? " carries out the late hold"
                                         : " refuses the late hold (fence)"));
      if (is_obeyed) {
        this->fence = late.fence;
        this->Note(late.noted);
      }
    }
  }

  HttpResponse Hold(const rapidjson::Document& body, bool is_excepted,
                    std::unique_lock<std::mutex>& lock) {
    const std::uint64_t noted = body.HasMember("ackedThrough")
                                    ? body["ackedThrough"].GetUint64()
                                    : 0;
    this->Extend(body);
    this->Note(noted);
    const std::uint64_t began_life = this->life;
    if (body.HasMember("waitMs")) {
      this->changed.wait_for(
          lock, Millis(body["waitMs"].GetInt64()),
          [&] { return !this->ends.empty() || this->life != began_life; });
    }
    if (this->is_mute && !is_excepted) {
      return Silence();
    }
    ++this->looks;
    std::string running;
    for (const auto& [task, run] : this->runs) {
      running += (running.empty() ? "" : ",") + std::string("[\"") + task +
                 "\"," + std::to_string(run.number) + ",\"\"," +
                 std::to_string(std::clamp(run.Percent(), 0, 99)) + ",0]";
    }
    std::string listed;
    std::size_t count = 0;
    for (const End& end : this->ends) {
      if (count++ == 500) {
        break;
      }
      listed += (listed.empty() ? "" : ",") + std::string("[") +
                std::to_string(end.number) + ",\"" + end.task + "\"," +
                std::to_string(end.run) + ",\"" + end.how + "\",\"\"]";
    }
    return {200, "{\"clockMs\":" + std::to_string(this->ClockMs()) +
                     ",\"born\":" + std::to_string(this->born) +
                     ",\"running\":[" + running + "],\"endedRuns\":[" + listed +
                     "]}"};
  }

  const std::string id;
  Store& store;
  Record& record;
  const RunWatch watch;
  const std::string service;
  std::mutex mutex;
  std::condition_variable changed;
  Kind kind;
  std::uint64_t born = 0;
  std::uint64_t life = 0;
  bool is_dead = false;
  std::string state = "ready";
  Clock::time_point started;
  std::uint64_t fence = 0;
  std::int64_t deadline = 0;
  std::map<std::string, Run> runs;
  std::map<std::string, std::uint64_t> ended;
  std::deque<End> ends;
  std::vector<LateHold> late;
  std::uint64_t last_end = 0;
  std::uint64_t acknowledged = 0;
  std::uint64_t looks = 0;
  std::uint64_t sequence = 0;
  bool is_listed = false;
  Clock::time_point next_beat;
  Clock::time_point last_beat;
  HttpServer server;
};

}  // namespace review
