#include "run_times_codec.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

#include "basilspread/core/limits.h"
#include "job_parts.h"

namespace basilspread::wire::run_times_codec {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

constexpr float kLargest = 255;

flatbuffers::Offset<fb::RunTimeHistogram> Pack(Builder& builder,
                                               const RunTimeWeights& weights) {
  const float total = std::accumulate(weights.begin(), weights.end(), 0.0F);
  const float largest = *std::max_element(weights.begin(), weights.end());
  std::vector<std::uint8_t> buckets;
  std::size_t first = 0;
  for (std::size_t i = 0; largest > 0 && i < weights.size(); ++i) {
    const auto bucket = static_cast<std::uint8_t>(
        std::lround(weights.at(i) / largest * kLargest));
    first = buckets.empty() ? i : first;
    if (bucket > 0 || !buckets.empty()) {
      buckets.push_back(bucket);
    }
  }
  while (!buckets.empty() && buckets.back() == 0) {
    buckets.pop_back();
  }
  return fb::CreateRunTimeHistogram(builder, total,
                                    static_cast<std::uint8_t>(first),
                                    builder.CreateVector(buckets));
}

flatbuffers::Offset<fb::RunTimeRow> Pack(Builder& builder,
                                         const RunTimeKey& key,
                                         const RunTimeSketch& sketch) {
  const auto route = builder.CreateString(key.route.value);
  const auto image = builder.CreateString(key.image);
  const auto workspace = builder.CreateString(key.workspace.value);
  const auto times = Pack(builder, sketch.times);
  const auto ratios = Pack(builder, sketch.ratios);
  return fb::CreateRunTimeRow(
      builder, route, static_cast<std::uint8_t>(key.scope), key.step, image,
      key.size[0], key.size[1], key.size[2], workspace, times, ratios,
      static_cast<float>(sketch.time_error),
      static_cast<float>(sketch.ratio_error), static_cast<float>(sketch.error));
}

/// Checked before the names are copied, since rows may share them.
bool HasShortNames(const fb::RunTimeRow& row) {
  return IsShort(row.route(), limits::kMaxNameBytes) &&
         IsShort(row.image(), limits::kMaxNameBytes) &&
         IsShort(row.workspace(), limits::kMaxNameBytes);
}

std::string TextOf(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

/// Returns false for a histogram that no process writes.
bool Unpack(const fb::RunTimeHistogram& packed, RunTimeWeights& weights) {
  weights = {};
  const auto* buckets = packed.buckets();
  const std::size_t size = buckets == nullptr ? 0 : buckets->size();
  if (packed.first() + size > weights.size() || !(packed.total() >= 0) ||
      packed.total() > limits::kMaxRunTimeWeight) {
    return false;
  }
  float sum = 0;
  for (std::size_t i = 0; i < size; ++i) {
    const auto bucket = static_cast<float>(
        buckets->Get(static_cast<flatbuffers::uoffset_t>(i)));
    weights.at(packed.first() + i) = bucket;
    sum += bucket;
  }
  if (sum > 0) {
    for (float& weight : weights) {
      weight *= packed.total() / sum;
    }
  }
  return (sum > 0) == (packed.total() > 0);
}

}  // namespace

flatbuffers::Offset<fb::RunTimesRecord> Pack(Builder& builder,
                                             const RunTimesRecord& record) {
  std::vector<flatbuffers::Offset<fb::RunTimeRow>> rows;
  rows.reserve(record.rows.size());
  for (const auto& [key, sketch] : record.rows) {
    rows.push_back(Pack(builder, key, sketch));
  }
  return fb::CreateRunTimesRecord(builder, builder.CreateVector(rows));
}

Result<RunTimesRecord> Unpack(const fb::RunTimesRecord& packed) {
  const Error malformed{ErrorKind::kBadRequest,
                        "the learned run times are malformed"};
  RunTimesRecord record;
  if (packed.rows() == nullptr) {
    return record;
  }
  if (packed.rows()->size() > limits::kMaxRunTimeRows) {
    return malformed;
  }
  for (const auto* row : *packed.rows()) {
    if (!HasShortNames(*row)) {
      return malformed;
    }
    RunTimeKey key;
    key.route = RouteName{row->route()->str()};
    key.scope = job_codec::ToEnum(row->scope(), RunTimeScope::kWorkspace);
    key.step = row->step();
    key.image = TextOf(row->image());
    key.size = {row->cpu_magnitude(), row->memory_magnitude(),
                row->accelerator_magnitude()};
    key.workspace = WorkspaceName{TextOf(row->workspace())};
    RunTimeSketch sketch;
    if (!Unpack(*row->times(), sketch.times) ||
        !Unpack(*row->ratios(), sketch.ratios)) {
      return malformed;
    }
    sketch.time_error = row->time_error();
    sketch.ratio_error = row->ratio_error();
    sketch.error = row->error();
    record.rows.emplace_back(std::move(key), sketch);
  }
  return record;
}

}  // namespace basilspread::wire::run_times_codec
