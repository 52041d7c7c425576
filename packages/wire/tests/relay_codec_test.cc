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
Message PassThrough(const Message& message) {
  const std::string bytes = EncodeFrame({kSender, message}).value();
  const Result<PeerFrame> frame = DecodeFrame(bytes.substr(kLengthBytes));
  return std::get<Message>(frame.value().message);
}

TEST_CASE("Orders for a hand survive encoding", "[wire][hands]") {
  StopRun stop;
  stop.worker = HostName{"w2"};
  stop.address = "10.0.0.2:80";
  stop.fence = 7;
  stop.name = MakeName("b", 4);
  stop.number = 80;
  PollWorker look;
  look.worker = HostName{"w3"};
  look.address = "10.0.0.3:80";
  look.fence = 8;
  look.acknowledged = 57;
  look.lease_until = milliseconds(1234);
  look.wait = milliseconds(1500);
  look.number = 81;
  const RelayOrders orders =
      PassThrough(RelayOrders{Epoch{5}, {MakeStart("a", 2), stop, look}});
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
  const auto& stopped = std::get<StopRun>(orders.orders[1]);
  CHECK(stopped.name == MakeName("b", 4));
  CHECK(stopped.number == 80);
  const auto& looked = std::get<PollWorker>(orders.orders[2]);
  CHECK(looked.worker == HostName{"w3"});
  CHECK(looked.fence == 8);
  CHECK(looked.acknowledged == 57);
  CHECK(looked.lease_until == milliseconds(1234));
  CHECK(looked.wait == milliseconds(1500));
  CHECK(looked.number == 81);
}

TEST_CASE("A message holds a submission's command once", "[wire][hands]") {
  RelayOrders orders;
  constexpr std::uint32_t kStarts = 20;
  constexpr std::size_t kBytesOfStart = 120;
  for (std::uint32_t i = 0; i < kStarts; ++i) {
    orders.orders.emplace_back(MakeStart("a", i));
  }
  const std::string bytes = EncodeFrame({kSender, orders}).value();
  // The command and, for each start, some numbers.
  CHECK(bytes.size() < kCommand.size() + kStarts * kBytesOfStart);
}

TEST_CASE("Reports of a hand survive encoding", "[wire][hands]") {
  RelayReport order;
  order.number = 9;
  order.result = OrderResult::kNoRoom;
  order.took = milliseconds(4);
  RelayReport look;
  look.number = 10;
  look.result = OrderResult::kDone;
  look.clock = milliseconds(777);
  look.incarnation = 88;
  look.running = {{MakeName("a", 1), "saved", 41}, {MakeName("b", 2), "", 0}};
  look.ended = {{58, MakeName("a", 9), RunEnd::kGangBroken, "kept"}};
  const RelayReports reports =
      PassThrough(RelayReports{Epoch{6}, {order, look}});
  CHECK(reports.epoch == Epoch{6});
  REQUIRE(reports.reports.size() == 2);
  CHECK(reports.reports[0].number == 9);
  CHECK(reports.reports[0].result == OrderResult::kNoRoom);
  CHECK(reports.reports[0].took == milliseconds(4));
  const RelayReport& told = reports.reports[1];
  CHECK(told.result == OrderResult::kDone);
  CHECK(told.clock == milliseconds(777));
  CHECK(told.incarnation == 88);
  REQUIRE(told.running.size() == 2);
  CHECK(told.running[0].name == MakeName("a", 1));
  CHECK(told.running[0].checkpoint == "saved");
  CHECK(told.running[0].percent == 41);
  CHECK(told.running[1].name == MakeName("b", 2));
  REQUIRE(told.ended.size() == 1);
  CHECK(told.ended[0].number == 58);
  CHECK(told.ended[0].name == MakeName("a", 9));
  CHECK(told.ended[0].end == RunEnd::kGangBroken);
  CHECK(told.ended[0].checkpoint == "kept");
}

TEST_CASE("A helper's report tells its zone", "[wire][hands]") {
  const HelperReport report = PassThrough(
      HelperReport{"10.0.0.1:80", {}, false, 0, ZoneName{"east"}, true, true});
  CHECK(report.address == "10.0.0.1:80");
  CHECK(report.zone == ZoneName{"east"});
  CHECK(report.carries_calls);
  CHECK(report.misses_leader);
}

TEST_CASE("Damaged messages of hands are refused", "[wire][hands]") {
  RelayReport look;
  look.running = {{MakeName("a", 1), "saved", 41}};
  const std::string bytes =
      EncodeFrame({kSender, RelayReports{Epoch{6}, {look}}})
          .value()
          .substr(kLengthBytes);
  // Each damage either is refused or changes only a value.
  for (std::size_t place = 0; place < bytes.size(); ++place) {
    for (const char value : {'\x00', '\x01', '\x7f', '\xff'}) {
      std::string damaged = bytes;
      damaged[place] = value;
      CHECK_NOTHROW(DecodeFrame(damaged).has_value());
    }
  }
}

}  // namespace
}  // namespace basilspread::wire
