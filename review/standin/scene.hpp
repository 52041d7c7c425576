// A small installation: entry processes, the store, minions, and a record of
// what was sent, answered and run.
#ifndef REVIEW_STANDIN_SCENE_HPP_
#define REVIEW_STANDIN_SCENE_HPP_

#include <fstream>
#include <iostream>

#include "platform.hpp"

namespace review {

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

class Scene {
 public:
  /// `folder`: settings and logs; `record_path`: what was sent and seen.
  Scene(std::string its_folder, const std::string& record_path)
      : folder(std::move(its_folder)),
        store(loop),
        began(NowMs()),
        record(record_path) {
    signal(SIGPIPE, SIG_IGN);
    this->trouble = std::getenv("TROUBLE") == nullptr ||
                    std::string(std::getenv("TROUBLE")) != "0";
    this->watch.started = [this](const std::string& minion, std::uint64_t,
                                 const std::string& task, int run,
                                 const std::vector<std::string>&) {
      this->Note("start " + task + " run " + std::to_string(run) + " on " +
                 minion);
    };
    this->watch.ended = [this](const std::string& minion,
                               const std::string& task, int run,
                               const std::string& how, std::int64_t) {
      this->Note("end " + task + " run " + std::to_string(run) + " on " +
                 minion + " " + how);
    };
    this->watch.noted = [](const std::string&, const std::string&, int,
                           const std::string&, bool) {};
  }

  void Note(const std::string& text) {
    this->record << NowMs() - this->began << " ms " << text << "\n";
  }

  void AddMinions(std::size_t count,
                  const std::function<std::int64_t(const std::string&)>& run_time) {
    for (std::size_t i = 0; i < count; ++i) {
      const std::string number = std::to_string(this->minions.size());
      this->minions.push_back(std::make_unique<Minion>(
          this->loop, this->store, this->watch, "i-7f3a91c" + number,
          this->minions.size() % 2 == 0 ? "a" : "b", "r1-" + number,
          "zone-" + std::to_string(this->minions.size() % 3)));
      this->minions.back()->run_time = run_time;
    }
  }

  /// Writes the tables: queues without advice, all led to the one service.
  void WriteTables(int version, int max_attempts = 3) {
    this->store.Write(
        "keyed.op", "config",
        "{\"version\":" + std::to_string(version) +
            ",\"routes\":[{\"name\":\"r-plan\",\"hostname\":\"plan.example\","
            "\"pathPrefix\":\"/plan/\",\"kind\":\"unsafe\",\"timeoutMs\":3000,"
            "\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"planners\","
            "\"maxAttempts\":" +
            std::to_string(max_attempts) +
            ",\"stretch\":2.2}],\"services\":[{\"name\":\"planners\","
            "\"healthPath\":\"/health\",\"maxConnections\":64,"
            "\"protocol\":\"h1\",\"tls\":false,\"admissionCheck\":false,"
            "\"standby\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
            "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
            "\"idleTimeoutMs\":15000}}");
  }

  void AddNodes(std::size_t count) {
    for (std::size_t added = 0; added < count; ++added) {
      const std::size_t i = this->nodes.size();
      Node node;
      node.name = "front-" + std::to_string(i);
      node.http = FreePort();
      node.ready = FreePort();
      const int store_port = this->store.AddNode();
      node.settings = this->folder + "/" + node.name + ".ini";
      std::ofstream out(node.settings);
      // As the template deploy/settings.ini gives it.
      out << "[node]\nname = " << node.name << "\nzone = zone-" << i % 3
          << "\n\n[listen]\nhttp = 127.0.0.1:" << node.http
          << "\npeer = 127.0.0.1:" << FreePort()
          << "\nadmin = 127.0.0.1:" << FreePort()
          << "\n\n[host]\nprocessor_share = 0.25\nlink_mbps = 1000.0\n\n"
             "[store]\naddress = 127.0.0.1:"
          << store_port << "\nready = 127.0.0.1:" << node.ready
          << "\nadvisor = 127.0.0.1:" << FreePort()
          << "\nmember_time_to_live = 1s\njoin_interval = 250ms\n"
             "shortest_time_to_live = 1000ms\nmax_lease = 6000ms\n"
             "gang_timeout = 3000ms\nstatus_retention = 120s\n"
             "stop_grace = 6s\ndrain_time = 2000ms\n";
      out.close();
      this->nodes.push_back(std::move(node));
      this->processes.push_back(std::make_unique<Process>());
      this->StartNode(i);
    }
  }
  void StartNode(std::size_t node) {
    this->Note("start of process " + this->nodes[node].name);
    this->processes[node]->Start(
        {"target/packages/entry/basilspread", "--config",
         this->nodes[node].settings},
        this->folder + "/" + this->nodes[node].name + ".log");
  }

