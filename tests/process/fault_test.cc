#include <Poco/Exception.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

#include "support/cluster.h"
#include "support/http.h"
#include "support/jobs.h"

namespace {

using test::Call;
using test::Cluster;
using test::Eventually;
using test::Response;

constexpr const char* kPools =
    "[pool layout]\nkind = minions\ngroup = minions\nshards = 4\n"
    "[pool workers]\nkind = workers\ngroup = workers\nshards = 2\n";
constexpr const char* kRoutes =
    "[route preview]\npool = layout\nclass = short\ndeadline = 5s\n"
    "idempotent = yes\n"
    "[route plan]\npool = workers\nclass = long\ndeadline = 60s\n";
constexpr const char* kNextRoutes =
    "[route preview]\npool = layout\nclass = short\ndeadline = 4s\n"
    "idempotent = yes\n"
    "[route plan]\npool = workers\nclass = long\ndeadline = 60s\n";

/// Three entry processes, minions and workers.
struct FaultCluster {
  Cluster cluster;

  FaultCluster() {
    this->cluster.AddMinions(8, 2, 2);
    this->cluster.AddWorkers(2, 4, 1);
    this->cluster.PublishHosts();
    this->cluster.AddEntries(3);
  }

  void Start() {
    for (std::size_t i = 0; i < this->cluster.entries.size(); ++i) {
      this->cluster.StartEntry(i);
    }
    REQUIRE(this->cluster.PublishTables(kRoutes, kPools, 0) == 0);
    REQUIRE(Eventually([this] { return this->cluster.AllServe(1); }));
    for (std::size_t i = 0; i < this->cluster.entries.size(); ++i) {
      REQUIRE(this->ServesAll(i));
      REQUIRE(Eventually([this, i] { return this->Accepts(i); }));
    }
  }

  bool Serves(std::size_t entry) const {
    const Response response = Call(this->cluster.entries.at(entry).http, "POST",
                                   "/route/preview/plan", "room 4");
    return response.status == 200 && response.body == "room 4";
  }

  /// Whether requests through an entry process reach every shard in the end.
  bool ServesAll(std::size_t entry) const {
    constexpr int kInARow = 20;
    return Eventually([this, entry] {
      for (int i = 0; i < kInARow; ++i) {
        if (!this->Serves(entry)) {
          return false;
        }
      }
      return true;
    });
  }

  Response Submit(std::size_t entry, const std::string& job) const {
    return Call(this->cluster.entries.at(entry).http, "POST", "/jobs",
                test::JobBody(job, 1, "work 1"));
  }

  static std::string NextJob() {
    static int last = 0;
    return "job-" + std::to_string(++last);
  }

  bool Accepts(std::size_t entry) const {
    return this->Submit(entry, NextJob()).status == 200;
  }

  /// Submits until one is refused and gives its name. A submission whose
  /// append was already under way when the log went may be unknown instead.
  std::string RefusedJob(std::size_t entry) const {
    std::string job;
    CHECK(Eventually([this, entry, &job] {
      job = NextJob();
      const Response response = this->Submit(entry, job);
      const std::string execution = response.headers.at("X-Execution");
      CHECK((execution == "not-run" || execution == "unknown"));
      return response.status == 503 && execution == "not-run";
    }));
    return job;
  }
};

TEST_CASE("Requests go on and jobs are refused while the log is away",
          "[process][faults][outage]") {
  FaultCluster faults;
  faults.Start();
  const std::string outage = GENERATE("down", "freeze");
  CAPTURE(outage);
  faults.cluster.ControlLog(outage);
  std::vector<std::string> refused;
  for (std::size_t i = 0; i < 3; ++i) {
    refused.push_back(faults.RefusedJob(i));
    for (int call = 0; call < 10; ++call) {
      CHECK(faults.Serves(i));
    }
  }
  faults.cluster.ControlLog("up");
  for (std::size_t i = 0; i < 3; ++i) {
    CHECK(Eventually([&faults, i] { return faults.Accepts(i); }));
    CHECK(
        test::JobStateAt(faults.cluster.entries.at(i), refused.at(i)).empty());
  }
}

TEST_CASE("A silent peer link is found and replaced",
          "[process][faults][silent-link]") {
  FaultCluster faults;
  std::vector<test::LinkProcess*> links;
  for (std::size_t to = 1; to < 3; ++to) {
    links.push_back(&faults.cluster.LinkPeers(0, to));
  }
  faults.Start();
  for (const test::LinkProcess* link : links) {
    link->Control("silence-open");
  }
  CHECK(faults.ServesAll(0));
}

TEST_CASE("An edit stands although the answer of its append is lost",
          "[process][faults][lost-answer]") {
  FaultCluster faults;
  faults.Start();
  faults.cluster.ControlLog("lose-answers");
  CHECK(faults.cluster.PublishTables(kNextRoutes, kPools, 1) == 0);
  CHECK(Eventually([&faults] { return faults.cluster.AllServe(2); }));
  CHECK(Eventually([&faults] { return faults.Accepts(0); }));
}

// Two faults at once.
TEST_CASE("An owner that dies in an outage of the log is replaced after it",
          "[process][faults][outage-kill]") {
  FaultCluster faults;
  faults.Start();
  faults.cluster.ControlLog("down");
  faults.cluster.entries.at(2).process->Kill();
  faults.cluster.entries.at(2).process.reset();
  // Two of three owners live; a process answers for what it can reach.
  CHECK(Eventually([&faults] { return faults.Serves(0); }));
  faults.cluster.ControlLog("up");
  CHECK(faults.ServesAll(0));
  CHECK(faults.ServesAll(1));
  CHECK(Eventually([&faults] { return faults.Accepts(0); }));
}

std::string RandomBytes(std::mt19937& generator) {
  constexpr std::size_t kMostBytes = 4096;
  std::string bytes(generator() % kMostBytes + 1, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(generator());
  }
  return bytes;
}

void SendBytes(std::uint16_t port, const std::string& bytes) {
  try {
    Poco::Net::StreamSocket socket(Poco::Net::SocketAddress("127.0.0.1", port));
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  } catch (const Poco::Exception&) {
    // The process may well close on such bytes.
    return;
  }
}

TEST_CASE("Malformed bytes on any port never end a process",
          "[process][faults][malformed]") {
  constexpr int kTries = 200;
  constexpr unsigned kSeed = 20261204;
  FaultCluster faults;
  faults.Start();
  const test::EntryProcess& entry = faults.cluster.entries.at(0);
  std::mt19937 generator(kSeed);
  // A frame whose length lies, and requests that are cut off or contradict.
  const std::vector<std::string> openings = {
      "",
      std::string("\xff\xff\xff\x7f", 4),
      std::string("\x08\x00\x00\x00", 4),
      "POST /route/preview HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
      "POST /jobs HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
      "GET /dump.json HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
  };
  for (int i = 0; i < kTries; ++i) {
    const std::string& opening =
        openings[static_cast<std::size_t>(i) % openings.size()];
    for (const std::uint16_t port : {entry.peer, entry.http, entry.admin}) {
      SendBytes(port, opening + RandomBytes(generator));
    }
  }
  CHECK(faults.ServesAll(0));
  CHECK(faults.cluster.AllServe(1));
}

}  // namespace
