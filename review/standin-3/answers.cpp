// A process is killed while the leader holds the answer to a call that it
// passed on, and is started again at once. A caller then asks the new run of
// the process for the state of other work, which runs all the while.
#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>

#include "standin.hpp"

namespace {

using namespace standin3;

constexpr int kEntries = 3;
constexpr int kWorkers = 8;
constexpr int kRounds = 5;
constexpr std::int64_t kShortMs = 700;
/// How long before the end of the short work its state is asked for.
constexpr std::int64_t kAskBeforeMs = 120;
constexpr std::int64_t kEndMs = 100'000;

std::string MakeBody(std::int64_t duration_ms) {
  return "{\"specification\":\"" + std::to_string(duration_ms) +
         "\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memoryRequestMb\":100,"
         "\"estimatedMs\":" +
         std::to_string(duration_ms) + "}]}";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "usage: answers BINARY FOLDER RECORD TROUBLE\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  const bool has_trouble = std::string(argv[4]) != "0";
  Record record(argv[3]);
  record.Write(std::string("trouble ") + (has_trouble ? "1" : "0"));
  ServerLoop server;
  Store store(server);
  const int advisor = server.Listen(
      [](const HttpRequest&, const Respond& respond) { respond({404, "{}"}); });
  std::vector<std::unique_ptr<Worker>> workers;
  std::mutex mutex;
  std::map<std::string, std::int64_t> started;
  std::set<std::string> running;
  for (int i = 0; i < kWorkers; ++i) {
    Worker::Options options;
    options.id = "i-" + MakeId(static_cast<std::uint64_t>(i) + 1).substr(0, 8);
    options.rack = "r1-" + std::to_string(i / 4);
    options.stop_ms = 100;
    options.duration_ms = [](const std::string& specification) {
      return std::atoll(specification.c_str());
    };
    options.checkpoint = [](const RunInfo&) { return std::string(); };
    options.on_event = [&](const std::string& what, const RunInfo& run) {
      const std::lock_guard lock(mutex);
      if (what == "start") {
        started[run.task.substr(0, 16)] = NowMs();
        running.insert(run.task);
      } else {
        running.erase(run.task);
      }
      record.Write(what + " " + run.task + " run " + std::to_string(run.run) +
                   " on " + run.worker);
    };
    workers.push_back(std::make_unique<Worker>(server, store, options));
  }
  store.Put("keyed.op", "config",
            MakeConfig(3, {{"plans", "/plans/"}}, "work"));
  server.Start();
  std::vector<std::unique_ptr<Entry>> entries;
  for (int i = 0; i < kEntries; ++i) {
    entries.push_back(std::make_unique<Entry>(Entry::Options{
        argv[1], argv[2], "front-" + std::to_string(i + 1), "glasgow",
        store.port, advisor, 260, ""}));
    entries.back()->Start();
  }
  const auto finish = [&](int status) {
    for (auto& entry : entries) {
      entry->Kill(SIGKILL);
    }
    server.Stop();
    record.Write("exit " + std::to_string(status));
    return status;
  };
  const auto ask = [&](Entry& entry, const std::string& method,
                       const std::string& id, const std::string& body) {
    const Reply reply =
        Call(entry.http, method, "/plans/" + id, body, 3000);
    record.Write(method + " " + id + " at " + entry.options.name + ": " +
                 std::to_string(reply.status) + " " + reply.body);
    return reply;
  };
  const auto wait_ready = [&](Entry& entry) {
    const std::int64_t until = NowMs() + 5000;
    while (NowMs() < until) {
      if (Call(entry.ready, "GET", "/v1/readiness", "", 500).status == 200) {
        return true;
      }
      usleep(2000);
    }
    return false;
  };
  // The leader is asked for nothing; another process takes the ordinary calls,
  // and the third one is the one that is killed.
  usleep(2'000'000);
  const std::string owner = store.Owner();
  std::vector<Entry*> others;
  for (auto& entry : entries) {
    if (owner.find(entry->options.name) == std::string::npos) {
      others.push_back(entry.get());
    }
  }
  if (others.size() != kEntries - 1 || !wait_ready(*others[0]) ||
      !wait_ready(*others[1])) {
    record.Write("no leader at the start");
    return finish(2);
  }
  Entry& usual = *others[0];
  Entry& killed = *others[1];
  std::uint64_t number = 3000;
  const std::string lasting = MakeId(++number);
  if (ask(usual, "POST", lasting, MakeBody(600'000)).status != 200) {
    return finish(2);
  }
  usleep(500'000);
  int wrong = 0;
  int rounds = 0;
  for (int round = 0; round < kRounds && NowMs() < kEndMs - 6000; ++round) {
    // A fresh run of the process, which has reported to the leader. Without
    // trouble it is never restarted.
    if (has_trouble) {
      killed.Kill(SIGKILL);
      record.Write("SIGKILL for " + killed.options.name + "; started again");
      killed.Start();
      if (!wait_ready(killed)) {
        return finish(2);
      }
    }
    usleep(1'500'000);
    const std::string brief = MakeId(++number);
    if (ask(usual, "POST", brief, MakeBody(kShortMs)).status != 200) {
      continue;
    }
    std::int64_t began = 0;
    for (int i = 0; i < 400 && began == 0; ++i) {
      usleep(1000);
      const std::lock_guard lock(mutex);
      const auto found = started.find(brief);
      began = found == started.end() ? 0 : found->second;
    }
    while (NowMs() < began + kShortMs - kAskBeforeMs) {
      usleep(500);
    }
    std::thread first([&] { ask(killed, "GET", brief, ""); });
    usleep(5000);
    if (has_trouble) {
      killed.Kill(SIGKILL);
      killed.Start();
      record.Write("SIGKILL for " + killed.options.name + "; started again");
      wait_ready(killed);
    }
    const Reply reply = ask(killed, "GET", lasting, "");
    first.join();
    ++rounds;
    bool is_running = false;
    {
      const std::lock_guard lock(mutex);
      is_running = running.contains(lasting + ".0.0.0");
    }
    if (is_running && reply.body.find("completed") != std::string::npos) {
      ++wrong;
      record.Write("WRONG: " + lasting +
                   " is shown as completed, and its task runs");
    }
  }
  record.Write("rounds: " + std::to_string(rounds) +
               ", answers that show running work as completed: " +
               std::to_string(wrong));
  if (rounds == 0) {
    return finish(2);
  }
  return finish(wrong > 0 ? 1 : 0);
}
