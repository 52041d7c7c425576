#include "heartbeat_codec.h"

#include <string>
#include <vector>

#include "common.h"
#include "job_codec.h"

namespace basilspread::wire {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

/// Empty strings and vectors are left out of the buffer: most heartbeats have
/// no successors, unheard or heard peers.
flatbuffers::Offset<flatbuffers::String> PackNonEmpty(Builder& builder,
                                                      const std::string& text) {
  if (text.empty()) {
    return 0;
  }
  return builder.CreateString(text);
}

template <typename T>
flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<T>>> PackNonEmpty(
    Builder& builder, const std::vector<flatbuffers::Offset<T>>& items) {
  if (items.empty()) {
    return 0;
  }
  return builder.CreateVector(items);
}

flatbuffers::Offset<fb::ShardReport> PackReport(Builder& builder,
                                                const ShardReport& report) {
  const auto shard = builder.CreateString(report.shard.value);
  const auto successor = PackNonEmpty(builder, report.successor.value);
  return fb::CreateShardReport(
      builder, shard, report.epoch.value, report.free_slots, report.queued,
      report.free_open_slots, report.queued_long, successor);
}

ShardReport UnpackReport(const fb::ShardReport& packed) {
  ShardReport report;
  report.shard = ShardId{packed.shard()->str()};
  report.epoch = Epoch{packed.epoch()};
  report.free_slots = packed.free_slots();
  report.queued = packed.queued();
  report.free_open_slots = packed.free_open_slots();
  report.queued_long = packed.queued_long();
  if (packed.successor() != nullptr) {
    report.successor = NodeName{packed.successor()->str()};
  }
  return report;
}

}  // namespace

flatbuffers::Offset<fb::Heartbeat> PackHeartbeat(Builder& builder,
                                                 const Heartbeat& message) {
  std::vector<flatbuffers::Offset<fb::ShardReport>> shards;
  for (const ShardReport& report : message.shards) {
    shards.push_back(PackReport(builder, report));
  }
  std::vector<flatbuffers::Offset<flatbuffers::String>> unheard;
  for (const NodeName& node : message.unheard) {
    unheard.push_back(builder.CreateString(node.value));
  }
  std::vector<flatbuffers::Offset<fb::HeardReport>> heard;
  for (const HeardReport& report : message.heard) {
    const auto process = Pack(builder, report.process);
    heard.push_back(
        fb::CreateHeardReport(builder, process, report.age.count()));
  }
  const auto usage = job_codec::PackUsage(builder, message.usage);
  const auto packed_shards = PackNonEmpty(builder, shards);
  const auto packed_unheard = PackNonEmpty(builder, unheard);
  const auto packed_heard = PackNonEmpty(builder, heard);
  const auto address = PackNonEmpty(builder, message.address);
  return fb::CreateHeartbeat(
      builder, message.tables.value, message.stopping, packed_shards, usage,
      message.number, message.confirmed_incarnation, message.confirmed_number,
      packed_unheard, packed_heard, address);
}

Heartbeat UnpackHeartbeat(const fb::Heartbeat& packed) {
  Heartbeat message;
  message.tables = TablesVersion{packed.tables()};
  message.stopping = packed.stopping();
  if (packed.shards() != nullptr) {
    for (const fb::ShardReport* report : *packed.shards()) {
      message.shards.push_back(UnpackReport(*report));
    }
  }
  message.usage = job_codec::UnpackUsage(packed.usage());
  message.number = packed.number();
  message.confirmed_incarnation = packed.confirmed_incarnation();
  message.confirmed_number = packed.confirmed_number();
  if (packed.unheard() != nullptr) {
    for (const flatbuffers::String* node : *packed.unheard()) {
      message.unheard.push_back(NodeName{node->str()});
    }
  }
  if (packed.heard() != nullptr) {
    for (const fb::HeardReport* report : *packed.heard()) {
      message.heard.push_back(
          HeardReport{Unpack(*report->process()), Duration(report->age_ns())});
    }
  }
  if (packed.address() != nullptr) {
    message.address = packed.address()->str();
  }
  return message;
}

}  // namespace basilspread::wire
