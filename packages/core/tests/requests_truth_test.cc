#include <catch2/catch.hpp>

#include "virtual_cluster.h"

namespace test {
namespace {

using basilspread::ErrorKind;
using basilspread::ForwardRequest;
using basilspread::HostName;
using basilspread::MinionResult;
using basilspread::RouteName;

int RunsOf(const VirtualCluster& cluster, const std::string& body) {
  int runs = 0;
  for (const auto& [name, minion] : cluster.minions) {
    const auto found = minion.runs_by_body.find(body);
    runs += found == minion.runs_by_body.end() ? 0 : found->second;
  }
  return runs;
}

/// Ends the first attempt of every request with `result`; later ones succeed.
void FailFirstAttempts(VirtualCluster& cluster, MinionResult result) {
  cluster.reply = [result](const basilspread::SendToMinion& send) {
    MinionReply reply;
    reply.work = 5ms;
    if (send.attempt.value == 1) {
      reply.result = result;
    }
    return reply;
  };
}

TEST_CASE("A request with a refused connection is retried on another minion",
          "[requests][truth]") {
  VirtualCluster cluster(1, 1);
  cluster.AddMinion("m1", 2, "r1");
  cluster.AddMinion("m2", 2, "r1");
  cluster.Start();
  std::vector<HostName> hosts;
  cluster.reply = [&hosts](const basilspread::SendToMinion& send) {
    hosts.push_back(send.host);
    MinionReply reply;
    reply.result =
        hosts.size() == 1 ? MinionResult::kRefused : MinionResult::kAnswered;
    return reply;
  };
  const CallId call = cluster.Call(0, "once", "x");
  cluster.RunFor(50ms);
  REQUIRE(cluster.ResultOf(call).kind == ErrorKind::kNone);
  REQUIRE(hosts.size() == 2);
  REQUIRE(hosts[0] != hosts[1]);
}

TEST_CASE(
    "A request whose connection is lost is retried only if it is idempotent",
    "[requests][truth]") {
  VirtualCluster cluster(1, 1);
  cluster.AddMinion("m1", 2, "r1");
  cluster.AddMinion("m2", 2, "r1");
  cluster.Start();
  FailFirstAttempts(cluster, MinionResult::kLost);

  SECTION("an idempotent request is answered by another minion") {
    const CallId call = cluster.Call(0, "quick", "x");
    cluster.RunFor(50ms);
    REQUIRE(cluster.ResultOf(call).kind == ErrorKind::kNone);
    REQUIRE(RunsOf(cluster, "x") == 2);
  }
  SECTION("a non-idempotent request ends as unknown and runs once") {
    const CallId call = cluster.Call(0, "once", "x");
    cluster.RunFor(50ms);
    REQUIRE(cluster.ResultOf(call).kind == ErrorKind::kOutcomeUnknown);
    REQUIRE(RunsOf(cluster, "x") == 1);
  }
}

TEST_CASE(
    "A request is not reported as not run after an attempt that may have run",
    "[requests][truth]") {
  VirtualCluster cluster(1, 1);
  cluster.AddMinion("m1", 2, "r1");
  cluster.AddMinion("m2", 2, "r1");
  cluster.Start();
  cluster.reply = [](const basilspread::SendToMinion& send) {
    MinionReply reply;
    reply.result =
        send.attempt.value == 1 ? MinionResult::kLost : MinionResult::kRefused;
    return reply;
  };
  const CallId call = cluster.Call(0, "quick", "x");
  cluster.RunFor(50ms);
  REQUIRE(cluster.ResultOf(call).kind == ErrorKind::kOutcomeUnknown);
}

TEST_CASE("Retries stay within the route's budget", "[requests][truth]") {
  VirtualCluster cluster(1, 1);
  for (int i = 0; i < 4; ++i) {
    cluster.AddMinion("m" + std::to_string(i), 8, "r1");
  }
  cluster.Start();
  int sends = 0;
  cluster.reply = [&sends](const basilspread::SendToMinion&) {
    ++sends;
    MinionReply reply;
    reply.result = MinionResult::kRefused;
    return reply;
  };
  constexpr int kCalls = 200;
  for (int i = 0; i < kCalls; ++i) {
    cluster.Call(0, "quick", "x");
    cluster.RunFor(5ms);
  }
  // The budget is a burst of 10, plus one retry per 10 requests.
  REQUIRE(sends <= kCalls + 10 + kCalls / 10);
}

TEST_CASE("A late answer of an earlier attempt is ignored",
          "[requests][truth]") {
  VirtualCluster cluster(1, 1);
  cluster.AddMinion("m1", 2, "r1");
  cluster.AddMinion("m2", 2, "r1");
  cluster.Start();
  std::optional<basilspread::SendToMinion> first;
  cluster.reply = [&first](const basilspread::SendToMinion& send) {
    MinionReply reply;
    if (!first) {
      first = send;
      reply.result = MinionResult::kLost;
      return reply;
    }
    reply.work = 100ms;
    return reply;
  };
  const CallId call = cluster.Call(0, "quick", "mine");
  cluster.RunFor(20ms);
  boost::intrusive_ptr<basilspread::Payload> stray(new basilspread::Payload);
  stray->status = 200;
  stray->body = "stray";
  cluster.Post(0, basilspread::MinionAnswered{first->request,
                                              first->attempt,
                                              first->host,
                                              MinionResult::kAnswered,
                                              stray,
                                              {}});
  REQUIRE_FALSE(cluster.IsAnswered(call));
  cluster.RunFor(200ms);
  REQUIRE(cluster.ResultOf(call).body == "mine");
}

/// Three nodes with one shard; calls enter at a node that does not own it.
struct ForwardingFixture {
  ForwardingFixture() : cluster(3, 5) {
    this->cluster.AddMinion("m1", 2, "r1");
    this->cluster.Start();
    this->owner = *this->cluster.OwnerOf("pool#0");
    this->entry = (this->owner + 1) % 3;
  }

