#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "basilspread/wire/peer_codec.h"

namespace basilspread::wire {
namespace {

using std::chrono::milliseconds;

const ProcessId kSender{NodeName{"glasgow-1"}, 42};
const std::string kCommand(4000, 'x');

RunName MakeName(const std::string& id, std::uint32_t index) {
  return {{SubmissionId{id}, 1, index}, Attempt{3}};
}

SubmissionSpecPtr MakeSpec(const std::string& id) {
  boost::intrusive_ptr<SubmissionSpec> spec(new SubmissionSpec);
  spec->id = SubmissionId{id};
  spec->command = kCommand;
  return spec;
}

StartRun MakeStart(const std::string& id, std::uint32_t index) {
  StartRun start;
  start.worker = HostName{"w1"};
  start.address = "10.0.0.1:80";
  start.fence = (std::uint64_t{5} << 20U) + index;
  start.name = MakeName(id, index);
  start.spec = MakeSpec(id);
  start.lease_until = milliseconds(9000);
  start.checkpoint = "saved";
  start.ticket = "ticket";
  start.number = 70 + index;
  return start;
}

template <typename Message>
Message RoundTrip(const Message& message) {
  const std::string bytes = EncodeFrame({kSender, message}).value();
  const Result<PeerFrame> frame = DecodeFrame(bytes.substr(kLengthBytes));
  return std::get<Message>(frame.value().message);
}

TEST_CASE("Orders for a relay survive encoding", "[wire][relays]") {
  StopRun stop;
  stop.worker = HostName{"w2"};
  stop.address = "10.0.0.2:80";
  stop.fence = 7;
  stop.name = MakeName("b", 4);
  stop.number = 80;
  PollWorker poll;
  poll.worker = HostName{"w3"};
  poll.address = "10.0.0.3:80";
  poll.fence = 8;
  poll.acknowledged = 57;
  poll.lease_until = milliseconds(1234);
  poll.wait = milliseconds(1500);
  poll.number = 81;
  const RelayOrders orders =
      RoundTrip(RelayOrders{Epoch{5}, {MakeStart("a", 2), stop, poll}});
  CHECK(orders.epoch == Epoch{5});
  REQUIRE(orders.orders.size() == 3);
  const auto& start = std::get<StartRun>(orders.orders[0]);
  CHECK(start.worker == HostName{"w1"});
  CHECK(start.address == "10.0.0.1:80");
  CHECK(start.fence == (std::uint64_t{5} << 20U) + 2);
  CHECK(start.name == MakeName("a", 2));
  CHECK(start.spec->command == kCommand);
  CHECK(start.lease_until == milliseconds(9000));
  CHECK(start.checkpoint == "saved");
  CHECK(start.ticket == "ticket");
  CHECK(start.number == 72);
  const auto& decoded_stop = std::get<StopRun>(orders.orders[1]);
  CHECK(decoded_stop.name == MakeName("b", 4));
  CHECK(decoded_stop.number == 80);
  const auto& decoded_poll = std::get<PollWorker>(orders.orders[2]);
  CHECK(decoded_poll.worker == HostName{"w3"});
  CHECK(decoded_poll.fence == 8);
  CHECK(decoded_poll.acknowledged == 57);
  CHECK(decoded_poll.lease_until == milliseconds(1234));
  CHECK(decoded_poll.wait == milliseconds(1500));
  CHECK(decoded_poll.number == 81);
}

TEST_CASE("A message contains a submission's command once", "[wire][relays]") {
  RelayOrders orders;
  constexpr std::uint32_t kStarts = 20;
  constexpr std::size_t kMaxBytesPerStart = 120;
  for (std::uint32_t i = 0; i < kStarts; ++i) {
    orders.orders.emplace_back(MakeStart("a", i));
  }
  const std::string bytes = EncodeFrame({kSender, orders}).value();
  // The command once and, for each start, its numbers and references.
  CHECK(bytes.size() < kCommand.size() + kStarts * kMaxBytesPerStart);
}

TEST_CASE("Reports of a relay survive encoding", "[wire][relays]") {
  RelayReport order;
  order.number = 9;
  order.result = OrderResult::kNoRoom;
  order.took = milliseconds(4);
  RelayReport poll;
  poll.number = 10;
  poll.result = OrderResult::kDone;
  poll.clock = milliseconds(777);
  poll.incarnation = 88;
  poll.running = {{MakeName("a", 1), "saved", 41}, {MakeName("b", 2), "", 0}};
  poll.ended = {{58, MakeName("a", 9), RunEnd::kGangBroken, "kept"}};
  poll.may_have_more_ends = true;
  const RelayReports reports = RoundTrip(RelayReports{Epoch{6}, {order, poll}});
  CHECK(reports.epoch == Epoch{6});
  REQUIRE(reports.reports.size() == 2);
  CHECK(reports.reports[0].number == 9);
  CHECK(reports.reports[0].result == OrderResult::kNoRoom);
  CHECK(reports.reports[0].took == milliseconds(4));
  const RelayReport& decoded = reports.reports[1];
  CHECK(decoded.result == OrderResult::kDone);
  CHECK(decoded.clock == milliseconds(777));
  CHECK(decoded.incarnation == 88);
  REQUIRE(decoded.running.size() == 2);
  CHECK(decoded.running[0].name == MakeName("a", 1));
  CHECK(decoded.running[0].checkpoint == "saved");
  CHECK(decoded.running[0].percent == 41);
  CHECK(decoded.running[1].name == MakeName("b", 2));
  REQUIRE(decoded.ended.size() == 1);
  CHECK(decoded.ended[0].number == 58);
  CHECK(decoded.ended[0].name == MakeName("a", 9));
  CHECK(decoded.ended[0].end == RunEnd::kGangBroken);
  CHECK(decoded.ended[0].checkpoint == "kept");
  CHECK(decoded.may_have_more_ends);
}

TEST_CASE("A helper's report contains its zone", "[wire][relays]") {
  const HelperReport report = RoundTrip(
      HelperReport{"10.0.0.1:80", {}, false, 0, ZoneName{"east"}, true, true});
  CHECK(report.address == "10.0.0.1:80");
  CHECK(report.zone == ZoneName{"east"});
  CHECK(report.carries_calls);
  CHECK(report.misses_leader);
}

TEST_CASE("Damaged messages of relays throw no exception", "[wire][relays]") {
  RelayReport poll;
  poll.running = {{MakeName("a", 1), "saved", 41}};
  const std::string bytes =
      EncodeFrame({kSender, RelayReports{Epoch{6}, {poll}}})
          .value()
          .substr(kLengthBytes);
  // A damaged byte either makes the message malformed or only changes a value;
  // decoding throws in neither case.
  for (std::size_t offset = 0; offset < bytes.size(); ++offset) {
    for (const char value : {'\x00', '\x01', '\x7f', '\xff'}) {
      std::string damaged = bytes;
      damaged[offset] = value;
      CHECK_NOTHROW(DecodeFrame(damaged).has_value());
    }
  }
}

}  // namespace
}  // namespace basilspread::wire
