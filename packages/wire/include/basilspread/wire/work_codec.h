#ifndef BASILSPREAD_WIRE_WORK_CODEC_H_
#define BASILSPREAD_WIRE_WORK_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "basilspread/core/result.h"
#include "basilspread/core/submission_record.h"

namespace basilspread::wire {

/// A record as a log that keeps the newest value of each key holds it.
struct KeyedRecord {
  std::string key;
  /// Unset: the key is dropped.
  std::optional<std::string> value;
};

/// A forgotten submission drops one key; its specification has another.
KeyedRecord EncodeWork(const WorkRecord& record);

/// Errors: kBadRequest for a key or value that is malformed,
/// kProtocolMismatch for one of another version.
Result<WorkRecord> DecodeWork(std::string_view key, std::string_view value);

}  // namespace basilspread::wire

#endif  // BASILSPREAD_WIRE_WORK_CODEC_H_