  VirtualCluster cluster;
  std::size_t owner = 0;
  std::size_t entry = 0;
};

TEST_CASE(
    "When an owner dies its requests end as unknown or, if idempotent, are "
    "retried",
    "[requests][truth][forwarding]") {
  ForwardingFixture setup;
  VirtualCluster& cluster = setup.cluster;
  for (std::size_t node = 0; node < 3; ++node) {
    auto& routes = cluster.StateOf(node).configuration.tables.routes;
    routes.at(RouteName{"once"}).deadline = 20s;
    routes.at(RouteName{"quick"}).deadline = 20s;
  }
  const CallId unsafe = cluster.Call(setup.entry, "once", "100000");
  const CallId safe = cluster.Call(setup.entry, "quick", "100001");
  cluster.RunFor(20ms);
  cluster.Kill(setup.owner);
  int repeats = 0;
  cluster.on_message = [&](std::size_t, const basilspread::SendToPeer& send) {
    const auto* forward = std::get_if<ForwardRequest>(&send.message);
    repeats += forward != nullptr && forward->call == unsafe ? 1 : 0;
    return true;
  };
  const auto holds_unsafe = [&](std::size_t node) {
    const basilspread::RequestKey key{
        cluster.StateOf(setup.entry).settings.self, unsafe};
    return cluster.StateOf(node).requests.requests.contains(key);
  };
  REQUIRE(cluster.RunUntil([&] { return cluster.IsAnswered(unsafe); }, 15s));
  REQUIRE(repeats == 0);
  REQUIRE_FALSE(holds_unsafe(setup.entry));
  REQUIRE(cluster.ResultOf(unsafe).detail == "the owner was lost");
  REQUIRE(cluster.ResultOf(unsafe).kind == ErrorKind::kOutcomeUnknown);
  REQUIRE(RunsOf(cluster, "100000") == 1);
  REQUIRE(cluster.RunUntil([&] { return cluster.IsAnswered(safe); }, 60s));
}

TEST_CASE(
    "A forward message that was not sent does not make the outcome "
    "unknown",
    "[requests][truth][forwarding]") {
  ForwardingFixture setup;
  VirtualCluster& cluster = setup.cluster;
  cluster.links_up = false;
  const CallId call =
      cluster.Call(setup.entry, "once", "1000", "", Duration{500ms});
  cluster.RunFor(200ms);
  REQUIRE_FALSE(cluster.IsAnswered(call));
  cluster.links_up = true;
  cluster.RunFor(250ms);
  REQUIRE(cluster.ResultOf(call).kind == ErrorKind::kNone);

  cluster.links_up = false;
  const CallId lost =
      cluster.Call(setup.entry, "once", "1000", "", Duration{500ms});
  cluster.RunFor(2s);
  REQUIRE(basilspread::AnswerFor(cluster.ResultOf(lost).kind).execution ==
          basilspread::Execution::kNotRun);
}

TEST_CASE(
    "A request forwarded to a process that is not the owner is forwarded "
    "again to the owner",
    "[requests][truth][forwarding]") {
  ForwardingFixture setup;
  VirtualCluster& cluster = setup.cluster;
  int forwards = 0;
  const basilspread::ProcessId owner =
      cluster.StateOf(setup.owner).settings.self;
  cluster.on_message = [&](std::size_t, const basilspread::SendToPeer& send) {
    const auto* forward = std::get_if<ForwardRequest>(&send.message);
    if (forward == nullptr || ++forwards > 1) {
      return true;
    }
    basilspread::ForwardAnswer answer;
    answer.call = forward->call;
    answer.attempt = forward->attempt;
    answer.kind = ErrorKind::kNotOwner;
    cluster.Post(setup.entry, basilspread::PeerReceived{owner, answer});
    return false;
  };
  const CallId call = cluster.Call(setup.entry, "once", "1000");
  cluster.RunFor(500ms);
  REQUIRE(cluster.ResultOf(call).kind == ErrorKind::kNone);
  REQUIRE(forwards == 2);
}

TEST_CASE("An owner's answer to an earlier forward attempt is ignored",
          "[requests][truth][forwarding]") {
  ForwardingFixture setup;
  VirtualCluster& cluster = setup.cluster;
  const basilspread::ProcessId owner =
      cluster.StateOf(setup.owner).settings.self;
  const CallId call = cluster.Call(setup.entry, "quick", "50000");
  basilspread::ForwardAnswer stale;
  stale.call = call;
  stale.attempt = 0;
  stale.kind = ErrorKind::kQueueFull;
  cluster.Post(setup.entry, basilspread::PeerReceived{owner, stale});
  REQUIRE_FALSE(cluster.IsAnswered(call));
  cluster.RunFor(200ms);
  REQUIRE(cluster.ResultOf(call).kind == ErrorKind::kNone);
}

}  // namespace
}  // namespace test
