#include <catch2/catch.hpp>
#include <string>

#include "basilspread/wire/peer_codec.h"
#include "basilspread/wire/record_codec.h"
#include "basilspread/wire/work_codec.h"
#include "basilspread_generated.h"

namespace basilspread::wire {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

std::string BytesOf(const Builder& builder) {
  const auto* data = reinterpret_cast<const char*>(builder.GetBufferPointer());
  return {data, builder.GetSize()};
}

flatbuffers::Offset<fb::ProcessId> MakeProcess(Builder& builder) {
  return fb::CreateProcessId(builder, builder.CreateString("entry-1"), 7);
}

TEST_CASE("A frame with a body type and no body is rejected", "[wire][odd]") {
  for (int kind = 0; kind <= 255; ++kind) {
    INFO(kind);
    Builder builder;
    const auto sender = MakeProcess(builder);
    builder.Finish(fb::CreateFrame(builder, kProtocolVersion, sender,
                                   static_cast<fb::PeerBody>(kind)));
    CHECK_FALSE(DecodeFrame(BytesOf(builder)));
  }
}

TEST_CASE("A log record with a body type and no body is rejected",
          "[wire][odd]") {
  for (int kind = 0; kind <= 255; ++kind) {
    INFO(kind);
    Builder builder;
    const auto record =
        fb::CreateRecord(builder, static_cast<fb::RecordBody>(kind));
    const auto writer = MakeProcess(builder);
    builder.Finish(fb::CreateBatch(builder, kProtocolVersion, writer, 1,
                                   builder.CreateVector(&record, 1)));
    CHECK_FALSE(DecodeBatch(BytesOf(builder)));
  }
}

TEST_CASE("A work record with a body type and no body is rejected",
          "[wire][odd]") {
  for (int kind = 0; kind <= 255; ++kind) {
    for (const char* key : {"s/a", "p/a", "w/a", "", "x"}) {
      INFO(kind << " " << key);
      Builder builder;
      builder.Finish(
          fb::CreateWorkRecord(builder, 1, static_cast<fb::WorkBody>(kind)));
      CHECK_FALSE(DecodeWork(key, BytesOf(builder)));
    }
  }
}

}  // namespace
}  // namespace basilspread::wire
