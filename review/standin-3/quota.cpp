// A tenant cancels work that runs and has other work waiting for its quota;
// the leading process gets SIGTERM just after the cancel was acknowledged.
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
constexpr int kQuotaCores = 40;
/// RULES, QUOTA: maxCount x (1 + quotaOverage) and one task more.
constexpr double kOverage = 0.1;
constexpr int kMostCores = static_cast<int>(kQuotaCores * (1 + kOverage)) + 1;
/// Within stopTimeoutMs, which is 900 at the deployment with tenants.
constexpr std::int64_t kStopMs = 800;

std::string MakeBody(int tasks, int duration_ms) {
  return "{\"specification\":\"" + std::to_string(duration_ms) +
         "\",\"steps\":[{\"count\":" + std::to_string(tasks) +
         ",\"cpu\":1000,\"memoryRequestMb\":100,\"estimatedMs\":" +
         std::to_string(duration_ms) + "}]}";
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "usage: quota BINARY FOLDER RECORD TROUBLE\n");
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
  int most = 0;
  for (int i = 0; i < kWorkers; ++i) {
    Worker::Options options;
    options.id = "i-" + MakeId(static_cast<std::uint64_t>(i) + 1).substr(0, 8);
    options.rack = "r1-" + std::to_string(i / 4);
    options.stop_ms = kStopMs;
    options.duration_ms = [](const std::string& specification) {
      return std::atoll(specification.c_str());
    };
    options.checkpoint = [](const RunInfo&) { return std::string(); };
    options.on_event = [&](const std::string& what, const RunInfo& run) {
      const std::lock_guard lock(mutex);
      running += what == "start" ? 1 : -1;
      if (what == "start") {
        most = std::max(most, running);
      }
      record.Write(what + " " + run.task + " run " + std::to_string(run.run) +
                   " on " + run.worker + "; the tenant has " +
                   std::to_string(running) + " cores running");
    };
    workers.push_back(std::make_unique<Worker>(server, store, options));
  }
  store.Put("keyed.op", "config",
            MakeConfig(3, {{"plans", "/plans/"}}, "work",
                       "[{\"name\":\"t1\",\"apiKeys\":[\"key-t1\"],"
                       "\"weight\":50,\"maxCount\":{\"cpu\":" +
                           std::to_string(kQuotaCores * 1000) +
                           ",\"memoryRequestMb\":0,\"gpu\":0}}]"));
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
  std::uint64_t number = 1000;
  const std::string first = MakeId(++number);
  const std::string second = MakeId(++number);
  while (NowMs() < 20'000 &&
         ask("POST", first, MakeBody(kQuotaCores, 60'000)).status != 200) {
    usleep(200'000);
  }
  while (NowMs() < 30'000 && running_now() < kQuotaCores) {
    usleep(20'000);
  }
  if (running_now() < kQuotaCores ||
      ask("POST", second, MakeBody(kQuotaCores, 60'000)).status != 200) {
    record.Write("the work at the start did not run");
    return finish(2);
  }
  // Ordinary time, in which every process reports to the leader.
  usleep(4'000'000);
  if (running_now() != kQuotaCores) {
    record.Write("the quota was not kept before the trouble");
    return finish(2);
  }
  const Reply cancel = ask("DELETE", first, "");
  if (cancel.status != 200) {
    record.Write("the cancel was not acknowledged");
    return finish(2);
  }
  if (has_trouble) {
    const std::string owner = store.Owner();
    for (auto& entry : entries) {
      if (owner.find(entry->options.name) != std::string::npos) {
        entry->Kill(SIGTERM);
        record.Write("SIGTERM for " + entry->options.name + ", the leader");
      }
    }
  }
  usleep(12'000'000);
  const std::lock_guard lock(mutex);
  record.Write("most cores of the tenant running after a start: " +
               std::to_string(most) + "; allowed: " +
               std::to_string(kMostCores) + "; running now: " +
               std::to_string(running));
  const bool is_broken = most > kMostCores;
  if (!is_broken && running == 0) {
    record.Write("the second submission did not start");
  }
  return finish(is_broken ? 1 : 0);
}
