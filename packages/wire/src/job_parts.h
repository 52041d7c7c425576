#ifndef BASILSPREAD_WIRE_SRC_JOB_PARTS_H_
#define BASILSPREAD_WIRE_SRC_JOB_PARTS_H_

#include <vector>

#include "basilspread/core/job.h"
#include "basilspread/core/job_message.h"
#include "basilspread/core/task.h"
#include "basilspread_generated.h"

namespace basilspread::wire::job_codec {

using Builder = flatbuffers::FlatBufferBuilder;

/// Converts an encoded byte to its enumerator; `last` when out of range.
template <typename Enum>
Enum ToEnum(std::uint8_t value, Enum last) {
  return value > static_cast<std::uint8_t>(last) ? last
                                                 : static_cast<Enum>(value);
}

flatbuffers::Offset<fb::Resources> PackPart(Builder& builder,
                                            const Resources& part);
flatbuffers::Offset<fb::TeamUsage> PackPart(Builder& builder,
                                            const TeamUsage& part);
flatbuffers::Offset<fb::TaskGroup> PackPart(Builder& builder,
                                            const TaskGroup& part);
flatbuffers::Offset<fb::JobSpec> PackPart(Builder& builder,
                                          const JobSpec& part);
flatbuffers::Offset<fb::JobStatus> PackPart(Builder& builder,
                                            const JobStatus& part);
flatbuffers::Offset<fb::TaskAttempt> PackPart(Builder& builder,
                                              const TaskAttempt& part);
flatbuffers::Offset<fb::TaskStart> PackPart(Builder& builder,
                                            const TaskStart& part);
flatbuffers::Offset<fb::TaskReport> PackPart(Builder& builder,
                                             const TaskReport& part);
flatbuffers::Offset<fb::TaskDemand> PackPart(Builder& builder,
                                             const TaskDemand& part);
flatbuffers::Offset<fb::TaskGrant> PackPart(Builder& builder,
                                            const TaskGrant& part);
flatbuffers::Offset<fb::HoldId> PackPart(Builder& builder, const HoldId& part);

Resources UnpackPart(const fb::Resources& packed);
TeamUsage UnpackPart(const fb::TeamUsage& packed);
TaskGroup UnpackPart(const fb::TaskGroup& packed);
JobSpec UnpackPart(const fb::JobSpec& packed);
JobStatus UnpackPart(const fb::JobStatus& packed);
TaskAttempt UnpackPart(const fb::TaskAttempt& packed);
TaskStart UnpackPart(const fb::TaskStart& packed);
TaskReport UnpackPart(const fb::TaskReport& packed);
TaskDemand UnpackPart(const fb::TaskDemand& packed);
TaskGrant UnpackPart(const fb::TaskGrant& packed);
HoldId UnpackPart(const fb::HoldId& packed);

/// Packs a list, each element with PackPart.
template <typename Part>
auto PackParts(Builder& builder, const std::vector<Part>& parts) {
  using Packed = decltype(PackPart(builder, parts.front()));
  std::vector<Packed> packed;
  packed.reserve(parts.size());
  for (const Part& part : parts) {
    packed.push_back(PackPart(builder, part));
  }
  return builder.CreateVector(packed);
}

/// Unpacks a list, each element with UnpackPart; an absent list is empty.
template <typename Part, typename Packed>
std::vector<Part> UnpackParts(const Packed* packed) {
  std::vector<Part> parts;
  if (packed == nullptr) {
    return parts;
  }
  parts.reserve(packed->size());
  for (const auto* part : *packed) {
    parts.push_back(UnpackPart(*part));
  }
  return parts;
}

}  // namespace basilspread::wire::job_codec

#endif  // BASILSPREAD_WIRE_SRC_JOB_PARTS_H_
