// The operator lowers a tenant's quota below what a gang needs that waits for
// it. Later work of the tenant, which fits the quota many times, is handed in.
#include <signal.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <mutex>

#include "standin.hpp"

namespace {

using namespace standin3;

constexpr int kEntries = 3;
constexpr int kWorkers = 8;
constexpr int kQuotaCores = 40;
constexpr int kLowerQuotaCores = 20;
constexpr int kFirstTasks = 35;
constexpr int kGangTasks = 30;
constexpr int kLater = 5;
/// finish_s of the deployments.
constexpr std::int64_t kFinishMs = 14'000;
/// RULES, LOST: "for 3 s, a submission has nothing running".
constexpr std::int64_t kIdleMs = 3'000;

std::string MakeBody(int tasks, int duration_ms, bool is_gang) {
  return "{\"specification\":\"" + std::to_string(duration_ms) +
         "\",\"steps\":[{\"count\":" + std::to_string(tasks) +
         ",\"cpu\":1000,\"memoryRequestMb\":100,\"estimatedMs\":" +
         std::to_string(duration_ms) +
         (is_gang ? ",\"gangScheduled\":true" : "") + "}]}";
}

std::string MakeTenants(int cores) {
  return "[{\"name\":\"t1\",\"apiKeys\":[\"key-t1\"],\"weight\":50,"
         "\"maxCount\":{\"cpu\":" +
         std::to_string(cores * 1000) + ",\"memoryRequestMb\":0,\"gpu\":0}}]";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "usage: gang BINARY FOLDER RECORD TROUBLE\n");
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
  int running = 0;
  std::map<std::string, int> starts_of;
  std::int64_t last_running = 0;
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
      running += what == "start" ? 1 : -1;
      starts_of[run.task.substr(0, 16)] += what == "start" ? 1 : 0;
      last_running = NowMs();
      record.Write(what + " " + run.task + " run " + std::to_string(run.run) +
                   " on " + run.worker + "; the tenant has " +
                   std::to_string(running) + " cores running");
    };
    workers.push_back(std::make_unique<Worker>(server, store, options));
  }
  const std::vector<Route> routes = {{"plans", "/plans/"}};
  store.Put("keyed.op", "config",
            MakeConfig(3, routes, "work", MakeTenants(kQuotaCores)));
  server.Start();
  std::vector<std::unique_ptr<Entry>> entries;
  for (int i = 0; i < kEntries; ++i) {
    Entry::Options options{argv[1],    argv[2], "front-" + std::to_string(i + 1),
                           "glasgow", store.port, advisor, 260, ""};
    options.more =
        "\n[admission]\nstrict_revocation = yes\nrevocation_timeout = 5000ms\n"
        "quota_window = 5s\nquota_slack = 20\n";
    entries.push_back(std::make_unique<Entry>(options));
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
  std::uint64_t next_entry = 0;
  const auto ask = [&](const std::string& method, const std::string& id,
                       const std::string& body) {
    Reply reply;
    for (int attempt = 0; attempt < 5; ++attempt) {
      const int port = entries[next_entry++ % kEntries]->http;
      reply = Call(port, method, "/plans/" + id, body, 3000, "work.example",
                   "key-t1");
      record.Write(method + " " + id + " at port " + std::to_string(port) +
                   ": " + std::to_string(reply.status) + " " + reply.body);
      if (reply.status == 200 || reply.status == 410) {
        break;
      }
      usleep(300'000);
    }
    return reply;
  };
  const auto running_now = [&] {
    const std::lock_guard lock(mutex);
    return running;
  };
  std::uint64_t number = 2000;
  const std::string first = MakeId(++number);
  const std::string gang = MakeId(++number);
  while (NowMs() < 20'000 &&
         ask("POST", first, MakeBody(kFirstTasks, 12'000, false)).status !=
             200) {
    usleep(200'000);
  }
  while (NowMs() < 30'000 && running_now() < kFirstTasks) {
    usleep(20'000);
  }
  record.Write("first work: " + first + "; gang: " + gang);
  if (running_now() < kFirstTasks ||
      ask("POST", gang, MakeBody(kGangTasks, 1000, true)).status != 200) {
    record.Write("the work at the start did not run");
    return finish(2);
  }
  usleep(2'000'000);
  if (has_trouble) {
    store.Put("keyed.op", "config",
              MakeConfig(9, routes, "work", MakeTenants(kLowerQuotaCores)));
    record.Write("config 9: maxCount " + std::to_string(kLowerQuotaCores) +
                 " cores instead of " + std::to_string(kQuotaCores));
  }
  usleep(3'000'000);
  std::vector<std::string> later;
  for (int i = 0; i < kLater; ++i) {
    later.push_back(MakeId(++number));
    if (ask("POST", later.back(), MakeBody(2, 1000, false)).status != 200) {
      record.Write("later work was not accepted");
      return finish(2);
    }
  }
  const std::int64_t end_of_traffic = NowMs();
  record.Write("end of the traffic");
  while (NowMs() < end_of_traffic + kFinishMs) {
    usleep(50'000);
  }
  // From here on the rule looks at 3 s.
  std::vector<std::string> stuck;
  const std::int64_t from = NowMs();
  while (NowMs() < from + kIdleMs) {
    usleep(50'000);
  }
  {
    const std::lock_guard lock(mutex);
    record.Write("cores running: " + std::to_string(running) + " of " +
                 std::to_string(kWorkers * 64) + "; nothing started or ended "
                 "for " + std::to_string(NowMs() - last_running) + " ms");
    const bool is_idle = running == 0 && NowMs() - last_running >= kIdleMs;
    for (const std::string& id : later) {
      if (is_idle && starts_of[id] == 0) {
        stuck.push_back(id);
      }
    }
  }
  for (const std::string& id : later) {
    ask("GET", id, "");
  }
  ask("GET", gang, "");
  record.Write(std::to_string(stuck.size()) + " of " + std::to_string(kLater) +
               " later submissions have nothing running, with all workers idle");
  return finish(stuck.empty() ? 0 : 1);
}
