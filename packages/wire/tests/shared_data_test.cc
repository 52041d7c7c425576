#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "basilspread/core/limits.h"
#include "basilspread/wire/peer_codec.h"
#include "basilspread/wire/work_codec.h"
#include "basilspread_generated.h"

namespace basilspread::wire {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;
using Text = flatbuffers::Offset<flatbuffers::String>;

std::string BytesOf(const Builder& builder) {
  const auto* data = reinterpret_cast<const char*>(builder.GetBufferPointer());
  return {data, builder.GetSize()};
}

/// Whether a frame with the body that `make` builds is decoded.
bool IsAccepted(
    fb::PeerBody kind,
    const std::function<flatbuffers::Offset<void>(Builder& builder)>& make) {
  Builder builder;
  const auto body = make(builder);
  const auto node = builder.CreateString("entry-1");
  const auto sender = fb::CreateProcessId(builder, node, 7);
  builder.Finish(
      fb::CreateFrame(builder, kProtocolVersion, sender, kind, body));
  return static_cast<bool>(DecodeFrame(BytesOf(builder)));
}

/// A list of `count` references to one string of `bytes` bytes.
flatbuffers::Offset<flatbuffers::Vector<Text>> RepeatedText(Builder& builder,
                                                            std::size_t count,
                                                            std::size_t bytes) {
  const Text text = builder.CreateString(std::string(bytes, 'x'));
  return builder.CreateVector(std::vector<Text>(count, text));
}

bool IsLeaderReportAccepted(std::size_t count, std::size_t bytes) {
  return IsAccepted(fb::PeerBody::LeaderReport, [&](Builder& builder) {
    const auto members = RepeatedText(builder, count, bytes);
    const auto leader = builder.CreateString("x");
    return fb::CreateLeaderReport(builder, leader, members).Union();
  });
}

bool IsAdviceCallAccepted(std::size_t count, std::size_t bytes) {
  return IsAccepted(fb::PeerBody::AdviceCall, [&](Builder& builder) {
    const auto workers = RepeatedText(builder, count, bytes);
    const auto submission = builder.CreateString("a");
    return fb::CreateAdviceCall(builder, 1, submission, 0, workers).Union();
  });
}

bool IsAdviceAnswerAccepted(std::size_t count, std::size_t bytes) {
  return IsAccepted(fb::PeerBody::AdviceAnswer, [&](Builder& builder) {
    const Text worker = builder.CreateString("i-1");
    const Text ticket = builder.CreateString(std::string(bytes, 'x'));
    const auto row = fb::CreateAdviceTicket(builder, worker, ticket);
    const auto rows = builder.CreateVector(
        std::vector<flatbuffers::Offset<fb::AdviceTicket>>(count, row));
    return fb::CreateAdviceAnswer(builder, 1, true, rows).Union();
  });
}

bool IsSpecAccepted(std::size_t steps, std::size_t bytes, std::size_t after) {
  return IsAccepted(fb::PeerBody::SubmissionCall, [&](Builder& builder) {
    const Text text = builder.CreateString(std::string(bytes, 'x'));
    const auto earlier =
        builder.CreateVector(std::vector<std::uint32_t>(after, 0));
    const auto demand = fb::CreateResources(builder);
    fb::StepSpecBuilder step(builder);
    step.add_count(1);
    step.add_demand(demand);
    step.add_after(earlier);
    step.add_image(text);
    const auto packed = step.Finish();
    const auto list = builder.CreateVector(
        std::vector<flatbuffers::Offset<fb::StepSpec>>(steps, packed));
    const Text id = builder.CreateString("a");
    const auto spec = fb::CreateSubmissionSpec(builder, id, id, id, list);
    return fb::CreateSubmissionCall(builder, 1, 0, id, id, spec).Union();
  });
}

TEST_CASE("A small frame with shared data does not unpack to a large message",
          "[wire][odd]") {
  CHECK(IsLeaderReportAccepted(100, 100));
  CHECK_FALSE(IsLeaderReportAccepted(100'000, 100));
  CHECK_FALSE(IsLeaderReportAccepted(100, 100'000));
  CHECK(IsAdviceCallAccepted(100, 100));
  CHECK_FALSE(IsAdviceCallAccepted(100'000, 100));
  CHECK_FALSE(IsAdviceCallAccepted(100, 100'000));
  CHECK(IsAdviceAnswerAccepted(100, 100));
  CHECK_FALSE(IsAdviceAnswerAccepted(100'000, 100));
  CHECK_FALSE(IsAdviceAnswerAccepted(100, 100'000));
  CHECK(IsSpecAccepted(64, 100, 0));
  CHECK_FALSE(IsSpecAccepted(10'000, 1, 0));
  CHECK_FALSE(IsSpecAccepted(64, 100'000, 0));
  CHECK_FALSE(IsSpecAccepted(64, 1, 100'000));
}

TEST_CASE("A small record with shared data does not unpack to a large one",
          "[wire][odd]") {
  const auto is_accepted = [](std::size_t tasks, std::size_t runs) {
    Builder builder;
    const auto failed =
        builder.CreateVector(std::vector<std::uint32_t>(runs, 1));
    const auto task = fb::CreateTaskProgress(builder, 0, 0, false, failed, 1);
    const auto list = builder.CreateVector(
        std::vector<flatbuffers::Offset<fb::TaskProgress>>(tasks, task));
    const auto body = fb::CreateProgressRecord(builder, 0, list).Union();
    builder.Finish(
        fb::CreateWorkRecord(builder, 1, fb::WorkBody::ProgressRecord, body));
    return static_cast<bool>(DecodeWork("p/a", BytesOf(builder)));
  };
  CHECK(is_accepted(limits::kMaxTasks, 3));
  CHECK_FALSE(is_accepted(100'000, 3));
  CHECK_FALSE(is_accepted(limits::kMaxTasks, 10'000));
}

}  // namespace
}  // namespace basilspread::wire
