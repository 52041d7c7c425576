#include "basilspread/wire/peer_codec.h"

#include <catch2/catch.hpp>

namespace basilspread::wire {
namespace {

PeerFrame MakeForward() {
  boost::intrusive_ptr<Payload> payload(new Payload);
  payload->method = "POST";
  payload->target = "/preview";
  payload->headers.push_back(Header{"Content-Type", "text/plain"});
  payload->body = std::string("\0binary\xff", 8);
  ForwardRequest forward;
  forward.call = CallId{7};
  forward.shard = ShardId{"layout#1"};
  forward.route = RouteName{"preview"};
  forward.time_left = std::chrono::milliseconds(1500);
  forward.payload = payload;
  return PeerFrame{ProcessId{NodeName{"glasgow-1"}, 42}, forward, 43};
}

std::string Body(const std::string& frame) {
  return frame.substr(kLengthBytes);
}

TEST_CASE("A frame survives encoding and decoding", "[wire][peer]") {
  const std::string bytes = EncodeFrame(MakeForward()).value();
  REQUIRE(DecodeLength(bytes).value() == bytes.size() - kLengthBytes);

  const PeerFrame frame = DecodeFrame(Body(bytes)).value();
  REQUIRE(frame.sender == ProcessId{NodeName{"glasgow-1"}, 42});
  REQUIRE(frame.receiver_incarnation == 43);
  const auto& forward = std::get<ForwardRequest>(frame.message);
  REQUIRE(forward.call == CallId{7});
  REQUIRE(forward.time_left == std::chrono::milliseconds(1500));
  REQUIRE(forward.payload->body == std::string("\0binary\xff", 8));
  REQUIRE(forward.payload->headers.at(0).value == "text/plain");
}

TEST_CASE("Reports of helpers and leaders survive encoding", "[wire][peer]") {
  const ProcessId sender{NodeName{"glasgow-1"}, 42};
  HelperReport helper{"10.0.0.1:7000", {0.12, 10}, true, 0.75};
  helper.sent_at = TimePoint(std::chrono::seconds(9));
  helper.ack = {Epoch{3}, TimePoint(std::chrono::seconds(8)),
                TimePoint(std::chrono::seconds(7))};
  helper.highest_epoch = Epoch{4};
  helper.is_stopping = true;
  helper.acknowledged_by = {
      {{NodeName{"dundee-1"}, 7}, std::chrono::seconds(2)}};
  const PeerFrame first =
      DecodeFrame(Body(EncodeFrame({sender, helper}).value())).value();
  const auto& report = std::get<HelperReport>(first.message);
  CHECK(report.address == helper.address);
  CHECK(report.capacity == helper.capacity);
  CHECK(report.is_candidate);
  CHECK(report.busy_share == 0.75);
  CHECK(report.sent_at == helper.sent_at);
  CHECK(report.ack.epoch == Epoch{3});
  CHECK(report.ack.sent_at == helper.ack.sent_at);
  CHECK(report.ack.report_sent_at == helper.ack.report_sent_at);
  CHECK(report.highest_epoch == Epoch{4});
  CHECK(report.is_stopping);
  REQUIRE(report.acknowledged_by.size() == 1);
  CHECK(report.acknowledged_by[0].process ==
        ProcessId{NodeName{"dundee-1"}, 7});
  CHECK(report.acknowledged_by[0].age == std::chrono::seconds(2));

  LeaderReport leader;
  leader.leader = "glasgow-1/42/10.0.0.1:7000";
  leader.members = {"dundee-1/7/10.0.0.2:7000"};
  leader.candidates = {{NodeName{"glasgow-1"}, {0.5, 200}},
                       {NodeName{"dundee-1"}, {0.12, 10}}};
  leader.generation = 9;
  leader.ack = helper.ack;
  const PeerFrame second =
      DecodeFrame(Body(EncodeFrame({sender, leader}).value())).value();
  const auto& decoded = std::get<LeaderReport>(second.message);
  CHECK(decoded.members == leader.members);
  REQUIRE(decoded.candidates.size() == 2);
  CHECK(decoded.candidates[1].node == NodeName{"dundee-1"});
  CHECK(decoded.candidates[0].capacity == Capacity{0.5, 200});
  CHECK(decoded.generation == 9);
  CHECK(decoded.ack.epoch == Epoch{3});
  CHECK(decoded.ack.report_sent_at == helper.ack.report_sent_at);
}

TEST_CASE("Malformed frames are rejected without an exception",
          "[wire][peer]") {
  const std::string bytes = Body(EncodeFrame(MakeForward()).value());

  SECTION("a truncation by more than the padding") {
    // Up to 7 bytes at the end are padding.
    constexpr std::size_t kMaxPaddingBytes = 7;
    for (std::size_t size = 0; size + kMaxPaddingBytes < bytes.size(); ++size) {
      REQUIRE_FALSE(DecodeFrame(bytes.substr(0, size)));
    }
  }
  SECTION("a damaged byte, which throws no exception") {
    for (std::size_t offset = 0; offset < bytes.size(); ++offset) {
      for (const char value : {'\x00', '\x01', '\x7f', '\xff'}) {
        std::string damaged = bytes;
        damaged[offset] = value;
        REQUIRE_NOTHROW(DecodeFrame(damaged).has_value());
      }
    }
  }
  SECTION("a length of zero") {
    REQUIRE(DecodeLength(std::string(4, '\0')).error().kind ==
            ErrorKind::kBadRequest);
  }
  SECTION("a length above the limit") {
    REQUIRE(DecodeLength(std::string(4, '\xff')).error().kind ==
            ErrorKind::kTooLarge);
  }
}

}  // namespace
}  // namespace basilspread::wire
