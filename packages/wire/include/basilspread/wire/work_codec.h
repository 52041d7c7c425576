#ifndef BASILSPREAD_WIRE_WORK_CODEC_H_
#define BASILSPREAD_WIRE_WORK_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "basilspread/core/result.h"
#include "basilspread/core/submission_record.h"

namespace basilspread::wire {

/// A record of a compacted log, which keeps the newest value of each key.
struct KeyedRecord {
  std::string key;
  /// Unset: the key is deleted.
  std::optional<std::string> value;
};

/// Encodes a record under its key. The specification and the progress of a
/// submission have separate keys and are deleted separately.
KeyedRecord EncodeWork(const WorkRecord& record);

/// Verifies and decodes the value of a key.
/// Errors: kBadRequest for a malformed key or value, kProtocolMismatch for a
/// value of another version.
Result<WorkRecord> DecodeWork(std::string_view key, std::string_view value);

/// What the record under the key is about; unset if the key is of another form.
std::optional<RecordSubject> SubjectOf(std::string_view key);

}  // namespace basilspread::wire

#endif  // BASILSPREAD_WIRE_WORK_CODEC_H_
