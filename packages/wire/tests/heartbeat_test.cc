#include <catch2/catch.hpp>
#include <cstddef>
#include <string>

#include "basilspread/wire/peer_codec.h"

namespace basilspread::wire {
namespace {

constexpr std::size_t kShards = 24;

/// The heartbeat that an entry process sends to a peer in normal operation.
Heartbeat MakeHeartbeat(std::size_t members) {
  Heartbeat heartbeat;
  heartbeat.tables = TablesVersion{3700};
  heartbeat.number = 1'000'000;
  heartbeat.confirmed_incarnation = 0xABCDEF0123456789U;
  heartbeat.confirmed_number = 1'000'000;
  for (std::size_t i = 0; i < (kShards + members - 1) / members; ++i) {
    ShardReport report;
    report.shard = ShardId{"layout#" + std::to_string(i)};
    report.epoch = Epoch{100};
    report.free_slots = 60;
    report.free_open_slots = 48;
    heartbeat.shards.push_back(report);
  }
  return heartbeat;
}

std::string Encode(const Heartbeat& heartbeat) {
  return EncodeFrame({ProcessId{NodeName{"glasgow-1"}, 42}, heartbeat}).value();
}

TEST_CASE("A heartbeat survives encoding and decoding", "[wire][peer]") {
  Heartbeat sent = MakeHeartbeat(8);
  sent.stopping = true;
  sent.shards[0].successor = NodeName{"dundee-1"};
  sent.unheard = {NodeName{"perth-1"}};
  sent.heard = {HeardReport{ProcessId{NodeName{"perth-2"}, 7},
                            std::chrono::milliseconds(250)}};
  sent.address = "127.0.0.1:7000";
  const std::string bytes = Encode(sent);
  const PeerFrame frame = DecodeFrame(bytes.substr(kLengthBytes)).value();
  const auto& decoded = std::get<Heartbeat>(frame.message);
  REQUIRE(decoded.stopping);
  REQUIRE(decoded.number == sent.number);
  REQUIRE(decoded.confirmed_incarnation == sent.confirmed_incarnation);
  REQUIRE(decoded.confirmed_number == sent.confirmed_number);
  REQUIRE(decoded.shards.at(0).successor == NodeName{"dundee-1"});
  REQUIRE(decoded.shards.at(1).successor.value.empty());
  REQUIRE(decoded.shards.at(1).epoch == Epoch{100});
  REQUIRE(decoded.shards.at(1).free_open_slots == 48);
  REQUIRE(decoded.unheard == sent.unheard);
  REQUIRE(decoded.heard.at(0).process == sent.heard[0].process);
  REQUIRE(decoded.heard.at(0).age == std::chrono::milliseconds(250));
  REQUIRE(decoded.address == sent.address);
}

TEST_CASE("Heartbeat sizes", "[.][measure]") {
  constexpr std::size_t kHeartbeatsPerSecond = 2;
  for (const std::size_t members : {3U, 8U, 16U}) {
    const std::size_t frame = Encode(MakeHeartbeat(members)).size();
    const std::size_t sent = frame * (members - 1) * kHeartbeatsPerSecond;
    WARN(members << " members: frame " << frame << " bytes, " << sent
                 << " bytes sent per second and as many received");
  }
}

}  // namespace
}  // namespace basilspread::wire