  /// Runs for some time; false when a process ended that nobody signalled.
  void RunFor(std::int64_t ms) { this->loop.Run(NowMs() + ms); }
  bool RunUntil(const std::function<bool()>& condition, std::int64_t ms) {
    const std::int64_t until = NowMs() + ms;
    while (!condition()) {
      if (NowMs() >= until) {
        return false;
      }
      this->loop.Run(std::min(until, NowMs() + 10));
    }
    return true;
  }
  /// Waits until all processes say that they are ready.
  bool AwaitReady(std::int64_t ms = 20000) {
    std::vector<bool> ready(this->nodes.size());
    return this->RunUntil(
               [&] {
                 for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                   if (!ready[i]) {
                     this->loop.Call(this->nodes[i].ready, "GET",
                                     "/v1/readiness", "Host: x\r\n", "", 200,
                                     [&ready, i](int status, const std::string&) {
                                       if (status == 200) {
                                         ready[i] = true;
                                       }
                                     });
                     this->loop.Run(NowMs() + 60);
                   }
                 }
                 return std::all_of(ready.begin(), ready.end(),
                                    [](bool is) { return is; });
               },
               ms) &&
           (this->RunFor(300), true);
  }
  /// The number of the process that leads; -1 without one.
  int Leader() {
    const std::string member = this->store.Leader();
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (member.find(this->nodes[i].name) != std::string::npos) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }

  void Call(std::size_t node, const std::string& method, const std::string& id,
            const std::string& body, Loop::Done done,
            std::int64_t timeout = 3300) {
    const std::string name = this->nodes[node].name;
    this->Note(method + " " + id + " to " + name);
    this->loop.Call(
        this->nodes[node].http, method, "/plan/" + id,
        "Host: plan.example\r\nContent-Type: application/json\r\n"
        "Deadline-Milliseconds: 3000\r\n",
        body, timeout,
        [this, method, id, name, done](int status, const std::string& answer) {
          this->Note("answer " + std::to_string(status) + " to " + method + " " +
                     id + " by " + name + " " +
                     (answer.size() < 200 ? answer : ""));
          done(status, answer);
        });
  }
  /// One call, waited for; 0 without an answer.
  int CallAndWait(std::size_t node, const std::string& method,
                  const std::string& id, const std::string& body,
                  std::string* text = nullptr) {
    int result = -1;
    this->Call(node, method, id, body,
               [&result, text](int status, const std::string& answer) {
                 result = status;
                 if (text != nullptr) {
                   *text = answer;
                 }
               });
    this->RunUntil([&result] { return result >= 0; }, 5000);
    return std::max(result, 0);
  }
  /// Hands a submission in as a client does, until it is accepted.
  bool Submit(std::size_t node, const std::string& id, const std::string& body) {
    for (int attempt = 0; attempt < 5; ++attempt) {
      const int status = this->CallAndWait(
          (node + static_cast<std::size_t>(attempt)) % this->nodes.size(),
          "POST", id, body);
      if (status >= 200 && status < 300) {
        return true;
      }
      this->RunFor(300);
    }
    return false;
  }

  int Finish(int result, const std::string& text) {
    this->Note(text);
    std::cout << text << "\n";
    for (auto& process : this->processes) {
      process->End();
    }
    return result;
  }

  struct Node {
    std::string name;
    int http = 0;
    int ready = 0;
    std::string settings;
  };

  const std::string folder;
  Loop loop;
  Store store;
  Watch watch;
  bool trouble = true;
  const std::int64_t began;
  std::ofstream record;
  std::vector<std::unique_ptr<Minion>> minions;
  std::vector<Node> nodes;
  std::vector<std::unique_ptr<Process>> processes;
};

}  // namespace review

#endif  // REVIEW_STANDIN_SCENE_HPP_
